//! Driver of the node's membership in its fleet: passes datagrams, connections and the time to
//! `pipitlever-membership`, and application messages to the drivers of config versions, subsetting
//! and session affinity. Runs only with the section `[fleet]`.

mod control;
mod settings;
mod start;
mod tasks;

pub use control::{view, write_metrics};
pub use settings::{Settings, Sockets};
pub use start::StartOptions;

use crate::log::log;
use crate::net::clock::Clock;
use crate::net::config_versions::disk::DiskError;
use crate::net::config_versions::ConfigVersionsDriver;
use crate::net::event_loop::SharedState;
use crate::net::notify::Notify;
use crate::net::session_affinity::{SessionAffinityDriver, SessionLookup};
use crate::net::subsetting::{PartitionPolicy, SubsettingDriver};
use crate::supervision::{Subsystem, Supervisor};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use pipitlever_membership::event::EventBatch;
use pipitlever_membership::message::DecodeError;
use pipitlever_membership::record::ServiceState;
use pipitlever_membership::service_state::ServiceStateFilter;
use pipitlever_membership::{ApplicationMessage, Membership, ReceivedMessage};
use pipitlever_reactor::Async;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Descriptors that the membership may use: two sockets, one outgoing sync connection, and the
/// incoming ones.
pub const DESCRIPTORS: usize = 3 + MAX_SYNCS;
/// Limit on incoming sync connections.
const MAX_SYNCS: usize = 8;
/// Shortest time between two log lines on malformed messages.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
    /// Datagrams received.
    pub received: u64,
    /// Datagrams and connections that could not be decoded.
    pub malformed: u64,
    /// Syncs that completed, initiated by either side.
    pub synced: u64,
    /// Syncs that failed.
    pub failed_syncs: u64,
}

/// Results of writing an active config version: the minimum version that is on the disk.
type WriteResults = (
    Sender<Result<u64, DiskError>>,
    Receiver<Result<u64, DiskError>>,
);

/// Connects a node's membership to its sockets and to the node's state.
pub struct MembershipDriver {
    fleet: RefCell<Membership>,
    /// Config versions, if the fleet decides them.
    pub versions: Option<ConfigVersionsDriver>,
    /// Subsetting, if the nodes of the fleet divide any pool.
    pub subsetting: Option<SubsettingDriver>,
    partition_policy: PartitionPolicy,
    /// Session affinity, if any pool has it.
    pub session_affinity: Option<SessionAffinityDriver>,
    service_state: RefCell<ServiceStateFilter>,
    clock: Clock,
    state: SharedState,
    supervisor: Rc<Supervisor>,
    udp: Async<UdpSocket>,
    tcp: Async<TcpListener>,
    bind: SocketAddr,
    /// Notified when the next wakeup is earlier than before, or there is something to send.
    wakeup_changed: Notify,
    /// Notified when the membership has selected a member for a sync.
    sync_requested: Notify,
    next_wakeup: Cell<i64>,
    /// Number of open incoming sync connections.
    open_syncs: Cell<usize>,
    /// Running tasks; empty while another process of the node is the member.
    tasks: RefCell<Vec<Task<()>>>,
    counters: Cell<Counters>,
    /// When a malformed message was last logged.
    last_malformed: Cell<Option<Instant>>,
    version_written: WriteResults,
}

/// The active config version in a member's payload.
fn active_version(payload: &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(payload.get(..8)?.try_into().ok()?))
}

impl MembershipDriver {
    fn start_tasks(self: &Rc<MembershipDriver>) {
        let fleet = Subsystem::Fleet;
        let tasks = [
            self.supervisor
                .spawn(fleet, tasks::read_datagrams(self.clone())),
            self.supervisor.spawn(fleet, tasks::run_timer(self.clone())),
            self.supervisor
                .spawn(fleet, tasks::accept_syncs(self.clone())),
            self.supervisor
                .spawn(fleet, tasks::initiate_syncs(self.clone())),
        ];
        *self.tasks.borrow_mut() = tasks.into();
    }

    /// Stops all tasks, as the successor is the member from now on.
    pub fn pause(&self) {
        self.tasks.borrow_mut().clear();
        if let Some(sessions) = &self.session_affinity {
            sessions.set_paused(true);
        }
    }

    /// Resumes after the successor has exited.
    pub fn resume(self: &Rc<MembershipDriver>) {
        if let Some(versions) = &self.versions {
            versions.resume(self.clock.now());
        }
        if let Some(sessions) = &self.session_affinity {
            sessions.set_paused(false);
        }
        self.start_tasks();
    }

    /// The state with which a successor resumes.
    pub fn resume_state(&self) -> Vec<u8> {
        self.fleet.borrow().resume_state().encode()
    }

    /// Whether this process is the member.
    pub fn is_member(&self) -> bool {
        !self.tasks.borrow().is_empty()
    }

    /// The sockets, to be passed on to a successor.
    pub fn sockets(&self) -> (&UdpSocket, &TcpListener) {
        (self.udp.get_ref(), self.tcp.get_ref())
    }

    /// Applies the settings that may change while the node runs.
    pub fn set_settings(&self, settings: &Settings) {
        self.update(|fleet, _| {
            fleet.set_seeds(settings.seeds.clone());
            fleet.set_config(settings.protocol.clone());
        });
    }

    /// Leaves the fleet.
    pub fn leave(&self) {
        if self.is_member() {
            self.update(|fleet, now| fleet.leave(now));
        }
    }

    /// Reads the membership.
    pub fn read<T>(&self, read: impl FnOnce(&Membership, i64) -> T) -> T {
        read(&self.fleet.borrow(), self.clock.now())
    }

    /// Wakes the timer task.
    pub fn notify(&self) {
        self.wakeup_changed.notify();
    }

    fn count(&self, count: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        count(&mut counters);
        self.counters.set(counters);
    }

    fn handle_datagram(&self, bytes: &[u8]) {
        self.count(|counters| counters.received += 1);
        let handled = self.update(|fleet, now| fleet.handle_datagram(now, bytes));
        if let Err(error) = handled {
            self.record_malformed("a datagram", &error);
        }
    }

    fn record_malformed(&self, source: &str, error: &DecodeError) {
        self.count(|counters| counters.malformed += 1);
        let now = Instant::now();
        let last = self.last_malformed.get();
        if last.is_none_or(|last| last + MALFORMED_LOG_INTERVAL <= now) {
            self.last_malformed.set(Some(now));
            log(&format!("fleet: could not decode {source}: {error}"));
        }
    }

    /// Updates the membership, and handles the results: application messages, datagrams, events and
    /// wakeups.
    fn update<T>(&self, update: impl FnOnce(&mut Membership, i64) -> T) -> T {
        let mut fleet = self.fleet.borrow_mut();
        let output = update(&mut fleet, self.clock.now());
        let now = self.clock.now();
        let messages = self.take_messages(&mut fleet, now);
        if let Some(versions) = &self.versions {
            versions.update(&mut fleet, now, messages);
        }
        if let Some(sessions) = &self.session_affinity {
            sessions.update(&mut fleet, now, self.active_version());
        }
        self.send_datagrams(&mut fleet);
        let EventBatch { events, lost } = fleet.take_events();
        for event in &events {
            log(&format!("fleet: {event}"));
        }
        if lost > 0 {
            log(&format!("fleet: dropped log lines count={lost}"));
        }
        if fleet.has_sync_target() {
            self.sync_requested.notify();
        }
        let subsetting = self.subsetting.as_ref();
        if subsetting.is_some_and(|subsetting| subsetting.is_outdated(&fleet)) {
            self.wakeup_changed.notify();
        }
        let next = self.next_wakeup(&mut fleet);
        if next < self.next_wakeup.replace(next) {
            self.wakeup_changed.notify();
        }
        output
    }

    /// Passes messages on sessions to their driver, and returns all others.
    fn take_messages(&self, fleet: &mut Membership, now: i64) -> Vec<ReceivedMessage> {
        let mut others = Vec::new();
        while let Some(message) = fleet.take_application_message() {
            let is_handled = match (&self.session_affinity, &message.content) {
                (Some(sessions), ApplicationMessage::Direct(bytes)) => {
                    sessions.handle_message(now, &message.sender, bytes)
                }
                _ => false,
            };
            if !is_handled {
                others.push(message);
            }
        }
        others
    }

    /// Sends datagrams. Those that the system rejects are counted as unsent.
    fn send_datagrams(&self, fleet: &mut Membership) {
        let datagrams = fleet.take_datagrams();
        let socket = self.udp.get_ref();
        let unsent = datagrams
            .iter()
            .filter(|datagram| {
                socket
                    .send_to(&datagram.payload, datagram.destination)
                    .is_err()
            })
            .count() as u64;
        self.count(|counters| {
            counters.sent += datagrams.len() as u64 - unsent;
            counters.unsent += unsent;
        });
    }

    /// The earliest wakeup of the membership and its applications.
    fn next_wakeup(&self, fleet: &mut Membership) -> i64 {
        let versions = self.versions.as_ref();
        let sessions = self.session_affinity.as_ref();
        fleet
            .next_wakeup()
            .min(versions.map_or(i64::MAX, ConfigVersionsDriver::next_wakeup))
            .min(sessions.map_or(i64::MAX, SessionAffinityDriver::next_wakeup))
    }

    /// Handles a wakeup: updates shares, and advertises this node's state and payload.
    fn handle_timer(&self) {
        let observed = self.observed_service_state();
        let now = self.clock.now();
        let service_state = self.service_state.borrow_mut().observe(now, observed);
        let share_expires_at = self.share_expires_at();
        self.update(|fleet, now| {
            if let Some(subsetting) = &self.subsetting {
                subsetting.update(fleet, now, share_expires_at);
            }
            let payload = self.payload();
            if let Some(sessions) = &self.session_affinity {
                sessions.update_ejected_workers(now);
                sessions.log_moves(now);
            }
            fleet.set_service_state(service_state, &payload);
            if fleet.next_wakeup() <= now {
                fleet.handle_wakeup(now);
            }
        });
    }

    /// The payload of this node's record: active config version, flags of session affinity, load
    /// report of subsetting. Each part is present if it or a later one is in use.
    fn payload(&self) -> Vec<u8> {
        let mut payload = Vec::new();
        let has_flags = self.subsetting.is_some() || self.session_affinity.is_some();
        if self.versions.is_some() || has_flags {
            payload.extend(self.active_version().to_le_bytes());
        }
        if has_flags {
            let sessions = self.session_affinity.as_ref();
            payload.push(sessions.map_or(0, SessionAffinityDriver::flags));
        }
        if let Some(subsetting) = &self.subsetting {
            payload.extend(subsetting.load_report());
        }
        payload
    }

    /// Writes a config version that is about to be activated, and waits until it is on the disk.
    pub async fn write_active_version(&self, number: u64, content: &[u8]) -> Result<(), DiskError> {
        let Some(versions) = &self.versions else {
            return Ok(());
        };
        versions.write_active(number, content);
        let written = self.version_written.1.recv().await;
        written.map_err(|_| DiskError::ThreadEnded)?.map(drop)
    }

    /// The active config version; 0 if the fleet does not decide versions.
    fn active_version(&self) -> u64 {
        let versions = self.versions.as_ref();
        versions.map_or(0, ConfigVersionsDriver::active_version)
    }

    /// Resolves the worker of a session, with the local or a remote directory replica; none if no
    /// worker accepts the session.
    pub async fn resolve_session(&self, pool: usize, lookup: SessionLookup) -> Option<SocketAddr> {
        let sessions = self.session_affinity.as_ref()?;
        let (now, version) = (self.clock.now(), self.active_version());
        match sessions.resolve(now, version, pool, lookup) {
            Ok(worker) => {
                // The next update sends the resulting messages.
                self.wakeup_changed.notify();
                worker
            }
            Err(pending) => {
                self.update(|_, _| ());
                sessions
                    .wait_for_resolution(|| self.clock.now(), pending)
                    .await
            }
        }
    }

    /// Moves a session away from a worker that could not be reached. Returns its new worker.
    pub fn handle_unreachable_worker(
        &self,
        pool: usize,
        lookup: SessionLookup,
        worker: SocketAddr,
    ) -> Option<SocketAddr> {
        let sessions = self.session_affinity.as_ref()?;
        let next = sessions.handle_unreachable_worker(self.clock.now(), pool, lookup, worker);
        self.wakeup_changed.notify();
        next
    }

    /// When this node's shares of divided pools expire: from then on, other nodes may use them.
    fn share_expires_at(&self) -> i64 {
        match (self.partition_policy, &self.versions) {
            (PartitionPolicy::MinimumShare, Some(versions)) => versions.lease_expires_at(),
            _ => i64::MAX,
        }
    }

    /// The current service state.
    fn observed_service_state(&self) -> ServiceState {
        let state = self.state.borrow();
        let is_starting = state.core.is_starting()
            || !state.is_accepting
            || state.core.is_configuration_expired(self.clock.now());
        if state.is_draining() {
            ServiceState::Draining
        } else if is_starting {
            ServiceState::Starting
        } else if state.core.is_standby() {
            ServiceState::Standby
        } else if state.core.is_overloaded() {
            ServiceState::Overloaded
        } else {
            ServiceState::Serving
        }
    }
}
