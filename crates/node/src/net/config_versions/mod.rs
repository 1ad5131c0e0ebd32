//! Driver of config versions: passes messages of the fleet, results of disk writes and the time to
//! `pipitlever-config-versions`, and the permission to serve requests to the core. Runs only with
//! the section `[fleet.versions]`.

mod control;
pub mod disk;
mod log_lines;

use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::supervision::ThreadSentinel;
use async_channel::{Receiver, Sender};
use disk::{DiskError, DiskWrite, DiskWriteResult, DiskWriter};
use pipitlever_config_versions::envelope::Envelope;
use pipitlever_config_versions::message::{GossipPayload, Message};
use pipitlever_config_versions::minimum_version::{StoredVersion, UnknownMinimum};
use pipitlever_config_versions::node::{
    self, Chunk, Event, Node, Permission, Role, StoredState, VersionWithContent, WithoutLease,
};
use pipitlever_membership::{ApplicationMessage, Membership, ReceivedMessage};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;

/// Default length of a lease, in microseconds.
const DEFAULT_LEASE: i64 = 10_000_000;

/// Settings of config versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Folder of this node's files. No other node may use it.
    pub folder: PathBuf,
    /// Acceptors, leases, and the policies without a lease and without a known minimum version.
    pub protocol: node::Settings,
}

/// The default settings of the protocol, with these acceptors.
pub fn default_protocol(acceptors: Vec<String>) -> node::Settings {
    node::Settings {
        acceptors,
        lease: DEFAULT_LEASE,
        without_lease: WithoutLease::Serve,
        unknown_minimum: UnknownMinimum::Wait,
    }
}

/// A decided version that is to be activated.
pub struct DecidedVersion {
    /// Number of the version.
    pub number: u64,
    /// Content of the version.
    pub content: Rc<[u8]>,
}

/// Connects a node's config versions to the fleet, the disk and the core.
pub struct ConfigVersionsDriver {
    node: RefCell<Node>,
    writes: Sender<DiskWrite>,
    folder: PathBuf,
    is_acceptor: bool,
    /// Channel on which decided versions are sent to be activated.
    decided: Option<Sender<DecidedVersion>>,
    /// The newest version that was sent through `decided`.
    last_decided: Cell<u64>,
    /// The permission that was last passed to the core.
    last_permission: Cell<Option<Permission>>,
    state: SharedState,
}

/// A driver that has started, and the results of its disk writes.
pub struct StartedDriver {
    /// The driver.
    pub driver: ConfigVersionsDriver,
    /// Results of the disk writes.
    pub results: Receiver<DiskWriteResult>,
}

/// Parameters of [`ConfigVersionsDriver::start`].
pub struct StartOptions<'a> {
    /// This node's name.
    pub node_name: &'a str,
    /// The settings.
    pub settings: &'a Settings,
    /// The active version on the disk.
    pub stored: Option<StoredVersion>,
    /// Channel on which decided versions are sent to be activated.
    pub decided: Option<Sender<DecidedVersion>>,
    /// Seed of randomized timeouts.
    pub seed: u64,
    /// Reports a panic of the thread that writes to the disk.
    pub sentinel: ThreadSentinel,
}

impl ConfigVersionsDriver {
    /// Starts the driver with the state on the disk.
    pub fn start(
        state: SharedState,
        options: StartOptions<'_>,
        now: i64,
    ) -> Result<StartedDriver, DiskError> {
        let StartOptions {
            node_name,
            settings,
            stored,
            decided,
            seed,
            sentinel,
        } = options;
        let folder = settings.folder.clone();
        let DiskWriter { writes, results } = disk::start(folder.clone(), sentinel)?;
        let is_acceptor = settings
            .protocol
            .acceptors
            .iter()
            .any(|name| name == node_name);
        let role = if is_acceptor {
            Role::Acceptor(disk::load(&folder, disk::ACCEPTOR_FILE)?)
        } else {
            Role::Learner
        };
        let stored = stored.unwrap_or_default();
        let content = stored.content.into();
        let stored_state = StoredState {
            role,
            active: stored
                .version
                .map(|version| VersionWithContent { version, content }),
            minimum_version: stored.minimum_version,
        };
        let node = Node::new(
            node_name,
            settings.protocol.clone(),
            stored_state,
            seed,
            now,
        );
        log(&format!(
            "versions: started active_version={} minimum_version={} acceptor={is_acceptor}",
            node.active_version(),
            node.minimum_version().number()
        ));
        let driver = ConfigVersionsDriver {
            last_decided: Cell::new(node.active_version()),
            last_permission: Cell::new(None),
            node: RefCell::new(node),
            writes,
            folder,
            is_acceptor,
            decided,
            state,
        };
        Ok(StartedDriver { driver, results })
    }

    /// Handles messages of members and timeouts, and executes the resulting actions.
    pub fn update(&self, fleet: &mut Membership, now: i64, messages: Vec<ReceivedMessage>) {
        let mut node = self.node.borrow_mut();
        for message in messages {
            handle_message(&mut node, fleet, now, message);
        }
        let mut gossips_now = node.next_wakeup() <= now && node.handle_timeout(now);
        if let Some(write) = node.take_write() {
            // If the writer thread has ended, the write never finishes, and messages that depend on
            // it are never sent.
            let _ = self
                .writes
                .try_send(DiskWrite::Acceptor(Box::new(write.state), write.number));
        }
        request_chunk(&mut node, fleet, now);
        for outgoing in node.take_outgoing() {
            let envelope = Envelope::protocol_message(&outgoing.message);
            fleet.send_application_message(&outgoing.recipient, envelope.encode());
        }
        self.send_decided(&node);
        for event in node.take_events() {
            gossips_now |= matches!(event, Event::Learned { .. });
            log(&format!("versions: {}", log_lines::event(&event)));
        }
        fleet.set_piggyback(node.gossip().encode());
        if gossips_now {
            fleet.gossip_piggyback(now);
        }
        let permission = node.permission(now);
        drop(node);
        self.update_permission(permission);
    }

    /// Sends a decided version for activation, each version once.
    fn send_decided(&self, node: &Node) {
        let Some(VersionWithContent { version, content }) = node.version_to_activate() else {
            return;
        };
        let number = version.number;
        if number <= self.last_decided.get() || !node.minimum_version().allows(number) {
            return;
        }
        self.last_decided.set(number);
        if let Some(decided) = &self.decided {
            let content = content.clone();
            let _ = decided.try_send(DecidedVersion { number, content });
        }
    }

    /// Passes a changed permission to the core, which compares its end with the time of each
    /// request.
    fn update_permission(&self, permission: Permission) {
        if self.last_permission.replace(Some(permission)) == Some(permission) {
            return;
        }
        let serves_without_lease = self.node.borrow().serves_without_lease();
        // If the caller has borrowed the state, the next update tries again.
        let Ok(mut state) = self.state.try_borrow_mut() else {
            return self.last_permission.set(None);
        };
        let expiry = match permission {
            Permission::Granted { .. } if serves_without_lease => Some(i64::MAX),
            Permission::Granted { until } => Some(until),
            _ => None,
        };
        if state.core.set_configuration_expiry(expiry) {
            let line = match expiry {
                Some(_) => "serving",
                None => log_lines::permission(permission),
            };
            log(&format!("versions: {line}"));
        }
    }

    /// When the next update is due.
    pub fn next_wakeup(&self) -> i64 {
        self.node.borrow().next_wakeup()
    }

    /// Handles the result of a disk write. Returns the result if an active version was written.
    pub fn handle_write_result(
        &self,
        now: i64,
        result: DiskWriteResult,
    ) -> Option<Result<u64, DiskError>> {
        match result {
            DiskWriteResult::Acceptor(number, result) => {
                if let Err(error) = &result {
                    log(&format!(
                        "versions: could not write the acceptor's state: {error}"
                    ));
                }
                self.node
                    .borrow_mut()
                    .write_finished(now, number, result.is_ok());
                None
            }
            DiskWriteResult::Active(result) => Some(result),
        }
    }

    /// Starts to write a version that is about to be activated.
    pub fn write_active(&self, number: u64, content: &[u8]) {
        let node = self.node.borrow();
        let version = Some(node.newest().clone()).filter(|version| version.number == number);
        let minimum_version = node.minimum_version().number().max(number);
        let _ = self.writes.try_send(DiskWrite::Active(StoredVersion {
            minimum_version,
            version,
            content: content.to_vec(),
        }));
    }

    /// Resumes after the successor, which was the member, has exited. The successor's votes and its
    /// active version are read from the disk. A disk that cannot be read is treated like a new one:
    /// the mismatch of the acceptor's state is detected, and a quorum provides the current version.
    pub fn resume(&self, now: i64) {
        let role = if self.is_acceptor {
            Role::Acceptor(self.reload(disk::ACCEPTOR_FILE))
        } else {
            Role::Learner
        };
        let stored: Option<StoredVersion> = self.reload(disk::ACTIVE_FILE);
        let minimum_version = stored.map_or(0, |stored| stored.minimum_version);
        let mut node = self.node.borrow_mut();
        node.resume(now, role, minimum_version);
        self.last_decided.set(node.active_version());
        self.last_permission.set(None);
        self.state.borrow_mut().core.set_configuration_expiry(None);
    }

    /// Reads a file; none if it is missing or cannot be read.
    fn reload<T: for<'a> serde::Deserialize<'a>>(&self, name: &str) -> Option<T> {
        disk::load(&self.folder, name).unwrap_or_else(|error| {
            log(&format!("versions: starting as on a new disk: {error}"));
            None
        })
    }

    /// Records whether a version could be activated.
    pub fn activation_finished(&self, number: u64, result: Result<(), String>) {
        let mut node = self.node.borrow_mut();
        match result {
            Ok(()) => node.version_activated(number),
            Err(reason) => node.version_rejected(number, reason),
        }
    }

    /// Records the version that was active in the predecessor.
    pub fn inherit_version(&self, number: u64) {
        self.node.borrow_mut().inherit_version(number);
    }

    /// The active version.
    pub fn active_version(&self) -> u64 {
        self.node.borrow().active_version()
    }

    /// When the lease from a quorum of acceptors expires; [`i64::MIN`] without a lease.
    pub fn lease_expires_at(&self) -> i64 {
        self.node.borrow().lease_expires_at().unwrap_or(i64::MIN)
    }
}

/// Handles a message of a member. Invalid messages are ignored.
fn handle_message(node: &mut Node, fleet: &mut Membership, now: i64, message: ReceivedMessage) {
    let sender = message.sender;
    let envelope = match message.content {
        ApplicationMessage::Piggyback(bytes) => {
            if let Some(gossip) = GossipPayload::decode(&bytes) {
                node.handle_gossip(now, &gossip);
            }
            return;
        }
        ApplicationMessage::Direct(bytes) => Envelope::decode(&bytes),
    };
    match envelope {
        Some(Envelope::ProtocolMessage(bytes)) => {
            if let Some(message) = Message::decode(&bytes) {
                node.handle_message(now, &sender, &message);
            }
        }
        Some(Envelope::ChunkRequest { digest, offset }) => {
            let chunk = node.content_chunk(digest, offset as usize);
            let reply = Envelope::Chunk {
                digest,
                offset,
                content_length: chunk.as_ref().map(|chunk| chunk.content_length as u32),
                bytes: chunk.map_or(Vec::new(), |chunk| chunk.bytes),
            };
            fleet.send_application_message(&sender, reply.encode());
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
            node.handle_chunk(now, &sender, digest, offset as usize, chunk);
        }
        None => {}
    }
}

/// Requests the next chunk of the content that is being fetched, if any.
fn request_chunk(node: &mut Node, fleet: &mut Membership, now: i64) {
    if !node.is_fetching() {
        return;
    }
    let local = fleet.local_name();
    let others: Vec<&str> = fleet
        .members()
        .iter()
        .filter(|(name, member)| member.record.state.is_active() && *name != local)
        .map(|(name, _)| name)
        .collect();
    if let Some(request) = node.next_chunk_request(now, &others) {
        let envelope = Envelope::ChunkRequest {
            digest: request.digest,
            offset: request.offset as u32,
        };
        fleet.send_application_message(&request.recipient, envelope.encode());
    }
}
