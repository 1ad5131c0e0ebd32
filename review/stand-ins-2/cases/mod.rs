//! The cases, one module each.

mod longer_window;
mod lost_class;
mod moved_route;
mod removed_class;
mod second_restart;

use crate::{Case, Verdict};

/// Plays the case of this name.
pub fn play(name: &str, case: &Case) -> Verdict {
    match name {
        "longer-window" => longer_window::play(case),
        "second-restart" => second_restart::play(case),
        "moved-route" => moved_route::play(case),
        "lost-class" => lost_class::play(case),
        "removed-class" => removed_class::play(case),
        _ => Verdict::CouldNotRun(format!("no case {name}")),
    }
}
