//! Named places where a test ends the process as a crash would, in the middle of everything.

/// Ends the process with SIGKILL if `PIPITLEVER_POINT` names this place, as `NAME` or `NAME:N` for
/// its Nth passing. Nothing without the feature `points`.
#[cfg(feature = "points")]
pub fn crash_point(name: &str) {
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::OnceLock;
    static WANTED: OnceLock<Option<(String, u64)>> = OnceLock::new();
    static PASSED: AtomicU64 = AtomicU64::new(0);
    let wanted = WANTED.get_or_init(|| {
        let text = std::env::var("PIPITLEVER_POINT").ok()?;
        let (name, count) = text.split_once(':').unwrap_or((&text, "1"));
        Some((name.to_owned(), count.parse().expect("a count")))
    });
    let Some((place, count)) = wanted else { return };
    if place == name && PASSED.fetch_add(1, Ordering::Relaxed) + 1 == *count {
        use rustix::process::{getpid, kill_process, Signal};
        let _ = kill_process(getpid(), Signal::KILL);
        // The signal may take a moment to reach this thread, which must not go on meanwhile.
        loop {
            std::thread::park();
        }
    }
}

/// Nothing.
#[cfg(not(feature = "points"))]
#[inline]
pub fn crash_point(_: &str) {}
