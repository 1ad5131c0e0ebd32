//! Lifeguard local health multiplier: lengthens this node's probe interval while the node misses
//! its own deadlines or its probes fail, since the fault is then likely local.

use crate::Micros;

/// Maximum score (Lifeguard's `S`): intervals are at most nine times as long.
const MAX_SCORE: u32 = 8;

/// Local health score: 0 while this node is healthy, up to 8.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Raises the score by `amount` after an event that suggests a fault of this node.
    pub fn degrade(&mut self, amount: u32) {
        self.0 = (self.0 + amount).min(MAX_SCORE);
    }

    /// Lowers the score by one after a probe that was acknowledged in time.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Multiplies an interval by the score plus one.
    pub fn scale(self, interval: Micros) -> Micros {
        interval * Micros::from(self.0 + 1)
    }

    /// Returns the score.
    pub fn score(self) -> u32 {
        self.0
    }
}
