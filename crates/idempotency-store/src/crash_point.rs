//! Crash points: named places in the code at which tests kill the process.

/// Kills the process with SIGKILL if `PIPITLEVER_POINT` names this crash point: with `NAME` on the
/// first hit, with `NAME:N` on the Nth. Does nothing without the feature `points`.
#[cfg(feature = "points")]
pub fn crash_point(name: &str) {
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::OnceLock;

    struct Target {
        name: String,
        hit: u64,
    }
    static TARGET: OnceLock<Option<Target>> = OnceLock::new();
    static HITS: AtomicU64 = AtomicU64::new(0);

    let target = TARGET.get_or_init(|| {
        let text = std::env::var("PIPITLEVER_POINT").ok()?;
        let (name, hit) = text.split_once(':').unwrap_or((&text, "1"));
        Some(Target {
            name: name.to_owned(),
            hit: hit
                .parse()
                .expect("PIPITLEVER_POINT must be NAME or NAME:N"),
        })
    });
    let Some(target) = target else { return };
    if target.name == name && HITS.fetch_add(1, Ordering::Relaxed) + 1 == target.hit {
        use rustix::process::{getpid, kill_process, Signal};
        let _ = kill_process(getpid(), Signal::KILL);
        // The signal may be delivered with a delay; this thread must not continue until then.
        loop {
            std::thread::park();
        }
    }
}

/// Does nothing; the feature `points` is off.
#[cfg(not(feature = "points"))]
#[inline]
pub fn crash_point(_: &str) {}
