//! Starts the membership driver, as a new member or in place of the predecessor.

use super::{active_version, MembershipDriver, Settings, Sockets};
use crate::log::log;
use crate::net::config_versions::disk::{DiskError, DiskWriteResult};
use crate::net::config_versions::{self, ConfigVersionsDriver, DecidedVersion};
use crate::net::event_loop::SharedState;
use crate::net::notify::Notify;
use crate::net::session_affinity::SessionAffinityDriver;
use crate::net::subsetting::SubsettingDriver;
use crate::supervision::{Subsystem, Supervisor};
use async_channel::{Receiver, Sender};
use pipitlever_config_versions::minimum_version::StoredVersion;
use pipitlever_membership::local_member::{LocalMember, ResumeState};
use pipitlever_membership::service_state::ServiceStateFilter;
use pipitlever_membership::Membership;
use pipitlever_reactor::Async;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use thiserror::Error;

/// Why the membership could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// A socket could not be set up.
    #[error("fleet: could not set up a socket: {0}")]
    Socket(#[from] io::Error),
    /// The files of config versions could not be read.
    #[error(transparent)]
    Versions(#[from] DiskError),
}

/// Parameters of [`MembershipDriver::start`].
pub struct StartOptions {
    /// Spawns the driver's tasks.
    pub supervisor: Rc<Supervisor>,
    /// The node's state.
    pub state: SharedState,
    /// The node's name.
    pub node_name: String,
    /// The settings.
    pub settings: Settings,
    /// The sockets.
    pub sockets: Sockets,
    /// The predecessor's membership state, if this process replaces one.
    pub resume_state: Option<Vec<u8>>,
    /// The active config version on the disk.
    pub stored_version: Option<StoredVersion>,
    /// Channel on which decided config versions are sent to be activated.
    pub decided: Option<Sender<DecidedVersion>>,
}

/// A random seed. The configured seed is not used, as seeds must differ between processes.
fn random_seed(input: i64) -> u64 {
    RandomState::new().hash_one(input)
}

/// The local member, and the state inherited from the predecessor.
struct Identity {
    local_member: LocalMember,
    /// Addresses of members that the predecessor was in contact with.
    contacts: Vec<SocketAddr>,
    /// The config version that was active in the predecessor.
    active_version: Option<u64>,
}

impl Identity {
    fn new(resume_state: Option<Vec<u8>>, advertise: SocketAddr, zone: &str) -> Identity {
        match resume_state.and_then(|bytes| ResumeState::decode(&bytes)) {
            Some(resumed) => Identity {
                active_version: active_version(&resumed.record.details.payload),
                contacts: resumed.contacts,
                local_member: LocalMember::resumed(resumed.record),
            },
            None => Identity {
                active_version: None,
                contacts: Vec::new(),
                local_member: LocalMember::new(
                    random_seed(i64::from(std::process::id())),
                    advertise,
                    zone,
                ),
            },
        }
    }
}

impl MembershipDriver {
    /// Starts the driver and its tasks.
    pub fn start(options: StartOptions) -> Result<Rc<MembershipDriver>, StartError> {
        let StartOptions {
            supervisor,
            state,
            node_name,
            settings,
            sockets,
            resume_state,
            stored_version,
            decided,
        } = options;
        let now = state.borrow().clock.now();
        let timing = settings.timing();
        let advertise = advertised_address(&settings, &sockets)?;
        let identity = Identity::new(resume_state, advertise, &settings.zone);
        let inherited_version = identity.active_version;
        let mut fleet = create_membership(&node_name, &settings, identity, now);
        log(&format!(
            "fleet: serving: fleet={} member={node_name} bind={} advertise={advertise}",
            settings.name,
            sockets.udp.local_addr()?
        ));
        let (versions, write_results) = match &settings.versions {
            Some(version_settings) => {
                let options = config_versions::StartOptions {
                    node_name: &node_name,
                    settings: version_settings,
                    stored: stored_version,
                    decided,
                    seed: random_seed(now),
                    sentinel: supervisor.thread_sentinel(Subsystem::Versions),
                };
                let started = ConfigVersionsDriver::start(state.clone(), options, now)?;
                if let Some(number) = inherited_version {
                    started.driver.inherit_version(number);
                }
                (Some(started.driver), Some(started.results))
            }
            None => (None, None),
        };
        let applications = Applications {
            versions,
            subsetting: SubsettingDriver::start(&state, &node_name, timing, now),
            session_affinity: start_session_affinity(&state, &node_name, now),
        };
        if applications.use_messages() {
            // Enables application messages.
            fleet.set_piggyback(Vec::new());
        }
        let driver =
            MembershipDriver::new(supervisor, state, fleet, applications, &settings, sockets)?;
        driver.start_tasks();
        if let Some(results) = write_results {
            let handling = handle_write_results(driver.clone(), results);
            driver
                .supervisor
                .spawn(Subsystem::Versions, handling)
                .detach();
        }
        Ok(driver)
    }

    fn new(
        supervisor: Rc<Supervisor>,
        state: SharedState,
        fleet: Membership,
        applications: Applications,
        settings: &Settings,
        sockets: Sockets,
    ) -> io::Result<Rc<MembershipDriver>> {
        let clock = state.borrow().clock;
        let now = clock.now();
        Ok(Rc::new(MembershipDriver {
            fleet: RefCell::new(fleet),
            versions: applications.versions,
            subsetting: applications.subsetting,
            partition_policy: settings.partition_policy,
            session_affinity: applications.session_affinity,
            service_state: RefCell::new(ServiceStateFilter::new(now)),
            clock,
            state,
            supervisor,
            udp: Async::<UdpSocket>::new(sockets.udp)?,
            tcp: Async::<TcpListener>::new(sockets.tcp)?,
            bind: settings.bind,
            wakeup_changed: Notify::new(),
            sync_requested: Notify::new(),
            next_wakeup: Cell::new(now),
            open_syncs: Cell::new(0),
            tasks: RefCell::default(),
            counters: Cell::default(),
            last_malformed: Cell::default(),
            version_written: async_channel::unbounded(),
        }))
    }
}

/// The drivers that use application messages and the payload.
struct Applications {
    versions: Option<ConfigVersionsDriver>,
    subsetting: Option<SubsettingDriver>,
    session_affinity: Option<SessionAffinityDriver>,
}

impl Applications {
    /// Whether any of them uses application messages.
    fn use_messages(&self) -> bool {
        self.versions.is_some() || self.session_affinity.is_some()
    }
}

fn start_session_affinity(
    state: &SharedState,
    node_name: &str,
    now: i64,
) -> Option<SessionAffinityDriver> {
    SessionAffinityDriver::start(state, node_name, random_seed(now), now)
}

/// The address that is advertised to other members, with the bound port if none is configured.
fn advertised_address(settings: &Settings, sockets: &Sockets) -> io::Result<SocketAddr> {
    let mut advertise = settings.advertise;
    if advertise.port() == 0 {
        advertise.set_port(sockets.udp.local_addr()?.port());
    }
    Ok(advertise)
}

fn create_membership(
    node_name: &str,
    settings: &Settings,
    identity: Identity,
    now: i64,
) -> Membership {
    let mut fleet = Membership::new(
        settings.protocol.clone(),
        &settings.name,
        node_name,
        identity.local_member,
        random_seed(now),
        now,
    );
    fleet.set_seeds(settings.seeds.clone());
    fleet.set_contacts(identity.contacts);
    fleet
}

/// Handles the results of disk writes.
async fn handle_write_results(driver: Rc<MembershipDriver>, results: Receiver<DiskWriteResult>) {
    while let Ok(result) = results.recv().await {
        let versions = driver.versions.as_ref();
        let now = driver.clock.now();
        let written = versions.and_then(|versions| versions.handle_write_result(now, result));
        if let Some(written) = written {
            let _ = driver.version_written.0.try_send(written);
        }
        // Messages that depend on the write can be sent now.
        driver.notify();
    }
}
