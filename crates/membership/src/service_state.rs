//! Debouncing of the announced service state: each announced change is disseminated to the whole
//! cluster, so a state that alternates quickly must not be announced each time.

use crate::record::ServiceState;
use crate::Micros;

/// How long the node has to be overloaded before it announces overload, in microseconds.
const OVERLOAD_ONSET: Micros = 1_000_000;
/// How long the overload has to be over before the node announces recovery, in microseconds.
const OVERLOAD_RECOVERY: Micros = 3_000_000;

/// Filter between the observed and the announced service state.
#[derive(Clone, Copy, Debug)]
pub struct ServiceStateFilter {
    announced: ServiceState,
    observed: ServiceState,
    observed_since: Micros,
}

impl ServiceStateFilter {
    /// Creates a filter that announces [`ServiceState::Starting`].
    pub fn new(now: Micros) -> ServiceStateFilter {
        ServiceStateFilter {
            announced: ServiceState::Starting,
            observed: ServiceState::Starting,
            observed_since: now,
        }
    }

    /// Records the observed state and returns the state to announce. Only transitions between
    /// serving and overloaded are delayed.
    pub fn observe(&mut self, now: Micros, observed: ServiceState) -> ServiceState {
        if observed != self.observed {
            (self.observed, self.observed_since) = (observed, now);
        }
        let duration = now - self.observed_since;
        self.announced = match (self.announced, observed) {
            (ServiceState::Serving, ServiceState::Overloaded) if duration < OVERLOAD_ONSET => {
                self.announced
            }
            (ServiceState::Overloaded, ServiceState::Serving) if duration < OVERLOAD_RECOVERY => {
                self.announced
            }
            _ => observed,
        };
        self.announced
    }
}
