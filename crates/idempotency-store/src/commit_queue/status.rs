//! Whether keyed requests are accepted, and the state of the writer.

use super::config::{MAX_RETRY_PAUSE, MIN_RETRY_PAUSE, SYNC_TIMEOUT};
use crate::Micros;
use std::fmt;
use std::io;

const MICROS_PER_MILLISECOND: Micros = 1000;

/// Why keyed requests are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// Damage in the log may hide a key that has run.
    Damaged,
    /// The last batch failed.
    Failing,
    /// The writer has not completed a batch within [`SYNC_TIMEOUT`].
    Slow,
    /// One more run would not fit into the log.
    Full,
}

/// A change between acceptance and rejection of keyed requests. `Display` renders the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// Keyed requests are accepted again.
    Accepting,
    /// Rejected for [`RejectionReason::Damaged`].
    Damaged,
    /// Rejected for [`RejectionReason::Failing`].
    Failing {
        /// Error of the failed batch.
        error: String,
    },
    /// Rejected for [`RejectionReason::Slow`].
    Slow,
    /// Rejected for [`RejectionReason::Full`].
    Full {
        /// Size of the log, in bytes.
        used_bytes: u64,
        /// Upper bound of the size, in bytes.
        capacity: u64,
    },
}

impl fmt::Display for StatusChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let StatusChange::Accepting = self {
            return write!(f, "store: keyed requests accepted");
        }
        write!(f, "store: keyed requests rejected reason=")?;
        match self {
            StatusChange::Accepting => Ok(()),
            StatusChange::Damaged => write!(f, "damaged"),
            StatusChange::Failing { error } => write!(f, "failing error=\"{error}\""),
            StatusChange::Slow => {
                let timeout_ms = SYNC_TIMEOUT / MICROS_PER_MILLISECOND;
                write!(f, "slow sync_timeout_ms={timeout_ms}")
            }
            StatusChange::Full {
                used_bytes,
                capacity,
            } => write!(f, "full used={used_bytes} capacity={capacity}"),
        }
    }
}

/// State of the writer, derived from the results of its batches.
#[derive(Debug)]
pub(super) struct WriterStatus {
    /// The error of the last batch, if it failed.
    pub(super) failure: Option<String>,
    /// Whether the batch in flight has exceeded [`SYNC_TIMEOUT`].
    pub(super) is_slow: bool,
    /// No batch is written before this time.
    pub(super) not_before: Micros,
    /// Pause after the next failure, in microseconds.
    retry_pause: Micros,
}

impl Default for WriterStatus {
    fn default() -> WriterStatus {
        WriterStatus {
            failure: None,
            is_slow: false,
            not_before: Micros::MIN,
            retry_pause: MIN_RETRY_PAUSE,
        }
    }
}

impl WriterStatus {
    pub(super) fn record_success(&mut self) {
        self.failure = None;
        self.is_slow = false;
        self.retry_pause = MIN_RETRY_PAUSE;
    }

    pub(super) fn record_failure(&mut self, now: Micros, error: &io::Error) {
        self.failure = Some(error.to_string());
        self.not_before = now + self.retry_pause;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }
}
