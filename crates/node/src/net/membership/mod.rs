//! The node's part in the fleet: datagrams, connections and timers for what `pipitlever-fleet`
//! decides. Only with `[fleet]`.

use crate::log::log;
use crate::net::clock::Clock;
use crate::net::config_versions::{self, Act, VersionsDriver};
use crate::net::event_loop::SharedState;
use crate::net::notify::Notify;
use crate::net::session_affinity::{SessionAffinity, SessionLookup};
use crate::net::subsetting::{PartitionPolicy, SubsettingDriver};
use crate::net::{after_ms, timeout_at};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use futures_lite::future;
use pipitlever_config_versions::minimum_version::StoredVersion;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::event::EventBatch;
use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::local_member::ResumeState;
use pipitlever_membership::record::ServiceState;
use pipitlever_membership::service_state::ServiceStateFilter;
use pipitlever_membership::sync::SyncSession;
use pipitlever_membership::{ApplicationMessage, Membership};
use pipitlever_reactor::{Async, Timer};
use pipitlever_subsetting::node::Timing;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

mod control;
mod loops;
mod settings;

pub use control::{figures, view};
use loops::{connections, datagrams, dials, wakes};
pub use settings::{Settings, Sockets};

/// Descriptors that the fleet may take: its two sockets, and connections.
pub const DESCRIPTORS: usize = 3 + MOST_SESSIONS;
/// Connections of others at one time; those beyond are closed, and come again.
const MOST_SESSIONS: usize = 8;
/// Datagrams read before others have their turn.
const TURN: usize = 16;
/// A connection is over by then, in milliseconds; and each of its reads by then.
const SESSION_MS: u64 = 10_000;
const READ_MS: u64 = 2_000;
/// How often it is looked at how the node is, in milliseconds.
const LOOK_MS: u64 = 250;
/// What can't be understood is named in the log so often at most.
const NAMED: Duration = Duration::from_secs(60);

/// Counted since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, those that the system took no more, and those read.
    pub sent: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
    /// Datagrams read.
    pub heard: u64,
    /// Datagrams and connections that could not be understood.
    pub malformed: u64,
    /// Connections that were made, here or from there, and went to their end.
    pub synced: u64,
    /// Connections that did not.
    pub broken: u64,
}

/// The node's part.
pub struct MembershipDriver {
    fleet: RefCell<Membership>,
    /// VersionsDriver of the settings, if the fleet decides them.
    pub versions: Option<VersionsDriver>,
    /// Its part of pools that are shared, if any is.
    pub sharing: Option<SubsettingDriver>,
    apart: PartitionPolicy,
    /// Its part in sessions that stay with their workers, if any do.
    pub affinity: Option<SessionAffinity>,
    steady: RefCell<ServiceStateFilter>,
    clock: Clock,
    state: SharedState,
    executor: Rc<LocalExecutor<'static>>,
    udp: Async<UdpSocket>,
    tcp: Async<TcpListener>,
    from: SocketAddr,
    woken: Notify,
    dial: Notify,
    next: Cell<i64>,
    sessions: Cell<usize>,
    /// What reads and wakes; gone while another process of the node is the member.
    tasks: RefCell<Vec<Task<()>>>,
    counts: Cell<Counts>,
    named: Cell<Option<Instant>>,
    /// What has become of writing down a version that is to be acted on.
    written: Written,
}

/// What has become of writing down a version: the floor that is on the disk, or why it is not.
type Written = (Sender<Result<u64, String>>, Receiver<Result<u64, String>>);

/// What a part begins with where the fleet decides versions.
#[derive(Default)]
pub struct Versioned {
    /// What was on the disk.
    pub saved: Option<StoredVersion>,
    /// Where versions go that are to be acted on.
    pub acts: Option<Sender<Act>>,
}

/// The version that a member says it acts on.
fn acting(payload: &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(payload.get(..8)?.try_into().ok()?))
}

impl MembershipDriver {
    /// Begins to take part: as the process before it in this node did, which has passed this on, or
    /// as a new member.
    pub fn begin(
        executor: Rc<LocalExecutor<'static>>,
        state: SharedState,
        name: &str,
        settings: Settings,
        sockets: Sockets,
        passed: Option<Vec<u8>>,
        versioned: Versioned,
    ) -> Result<Rc<MembershipDriver>, String> {
        let wrong = |e: std::io::Error| format!("fleet: {e}");
        let clock = state.borrow().clock;
        let times = settings.times();
        let Settings {
            name: fleet,
            bind,
            mut advertise,
            seeds,
            zone,
            rules,
            versions,
            apart,
        } = settings;
        let at = sockets.udp.local_addr().map_err(wrong)?;
        if advertise.port() == 0 {
            advertise.set_port(at.port());
        }
        let passed = passed.and_then(|bytes| ResumeState::decode(&bytes));
        let contacts = passed.as_ref().map_or(Vec::new(), |p| p.contacts.clone());
        let handed = passed
            .as_ref()
            .and_then(|p| acting(&p.record.details.payload));
        let own = match passed {
            Some(passed) => LocalMember::resumed(passed.record),
            // Not from the seed: two processes must never have the same.
            None => LocalMember::new(
                RandomState::new().hash_one(std::process::id()),
                advertise,
                &zone,
            ),
        };
        let now = clock.now();
        let mut decisions = Membership::new(
            rules,
            &fleet,
            name,
            own,
            RandomState::new().hash_one(now),
            now,
        );
        decisions.set_seeds(seeds);
        decisions.set_contacts(contacts);
        log(&format!(
            "fleet: serving: fleet={fleet} member={name} bind={at} advertise={advertise}"
        ));
        let Versioned { saved, acts } = versioned;
        let mut done = None;
        let versions = match versions {
            Some(settings) => {
                let seed = RandomState::new().hash_one(now);
                let (versions, written) =
                    VersionsDriver::begin(state.clone(), name, &settings, saved, acts, seed, now)?;
                handed.inspect(|number| versions.handed(*number));
                // From here on it hears what is not about the view.
                decisions.set_piggyback(Vec::new());
                done = Some(written);
                Some(versions)
            }
            None => None,
        };
        let sharing = SubsettingDriver::begin(&state, name, times, now);
        let sessions = SessionAffinity::begin(&state, name, RandomState::new().hash_one(now), now);
        if sessions.is_some() && versions.is_none() {
            // From here on it hears what is not about the view.
            decisions.set_piggyback(Vec::new());
        }
        let part = Rc::new(MembershipDriver {
            fleet: RefCell::new(decisions),
            versions,
            sharing,
            apart,
            affinity: sessions,
            steady: RefCell::new(ServiceStateFilter::new(now)),
            clock,
            state,
            executor,
            udp: Async::<UdpSocket>::new(sockets.udp).map_err(wrong)?,
            tcp: Async::<TcpListener>::new(sockets.tcp).map_err(wrong)?,
            from: bind,
            woken: Notify::new(),
            dial: Notify::new(),
            next: Cell::new(now),
            sessions: Cell::new(0),
            tasks: RefCell::default(),
            counts: Cell::default(),
            named: Cell::default(),
            written: async_channel::unbounded(),
        });
        part.start();
        if let Some(done) = done {
            let writer = part.clone();
            let written = async move {
                while let Ok(done) = done.recv().await {
                    let said = writer
                        .versions
                        .as_ref()
                        .and_then(|v| v.done(writer.clock.now(), done));
                    if let Some(written) = said {
                        let _ = writer.written.0.try_send(written);
                    }
                    // What rests on it can be said now.
                    writer.woken.notify();
                }
            };
            part.executor.spawn(written).detach();
        }
        Ok(part)
    }

    /// Takes part again, after another process of the node has for a while.
    pub fn resume(self: &Rc<MembershipDriver>) {
        self.versions
            .iter()
            .for_each(|versions| versions.resume(self.clock.now()));
        self.affinity
            .iter()
            .for_each(|sessions| sessions.pause(false));
        self.start();
    }

    fn start(self: &Rc<MembershipDriver>) {
        let part = || self.clone();
        let tasks = [
            self.executor.spawn(datagrams(part())),
            self.executor.spawn(wakes(part())),
            self.executor.spawn(connections(part())),
            self.executor.spawn(dials(part())),
        ];
        *self.tasks.borrow_mut() = tasks.into();
    }

    /// Another process of the node is the member from now on: nothing is read any more that is for
    /// it.
    pub fn pause(&self) {
        self.tasks.borrow_mut().clear();
        self.affinity
            .iter()
            .for_each(|sessions| sessions.pause(true));
    }

    /// What that process goes on with.
    pub fn pass_on(&self) -> Vec<u8> {
        self.fleet.borrow().resume_state().encode()
    }

    /// Whether this process is the member.
    pub fn active(&self) -> bool {
        !self.tasks.borrow().is_empty()
    }

    /// The sockets, to be passed on.
    pub fn sockets(&self) -> (&UdpSocket, &TcpListener) {
        (self.udp.get_ref(), self.tcp.get_ref())
    }

    /// Takes over what may change while the node runs.
    pub fn retune(&self, settings: &Settings) {
        self.turn(|fleet, _| {
            fleet.set_seeds(settings.seeds.clone());
            fleet.set_config(settings.rules.clone());
        });
    }

    /// It leaves, and says so.
    pub fn leave(&self) {
        if self.active() {
            self.turn(|fleet, now| fleet.leave(now));
        }
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Looks at the view.
    pub fn look<T>(&self, look: impl FnOnce(&Membership, i64) -> T) -> T {
        look(&self.fleet.borrow(), self.clock.now())
    }

    fn count(&self, count: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        count(&mut counts);
        self.counts.set(counts);
    }

    /// Tells the decisions something, and carries out what comes of it.
    fn turn<T>(&self, tell: impl FnOnce(&mut Membership, i64) -> T) -> T {
        let mut fleet = self.fleet.borrow_mut();
        let told = tell(&mut fleet, self.clock.now());
        let now = self.clock.now();
        let mut heard = Vec::new();
        while let Some(message) = fleet.take_application_message() {
            match (&self.affinity, &message.content) {
                (Some(sessions), ApplicationMessage::Direct(bytes))
                    if sessions.heard(now, &message.sender, bytes) => {}
                _ => heard.push(message),
            }
        }
        if let Some(versions) = &self.versions {
            versions.turn(&mut fleet, now, heard);
        }
        if let Some(sessions) = &self.affinity {
            sessions.turn(&mut fleet, now, self.acting());
        }
        let mut unsent = 0;
        let out = fleet.take_datagrams();
        for datagram in &out {
            // One that the system does not take is like one that is lost on its way.
            unsent += u64::from(
                self.udp
                    .get_ref()
                    .send_to(&datagram.payload, datagram.destination)
                    .is_err(),
            );
        }
        self.count(|c| {
            (c.sent, c.unsent) = (c.sent + out.len() as u64 - unsent, c.unsent + unsent)
        });
        let EventBatch { events, lost } = fleet.take_events();
        events
            .iter()
            .for_each(|event| log(&format!("fleet: {event}")));
        if lost > 0 {
            log(&format!("fleet: {lost} lines were left out"));
        }
        if fleet.has_sync_target() {
            self.dial.notify();
        }
        if self
            .sharing
            .as_ref()
            .is_some_and(|sharing| sharing.stale(&fleet))
        {
            self.woken.notify();
        }
        let parts = self.versions.as_ref().map_or(i64::MAX, VersionsDriver::due);
        let parts = self
            .affinity
            .as_ref()
            .map_or(parts, |sessions| sessions.due().min(parts));
        let next = parts.min(fleet.next_wakeup());
        if next < self.next.replace(next) {
            self.woken.notify();
        }
        told
    }

    /// Writes down that a version is about to be acted on; it is on the disk once this has come to
    /// its end.
    pub async fn write_down(&self, number: u64, content: &[u8]) -> Result<(), String> {
        let Some(versions) = &self.versions else {
            return Ok(());
        };
        versions.write(number, content);
        let written = self.written.1.recv().await;
        written
            .map_err(|_| "the disk's thread has ended".to_owned())?
            .map(drop)
    }

    /// It should look at what there is to do.
    pub fn notify(&self) {
        self.woken.notify();
    }

    fn misunderstood(&self, what: &str, why: &pipitlever_membership::message::DecodeError) {
        self.count(|c| c.malformed += 1);
        let now = Instant::now();
        if self.named.get().is_none_or(|at| at + NAMED <= now) {
            self.named.set(Some(now));
            log(&format!("fleet: {what} was not understood: {why}"));
        }
    }

    /// The version that it acts on; 0 where none are decided.
    fn acting(&self) -> u64 {
        self.versions.as_ref().map_or(0, VersionsDriver::acting)
    }

    /// The worker of a session, if any takes it: known here, or told by others in a moment.
    pub async fn session(&self, pool: usize, looked: SessionLookup) -> Option<SocketAddr> {
        let sessions = self.affinity.as_ref()?;
        let (now, version) = (self.clock.now(), self.acting());
        match sessions.want(now, version, pool, looked) {
            Ok(at) => {
                // What it had to say of that goes out with the next turn, which is soon.
                self.woken.notify();
                at
            }
            Err(waiting) => {
                self.turn(|_, _| ());
                sessions.wait(|| self.clock.now(), waiting).await
            }
        }
    }

    /// A run could not begin at its session's worker: where it goes instead, if anywhere.
    pub fn unreachable(
        &self,
        pool: usize,
        looked: SessionLookup,
        at: SocketAddr,
    ) -> Option<SocketAddr> {
        let next = self
            .affinity
            .as_ref()?
            .unreachable(self.clock.now(), pool, looked, at);
        self.woken.notify();
        next
    }

    /// Until when this node's parts of what is shared are nobody else's.
    fn parts_until(&self) -> i64 {
        match (self.apart, &self.versions) {
            (PartitionPolicy::MinimumShare, Some(versions)) => versions.leased_until(),
            _ => i64::MAX,
        }
    }

    /// How the node is.
    fn standing(&self) -> ServiceState {
        let state = self.state.borrow();
        match () {
            () if state.is_draining() => ServiceState::Draining,
            () if state.core.is_starting()
                || !state.is_accepting
                || state.core.is_configuration_expired(self.clock.now()) =>
            {
                ServiceState::Starting
            }
            () if state.core.is_standby() => ServiceState::Standby,
            () if state.core.is_overloaded() => ServiceState::Overloaded,
            () => ServiceState::Serving,
        }
    }
}
