//! Retransmission of unacknowledged updates.

use pipitlever_session_affinity::unacknowledged::{Retransmission, UnacknowledgedUpdates};

/// Time until the first retransmission, in microseconds.
const INITIAL_INTERVAL: i64 = 10_000;
/// Maximum number of transmissions.
const MAX_TRANSMISSIONS: usize = 7;
/// Maximum number of tracked sessions.
const MAX_SESSIONS: usize = 16_384;

#[test]
fn updates_are_retransmitted_until_acknowledged_at_most_a_few_times() {
    let mut updates = UnacknowledgedUpdates::default();
    updates.track(0, 5, vec!["a".into(), "b".into()]);
    assert!(updates
        .take_retransmissions(INITIAL_INTERVAL - 1)
        .is_empty());
    updates.acknowledge(5, "a");
    let retransmission = Retransmission {
        session: 5,
        replicas: vec!["b".to_owned()],
    };
    assert_eq!(
        updates.take_retransmissions(INITIAL_INTERVAL),
        [retransmission]
    );
    updates.acknowledge(5, "b");
    assert_eq!(
        (
            updates.next_deadline(),
            updates.take_retransmissions(1 << 40)
        ),
        (None, vec![])
    );
    updates.track(0, 6, vec!["a".into()]);
    let mut retransmissions = 0;
    while let Some(deadline) = updates.next_deadline() {
        retransmissions += updates.take_retransmissions(deadline).len();
    }
    assert_eq!(retransmissions, MAX_TRANSMISSIONS - 1);
    for session in 0..MAX_SESSIONS as u64 + 9 {
        updates.track(0, session, vec!["a".into()]);
    }
    assert_eq!(updates.len(), MAX_SESSIONS);
}
