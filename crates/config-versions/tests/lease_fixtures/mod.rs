//! Messages and versions that the lease tests share.

use pipitlever_config_versions::lease::ClockReading;
use pipitlever_config_versions::message::{DiskStamp, Heartbeat, Message};
use pipitlever_config_versions::version::Version;

/// The names of the acceptors.
pub const ACCEPTORS: [&str; 3] = ["a", "b", "c"];
/// The version that is retired, and active until then.
pub const OLD: u64 = 1;

/// Returns the newest version, which replaces the old one.
pub fn newest() -> Version {
    let acceptors: Vec<String> = ACCEPTORS.iter().map(ToString::to_string).collect();
    Version {
        number: OLD + 1,
        proposer: "a".into(),
        ..Version::genesis(&acceptors)
    }
}

pub fn heartbeat(acceptor: usize, clock: i64, minimum_version: u64) -> Heartbeat {
    Heartbeat {
        acceptor: ACCEPTORS[acceptor].into(),
        incarnation: 1,
        clock,
        minimum_version,
        acceptors_since: 0,
    }
}

pub fn reading(remote: i64, requested_at: i64) -> ClockReading {
    ClockReading {
        incarnation: 1,
        remote,
        requested_at,
    }
}

/// Returns the acknowledgement of a retirement.
pub fn retired(minimum_version: u64) -> Message {
    Message::Retired {
        minimum_version,
        pending: None,
        disk: DiskStamp::default(),
    }
}

/// A clock response in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockResponse {
    pub acceptor: usize,
    pub requested_at: i64,
    pub clock: i64,
}
