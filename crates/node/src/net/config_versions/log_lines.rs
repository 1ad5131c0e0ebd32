//! Log lines of config versions.

use pipitlever_config_versions::node::{Event, Permission};
use pipitlever_config_versions::proposer::Outcome;
use pipitlever_config_versions::version::Version;

/// The log line of a permission: whether requests are served, and the reason if they are not.
pub fn permission(permission: Permission) -> &'static str {
    match permission {
        Permission::Granted { .. } => "serving",
        Permission::Retired => "refusing: the active version is retired",
        Permission::LeaseExpired => "refusing: the lease has expired",
        Permission::MinimumUnknown => {
            "refusing: no quorum of acceptors has answered yet, so the minimum version is unknown"
        }
        Permission::BelowMinimum => "refusing: the active version is below the minimum version",
    }
}

/// The log line of an event.
pub fn event(event: &Event) -> String {
    match event {
        Event::Learned { number, sender } => {
            format!("learned of a decided version number={number} sender={sender}")
        }
        Event::Fetched { number, sender } => {
            format!("fetched the content number={number} sender={sender}")
        }
        Event::Activated { number } => format!("activated number={number}"),
        Event::ActivationRejected { number, reason } => {
            format!("could not activate number={number} reason={reason}")
        }
        Event::LeaseAcquired { number } => format!("acquired the lease number={number}"),
        Event::LeaseExpired { number } => format!("the lease expired number={number}"),
        Event::DiskMismatch => {
            "the acceptor's disk was replaced or restored from a backup: it no longer votes".into()
        }
        Event::ProposalFinished(outcome) => proposal_outcome(outcome),
        Event::Retired { minimum_version } => {
            format!("retired all versions below minimum_version={minimum_version}")
        }
        Event::MinimumVersionKnown { minimum_version } => {
            format!("the minimum version is known minimum_version={minimum_version}")
        }
    }
}

fn proposal_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Decided(Version { number, .. }) => format!("published number={number}"),
        Outcome::OtherDecided(Version {
            number, proposer, ..
        }) => format!(
            "not published, another version was decided number={number} proposer={proposer}"
        ),
        Outcome::Undecided { accepted_by } => format!(
            "not published, no quorum answered in time accepted_by={}",
            accepted_by.join(",")
        ),
    }
}
