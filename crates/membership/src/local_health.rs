//! How far this node trusts itself (Lifeguard's local health): one that is late, or loses its own
//! probes, is likely the one that is unwell, and takes more time before it blames others.

use crate::Micros;

/// The worst there is: all times are nine times as long.
const WORST: u32 = 8;

/// The score, 0 when all is well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Something went wrong that may be this node's fault.
    pub fn degrade(&mut self, by: u32) {
        self.0 = (self.0 + by).min(WORST);
    }

    /// A probe was answered in time.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// A time, as long as this node should make it.
    pub fn scale(self, time: Micros) -> Micros {
        time * Micros::from(self.0 + 1)
    }

    /// The score.
    pub fn score(self) -> u32 {
        self.0
    }
}
