//! Hybrid logical clock with a resolution of one second (Lamport 1978; Kulkarni et al. 2014): it
//! advances with the local monotonic clock and jumps to the latest time received. Clocks of
//! different nodes need not agree: a timestamp is part of the placement that it orders, so all
//! nodes order two placements alike.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Latest time that is accepted from other nodes: a faulty node must not exhaust the range.
const MAX_ACCEPTED_SECONDS: u32 = 0xf000_0000;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// When a session was first placed, and by which node; totally ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp {
    /// Time of the hybrid clock, in seconds.
    pub seconds: u32,
    /// Digest of the node's name, which orders placements of the same second.
    pub node: u16,
}

/// A node's hybrid logical clock.
#[derive(Clone, Copy, Debug)]
pub struct HybridClock {
    base_seconds: u32,
    base_at: Micros,
}

impl HybridClock {
    /// Creates a clock that starts at `seconds`, usually the machine's Unix time.
    pub fn new(seconds: u32, now: Micros) -> HybridClock {
        HybridClock {
            base_seconds: seconds.min(MAX_ACCEPTED_SECONDS),
            base_at: now,
        }
    }

    /// Returns the time in seconds.
    pub fn read(&self, now: Micros) -> u32 {
        let elapsed = (now - self.base_at).max(0) / MICROS_PER_SECOND;
        let elapsed = u32::try_from(elapsed).unwrap_or(u32::MAX);
        self.base_seconds.saturating_add(elapsed)
    }

    /// Advances the clock to a time received from another node, if that is later.
    pub fn observe(&mut self, now: Micros, seconds: u32) {
        if seconds <= MAX_ACCEPTED_SECONDS && seconds > self.read(now) {
            (self.base_seconds, self.base_at) = (seconds, now);
        }
    }
}
