//! The structure of the platform's JSON. Fields are named in this project's terms; `rename`
//! attributes give the platform's keys where these differ.

use pipitlever_admission::Micros;
use serde::Deserialize;

/// The settings as the platform sends them.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PlatformSettings {
    #[serde(rename = "categories")]
    pub(crate) classes: Vec<ClassSettings>,
    #[serde(rename = "familyInfo")]
    pub(crate) server: ServerSettings,
    #[serde(default)]
    pub(crate) clients: ClientSettings,
    #[serde(default)]
    pub(crate) limits: LimitSettings,
    #[serde(default, rename = "overShareWorth")]
    pub(crate) over_quota_weight: f64,
    #[serde(default, rename = "replicasOfMe")]
    pub(crate) replicas: f64,
    #[serde(default, rename = "round")]
    pub(crate) decision_interval: Micros,
    pub(crate) safety: SafetySettings,
    #[serde(default)]
    pub(crate) tenants: Vec<TenantSettings>,
    #[serde(default, rename = "worthBy")]
    pub(crate) weight_unit: String,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ClassSettings {
    pub(crate) name: String,
    #[serde(rename = "target")]
    pub(crate) latency_objective: Micros,
    pub(crate) deadline: Micros,
    pub(crate) idempotency: String,
    #[serde(default, rename = "memorySpan")]
    pub(crate) idempotency_window: Micros,
    #[serde(default, rename = "worth")]
    pub(crate) priority_weight: f64,
    #[serde(default, rename = "lateWorth")]
    pub(crate) late_weight: f64,
    #[serde(default, rename = "aimStretch")]
    pub(crate) objective_per_cost: f64,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct TenantSettings {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) quota_rps: f64,
}

/// The properties of the server and of its downstream layer.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ServerSettings {
    #[serde(rename = "below")]
    pub(crate) downstream: String,
    #[serde(rename = "blowup")]
    pub(crate) run_memory_factor: f64,
    #[serde(default, rename = "callsOver")]
    pub(crate) call_window: Micros,
    #[serde(default)]
    pub(crate) class_calls: Vec<bool>,
    #[serde(default, rename = "cold")]
    pub(crate) is_cold: bool,
    #[serde(rename = "cpus")]
    pub(crate) cores: f64,
    #[serde(default, rename = "degradedWorth")]
    pub(crate) skip_call_weight: Vec<f64>,
    #[serde(default, rename = "depShare")]
    pub(crate) call_share: f64,
    #[serde(default, rename = "fresh")]
    pub(crate) read_cache_ttl: Micros,
    #[serde(default)]
    pub(crate) gauges: Vec<String>,
    #[serde(rename = "heapKb")]
    pub(crate) memory_kb: f64,
    #[serde(default, rename = "keepaliveMax")]
    pub(crate) max_keepalive: Micros,
    #[serde(default)]
    pub(crate) key_kb: f64,
    #[serde(default, rename = "linger")]
    pub(crate) call_linger: Micros,
    #[serde(default)]
    pub(crate) passes_deadline: bool,
    #[serde(rename = "say")]
    pub(crate) backpressure: String,
    #[serde(rename = "stopMode")]
    pub(crate) cancellation: String,
    #[serde(default, rename = "upstreams")]
    pub(crate) callers: f64,
}

/// The properties of clients.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ClientSettings {
    #[serde(rename = "marksRetry")]
    pub(crate) marks_retries: bool,
}

/// Limits on the advice that a server sends to its clients.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct LimitSettings {
    pub(crate) max_retry_after: Micros,
}

/// Limits that prevent overload of the server and late answers.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SafetySettings {
    pub(crate) answer_slack: Micros,
    #[serde(default, rename = "cold")]
    pub(crate) warmup_time: Micros,
    #[serde(rename = "coldFrom")]
    pub(crate) cold_speed: f64,
    pub(crate) drain_grace: Micros,
    #[serde(rename = "tipAfter")]
    pub(crate) concurrency_window: Micros,
    #[serde(rename = "tipMultiple")]
    pub(crate) max_concurrency_per_core: f64,
}

impl PlatformSettings {
    /// The names of the classes, by position.
    pub fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|c| c.name.clone()).collect()
    }

    /// The names of the tenants, by position.
    pub fn tenant_names(&self) -> Vec<String> {
        self.tenants.iter().map(|t| t.name.clone()).collect()
    }

    /// The names of the gauges, in the order in which the processor lists them.
    pub fn gauge_names(&self) -> &[String] {
        &self.server.gauges
    }

    /// The minimum interval between two decisions of the controller, in microseconds.
    pub fn decision_interval(&self) -> Micros {
        self.decision_interval
    }

    /// Whether clients mark every retry.
    pub fn marks_retries(&self) -> bool {
        self.clients.marks_retries
    }

    /// Whether requests carry the remaining time until their caller's deadline.
    pub fn passes_deadline(&self) -> bool {
        self.server.passes_deadline
    }
}
