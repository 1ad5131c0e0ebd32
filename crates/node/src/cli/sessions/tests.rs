//! The text output of `pipitlever fleet sessions`.

use super::{render, PoolSessions, Sessions};

#[test]
fn the_table_can_be_limited_to_one_worker() {
    let workers = [("w0".to_owned(), 3), ("w1".to_owned(), 4)].into();
    let pool = PoolSessions {
        pool: "desks".into(),
        workers,
        placed: 9,
        moved_removed: 1,
        moved_failed: 2,
        moved_unreachable: 0,
    };
    let sessions = Sessions {
        is_bootstrapped: true,
        known: 7,
        bytes: 2048,
        rejected: 0,
        pools: vec![pool],
    };
    let all = render(&sessions, None);
    assert!(
        all.contains("7 sessions known in 2 kB, 0 not stored")
            && all.contains("w0  3")
            && all.contains("w1  4"),
        "{all}"
    );
    assert!(all.contains("removed 1, failed 2, unreachable 0"), "{all}");
    assert!(!render(&sessions, Some("w1")).contains("w0"));
}
