//! Lookups: which reply completes one, retries and deadlines.

use pipitlever_session_affinity::lookup::{
    LookupNodes, LookupRetry, LookupTarget, PendingLookups, RETRY_INTERVAL,
};
use pipitlever_session_affinity::placement::Placement;
use pipitlever_session_affinity::timestamp::Timestamp;

const PLACEMENT: Placement = Placement {
    worker: 1,
    created: Timestamp {
        seconds: 1,
        node: 1,
    },
    moves: 0,
    version: 0,
};
const DEADLINE: i64 = 100;

/// Starts a lookup at time 0 with a deadline of 100 µs.
fn start(
    lookups: &mut PendingLookups,
    session: u64,
    names: &[&str],
    replica_count: usize,
    request: u64,
) -> u32 {
    let target = LookupTarget {
        pool: 0,
        session,
        initial_worker: None,
    };
    let nodes = LookupNodes {
        names,
        replica_count,
    };
    lookups.start(0, DEADLINE, target, nodes, request).unwrap()
}

#[test]
fn the_first_replica_that_knows_the_session_completes_a_lookup() {
    let mut lookups = PendingLookups::default();
    let lookup_id = start(&mut lookups, 7, &["a", "b", "c"], 2, 1);
    assert!(lookups.add_waiter(7, 2) && !lookups.add_waiter(8, 3));
    assert_eq!(lookups.handle_reply(lookup_id, "a", 7, None), None);
    assert_eq!(
        lookups.handle_reply(lookup_id, "a", 7, Some(PLACEMENT)),
        None,
        "a second reply of one node"
    );
    assert_eq!(
        lookups.handle_reply(lookup_id, "x", 7, Some(PLACEMENT)),
        None,
        "a reply of a node that was not queried"
    );
    assert_eq!(
        lookups.handle_reply(lookup_id, "b", 8, Some(PLACEMENT)),
        None,
        "a reply about another session"
    );
    let result = lookups
        .handle_reply(lookup_id, "b", 7, Some(PLACEMENT))
        .unwrap();
    assert_eq!(
        (result.waiting_requests, result.placement),
        (vec![1, 2], Some(PLACEMENT))
    );
    let lookup_id = start(&mut lookups, 7, &["a", "b"], 2, 1);
    assert_eq!(lookups.handle_reply(lookup_id, "a", 7, None), None);
    assert_eq!(
        lookups
            .handle_reply(lookup_id, "b", 7, None)
            .unwrap()
            .placement,
        None
    );
    // A reply of a node that is not a replica does not complete the lookup while the reply of a
    // replica is pending.
    let lookup_id = start(&mut lookups, 7, &["a", "b", "c"], 2, 1);
    assert_eq!(
        lookups.handle_reply(lookup_id, "c", 7, Some(PLACEMENT)),
        None
    );
    let moved = PLACEMENT.moved(2, 0);
    assert_eq!(
        lookups
            .handle_reply(lookup_id, "a", 7, Some(moved))
            .unwrap()
            .placement,
        Some(moved)
    );
    let lookup_id = start(&mut lookups, 7, &["a", "b", "c"], 2, 1);
    assert_eq!(
        lookups.handle_reply(lookup_id, "c", 7, Some(PLACEMENT)),
        None
    );
    assert_eq!(lookups.take_expired(DEADLINE)[0].placement, Some(PLACEMENT));
}

#[test]
fn lookups_are_retried_until_their_deadline_or_an_update() {
    let mut lookups = PendingLookups::default();
    start(&mut lookups, 9, &["a"], 1, 4);
    assert!(lookups.take_expired(99).is_empty() && lookups.next_deadline() == Some(DEADLINE));
    let retry = LookupRetry {
        lookup_id: 1,
        session: 9,
        nodes: vec!["a".to_owned()],
    };
    assert_eq!(lookups.take_retries(RETRY_INTERVAL), [retry]);
    assert!(lookups.take_retries(RETRY_INTERVAL).is_empty());
    assert_eq!(lookups.take_expired(DEADLINE)[0].waiting_requests, [4]);
    assert_eq!(lookups.next_deadline(), None);
    // An update with the placement completes a lookup, too.
    start(&mut lookups, 9, &["a"], 1, 4);
    assert_eq!(
        lookups.resolve(9, PLACEMENT).unwrap().placement,
        Some(PLACEMENT)
    );
}
