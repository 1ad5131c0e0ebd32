//! Replicated record of a member, and the merge of two records of one name. Records of one name
//! form a join semilattice (a state-based CRDT; Shapiro et al. 2011): updates may arrive in any
//! order, repeatedly or late, and members that received the same updates hold the same record.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::cmp::Ordering;
use std::hash::Hasher;
use std::net::SocketAddr;

/// Maximum length of the name of a member, zone or fleet, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of the payload of a record, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64;
/// Maximum number of rivals in a record.
pub const MAX_RIVALS: usize = 4;

/// Key of the digest function; it must be the same in all builds.
const DIGEST_KEY: (u64, u64) = (0x7069_7069_746c_6576, 0x6572_666c_6565_7431);

/// State of a member. Within one incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The member acknowledges probes.
    Alive,
    /// A probe of the member failed, and the member has not refuted the suspicion yet.
    Suspect,
    /// The suspicion timed out.
    Down,
    /// The member announced that it leaves.
    Left,
}

impl State {
    /// Returns whether the member is probed and receives gossip.
    pub fn is_active(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Returns the name of the state in logs and on the control endpoint.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "down",
            State::Left => "left",
        }
    }
}

/// State of the service on a node, as the node announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceState {
    /// The processor is not connected yet.
    Starting,
    /// The node admits requests.
    Serving,
    /// The node rejects requests of low priority, or all requests.
    Overloaded,
    /// An operator switched the node to standby.
    Standby,
    /// The node shuts down gracefully.
    Draining,
}

impl ServiceState {
    /// Returns the name of the state on the control endpoint.
    pub fn as_str(self) -> &'static str {
        match self {
            ServiceState::Starting => "starting",
            ServiceState::Serving => "serving",
            ServiceState::Overloaded => "overloaded",
            ServiceState::Standby => "standby",
            ServiceState::Draining => "draining",
        }
    }
}

/// Another live process that uses the same member name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rival {
    /// Random identifier of the process.
    pub token: u64,
    /// Address at which the process receives datagrams and connections.
    pub address: SocketAddr,
}

/// Part of a record that only the member itself writes. Of two versions the one with the higher
/// revision is the newer one; the derived order compares the revision first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Details {
    /// Number of changes that the process has made.
    pub revision: u64,
    /// Address at which the member receives datagrams and connections.
    pub address: SocketAddr,
    /// Availability zone; may be empty.
    pub zone: String,
    /// State of the member's service.
    pub service_state: ServiceState,
    /// Opaque data of layers above membership, such as the active configuration version.
    pub payload: Vec<u8>,
    /// Other live processes that use the same name.
    pub rivals: Vec<Rival>,
}

/// Announcement of a member's load.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LoadReading {
    /// Number of the reading; later readings have higher numbers.
    pub sequence: u32,
    /// Priority below which the member rejects requests, in 255ths.
    pub priority_cutoff: u8,
}

/// Replicated record of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Incarnation number; the member raises it to refute a suspicion and to override the record
    /// of an earlier process.
    pub incarnation: u64,
    /// Random identifier of the process; it orders two processes with one name and incarnation.
    pub token: u64,
    /// State of the member.
    pub state: State,
    /// Part of the record that only the member itself writes.
    pub details: Details,
    /// Latest load reading. It changes often and is not covered by the digest.
    pub load: LoadReading,
}

impl Record {
    /// Merges another record of the same member into this one, and returns whether that changed
    /// it. The higher incarnation wins. Within one incarnation the later [`State`] wins, since
    /// only the member itself can return to an earlier one, with a higher incarnation.
    pub fn merge(&mut self, other: &Record) -> bool {
        match (other.incarnation, other.token).cmp(&(self.incarnation, self.token)) {
            Ordering::Less => false,
            Ordering::Greater => {
                *self = other.clone();
                true
            }
            Ordering::Equal => self.merge_same_incarnation(other),
        }
    }

    fn merge_same_incarnation(&mut self, other: &Record) -> bool {
        let mut is_changed = false;
        if other.state > self.state {
            (self.state, is_changed) = (other.state, true);
        }
        if other.details > self.details {
            (self.details, is_changed) = (other.details.clone(), true);
        }
        if other.load > self.load {
            (self.load, is_changed) = (other.load, true);
        }
        is_changed
    }

    /// Returns whether the record respects the limits on records received from others.
    pub fn is_valid(&self) -> bool {
        let details = &self.details;
        // Half of the range stays free, so that any accepted number can still be exceeded.
        self.incarnation < u64::MAX / 2
            && details.revision < u64::MAX / 2
            && details.zone.len() <= MAX_NAME_BYTES
            && details.payload.len() <= MAX_PAYLOAD_BYTES
            && details.rivals.len() <= MAX_RIVALS
            && details.address.port() != 0
    }

    /// Returns the digest of the record under its name, without the load.
    pub fn content_hash(&self, name: &str) -> u64 {
        let content = (
            name,
            self.incarnation,
            self.token,
            self.state,
            &self.details,
        );
        digest(&postcard::to_allocvec(&content).unwrap_or_default())
    }
}

/// Returns a keyed SipHash-1-3 digest. It is the same on all machines and in all builds, since
/// processes compare digests with each other.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(DIGEST_KEY.0, DIGEST_KEY.1);
    hasher.write(bytes);
    hasher.finish()
}
