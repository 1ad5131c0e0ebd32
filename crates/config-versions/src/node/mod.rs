//! The state machine of one node: learns versions, fetches their contents, acts on one version
//! while that is permitted, and votes if the node is an acceptor.
//!
//! Callers pass in messages and gossip, call [`Node::handle_timeout`] when
//! [`Node::next_wakeup`] is reached, and then carry out [`Node::take_write`],
//! [`Node::next_chunk_request`], [`Node::take_outgoing`], [`Node::version_to_activate`] and
//! [`Node::take_events`].

use crate::acceptor::{Acceptor, AcceptorState};
use crate::lease::{ClockDrift, Leases};
use crate::message::{Message, Outgoing};
use crate::minimum_version::MinimumVersion;
use crate::proposer::Proposer;
use crate::retirement::Retirement;
use crate::version::Version;
use crate::Micros;
use fastrand::Rng;
use std::collections::{BTreeMap, VecDeque};

mod activation;
mod contents;
mod error;
mod event;
mod messages;
mod operator;
mod persistence;
mod settings;
mod timers;

pub use activation::{Permission, RejectedVersion, VersionWithContent};
pub use contents::{Chunk, ChunkRequest, MAX_CHUNK_BYTES};
pub use error::{ProposeError, RetireError};
pub use event::Event;
pub use operator::Proposal;
pub use persistence::StateWrite;
pub use settings::{Settings, WithoutLease};

use contents::ContentStore;
use persistence::WriteBarrier;
use timers::Timers;

/// The maximum number of events that are retained until the caller takes them.
const MAX_EVENTS: usize = 1024;

/// The node's role in decisions, with the state on its disk.
#[derive(Clone, Debug)]
pub enum Role {
    /// The node has no disk for votes and only learns decided versions.
    Learner,
    /// The node is an acceptor with this state on its disk; `None` if the disk is empty.
    Acceptor(Option<Box<AcceptorState>>),
}

impl Role {
    fn start_acceptor(self, name: &str, settings: &Settings, disk_id: u64) -> Option<Acceptor> {
        match self {
            Role::Learner => None,
            Role::Acceptor(stored) => {
                let stored = stored.map(|state| *state);
                Some(Acceptor::start(name, stored, &settings.acceptors, disk_id))
            }
        }
    }
}

/// The stored state from which a node starts.
#[derive(Clone, Debug)]
pub struct StoredState {
    /// The node's role.
    pub role: Role,
    /// The version that was active last, if any.
    pub active: Option<VersionWithContent>,
    /// The minimum version on the disk.
    pub minimum_version: u64,
}

/// The state of one node.
pub struct Node {
    name: String,
    settings: Settings,
    drift: ClockDrift,
    rng: Rng,
    /// The newest version known to be decided.
    newest: Version,
    /// The newest version that each acceptor claims to be decided, until a quorum confirms it.
    claims: BTreeMap<String, Version>,
    /// The number of the active version.
    active_version: u64,
    /// The version that could not be activated.
    rejected_version: Option<RejectedVersion>,
    minimum_version: MinimumVersion,
    leases: Leases,
    /// Whether the last event about a lease was [`Event::LeaseAcquired`].
    has_lease: bool,
    contents: ContentStore,
    acceptor: Option<Acceptor>,
    writes: WriteBarrier,
    proposer: Option<Proposer>,
    retirement: Option<Retirement>,
    timers: Timers,
    outgoing: Vec<Outgoing>,
    events: VecDeque<Event>,
}

impl Node {
    /// Starts a node from its stored state and a random seed.
    pub fn new(
        name: &str,
        settings: Settings,
        stored: StoredState,
        seed: u64,
        now: Micros,
    ) -> Node {
        let mut rng = Rng::with_seed(seed);
        let (disk_id, nonce) = (rng.u64(1..), rng.u64(1..));
        let acceptor = stored.role.start_acceptor(name, &settings, disk_id);
        let mut newest = match &acceptor {
            Some(acceptor) => acceptor.state().newest.clone(),
            None => Version::genesis(&settings.acceptors),
        };
        let mut contents = ContentStore::default();
        let mut active_version = 0;
        if let Some(VersionWithContent { version, content }) = stored.active {
            active_version = version.number;
            contents.insert(version.digest, content);
            if version.number > newest.number {
                newest = version;
            }
        }
        Node {
            name: name.to_owned(),
            settings,
            drift: ClockDrift::default(),
            rng,
            newest,
            claims: BTreeMap::new(),
            active_version,
            rejected_version: None,
            minimum_version: MinimumVersion::new(stored.minimum_version.max(active_version), nonce),
            leases: Leases::default(),
            has_lease: false,
            contents,
            acceptor,
            writes: WriteBarrier::default(),
            proposer: None,
            retirement: None,
            timers: Timers::new(now),
            outgoing: Vec::new(),
            events: VecDeque::new(),
        }
    }

    /// Resumes after another process has run as this member for a while and has exited.
    ///
    /// The votes of that process and the version it acted on are on the disk, so this process
    /// restarts from the disk. Its active version remains the one that it acted on before.
    pub fn resume(&mut self, now: Micros, role: Role, minimum_version: u64) {
        let disk_id = self.rng.u64(1..);
        self.acceptor = role.start_acceptor(&self.name, &self.settings, disk_id);
        self.writes = WriteBarrier::default();
        self.proposer = None;
        self.retirement = None;
        self.timers.restart(now);
        self.outgoing.clear();
        let number = self.minimum_version.number().max(minimum_version);
        self.minimum_version = MinimumVersion::new(number, self.rng.u64(1..));
        if let Some(acceptor) = &self.acceptor {
            let newest = acceptor.state().newest.clone();
            self.learn_own(now, &newest);
        }
    }

    /// Returns the newest version known to be decided.
    pub fn newest(&self) -> &Version {
        &self.newest
    }

    /// Returns the number of the active version.
    pub fn active_version(&self) -> u64 {
        self.active_version
    }

    /// Returns the version that could not be activated, if any.
    pub fn rejected_version(&self) -> Option<&RejectedVersion> {
        self.rejected_version.as_ref()
    }

    /// Returns what is known of the node's minimum version.
    pub fn minimum_version(&self) -> &MinimumVersion {
        &self.minimum_version
    }

    /// Returns the acceptor, if this node is one.
    pub fn acceptor(&self) -> Option<&Acceptor> {
        self.acceptor.as_ref()
    }

    /// Takes the messages to send. The caller drops those to names that are not members.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    fn emit(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    fn send(&mut self, recipient: &str, message: Message) {
        self.outgoing.push(Outgoing {
            recipient: recipient.to_owned(),
            message,
        });
    }
}
