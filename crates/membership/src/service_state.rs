//! What a node says of its service: steady, however quickly the module's modes change, as each
//! change goes to the whole fleet.

use crate::record::ServiceState;
use crate::Micros;

/// It has to be overloaded for so long before it says so, and not to be for so long before it says
/// that.
const ONSET: Micros = 1_000_000;
const ABATE: Micros = 3_000_000;

/// What is seen, and what is said of it.
#[derive(Clone, Copy, Debug)]
pub struct ServiceStateFilter {
    said: ServiceState,
    seen: ServiceState,
    since: Micros,
}

impl ServiceStateFilter {
    /// Nothing was said yet.
    pub fn new(now: Micros) -> ServiceStateFilter {
        ServiceStateFilter {
            said: ServiceState::Starting,
            seen: ServiceState::Starting,
            since: now,
        }
    }

    /// The node is seen to be so; what is to be said.
    pub fn observe(&mut self, now: Micros, seen: ServiceState) -> ServiceState {
        if seen != self.seen {
            (self.seen, self.since) = (seen, now);
        }
        let lasts = now - self.since;
        self.said = match (self.said, seen) {
            (ServiceState::Serving, ServiceState::Overloaded) if lasts < ONSET => self.said,
            (ServiceState::Overloaded, ServiceState::Serving) if lasts < ABATE => self.said,
            // What an operator did, and a start, is said at once.
            _ => seen,
        };
        self.said
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ServiceState::*;

    #[test]
    fn a_mode_that_comes_and_goes_is_not_told_and_what_operators_do_is_told_at_once() {
        let mut steady = ServiceStateFilter::new(0);
        assert_eq!(steady.observe(0, Serving), Serving);
        let mut said = Vec::new();
        // Back and forth ten times a second.
        for i in 0..100 {
            said.push(steady.observe(i * 100_000, if i % 2 == 0 { Overloaded } else { Serving }));
        }
        assert!(said.iter().all(|s| *s == Serving));
        steady.observe(10_000_000, Overloaded);
        assert_eq!(steady.observe(10_999_999, Overloaded), Serving);
        assert_eq!(steady.observe(11_000_000, Overloaded), Overloaded);
        steady.observe(12_000_000, Serving);
        assert_eq!(steady.observe(14_999_999, Serving), Overloaded);
        assert_eq!(steady.observe(15_000_000, Serving), Serving);
        assert_eq!(steady.observe(15_000_001, Standby), Standby);
        assert_eq!(steady.observe(15_000_002, Draining), Draining);
    }
}
