//! Suspicion timeout and its confirmations.

use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::suspicion::Suspicion;

#[test]
fn timeout_shrinks_with_each_independent_confirmation() {
    let config = MembershipConfig::default();
    let mut suspicion = Suspicion::new(0, "n1");
    let mut previous = suspicion.deadline(&config, 100);
    assert_eq!(previous, 6 * config.min_suspicion_timeout(100));
    for reporter in ["n2", "n3", "n4"] {
        assert!(suspicion.confirm(reporter));
        assert!(!suspicion.confirm(reporter) && !suspicion.confirm("n1"));
        let deadline = suspicion.deadline(&config, 100);
        assert!(deadline < previous, "{reporter}");
        previous = deadline;
    }
    assert_eq!(previous, config.min_suspicion_timeout(100));
    assert!(
        !suspicion.confirm("n5"),
        "no confirmation counts beyond the minimum timeout"
    );
    suspicion.extend(1000);
    assert_eq!(suspicion.deadline(&config, 100), previous + 1000);
    // In a cluster of two no other member can confirm the suspicion.
    assert_eq!(
        Suspicion::new(0, "n1").deadline(&config, 2),
        2 * config.min_suspicion_timeout(2)
    );
}
