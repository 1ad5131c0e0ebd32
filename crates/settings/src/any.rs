//! Valid settings over their whole domain, for tests: any deployment may be one of these. It makes
//! the JSON that a platform hands out, so that what reads it is tried as well.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use serde_json::{json, Value};

const MS: i64 = 1000;

fn category() -> impl Strategy<Value = Value> {
    let kind = select(vec!["free", "guarded", "single_shot"]);
    let times = (50i64..5000, 1.0f64..8.0, 0i64..60_000);
    let worths = (
        0.0f64..10.0,
        select(vec![0.0, 0.2, 1.0]),
        select(vec![0.0, 0.0, 3.0, 20.0]),
    );
    (kind, times, worths).prop_map(|(kind, (target, stretch, span), (worth, late, aim))| {
        let deadline = (target as f64 * stretch) as i64 * MS;
        json!({"idempotency": kind, "target": target * MS, "deadline": deadline.max(100 * MS),
               "memorySpan": span * MS, "worth": worth, "lateWorth": late, "aimStretch": aim})
    })
}

fn family(classes: usize) -> impl Strategy<Value = Value> {
    let words = (
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
    let below = (
        0.1f64..40.0,
        200i64..8000,
        0i64..500,
        select(vec![0.0, 0.0, 0.5]),
    );
    let rest = (
        vec(any::<bool>(), classes),
        any::<bool>(),
        0u32..12,
        1i64..60,
    );
    (words, machine, below, rest).prop_map(|(words, machine, below, rest)| {
        let (calls, passes, upstreams, keepalive) = rest;
        let degraded: Vec<f64> = calls.iter().map(|_| below.3).collect();
        json!({"below": words.0, "say": words.1, "stopMode": words.2, "cpus": machine.0, "blowup": machine.1,
               "heapKb": machine.2, "keyKb": machine.3, "cold": machine.4, "depShare": below.0,
               "callsOver": below.1 * MS, "linger": below.2 * MS, "degradedWorth": degraded, "classCalls": calls,
               "passesDeadline": passes, "upstreams": upstreams, "keepaliveMax": keepalive * 1000 * MS,
               "fresh": 0, "gauges": ["links", "on_cores", "strange", "core_use"]})
    })
}

/// Settings of some deployment: one to six classes of any kind, no tenants to four, each word that
/// the pages allow.
pub fn settings() -> impl Strategy<Value = Value> {
    let classes = vec(category(), 1..7);
    classes.prop_flat_map(|classes| {
        let safety = (40i64..200, 0i64..20_000, 0.05f64..1.0, 0i64..3000, 500i64..5000, 1.6f64..8.0);
        let rest = (vec(0.0f64..500.0, 0..5), 0u32..40, 0i64..3000, any::<(bool, bool)>());
        (family(classes.len()), safety, rest).prop_map(move |(family, safety, rest)| {
            let (quotas, replicas, retry, (marks, work)) = rest;
            let named = |(i, class): (usize, &Value)| {
                let mut class = class.clone();
                class["name"] = json!(format!("class-{i}"));
                class
            };
            let tenant =
                |(i, quota): (usize, &f64)| json!({"name": format!("tenant-{i}"), "quotaRps": quota});
            json!({
                "categories": classes.iter().enumerate().map(named).collect::<Vec<_>>(),
                "tenants": quotas.iter().enumerate().map(tenant).collect::<Vec<_>>(),
                "familyInfo": family, "replicasOfMe": replicas, "overShareWorth": 0.1,
                "limits": {"maxRetryAfter": retry * MS}, "clients": {"marksRetry": marks}, "round": 2000,
                "worthBy": if work { "work" } else { "request" },
                "safety": {"answerSlack": safety.0 * MS, "cold": safety.1 * MS, "coldFrom": safety.2,
                           "drainGrace": safety.3 * MS, "tipAfter": safety.4 * MS, "tipMultiple": safety.5},
            })
        })
    })
}
