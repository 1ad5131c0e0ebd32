//! Starts the subsystems of a node in the order in which they depend on each other.

use crate::config::platform::Config;
use crate::lifecycle::capture::CaptureController;
use crate::lifecycle::sockets::OpenedSockets;
use crate::lifecycle::{limits, store};
use crate::log::log;
use crate::net::config_versions::DecidedVersion;
use crate::net::event_loop::{NodeState, SharedState};
use crate::net::front::{FrontSocket, Fronts};
use crate::net::hot_restart::{self, FailureSignal, PredecessorConnection, SuccessorListener};
use crate::net::membership::MembershipDriver;
use crate::net::{control, ledger, membership, processor, registry, run_core_timer, workers};
use crate::supervision::{Subsystem, Supervisor};
use async_channel::{Receiver, Sender};
use pipitlever_config_versions::minimum_version::StoredVersion;
use pipitlever_idempotency_store::record::Salt;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Share of the processor's memory that a successor may use until its predecessor has reported how
/// much it needs.
const INITIAL_MEMORY_SHARE: f64 = 0.5;

/// The running subsystems of a node, as its event loop and its shutdown need them.
pub struct Services {
    /// State that all drivers share.
    pub state: SharedState,
    /// The front ends.
    pub fronts: Rc<Fronts>,
    /// Listener for a successor's connection, if hot restart is possible.
    pub successor_listener: Option<Rc<SuccessorListener>>,
    /// The capture.
    pub capture: CaptureController,
    /// Reports a failure of the hot restart, which ends this process.
    pub failure: FailureSignal,
    /// Decided config versions to apply.
    pub versions: Receiver<DecidedVersion>,
    /// Time from the shutdown signal until the process is killed, in milliseconds.
    pub stop_ms: u64,
}

/// Starts all subsystems. Front ends accept connections at once, or as soon as the predecessor has
/// completed the transfer.
pub fn start(
    supervisor: Rc<Supervisor>,
    config: Config,
    stored_version: Option<StoredVersion>,
    sockets: OpenedSockets,
    store: Option<store::OpenedStore>,
) -> Result<Services, String> {
    let OpenedSockets {
        predecessor,
        fronts: sockets,
        membership: membership_sockets,
        control: control_listener,
    } = sockets;
    let mut capture = CaptureController::new(
        supervisor.clone(),
        &config.name,
        config.seed,
        config.memory_mb << 20,
    );
    let state = create_state(&config, predecessor.as_ref())?;
    state.borrow_mut().failures = supervisor.status();
    if let Some(store) = store {
        let max_result = state.borrow().core.max_result_bytes();
        store.start(&supervisor, &state, max_result)?;
    }
    // Before the core's first event, so that the capture includes it.
    capture.configure(&state, config.capture.clone());
    start_drivers(&supervisor, &state, &config);
    let restart_socket_path = restart_socket_path(&config, sockets[0].address);
    log_front_sockets(&config.name, &sockets);
    let fronts = Fronts::new(supervisor.clone(), state.clone(), sockets);
    let successor_listener = restart_socket_path.map(|path| {
        let name = config.name.clone();
        SuccessorListener::new(
            supervisor.clone(),
            state.clone(),
            fronts.clone(),
            name,
            path,
        )
    });
    let (version_sender, versions) = async_channel::unbounded();
    if config.fleet.as_ref().is_some_and(|f| f.versions.is_some()) {
        // No request is admitted until the fleet's driver permits the stored version: by default
        // once a quorum of acceptors has confirmed that it is not outdated.
        state.borrow_mut().core.set_configuration_expiry(None);
    }
    let (name, stop_ms) = (config.name.clone(), config.stop_ms);
    let join = JoinFleet {
        supervisor: supervisor.clone(),
        state: state.clone(),
        name: config.name,
        settings: config.fleet.zip(membership_sockets),
        stored_version,
        versions: version_sender,
    };
    let failure = FailureSignal::default();
    begin_serving(
        &supervisor,
        &state,
        predecessor,
        &failure,
        &fronts,
        successor_listener.as_ref(),
        join,
    );
    if let Some((address, listener)) = control_listener {
        let endpoint = control::listen(supervisor.clone(), state.clone(), listener);
        supervisor.spawn(Subsystem::Control, endpoint).detach();
        log(&format!(
            "serving: name={name} protocol=control address={address}"
        ));
    }
    Ok(Services {
        state,
        fronts,
        successor_listener,
        capture,
        failure,
        versions,
        stop_ms,
    })
}

/// The shared state. With a predecessor, both processes use half of the limits.
fn create_state(
    config: &Config,
    predecessor: Option<&PredecessorConnection>,
) -> Result<SharedState, String> {
    let limits = limits::for_config(config);
    let salt = match predecessor {
        Some(predecessor) => predecessor.salt,
        None => Salt::random().map_err(|e| format!("random numbers: {e}"))?,
    };
    let mut state = NodeState::new(
        config.request_settings.clone(),
        config.seed,
        salt,
        limits.memory_limits(false),
    );
    state.set_limits(limits);
    if predecessor.is_some() {
        state.set_memory_share(Some(INITIAL_MEMORY_SHARE));
    }
    Ok(Rc::new(RefCell::new(state)))
}

/// Starts the drivers of the processor, the ledger, the registry and the workers.
fn start_drivers(supervisor: &Rc<Supervisor>, state: &SharedState, config: &Config) {
    state.borrow_mut().set_upstreams(config.upstreams.clone());
    supervisor
        .spawn(Subsystem::Core, run_core_timer(state.clone()))
        .detach();
    if config.upstreams.processor.is_some() {
        supervisor
            .spawn(Subsystem::Processor, processor::run(state.clone()))
            .detach();
    } else {
        // All requests go to workers, and the node is ready at once.
        let mut state = state.borrow_mut();
        state.with_core(|core, now| core.start_without_processor(now));
    }
    let ledger = ledger::run(supervisor.clone(), state.clone());
    supervisor.spawn(Subsystem::Ledger, ledger).detach();
    let heartbeats = registry::run(state.clone(), config.name.clone());
    supervisor.spawn(Subsystem::Registry, heartbeats).detach();
    let workers = workers::run(supervisor.clone(), state.clone());
    supervisor.spawn(Subsystem::Workers, workers).detach();
}

/// The path of the hot restart's socket; none with a store, which only one process can use.
/// `address` is the gateways' address, whose port the system may have picked.
fn restart_socket_path(config: &Config, address: SocketAddr) -> Option<std::path::PathBuf> {
    if config.store.is_some() {
        return None;
    }
    hot_restart::socket_path(address)
}

fn log_front_sockets(name: &str, sockets: &[FrontSocket]) {
    for socket in sockets {
        let (protocol, address) = (socket.front.name(), socket.address);
        log(&if socket.is_configured {
            format!("serving: name={name} protocol={protocol} listen={address}")
        } else {
            format!(
                "hot restart: address not in the configuration, served until the predecessor \
                 exits: protocol={protocol} address={address}"
            )
        });
    }
}

/// The parameters for joining the fleet. A process joins once it serves: until then its predecessor
/// is the member.
struct JoinFleet {
    supervisor: Rc<Supervisor>,
    state: SharedState,
    name: String,
    settings: Option<(membership::Settings, membership::Sockets)>,
    stored_version: Option<StoredVersion>,
    versions: Sender<DecidedVersion>,
}

impl JoinFleet {
    /// Joins the fleet. With the predecessor's state, this process resumes its membership.
    fn join(self, passed_state: Option<Vec<u8>>) {
        let Some((settings, sockets)) = self.settings else {
            return;
        };
        let started = MembershipDriver::start(membership::StartOptions {
            supervisor: self.supervisor,
            state: self.state.clone(),
            node_name: self.name,
            settings,
            sockets,
            resume_state: passed_state,
            stored_version: self.stored_version,
            decided: Some(self.versions),
        });
        match started {
            Ok(driver) => self.state.borrow_mut().membership = Some(driver),
            // Requests are served without the fleet, unless it decides config versions.
            Err(error) => log(&format!("fleet: off: {error}")),
        }
    }
}

/// Begins to accept connections, at once or when the predecessor has completed the transfer.
fn begin_serving(
    supervisor: &Rc<Supervisor>,
    state: &SharedState,
    predecessor: Option<PredecessorConnection>,
    failure: &FailureSignal,
    fronts: &Rc<Fronts>,
    successor_listener: Option<&Rc<SuccessorListener>>,
    join: JoinFleet,
) {
    let (opened_fronts, successor_listener) = (fronts.clone(), successor_listener.cloned());
    // Called once: when the predecessor yields, or after its exit if it has not yielded.
    let join = RefCell::new(Some(join));
    let serve = move |passed_state: Option<Vec<u8>>| {
        // The hot restart's socket first: the predecessor no longer accepts connections on it.
        if let Some(successor_listener) = &successor_listener {
            successor_listener.open();
        }
        opened_fronts.open();
        if let Some(join) = join.take() {
            join.join(passed_state);
        }
    };
    let Some(predecessor) = predecessor else {
        serve(None);
        return;
    };
    let (state, failure, fronts) = (state.clone(), failure.clone(), fronts.clone());
    let take_over = async move {
        match predecessor.take_over(&state, serve).await {
            Ok(()) => fronts.close_unconfigured(),
            Err(error) => failure.report(error),
        }
    };
    supervisor.spawn(Subsystem::HotRestart, take_over).detach();
}
