//! Replicas of a session in the rendezvous order of all nodes.

use pipitlever_session_affinity::mix;
use pipitlever_session_affinity::replicas::{ReplicaSet, LOOKUP_FANOUT, REPLICATION_FACTOR};

#[test]
fn lookups_after_a_join_include_the_previous_replicas() {
    let names: Vec<String> = (0..20).map(|i| format!("n{i}")).collect();
    let before = ReplicaSet::new(names[..19].iter().map(String::as_str));
    let after = ReplicaSet::new(names.iter().map(String::as_str));
    let mut replicas_on_new_node = 0;
    for session in 0..10_000 {
        let session = mix(session, 1);
        let queried = after.ranked(session, LOOKUP_FANOUT);
        assert!(before
            .ranked(session, REPLICATION_FACTOR)
            .iter()
            .all(|name| queried.contains(name)));
        replicas_on_new_node += usize::from(after.is_replica(session, "n19"));
    }
    assert!(
        (800..1_200).contains(&replicas_on_new_node),
        "{replicas_on_new_node} of 10,000, expected two in twenty"
    );
    assert_eq!(before.ranked(7, 50).len(), 19);
    assert!(ReplicaSet::default().ranked(7, 2).is_empty());
}
