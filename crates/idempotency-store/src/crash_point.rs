//! Named places at which tests crash the process.

/// Kills the process with SIGKILL if `PIPITLEVER_POINT` names this place: as `NAME` on the first
/// passage, as `NAME:N` on the Nth. Does nothing without the feature `points`.
#[cfg(feature = "points")]
pub fn crash_point(name: &str) {
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::OnceLock;

    struct Target {
        name: String,
        passage: u64,
    }
    static TARGET: OnceLock<Option<Target>> = OnceLock::new();
    static PASSAGES: AtomicU64 = AtomicU64::new(0);

    let target = TARGET.get_or_init(|| {
        let text = std::env::var("PIPITLEVER_POINT").ok()?;
        let (name, passage) = text.split_once(':').unwrap_or((&text, "1"));
        Some(Target {
            name: name.to_owned(),
            passage: passage.parse().expect("PIPITLEVER_POINT ends with a count"),
        })
    });
    let Some(target) = target else { return };
    if target.name == name && PASSAGES.fetch_add(1, Ordering::Relaxed) + 1 == target.passage {
        use rustix::process::{getpid, kill_process, Signal};
        let _ = kill_process(getpid(), Signal::KILL);
        // The signal may take a moment to reach this thread, which must not continue meanwhile.
        loop {
            std::thread::park();
        }
    }
}

/// Does nothing; the feature `points` is off.
#[cfg(not(feature = "points"))]
#[inline]
pub fn crash_point(_: &str) {}
