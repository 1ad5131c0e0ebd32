//! Settings: request classes, tenants, and the limits that the controller enforces.

use super::Micros;
use serde::{Deserialize, Serialize};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Idempotent: safe to run again.
    #[serde(rename = "Free")]
    Idempotent,
    /// Has an idempotency key: runs at most once on this server within the class's window.
    Keyed,
    /// Not idempotent and without a key: must never run twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The latency objective: an answer within this time of the first attempt has full weight.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long a client waits, over all attempts.
    pub deadline: Micros,
    /// Whether requests of this class may run more than once.
    pub idempotency: Idempotency,
    /// For keyed classes: how long after an arrival duplicates can arrive.
    #[serde(rename = "window")]
    pub idempotency_window: Micros,
    /// The weight of a request, or of a unit of its work (see [`Settings::is_weighted_by_work`]).
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The share of the weight that an answer after the latency objective retains.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// The latency objective is extended by this time for each unit of a request's cost, in
    /// microseconds.
    #[serde(rename = "aim_stretch")]
    pub objective_per_cost: f64,
    /// Whether requests of this class may place downstream calls.
    #[serde(rename = "calls")]
    pub makes_calls: bool,
    /// The share of the weight that remains when a call is skipped; 0 forbids skipping.
    #[serde(rename = "skip_worth")]
    pub skip_call_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The quota in requests per second, over the whole fleet.
    pub quota_rps: f64,
}

/// The downstream layer that the server calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Downstream {
    /// The server makes no calls.
    #[serde(rename = "Nothing")]
    None,
    /// A dependency that all servers of the fleet share.
    Shared,
    /// The servers of another tier.
    Tier,
}

/// The effect of cancelling a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancellationMode {
    /// Runs cannot be cancelled.
    #[serde(rename = "Never")]
    Unsupported,
    /// The work done is lost.
    Abort,
    /// Progress and memory are retained.
    Suspend,
}

/// How callers interpret the advertised backpressure level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackpressureKind {
    /// No level may be advertised.
    #[serde(rename = "Never")]
    Disabled,
    /// Callers send no request with a priority below the level.
    Threshold,
    /// Each caller has at most this many requests outstanding at this server.
    Window,
    /// The probability with which a caller considers this server.
    Share,
}

/// Limits that keep the server available and its answers in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Safety {
    /// How long after the deadline of a request its answer still counts.
    pub answer_slack: Micros,
    /// The time that a cold server takes from its start to reach full speed.
    #[serde(rename = "cold_for")]
    pub warmup_time: Micros,
    /// The minimum speed of a cold server at its start, as a share of full speed.
    #[serde(rename = "cold_from")]
    pub cold_speed: f64,
    /// Requests that arrive later than this after the shutdown notice must not run.
    pub drain_grace: Micros,
    /// The time over which concurrency on the cores is averaged.
    #[serde(rename = "crowd_span")]
    pub concurrency_window: Micros,
    /// The number of concurrent runs per core that a warm server survives.
    #[serde(rename = "crowd")]
    pub max_concurrency_per_core: f64,
}

/// The settings of a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The request classes; events refer to them by position.
    pub classes: Vec<Class>,
    /// The tenants; can be empty. Events refer to them by position.
    pub tenants: Vec<Tenant>,
    /// The number of servers in the fleet at the start.
    pub replicas: f64,
    /// The number of callers at the start.
    pub callers: f64,
    /// The number of cores of this server.
    pub cores: f64,
    /// The memory for queued and running requests and retained keys, in kilobytes.
    pub memory_kb: f64,
    /// The memory of a running request as a multiple of its memory while queued.
    #[serde(rename = "run_factor")]
    pub run_memory_factor: f64,
    /// The memory of one retained key, in kilobytes.
    pub key_kb: f64,
    /// Whether the server has just started and is slow at first.
    #[serde(rename = "cold")]
    pub is_cold: bool,
    /// The downstream layer that the server calls.
    #[serde(rename = "below")]
    pub downstream: Downstream,
    /// This server's share of the shared dependency: the mean number of calls in flight.
    pub call_share: f64,
    /// The time over which the number of calls in flight is averaged.
    #[serde(rename = "call_span")]
    pub call_window: Micros,
    /// How long an abandoned call can continue to occupy the dependency.
    #[serde(rename = "linger")]
    pub call_linger: Micros,
    /// How long the answer of a read can serve other reads of the same key; 0 disables this.
    #[serde(rename = "fresh")]
    pub read_cache_ttl: Micros,
    /// The effect of cancelling a run.
    #[serde(rename = "halt")]
    pub cancellation: CancellationMode,
    /// How callers interpret the backpressure level.
    #[serde(rename = "level")]
    pub backpressure: BackpressureKind,
    /// The longest time that a connection can be idle before callers close it.
    #[serde(rename = "keepalive_max")]
    pub max_keepalive: Micros,
    /// The longest retry advice that callers observe.
    #[serde(rename = "max_backoff")]
    pub max_retry_after: Micros,
    /// The weight of a request beyond its tenant's quota, as a share of its normal weight.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Whether weights apply to units of work rather than to requests.
    #[serde(rename = "worth_by_work")]
    pub is_weighted_by_work: bool,
    /// Limits that keep the server available.
    pub safety: Safety,
}

/// An idempotent class without calls, with a latency objective of one second and a deadline of five
/// seconds.
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

/// Limits of a server that is warm at its start.
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

/// A single server with one core that makes no calls and has no tenants.
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
