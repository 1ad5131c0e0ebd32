//! What a controller is told at its start: classes, tenants, and the limits that must hold.

use super::Micros;
use serde::{Deserialize, Serialize};

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Safe to repeat.
    #[serde(rename = "Free")]
    Idempotent,
    /// Carries a key; runs at most once here within the class's window.
    Keyed,
    /// Must never be run twice and carries no key.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time of the first try earns full worth.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: how long after an arrival a repeat may come.
    #[serde(rename = "window")]
    pub idempotency_window: Micros,
    /// Worth of one request, or of one unit of its work.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// The aim grows by this multiple of the request's own work.
    #[serde(rename = "aim_stretch")]
    pub objective_per_cost: f64,
    /// Whether its requests may call the layer below.
    #[serde(rename = "calls")]
    pub makes_calls: bool,
    /// Share of the worth that is left when a call is skipped; 0 forbids skipping.
    #[serde(rename = "skip_worth")]
    pub skip_call_weight: f64,
}

/// A tenant and what it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Requests a second, over the whole fleet, within its share.
    pub quota_rps: f64,
}

/// What lies below this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Downstream {
    /// Nothing is called.
    #[serde(rename = "Nothing")]
    None,
    /// One dependency that all servers share.
    Shared,
    /// The servers of a further tier.
    Tier,
}

/// What halting a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancellationMode {
    /// Running work cannot be halted.
    #[serde(rename = "Never")]
    Unsupported,
    /// The work done is lost.
    Abort,
    /// Progress and memory are retained.
    Suspend,
}

/// What callers make of the level they are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackpressureKind {
    /// No level may be told.
    #[serde(rename = "Never")]
    Disabled,
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
    #[serde(rename = "cold_for")]
    pub warmup_time: Micros,
    /// The share of full speed that a cold server starts at, at the least.
    #[serde(rename = "cold_from")]
    pub cold_speed: f64,
    /// Requests arriving later than this after the notice to leave must not be run.
    pub drain_grace: Micros,
    /// The span over which the crowd on the cores is averaged.
    #[serde(rename = "crowd_span")]
    pub concurrency_window: Micros,
    /// Runs on the cores, for each core, that a warm server survives.
    #[serde(rename = "crowd")]
    pub max_concurrency_per_core: f64,
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
    #[serde(rename = "run_factor")]
    pub run_memory_factor: f64,
    /// Memory of one kept key.
    pub key_kb: f64,
    /// The server has only just been started and is slow at first.
    #[serde(rename = "cold")]
    pub is_cold: bool,
    /// What lies below.
    #[serde(rename = "below")]
    pub downstream: Downstream,
    /// Mean number of calls in the dependency's hands that is this server's share.
    pub call_share: f64,
    /// The span over which that mean is taken.
    #[serde(rename = "call_span")]
    pub call_window: Micros,
    /// How long an abandoned call may stay in the dependency's hands.
    #[serde(rename = "linger")]
    pub call_linger: Micros,
    /// How long the answer of a read may serve other reads of the same key; 0 for never.
    #[serde(rename = "fresh")]
    pub read_cache_ttl: Micros,
    /// What halting does.
    #[serde(rename = "halt")]
    pub cancellation: CancellationMode,
    /// How the level is read by callers.
    #[serde(rename = "level")]
    pub backpressure: BackpressureKind,
    /// Longest idle time of a connection; callers close it after that.
    #[serde(rename = "keepalive_max")]
    pub max_keepalive: Micros,
    /// Longest advice to stay away that callers observe.
    #[serde(rename = "max_backoff")]
    pub max_retry_after: Micros,
    /// Worth of a request beyond its tenant's share, as a share of the usual.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Worth is counted by work rather than by request.
    #[serde(rename = "worth_by_work")]
    pub is_weighted_by_work: bool,
    /// Limits that must hold.
    pub safety: Safety,
}

/// A class safe to repeat, without calls, of one second's aim and five seconds' deadline.
impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: 1_000_000,
            deadline: 5_000_000,
            idempotency: Idempotency::Idempotent,
            idempotency_window: 0,
            priority_weight: 1.0,
            late_weight: 0.0,
            objective_per_cost: 0.0,
            makes_calls: false,
            skip_call_weight: 0.0,
        }
    }
}

impl Default for Safety {
    fn default() -> Self {
        Safety {
            answer_slack: 60_000,
            warmup_time: 0,
            cold_speed: 1.0,
            drain_grace: 1_000_000,
            concurrency_window: 2_000_000,
            max_concurrency_per_core: 8.0,
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
            run_memory_factor: 4.0,
            key_kb: 1.0,
            is_cold: false,
            downstream: Downstream::None,
            call_share: 0.0,
            call_window: 1_000_000,
            call_linger: 0,
            read_cache_ttl: 0,
            cancellation: CancellationMode::Unsupported,
            backpressure: BackpressureKind::Disabled,
            max_keepalive: 30_000_000,
            max_retry_after: 0,
            over_quota_weight: 1.0,
            is_weighted_by_work: false,
            safety: Safety::default(),
        }
    }
}
