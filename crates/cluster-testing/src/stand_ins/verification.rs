//! Verification of what clients received against what processors ran.

use super::{ClientLog, Processor, RequestOutcome};
use std::collections::BTreeMap;

/// The number of requests of each outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Served requests.
    pub served: usize,
    /// Rejected requests.
    pub rejected: usize,
    /// Failed requests.
    pub failed: usize,
    /// Requests whose connection ended.
    pub connection_lost: usize,
}

/// A violation of the guarantees for a request. Each has the request's body as text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A request ran several times.
    #[error("{body}: ran {run_count} times")]
    RanSeveralTimes {
        /// The request's body.
        body: String,
        /// The number of runs.
        run_count: usize,
    },
    /// A request was served, and no processor ran it.
    #[error("{0}: served without a run")]
    ServedWithoutRun(String),
    /// A request was rejected, and a processor ran it.
    #[error("{0}: rejected in spite of a run")]
    RejectedAfterRun(String),
    /// A request got a response that the protocol does not allow.
    #[error("{0}: invalid response")]
    InvalidResponse(String),
}

/// Verifies that no request ran twice, that served requests ran, and that rejected ones did not.
///
/// # Errors
///
/// The first violation.
pub fn verify(logs: &[ClientLog], processors: &[&Processor]) -> Result<OutcomeCounts, Violation> {
    let run_counts = total_run_counts(processors);
    let mut counts = OutcomeCounts::default();
    for request in logs.iter().flat_map(|log| &log.requests) {
        let run_count = run_counts.get(&request.body).copied().unwrap_or(0);
        let body = || String::from_utf8_lossy(&request.body).into_owned();
        if run_count > 1 {
            return Err(Violation::RanSeveralTimes {
                body: body(),
                run_count,
            });
        }
        match request.outcome {
            RequestOutcome::Served if run_count == 0 => {
                return Err(Violation::ServedWithoutRun(body()));
            }
            RequestOutcome::Rejected if run_count > 0 => {
                return Err(Violation::RejectedAfterRun(body()));
            }
            RequestOutcome::Invalid => return Err(Violation::InvalidResponse(body())),
            RequestOutcome::Served => counts.served += 1,
            RequestOutcome::Rejected => counts.rejected += 1,
            RequestOutcome::Failed => counts.failed += 1,
            RequestOutcome::ConnectionLost => counts.connection_lost += 1,
        }
    }
    Ok(counts)
}

fn total_run_counts(processors: &[&Processor]) -> BTreeMap<Vec<u8>, usize> {
    let mut total: BTreeMap<Vec<u8>, usize> = BTreeMap::new();
    for processor in processors {
        for (body, run_count) in processor.run_counts() {
            *total.entry(body).or_default() += run_count;
        }
    }
    total
}
