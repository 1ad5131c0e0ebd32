//! Hybrid logical clock.

use pipitlever_session_affinity::timestamp::HybridClock;

#[test]
fn clock_is_monotonic_and_rejects_times_near_its_end() {
    let mut clock = HybridClock::new(1_000, 0);
    assert_eq!(clock.read(5_000_000), 1_005);
    clock.observe(5_000_000, 900);
    assert_eq!(clock.read(5_000_000), 1_005);
    clock.observe(5_000_000, 2_000);
    assert_eq!(clock.read(6_000_000), 2_001);
    clock.observe(6_000_000, u32::MAX);
    assert_eq!(clock.read(6_000_000), 2_001);
}
