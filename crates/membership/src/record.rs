//! What is said of a member, and how two pieces of news about one are joined. The records of one
//! name are a join semilattice: news may come in any order, twice or late, and all who have heard
//! the same hold the same.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::net::SocketAddr;

/// The longest name of a member or zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The longest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64;
/// The most other processes of one name that are named.
pub const MAX_RIVALS: usize = 4;

/// How a member is, in rising order within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// Somebody had no answer of it, and it has not yet said otherwise.
    Suspect,
    /// It has not said otherwise in time.
    Down,
    /// It said that it leaves.
    Left,
}

impl State {
    /// Whether it takes part: it is probed, and is told news.
    pub fn is_active(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// What it is called in the log and on the door.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "down",
            State::Left => "left",
        }
    }
}

/// What a member says of its own service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceState {
    /// Its processor is not up yet.
    Starting,
    /// It takes work.
    Serving,
    /// It refuses work of low rank, or all.
    Overloaded,
    /// An operator had it stand by.
    Standby,
    /// It is on its way out.
    Draining,
}

impl ServiceState {
    /// What it is called on the door.
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

/// Another living process of the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rival {
    /// Stands for the process.
    pub token: u64,
    /// Where it is.
    pub address: SocketAddr,
}

/// What a member says of itself. Who has a later revision of it has the newer one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Details {
    /// Counts what the process has said.
    pub revision: u64,
    /// Where it hears datagrams and connections of the fleet.
    pub address: SocketAddr,
    /// Where it stands, for those who spread over zones; may be empty.
    pub zone: String,
    /// How its service is.
    pub service_state: ServiceState,
    /// For later parts, such as the version that it acts on.
    pub payload: Vec<u8>,
    /// Living processes that go by the same name.
    pub rivals: Vec<Rival>,
}

/// News about a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Higher with each start of its process, and with each time that it had to say that it lives.
    pub incarnation: u64,
    /// Stands for the process: two of one name have two.
    pub token: u64,
    /// How it is.
    pub state: State,
    /// What it says of itself.
    pub details: Details,
    /// The rank below which it refuses, in 255ths, and the number of that reading. It changes all
    /// the time: no part of the digest.
    pub load: (u32, u8),
}

impl Record {
    /// Takes in what else is said of the same member; whether that brought anything new. The one of
    /// the higher incarnation holds; within one the worse state does, as only the member itself can
    /// better it, by a higher incarnation.
    pub fn merge(&mut self, other: &Record) -> bool {
        match (other.incarnation, other.token).cmp(&(self.incarnation, self.token)) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Greater => {
                *self = other.clone();
                true
            }
            std::cmp::Ordering::Equal => {
                let mut new = false;
                if other.state > self.state {
                    (self.state, new) = (other.state, true);
                }
                if other.details > self.details {
                    (self.details, new) = (other.details.clone(), true);
                }
                if other.load > self.load {
                    (self.load, new) = (other.load, true);
                }
                new
            }
        }
    }

    /// Whether one may hold it: what a stranger sends is bounded.
    pub fn is_valid(&self) -> bool {
        let d = &self.details;
        self.incarnation < u64::MAX / 2
            && d.revision < u64::MAX / 2
            && d.zone.len() <= MAX_NAME_BYTES
            && d.payload.len() <= MAX_PAYLOAD_BYTES
            && d.rivals.len() <= MAX_RIVALS
            && d.address.port() != 0
    }

    /// Stands for the record under its name; the load is no part of it.
    pub fn content_hash(&self, name: &str) -> u64 {
        let held = (
            name,
            self.incarnation,
            self.token,
            self.state,
            &self.details,
        );
        // A string of bytes that means the same in each process, whatever the compiler or the
        // machine.
        digest(&postcard::to_allocvec(&held).unwrap_or_default())
    }
}

/// The same in all builds: it is compared between processes.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7069_7069_746c_6576, 0x6572_666c_6565_7431);
    hasher.write(bytes);
    hasher.finish()
}
