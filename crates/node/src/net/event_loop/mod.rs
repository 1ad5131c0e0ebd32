//! State of the node's event loop, which the drivers share with the core.
//!
//! All drivers run on one thread. Each reads or writes its socket, borrows [`NodeState`] for one
//! step, and updates the core with [`NodeState::with_core`], which also executes the effects that
//! the core returns.

mod classes;
mod connection_limits;
mod effects;
mod front_connections;
mod gateway_requests;
mod hot_restart_state;
mod processor_notices;
mod reconfigure;
mod reference_generator;
mod responses;
mod settings;
mod shutdown;
mod uwsgi_requests;
mod worker_runs;

pub use connection_limits::ProcessLimits;
pub use settings::{RequestSettings, Upstreams};

use crate::log::log;
use crate::net::clock::Clock;
use crate::net::connections::ConnectionTable;
use crate::net::control_connections::ControlConnections;
use crate::net::ledger_calls::LedgerCalls;
use crate::net::membership::MembershipDriver;
use crate::net::notify::Notify;
use crate::net::processor_connection::ProcessorConnection;
use crate::net::worker_pools::routes::UwsgiSettings;
use crate::net::worker_pools::WorkerPools;
use crate::supervision::{panic_point, FailureStatus, Subsystem};
use classes::ClassDefinitions;
use connection_limits::ConnectionLimits;
use hot_restart_state::HotRestartState;
use pipitlever_admission::Micros;
use pipitlever_core::{ConfigFileCounters, Core, Effect, MemoryLimits, RunStore};
use pipitlever_idempotency_store::record::Salt;
use pipitlever_idempotency_store::recovery::RecoveredKey;
use pipitlever_wire::jsonrpc;
use reference_generator::ReferenceGenerator;
use shutdown::ShutdownState;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Capacity to which the effect buffer shrinks after a burst, in effects.
const EFFECT_BUFFER_CAPACITY: usize = 256;

/// The state of the event loop, shared by the drivers on its thread.
pub type SharedState = Rc<RefCell<NodeState>>;

/// State that all drivers of a node share.
pub struct NodeState {
    /// The request lifecycle and the admission controller.
    pub core: Core,
    /// The node's only clock.
    pub clock: Clock,
    /// The processor connection and its queue of commands.
    pub processor: ProcessorConnection,
    /// Calls to the ledger.
    pub ledger: LedgerCalls,
    /// Connections of the front ends.
    pub connections: ConnectionTable,
    /// Connections of the control endpoint.
    pub control: ControlConnections,
    /// Worker pools and the runs that wait for a driver.
    pub pools: WorkerPools,
    /// The membership driver, if this node is in a fleet.
    pub membership: Option<Rc<MembershipDriver>>,
    /// Address of the service registry, if one is configured.
    pub registry_address: Option<SocketAddr>,
    /// State of a hot restart in which this process is the predecessor.
    pub hot_restart: HotRestartState,
    /// Counters of configuration files that were read on SIGHUP.
    pub config_files: ConfigFileCounters,
    /// Settings of the uwsgi front end, its routes and its workers.
    pub uwsgi: UwsgiSettings,
    /// Salt of the payload digests, which detect different requests with the same idempotency key.
    /// The salt is random, so that no client can construct a collision. It comes from the store or
    /// from the predecessor, if there is one.
    pub salt: Salt,
    /// Whether this process accepts connections on its front ends.
    pub is_accepting: bool,
    /// Notified when the core's next wakeup changes.
    pub wakeup_changed: Notify,
    /// Notified when the store may have a batch to write.
    pub store_work: Notify,
    /// Notified when shutdown or retirement begins.
    pub shutdown_started: Notify,
    /// The subsystems of this process that have failed.
    pub failures: FailureStatus,
    /// Whether an update of the core is in progress. After a panic during an update this stays set,
    /// as the core's state may be inconsistent.
    is_updating_core: bool,
    shutdown: ShutdownState,
    limits: ConnectionLimits,
    classes: ClassDefinitions,
    gauge_names: Vec<String>,
    tenants: Vec<String>,
    references: ReferenceGenerator,
    /// Reused buffer for the core's effects.
    effects: Vec<Effect>,
    next_wakeup: Option<Micros>,
}

impl NodeState {
    /// Creates the state of a node without connections.
    pub fn new(
        settings: RequestSettings,
        seed: u64,
        salt: Salt,
        memory_limits: MemoryLimits,
    ) -> NodeState {
        let classes = ClassDefinitions::new(&settings);
        let RequestSettings {
            admission,
            gauges: gauge_names,
            tenants,
            min_round_interval,
            retries_are_marked,
            uwsgi,
            ..
        } = settings;
        let max_result_bytes = if classes.any_on_workers() {
            uwsgi.max_response_bytes
        } else {
            jsonrpc::MAX_RESULT
        };
        let clock = Clock::start();
        let mut core = Core::new(
            admission,
            &classes.names(),
            seed,
            min_round_interval,
            max_result_bytes,
            memory_limits,
        );
        core.retries_are_marked = retries_are_marked;
        NodeState {
            core,
            processor: ProcessorConnection::new(),
            ledger: LedgerCalls::new(),
            connections: ConnectionTable::new(memory_limits),
            control: ControlConnections::default(),
            pools: WorkerPools::new(uwsgi.pools(), seed, clock.now()),
            membership: None,
            registry_address: None,
            hot_restart: HotRestartState::default(),
            config_files: ConfigFileCounters::default(),
            uwsgi,
            salt,
            is_accepting: false,
            wakeup_changed: Notify::new(),
            store_work: Notify::new(),
            shutdown_started: Notify::new(),
            failures: FailureStatus::default(),
            is_updating_core: false,
            shutdown: ShutdownState::default(),
            limits: ConnectionLimits::default(),
            classes,
            gauge_names,
            tenants,
            references: ReferenceGenerator::new(seed),
            effects: Vec::new(),
            next_wakeup: None,
            clock,
        }
    }

    /// Updates the core, executes the resulting effects, and notifies the drivers that have work.
    pub fn with_core(&mut self, update: impl FnOnce(&mut Core, Micros)) {
        let is_nested = std::mem::replace(&mut self.is_updating_core, true);
        update(&mut self.core, self.clock.now());
        panic_point(Subsystem::Core);
        debug_assert!(
            self.core.has_consistent_counters(),
            "{}",
            self.core.counters
        );
        self.execute_effects();
        self.is_updating_core = is_nested;
        self.notify_drivers();
    }

    /// Notifies the drivers that have work after an update of the core.
    fn notify_drivers(&mut self) {
        if self.core.has_store() {
            self.store_work.notify();
            let now = self.clock.now();
            if let Some(change) = self.core.store_status_change(now) {
                log(&change.to_string());
            }
        }
        if self.core.has_key_updates() {
            self.hot_restart.transfer_pending.notify();
        }
        let next = self.core.next_wakeup();
        if next != self.next_wakeup {
            self.next_wakeup = next;
            self.wakeup_changed.notify();
        }
    }

    /// Whether the core's state is consistent. It is not after a panic during an update.
    pub fn is_core_consistent(&self) -> bool {
        !self.is_updating_core
    }

    /// Executes effects until the core has none left. The core's buffer and the reused one are
    /// swapped, so that no buffer is allocated.
    fn execute_effects(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        loop {
            self.core.take_effects(&mut effects);
            if effects.is_empty() {
                break;
            }
            for effect in effects.drain(..) {
                self.execute_effect(effect);
            }
        }
        effects.shrink_to(EFFECT_BUFFER_CAPACITY);
        self.effects = effects;
    }

    /// Attaches the idempotency store and the keys that it recovered.
    pub fn attach_store(&mut self, store: RunStore, recovered: Vec<RecoveredKey>, salt: Salt) {
        self.salt = salt;
        self.core.attach_store(store, recovered);
    }
}
