//! Fault injection: points at which tests make a subsystem panic.

use super::Subsystem;

/// If the environment variable `PIPITLEVER_PANIC` is `SUBSYSTEM:FILE` and the file exists, removes
/// the file and panics. Does nothing without the feature `points`.
#[cfg(feature = "points")]
pub fn panic_point(subsystem: Subsystem) {
    use std::sync::OnceLock;

    static TARGET: OnceLock<Option<(String, String)>> = OnceLock::new();
    let target = TARGET.get_or_init(|| {
        let variable = std::env::var("PIPITLEVER_PANIC").ok()?;
        let (name, file) = variable.split_once(':')?;
        Some((name.to_owned(), file.to_owned()))
    });
    let Some((name, file)) = target else { return };
    if name == subsystem.name() && std::fs::remove_file(file).is_ok() {
        panic!("injected by PIPITLEVER_PANIC");
    }
}

/// Does nothing; the feature `points` is off.
#[cfg(not(feature = "points"))]
#[inline]
pub fn panic_point(_subsystem: Subsystem) {}
