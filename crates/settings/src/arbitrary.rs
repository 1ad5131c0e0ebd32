//! Strategies that generate random valid settings over their whole domain, for tests. They generate
//! the platform's JSON, so that tests also cover its parsing.
//!
//! Tests use fixed seeds, so a change in the order or the ranges of the strategies changes the
//! settings that tests run with.

use proptest::arbitrary::any;
use proptest::collection::vec;
use proptest::sample::select;
use proptest::strategy::Strategy;
use serde_json::{json, Value};

/// One millisecond in microseconds.
const MS: i64 = 1000;

fn class() -> impl Strategy<Value = Value> {
    let idempotency = select(vec!["free", "guarded", "single_shot"]);
    let times = (50i64..5000, 1.0f64..8.0, 0i64..60_000);
    let weights = (
        0.0f64..10.0,
        select(vec![0.0, 0.2, 1.0]),
        select(vec![0.0, 0.0, 3.0, 20.0]),
    );
    (idempotency, times, weights).prop_map(|(idempotency, times, weights)| {
        let (objective_ms, deadline_factor, window_ms) = times;
        let (priority_weight, late_weight, objective_per_cost) = weights;
        let deadline = (objective_ms as f64 * deadline_factor) as i64 * MS;
        json!({
            "idempotency": idempotency,
            "target": objective_ms * MS,
            "deadline": deadline.max(100 * MS),
            "memorySpan": window_ms * MS,
            "worth": priority_weight,
            "lateWorth": late_weight,
            "aimStretch": objective_per_cost,
        })
    })
}

fn server(class_count: usize) -> impl Strategy<Value = Value> {
    let keywords = (
        select(vec!["silent", "shared", "tier"]),
        select(vec!["silent", "threshold", "window", "share_of"]),
        select(vec!["silent", "abort", "suspend"]),
    );
    let machine = (
        1u32..17,
        1.0f64..16.0,
        2_000.0f64..200_000.0,
        0.0f64..50.0,
        any::<bool>(),
    );
    let downstream = (
        0.1f64..40.0,
        200i64..8000,
        0i64..500,
        select(vec![0.0, 0.0, 0.5]),
    );
    let connections = (
        vec(any::<bool>(), class_count),
        any::<bool>(),
        0u32..12,
        1i64..60,
    );
    (keywords, machine, downstream, connections).prop_map(
        |(keywords, machine, downstream, connections)| {
            let (downstream_kind, backpressure, cancellation) = keywords;
            let (cores, run_memory_factor, memory_kb, key_kb, is_cold) = machine;
            let (call_share, call_window_ms, linger_ms, skip_call_weight) = downstream;
            let (class_calls, passes_deadline, callers, keepalive_s) = connections;
            let skip_call_weights: Vec<f64> =
                class_calls.iter().map(|_| skip_call_weight).collect();
            json!({
                "below": downstream_kind,
                "say": backpressure,
                "stopMode": cancellation,
                "cpus": cores,
                "blowup": run_memory_factor,
                "heapKb": memory_kb,
                "keyKb": key_kb,
                "cold": is_cold,
                "depShare": call_share,
                "callsOver": call_window_ms * MS,
                "linger": linger_ms * MS,
                "degradedWorth": skip_call_weights,
                "classCalls": class_calls,
                "passesDeadline": passes_deadline,
                "upstreams": callers,
                "keepaliveMax": keepalive_s * 1000 * MS,
                "fresh": 0,
                "gauges": ["links", "on_cores", "strange", "core_use"],
            })
        },
    )
}

fn safety() -> impl Strategy<Value = Value> {
    (
        40i64..200,
        0i64..20_000,
        0.05f64..1.0,
        0i64..3000,
        500i64..5000,
        1.6f64..8.0,
    )
        .prop_map(
            |(slack_ms, warmup_ms, cold_speed, grace_ms, window_ms, max_concurrency)| {
                json!({
                    "answerSlack": slack_ms * MS,
                    "cold": warmup_ms * MS,
                    "coldFrom": cold_speed,
                    "drainGrace": grace_ms * MS,
                    "tipAfter": window_ms * MS,
                    "tipMultiple": max_concurrency,
                })
            },
        )
}

/// Valid settings of a random deployment: one to six classes of any kind, up to four tenants, and
/// any keyword that the platform defines.
pub fn platform_settings() -> impl Strategy<Value = Value> {
    vec(class(), 1..7).prop_flat_map(|classes| {
        let fleet = (
            vec(0.0f64..500.0, 0..5),
            0u32..40,
            0i64..3000,
            any::<(bool, bool)>(),
        );
        (server(classes.len()), safety(), fleet).prop_map(move |(server, safety, fleet)| {
            let (quotas, replicas, max_retry_after_ms, flags) = fleet;
            let (marks_retries, is_weighted_by_work) = flags;
            json!({
                "categories": named_classes(&classes),
                "tenants": named_tenants(&quotas),
                "familyInfo": server,
                "replicasOfMe": replicas,
                "overShareWorth": 0.1,
                "limits": {"maxRetryAfter": max_retry_after_ms * MS},
                "clients": {"marksRetry": marks_retries},
                "round": 2000,
                "worthBy": if is_weighted_by_work { "work" } else { "request" },
                "safety": safety,
            })
        })
    })
}

fn named_classes(classes: &[Value]) -> Vec<Value> {
    let named = |(index, class): (usize, &Value)| {
        let mut class = class.clone();
        class["name"] = json!(format!("class-{index}"));
        class
    };
    classes.iter().enumerate().map(named).collect()
}

fn named_tenants(quotas: &[f64]) -> Vec<Value> {
    let named = |(index, quota): (usize, &f64)| json!({"name": format!("tenant-{index}"), "quotaRps": quota});
    quotas.iter().enumerate().map(named).collect()
}
