//! Stand-ins for the parties of a node: a processor and clients, and the verification of what the
//! clients received against what the processors ran.

mod client;
mod processor;
mod verification;

pub use client::{Client, ClientLog, RequestOutcome, SentRequest};
pub use processor::Processor;
pub use verification::{verify, OutcomeCounts, Violation};

use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock, in milliseconds.
pub(crate) fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
