//! Conversion of the platform's settings to those of the admission controller.

use crate::error::SettingsError;
use crate::platform::{ClassSettings, PlatformSettings, SafetySettings, ServerSettings};
use pipitlever_admission::{
    BackpressureKind, CancellationMode, Class, Downstream, Idempotency, Safety, Settings, Tenant,
};

impl PlatformSettings {
    /// Converts the settings to those of the admission controller.
    ///
    /// # Errors
    ///
    /// Returns the first keyword that the platform does not define. Ranges are checked by
    /// [`PlatformSettings::validate`].
    pub fn controller_settings(&self) -> Result<Settings, SettingsError> {
        let server = &self.server;
        Ok(Settings {
            classes: self.controller_classes()?,
            tenants: self.controller_tenants(),
            replicas: self.replicas,
            callers: server.callers,
            cores: server.cores,
            memory_kb: server.memory_kb,
            run_memory_factor: server.run_memory_factor,
            key_kb: server.key_kb,
            is_cold: server.is_cold,
            downstream: parse_downstream(&server.downstream)?,
            call_share: server.call_share,
            call_window: server.call_window,
            call_linger: server.call_linger,
            read_cache_ttl: server.read_cache_ttl,
            cancellation: parse_cancellation(&server.cancellation)?,
            backpressure: parse_backpressure(&server.backpressure)?,
            max_keepalive: server.max_keepalive,
            max_retry_after: self.limits.max_retry_after,
            over_quota_weight: self.over_quota_weight,
            is_weighted_by_work: self.weight_unit == "work",
            safety: controller_safety(&self.safety),
        })
    }

    fn controller_classes(&self) -> Result<Vec<Class>, SettingsError> {
        self.classes
            .iter()
            .enumerate()
            .map(|(index, class)| controller_class(class, index, &self.server))
            .collect()
    }

    fn controller_tenants(&self) -> Vec<Tenant> {
        self.tenants
            .iter()
            .map(|tenant| Tenant {
                quota_rps: tenant.quota_rps,
            })
            .collect()
    }
}

fn controller_class(
    class: &ClassSettings,
    index: usize,
    server: &ServerSettings,
) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective: class.latency_objective,
        deadline: class.deadline,
        idempotency: parse_idempotency(&class.idempotency)?,
        idempotency_window: class.idempotency_window,
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        objective_per_cost: class.objective_per_cost,
        makes_calls: server.class_calls.get(index).copied().unwrap_or(false),
        skip_call_weight: server.skip_call_weight.get(index).copied().unwrap_or(0.0),
    })
}

fn controller_safety(safety: &SafetySettings) -> Safety {
    Safety {
        answer_slack: safety.answer_slack,
        warmup_time: safety.warmup_time,
        cold_speed: safety.cold_speed,
        drain_grace: safety.drain_grace,
        concurrency_window: safety.concurrency_window,
        max_concurrency_per_core: safety.max_concurrency_per_core,
    }
}

fn parse_idempotency(keyword: &str) -> Result<Idempotency, SettingsError> {
    match keyword {
        "free" => Ok(Idempotency::Idempotent),
        "guarded" => Ok(Idempotency::Keyed),
        "single_shot" => Ok(Idempotency::NonIdempotent),
        _ => Err(unknown_keyword("idempotency", keyword)),
    }
}

fn parse_downstream(keyword: &str) -> Result<Downstream, SettingsError> {
    match keyword {
        "silent" => Ok(Downstream::None),
        "shared" => Ok(Downstream::Shared),
        "tier" => Ok(Downstream::Tier),
        _ => Err(unknown_keyword("downstream layer (below)", keyword)),
    }
}

fn parse_cancellation(keyword: &str) -> Result<CancellationMode, SettingsError> {
    match keyword {
        "silent" => Ok(CancellationMode::Unsupported),
        "abort" => Ok(CancellationMode::Abort),
        "suspend" => Ok(CancellationMode::Suspend),
        _ => Err(unknown_keyword("cancellation mode (stopMode)", keyword)),
    }
}

fn parse_backpressure(keyword: &str) -> Result<BackpressureKind, SettingsError> {
    match keyword {
        "silent" => Ok(BackpressureKind::Disabled),
        "threshold" => Ok(BackpressureKind::Threshold),
        "window" => Ok(BackpressureKind::Window),
        "share_of" => Ok(BackpressureKind::Share),
        _ => Err(unknown_keyword("backpressure kind (say)", keyword)),
    }
}

fn unknown_keyword(setting: &'static str, keyword: &str) -> SettingsError {
    SettingsError::UnknownKeyword {
        setting,
        keyword: keyword.to_owned(),
    }
}
