//! Debouncing of the announced service state.

use pipitlever_membership::record::ServiceState::{Draining, Overloaded, Serving, Standby};
use pipitlever_membership::service_state::ServiceStateFilter;

#[test]
fn alternating_overload_is_not_announced_and_operator_changes_are_immediate() {
    let mut filter = ServiceStateFilter::new(0);
    assert_eq!(filter.observe(0, Serving), Serving);
    let mut announced = Vec::new();
    // The observed state alternates ten times a second.
    for i in 0..100 {
        let observed = if i % 2 == 0 { Overloaded } else { Serving };
        announced.push(filter.observe(i * 100_000, observed));
    }
    assert!(announced.iter().all(|state| *state == Serving));
    filter.observe(10_000_000, Overloaded);
    assert_eq!(filter.observe(10_999_999, Overloaded), Serving);
    assert_eq!(filter.observe(11_000_000, Overloaded), Overloaded);
    filter.observe(12_000_000, Serving);
    assert_eq!(filter.observe(14_999_999, Serving), Overloaded);
    assert_eq!(filter.observe(15_000_000, Serving), Serving);
    assert_eq!(filter.observe(15_000_001, Standby), Standby);
    assert_eq!(filter.observe(15_000_002, Draining), Draining);
}
