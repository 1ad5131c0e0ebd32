//! `replay --diff`: compares the decisions of this build and of the node over a whole capture.
//!
//! After the first difference the recorded events no longer match this build's decisions: the
//! capture contains the end of a request that this build did not start, or lacks the end of a
//! request that this build started. From a request's first difference on, its run and its calls are
//! therefore simulated with their recorded durations, or with those of the nearest run of its class
//! if the capture has none. Arrivals, abandonments, gauges and the shutdown notice are replayed as
//! recorded: neither the retries of gateways nor the effect of concurrency on the durations of runs
//! is simulated.

mod comparison;
mod divergent_replay;
mod profile;
mod report;
mod simulated_runs;

use crate::cursor::{replay_capture, Extent};
use crate::source::ToolError;
use divergent_replay::DivergentReplay;
use profile::RunProfiles;
use std::path::Path;

/// Replays a capture to its end and prints how this build's decisions differ from the recorded
/// ones. Returns whether they are identical.
///
/// # Errors
///
/// If the capture can't be read.
pub fn diff(path: &Path, as_json: bool) -> Result<bool, ToolError> {
    let mut profiles = RunProfiles::default();
    replay_capture(path, Extent::End, &mut profiles)?;
    let mut replay = DivergentReplay::new(&profiles);
    let totals = replay_capture(path, Extent::End, &mut replay)?;
    if as_json {
        report::print_json(&totals, &replay);
    } else {
        report::print_text(&totals, &replay);
    }
    Ok(replay.different_steps == 0)
}
