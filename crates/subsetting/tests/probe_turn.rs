//! Which of the nodes that have ejected a worker probes it.

use pipitlever_subsetting::probe_turn::{has_recovered, probe_turn, prober, ProbeTurn};

#[test]
fn one_of_the_nodes_that_ejected_a_worker_has_the_turn() {
    let all = ["a", "b", "c", "d"];
    for worker in ["w1", "w2", "w3", "w4", "w5"] {
        let turns = all
            .iter()
            .filter(|node| probe_turn(node, worker, all.iter().copied()) == ProbeTurn::Own);
        assert_eq!(turns.count(), 1, "{worker}");
        // The turn passes on when that node has failed, or reports that the worker has recovered.
        let first = prober(worker, all.iter().copied()).unwrap();
        let others = all.iter().copied().filter(|node| *node != first);
        assert!(prober(worker, others).is_some_and(|next| next != first));
    }
    assert_eq!(
        probe_turn("a", "w", std::iter::empty()),
        ProbeTurn::Own,
        "a single node does not wait for a turn"
    );
    assert_eq!(prober("w", std::iter::empty()), None);
}

#[test]
fn only_an_active_member_is_evidence_of_a_recovery() {
    let before = ["a", "b"];
    assert!(has_recovered(before.into_iter(), &["b"], |_| true));
    assert!(
        !has_recovered(before.into_iter(), &["b"], |node| node != "a"),
        "the node has failed"
    );
    assert!(!has_recovered(before.into_iter(), &["a", "b", "c"], |_| {
        true
    }));
}
