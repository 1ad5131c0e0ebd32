//! The minimum version: which responses count, and how it changes.

use pipitlever_config_versions::minimum_version::MinimumVersion;

const NONCE: u64 = 7;

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn any_quorum_reveals_a_restored_disk() {
    let acceptors = names(&["a", "b", "c"]);
    for quorum in [["a", "b"], ["a", "c"], ["b", "c"]] {
        // Version 5 was decided: b and c have accepted it, and a reports version 4.
        let mut minimum = MinimumVersion::new(3, NONCE);
        assert!(
            !minimum.allows(3) && !minimum.allows(9),
            "nothing is acted on before a quorum has answered"
        );
        for sender in quorum {
            let highest = if sender == "a" { 4 } else { 5 };
            minimum.handle_response(sender, NONCE, highest, &acceptors);
        }
        assert_eq!(
            (minimum.number(), minimum.is_known()),
            (5, true),
            "{quorum:?}"
        );
        assert!(!minimum.allows(4) && minimum.allows(5) && minimum.allows(6));
    }
}

#[test]
fn a_response_counts_once_and_only_from_an_acceptor_with_the_nonce() {
    let acceptors = names(&["a", "b", "c"]);
    let mut minimum = MinimumVersion::new(0, NONCE);
    // Unsolicited, to an earlier process, from no acceptor, and a duplicate.
    for (sender, nonce) in [("a", 0), ("b", 6), ("z", NONCE), ("a", NONCE), ("a", NONCE)] {
        assert!(!minimum.handle_response(sender, nonce, 1 << 63, &acceptors));
        assert!(!minimum.is_known());
    }
    let unanswered: Vec<_> = minimum.acceptors_to_query(&acceptors).collect();
    assert_eq!(unanswered, ["b", "c"]);
    let mut minimum = MinimumVersion::new(0, NONCE);
    assert!(!minimum.handle_response("a", NONCE, 2, &acceptors));
    // After a change of the acceptors a quorum of the new ones is needed.
    let next = names(&["a", "b", "c", "d"]);
    assert!(!minimum.handle_response("b", NONCE, 2, &next));
    assert!(minimum.handle_response("d", NONCE, 3, &next));
    assert_eq!(minimum.number(), 3);
}

#[test]
fn only_an_operator_lowers_the_minimum_version() {
    let mut minimum = MinimumVersion::new(9, NONCE);
    minimum.inherit(4);
    minimum.raise(2);
    assert_eq!((minimum.number(), minimum.allows(8)), (9, false));
    minimum.set_by_operator(4);
    assert!(minimum.allows(4) && !minimum.allows(3));
}
