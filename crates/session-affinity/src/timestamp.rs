//! The fleet's time: seconds that go on with each node's own clock and leap to the latest that was
//! heard (Lamport 1978, driven by the time that passes). No two clocks have to agree: a process
//! begins with what its machine holds to be the date, and whatever that is, a stamp is part of what
//! it stamps, so all nodes put two of them in the same order.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Later times are not believed: there must be room for those to come.
const MOST: u32 = 0xf000_0000;

/// When a session was placed, and by whom: two placements are in one order everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp {
    /// The fleet's time, in seconds.
    pub seconds: u32,
    /// Stands for the node: of two in one second.
    pub node: u16,
}

/// A node's reading of the fleet's time.
#[derive(Clone, Copy, Debug)]
pub struct HybridClock {
    base: u32,
    at: Micros,
}

impl HybridClock {
    /// Begins with a date, in seconds.
    pub fn new(seconds: u32, now: Micros) -> HybridClock {
        HybridClock {
            base: seconds.min(MOST),
            at: now,
        }
    }

    /// What it is.
    pub fn read(&self, now: Micros) -> u32 {
        let passed = u32::try_from((now - self.at).max(0) / 1_000_000).unwrap_or(u32::MAX);
        self.base.saturating_add(passed)
    }

    /// Somebody's is this.
    pub fn observe(&mut self, now: Micros, seconds: u32) {
        if seconds <= MOST && seconds > self.read(now) {
            (self.base, self.at) = (seconds, now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_only_goes_on() {
        let mut time = HybridClock::new(1_000, 0);
        assert_eq!(time.read(5_000_000), 1_005);
        time.observe(5_000_000, 900);
        assert_eq!(time.read(5_000_000), 1_005);
        time.observe(5_000_000, 2_000);
        assert_eq!(time.read(6_000_000), 2_001);
        // A liar can't bring it to its end.
        time.observe(6_000_000, u32::MAX);
        assert_eq!(time.read(6_000_000), 2_001);
    }
}
