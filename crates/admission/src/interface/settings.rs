//! What a controller is told at its start: classes, tenants, and the limits that must hold.

use super::Micros;
use serde::{Deserialize, Serialize};

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Safe to repeat.
    Free,
    /// Carries a key; runs at most once here within the class's window.
    Keyed,
    /// Must never be run twice and carries no key.
    Unsafe,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time of the first try earns full worth.
    pub aim: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: how long after an arrival a repeat may come.
    pub window: Micros,
    /// Worth of one request, or of one unit of its work.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// Whether its requests may call the layer below.
    pub calls: bool,
    /// Share of the worth that is left when a call is skipped; 0 forbids skipping.
    pub skip_worth: f64,
}

/// A tenant and what it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Requests a second, over the whole fleet, within its share.
    pub quota_rps: f64,
}

/// What lies below this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Below {
    /// Nothing is called.
    Nothing,
    /// One dependency that all servers share.
    Shared,
    /// The servers of a further tier.
    Tier,
}

/// What halting a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HaltMode {
    /// Running work cannot be halted.
    Never,
    /// The work done is lost.
    Abort,
    /// Progress and memory are retained.
    Suspend,
}

/// What callers make of the level they are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LevelKind {
    /// No level may be told.
    Never,
    /// Callers send nothing of lower rank.
    Threshold,
    /// Each caller keeps at most this many requests outstanding here.
    Window,
    /// The chance that a caller does not pass this server over.
    Share,
}

/// Limits that keep a server alive and its answers in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Safety {
    /// How long after its due time an answer still counts.
    pub answer_slack: Micros,
    /// A cold server is warm within this time.
    pub cold_for: Micros,
    /// The share of full speed that a cold server starts at, at the least.
    pub cold_from: f64,
    /// Requests arriving later than this after the notice to leave must not be run.
    pub drain_grace: Micros,
    /// The span over which the crowd on the cores is averaged.
    pub crowd_span: Micros,
    /// Runs on the cores, for each core, that a warm server survives.
    pub crowd: f64,
}

/// All that a controller is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of request; events name them by position.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Servers in the fleet at this start.
    pub replicas: f64,
    /// Callers at this start.
    pub callers: f64,
    /// Cores of this server.
    pub cores: f64,
    /// Memory for held and running requests and kept keys.
    pub memory_kb: f64,
    /// A running request needs this multiple of its held memory.
    pub run_factor: f64,
    /// Memory of one kept key.
    pub key_kb: f64,
    /// The server has only just been started and is slow at first.
    pub cold: bool,
    /// What lies below.
    pub below: Below,
    /// Mean number of calls in the dependency's hands that is this server's share.
    pub call_share: f64,
    /// The span over which that mean is taken.
    pub call_span: Micros,
    /// How long an abandoned call may stay in the dependency's hands.
    pub linger: Micros,
    /// How long the answer of a read may serve other reads of the same key; 0 for never.
    pub fresh: Micros,
    /// What halting does.
    pub halt: HaltMode,
    /// How the level is read by callers.
    pub level: LevelKind,
    /// Longest idle time of a connection; callers close it after that.
    pub keepalive_max: Micros,
    /// Longest advice to stay away that callers observe.
    pub max_backoff: Micros,
    /// Worth of a request beyond its tenant's share, as a share of the usual.
    pub over_share_worth: f64,
    /// Worth is counted by work rather than by request.
    pub worth_by_work: bool,
    /// Limits that must hold.
    pub safety: Safety,
}

/// A class safe to repeat, without calls, of one second's aim and five seconds' deadline.
impl Default for Class {
    fn default() -> Self {
        Class {
            aim: 1_000_000,
            deadline: 5_000_000,
            idempotency: Idempotency::Free,
            window: 0,
            worth: 1.0,
            late_worth: 0.0,
            aim_stretch: 0.0,
            calls: false,
            skip_worth: 0.0,
        }
    }
}

impl Default for Safety {
    fn default() -> Self {
        Safety {
            answer_slack: 60_000,
            cold_for: 0,
            cold_from: 1.0,
            drain_grace: 1_000_000,
            crowd_span: 2_000_000,
            crowd: 8.0,
        }
    }
}

/// One server of one core that calls nothing and has no tenants.
impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: vec![Class::default()],
            tenants: Vec::new(),
            replicas: 1.0,
            callers: 1.0,
            cores: 1.0,
            memory_kb: 1e6,
            run_factor: 4.0,
            key_kb: 1.0,
            cold: false,
            below: Below::Nothing,
            call_share: 0.0,
            call_span: 1_000_000,
            linger: 0,
            fresh: 0,
            halt: HaltMode::Never,
            level: LevelKind::Never,
            keepalive_max: 30_000_000,
            max_backoff: 0,
            over_share_worth: 1.0,
            worth_by_work: false,
            safety: Safety::default(),
        }
    }
}
