//! The node's part in the fleet's versions: what `pipitlever-versions` decides, by datagrams of the
//! fleet, a thread for the disk, and a word to the core on whether anything may be done at all.
//! Only with `[fleet.versions]`.

pub mod disk;

use crate::log::log;
use crate::net::event_loop::SharedState;
use async_channel::{Receiver, Sender};
use disk::{DiskWrite, DiskWriteResult};
use pipitlever_config_versions::envelope::Envelope;
use pipitlever_config_versions::message::{GossipPayload, Message};
use pipitlever_config_versions::minimum_version::{StoredVersion, UnknownMinimum};
use pipitlever_config_versions::node::{
    self, Chunk, Event, Node, Permission, Proposal, Role, StoredState, VersionWithContent,
    WithoutLease,
};
use pipitlever_config_versions::proposer::Outcome;
use pipitlever_config_versions::version::Version;
use pipitlever_membership::{ApplicationMessage, Membership, ReceivedMessage};
use serde::Deserialize;
use serde_json::{json, value::RawValue, Value};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;

/// What the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this node's files are. Each node has its own.
    pub folder: PathBuf,
    /// What is decided by.
    pub rules: node::Settings,
}

/// A version that is to be acted on: its number and content.
pub type Act = (u64, Rc<[u8]>);

/// The part.
pub struct VersionsDriver {
    node: RefCell<Node>,
    jobs: Sender<DiskWrite>,
    folder: PathBuf,
    elector: bool,
    acts: Option<Sender<Act>>,
    /// The version that the acting loop has in its hands.
    offered: Cell<u64>,
    /// What may be done, as it was last told to the core.
    told: Cell<Option<Permission>>,
    state: SharedState,
}

/// What a publisher sends to the door.
#[derive(Deserialize)]
struct Published<'a> {
    base: u64,
    why: String,
    #[serde(borrow)]
    content: &'a RawValue,
}

impl VersionsDriver {
    /// Begins, with what the disk holds. What is to be acted on goes out by the channel, whose
    /// other end acts and says so.
    pub fn begin(
        state: SharedState,
        name: &str,
        settings: &Settings,
        saved: Option<StoredVersion>,
        acts: Option<Sender<Act>>,
        seed: u64,
        now: i64,
    ) -> Result<(VersionsDriver, Receiver<DiskWriteResult>), String> {
        let (jobs, done) = disk::start(settings.folder.clone())?;
        let elector = settings.rules.acceptors.iter().any(|e| e == name);
        let role = if elector {
            Role::Acceptor(disk::load(&settings.folder, disk::ACCEPTOR_FILE)?)
        } else {
            Role::Learner
        };
        let saved = saved.unwrap_or_default();
        let content = saved.content.into();
        let stored = StoredState {
            role,
            active: saved
                .version
                .map(|version| VersionWithContent { version, content }),
            minimum_version: saved.minimum_version,
        };
        let node = Node::new(name, settings.rules.clone(), stored, seed, now);
        log(&format!(
            "versions: started active_version={} minimum_version={} acceptor={elector}",
            node.active_version(),
            node.minimum_version().number()
        ));
        let (offered, told) = (Cell::new(node.active_version()), Cell::new(None));
        let (node, folder) = (RefCell::new(node), settings.folder.clone());
        let versions = VersionsDriver {
            node,
            jobs,
            folder,
            elector,
            acts,
            offered,
            told,
            state,
        };
        Ok((versions, done))
    }

    /// Takes in what members have said, does what is due, and says what comes of it.
    pub fn turn(&self, fleet: &mut Membership, now: i64, heard: Vec<ReceivedMessage>) {
        let mut node = self.node.borrow_mut();
        for ReceivedMessage {
            sender: from,
            content,
        } in heard
        {
            match content {
                ApplicationMessage::Piggyback(bytes) => {
                    if let Some(gossip) = GossipPayload::decode(&bytes) {
                        node.handle_gossip(now, &gossip);
                    }
                }
                ApplicationMessage::Direct(bytes) => match Envelope::decode(&bytes) {
                    Some(Envelope::Register(bytes)) => {
                        if let Some(message) = Message::decode(&bytes) {
                            node.handle_message(now, &from, &message);
                        }
                    }
                    Some(Envelope::ChunkRequest { digest, offset }) => {
                        let chunk = node.content_chunk(digest, offset as usize);
                        let reply = Envelope::Chunk {
                            digest,
                            offset,
                            content_length: chunk.as_ref().map(|c| c.content_length as u32),
                            bytes: chunk.map_or(Vec::new(), |c| c.bytes),
                        };
                        fleet.send_application_message(&from, reply.encode());
                    }
                    Some(Envelope::Chunk {
                        digest,
                        offset,
                        content_length,
                        bytes,
                    }) => {
                        let chunk = content_length.map(|length| Chunk {
                            bytes,
                            content_length: length as usize,
                        });
                        node.handle_chunk(now, &from, digest, offset as usize, chunk);
                    }
                    None => {}
                },
            }
        }
        let mut spread = node.next_wakeup() <= now && node.handle_timeout(now);
        if let Some(write) = node.take_write() {
            // A thread that has ended writes nothing, and nothing that rests on it is ever said.
            let _ = self
                .jobs
                .try_send(DiskWrite::Acceptor(Box::new(write.state), write.number));
        }
        // Not put together each time: a content is wanted now and then.
        if node.is_fetching() {
            let there = fleet
                .members()
                .iter()
                .filter(|(_, m)| m.record.state.is_active());
            let others: Vec<&str> = there
                .map(|(name, _)| name)
                .filter(|name| *name != fleet.local_name())
                .collect();
            if let Some(request) = node.next_chunk_request(now, &others) {
                let envelope = Envelope::ChunkRequest {
                    digest: request.digest,
                    offset: request.offset as u32,
                };
                fleet.send_application_message(&request.recipient, envelope.encode());
            }
        }
        for outgoing in node.take_outgoing() {
            let envelope = Envelope::register(&outgoing.message);
            fleet.send_application_message(&outgoing.recipient, envelope.encode());
        }
        if let Some(VersionWithContent { version, content }) = node
            .version_to_activate()
            .filter(|v| v.version.number > self.offered.get())
        {
            if node.minimum_version().allows(version.number) {
                self.offered.set(version.number);
                self.acts
                    .iter()
                    .for_each(|acts| drop(acts.try_send((version.number, content.clone()))));
            }
        }
        for event in node.take_events() {
            spread |= matches!(event, Event::Learned { .. });
            log(&format!("versions: {}", line(&event)));
        }
        fleet.set_piggyback(node.gossip().encode());
        if spread {
            fleet.gossip_piggyback(now);
        }
        let may = node.permission(now);
        drop(node);
        self.tell(may);
    }

    /// Tells the core what may be done, and until when: it looks at the time itself, at each
    /// request.
    fn tell(&self, may: Permission) {
        if self.told.replace(Some(may)) == Some(may) {
            return;
        }
        let serves = self.node.borrow().serves_without_lease();
        // A turn may come from within the state's own; the next one is soon.
        let Ok(mut state) = self.state.try_borrow_mut() else {
            return self.told.set(None);
        };
        let until = match may {
            Permission::Granted { .. } if serves => Some(i64::MAX),
            Permission::Granted { until } => Some(until),
            _ => None,
        };
        if state.core.set_configuration_expiry(until) {
            log(&format!(
                "versions: {}",
                if until.is_some() { "serving" } else { why(may) }
            ));
        }
    }

    /// When it wants to be woken.
    pub fn due(&self) -> i64 {
        self.node.borrow().next_wakeup()
    }

    /// What the disk thread has done.
    pub fn done(&self, now: i64, done: DiskWriteResult) -> Option<Result<u64, String>> {
        match done {
            DiskWriteResult::Acceptor(number, result) => {
                let written = result.is_ok();
                let _ = result.inspect_err(|why| {
                    log(&format!(
                        "versions: could not write the acceptor's state: {why}"
                    ))
                });
                self.node.borrow_mut().write_finished(now, number, written);
                None
            }
            DiskWriteResult::Active(result) => Some(result),
        }
    }

    /// Has it written down that a version is about to be acted on.
    pub fn write(&self, number: u64, content: &[u8]) {
        let node = self.node.borrow();
        let version = Some(node.newest().clone()).filter(|v| v.number == number);
        let minimum_version = node.minimum_version().number().max(number);
        let _ = self.jobs.try_send(DiskWrite::Active(StoredVersion {
            minimum_version,
            version,
            content: content.to_vec(),
        }));
    }

    /// Another process of this node was the member for a while, and is gone: what it has voted and
    /// acted on is on the disk. A disk that can't be read is like a new one: its elector is found
    /// out, and a majority says where to go on.
    pub fn resume(&self, now: i64) {
        let said = |why: String| log(&format!("versions: starting as on a new disk: {why}"));
        let role = if self.elector {
            Role::Acceptor(
                disk::load(&self.folder, disk::ACCEPTOR_FILE)
                    .map_err(said)
                    .ok()
                    .flatten(),
            )
        } else {
            Role::Learner
        };
        let saved: Option<StoredVersion> = disk::load(&self.folder, disk::ACTIVE_FILE)
            .map_err(said)
            .ok()
            .flatten();
        let mut node = self.node.borrow_mut();
        node.resume(now, role, saved.map_or(0, |saved| saved.minimum_version));
        self.offered.set(node.active_version());
        self.told.set(None);
        self.state.borrow_mut().core.set_configuration_expiry(None);
    }

    /// A version was taken as a whole, or can't be.
    pub fn activation_finished(&self, number: u64, result: Result<(), String>) {
        let mut node = self.node.borrow_mut();
        match result {
            Ok(()) => node.version_activated(number),
            Err(reason) => node.version_rejected(number, reason),
        }
    }

    /// The process before this one acted on this version.
    pub fn handed(&self, number: u64) {
        self.node.borrow_mut().inherit_version(number);
    }

    /// The version that is acted on.
    pub fn acting(&self) -> u64 {
        self.node.borrow().active_version()
    }

    /// Begins to publish what an operator sent: what is said to that, and whether it is a yes.
    pub fn publish(&self, now: i64, unix_ms: u64, body: &[u8]) -> (bool, String) {
        let published: Published = match serde_json::from_slice(body) {
            Ok(published) => published,
            Err(e) => return (false, format!("no publication: {e}\n")),
        };
        let Published { base, why, content } = published;
        let content = content.get().as_bytes().to_vec();
        let proposal = Proposal {
            base,
            content,
            acceptors: None,
            reverts: None,
            proposed_at_ms: unix_ms,
            reason: why,
        };
        match self.node.borrow_mut().propose(now, proposal) {
            Ok(number) => (true, format!("publishing {number}\n")),
            Err(error) => (false, format!("{error}\n")),
        }
    }

    /// Begins to close all versions below one.
    pub fn close(&self, now: i64, floor: u64) -> (bool, String) {
        match self.node.borrow_mut().retire_below(now, floor) {
            Ok(()) => (true, format!("retiring all versions below {floor}\n")),
            Err(error) => (false, format!("{error}\n")),
        }
    }

    /// An operator says what the floor is.
    pub fn accept_floor(&self, number: u64) -> (bool, String) {
        self.node.borrow_mut().set_minimum_version(number);
        (true, format!("the minimum version is {number}\n"))
    }

    /// Until when a majority of electors is known to have been heard.
    pub fn leased_until(&self) -> i64 {
        self.node.borrow().lease_expires_at().unwrap_or(i64::MIN)
    }

    /// How it stands, for the door.
    pub fn view(&self, now: i64) -> Value {
        let node = self.node.borrow();
        let may = node.permission(now);
        let lease_ms = node
            .lease_expires_at()
            .map(|until| (until - now).max(0) / 1000);
        json!({
            "acting": node.active_version(), "decided": node.newest().number, "floor": node.minimum_version().number(),
            "floor_known": node.minimum_version().is_known(), "may_act": matches!(may, Permission::Granted { .. }),
            "why": if matches!(may, Permission::Granted { .. }) { "" } else { why(may) },
            "lease_ms": lease_ms, "unfit": node.rejected_version().map(|v| format!("{}: {}", v.number, v.reason)),
        })
    }
}

fn why(may: Permission) -> &'static str {
    match may {
        Permission::Granted { .. } => "serving",
        Permission::Retired => "refusing: the active version is retired",
        Permission::LeaseExpired => "refusing: the lease has expired",
        Permission::MinimumUnknown => {
            "refusing: no quorum of acceptors has answered yet, so the minimum version is unknown"
        }
        Permission::BelowMinimum => "refusing: the active version is below the minimum version",
    }
}

fn line(event: &Event) -> String {
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
        Event::ProposalFinished(outcome) => outcome_line(outcome),
        Event::Retired { minimum_version } => {
            format!("retired all versions below minimum_version={minimum_version}")
        }
        Event::MinimumVersionKnown { minimum_version } => {
            format!("the minimum version is known minimum_version={minimum_version}")
        }
    }
}

fn outcome_line(outcome: &Outcome) -> String {
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

/// What is usual: leases of ten seconds, and no act that is not known to be right.
pub fn usual(acceptors: Vec<String>) -> node::Settings {
    node::Settings {
        acceptors,
        lease: 10_000_000,
        without_lease: WithoutLease::Serve,
        unknown_minimum: UnknownMinimum::Wait,
    }
}
