//! Weighted rendezvous hashing.

use pipitlever_session_affinity::mix;
use pipitlever_session_affinity::worker_selection::{select_worker, Worker};

fn workers(weights: &[f64]) -> Vec<Worker> {
    (1..)
        .zip(weights)
        .map(|(id, weight)| Worker {
            id,
            weight: *weight,
            accepts_sessions: true,
            retains_sessions: true,
        })
        .collect()
}

/// Asserts that each count is within 3% of the expected one.
fn assert_close(counts: &[usize], expected: &[usize]) {
    for (count, expected) in counts.iter().zip(expected) {
        assert!(
            (expected * 97 / 100..expected * 103 / 100).contains(count),
            "{counts:?}"
        );
    }
}

#[test]
fn sessions_are_distributed_by_weight_and_those_of_a_removed_worker_too() {
    let all = workers(&[1.0, 1.0, 2.0, 4.0]);
    let mut counts = [0; 4];
    let mut counts_after_removal = [0; 4];
    for session in 0..80_000 {
        let session = mix(session, 9);
        let selected = select_worker(session, &all, |_| false).unwrap();
        counts[selected as usize - 1] += 1;
        let next = select_worker(session, &all, |worker| worker == 4).unwrap();
        assert!(
            selected == 4 || selected == next,
            "sessions of other workers stay"
        );
        counts_after_removal[next as usize - 1] += 1;
    }
    assert_close(&counts, &[10_000, 10_000, 20_000, 40_000]);
    assert_close(&counts_after_removal, &[20_000, 20_000, 40_000]);
    assert_eq!(select_worker(1, &all, |_| true), None);
    assert_eq!(select_worker(1, &[], |_| false), None);
}
