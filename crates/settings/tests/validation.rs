//! Validation of the platform's settings, and their conversion to the controller's settings.

use pipitlever_admission::{BackpressureKind, CancellationMode, Downstream, Idempotency};
use pipitlever_settings::{ClassError, PlatformSettings, SettingsError};
use serde_json::{json, Value};

/// Valid settings with one class.
fn valid() -> Value {
    json!({
        "categories": [{
            "name": "read", "target": 500_000, "deadline": 2_000_000, "idempotency": "guarded",
            "memorySpan": 7_000_000, "worth": 3.0, "lateWorth": 0.2, "aimStretch": 1.5,
        }],
        "tenants": [{"name": "first", "quotaRps": 20.0}],
        "familyInfo": {
            "below": "tier", "say": "window", "stopMode": "suspend", "cpus": 4, "blowup": 8.0,
            "heapKb": 20_000, "keyKb": 12.0, "cold": true, "upstreams": 5, "fresh": 40_000,
            "classCalls": [true], "degradedWorth": [0.5],
        },
        "limits": {"maxRetryAfter": 900_000},
        "replicasOfMe": 3,
        "round": 2000,
        "safety": {
            "answerSlack": 60_000, "cold": 3_000_000, "coldFrom": 0.25, "drainGrace": 1_000_000,
            "tipAfter": 2_000_000, "tipMultiple": 8.0,
        },
    })
}

fn parse(json: Value) -> PlatformSettings {
    serde_json::from_value(json).expect("parses")
}

/// Valid settings in which the value at a JSON pointer is replaced.
fn with(pointer: &str, value: Value) -> PlatformSettings {
    let mut json = valid();
    *json.pointer_mut(pointer).expect(pointer) = value;
    parse(json)
}

#[test]
fn platform_keys_are_mapped_to_the_controllers_settings() {
    let platform = parse(valid());
    assert_eq!(platform.validate(), Ok(()));
    assert_eq!(platform.class_names(), ["read"]);
    assert_eq!(platform.tenant_names(), ["first"]);
    assert_eq!(platform.decision_interval(), 2000);
    let settings = platform.controller_settings().expect("known keywords");
    let class = &settings.classes[0];
    assert_eq!(class.latency_objective, 500_000);
    assert_eq!(class.deadline, 2_000_000);
    assert_eq!(class.idempotency, Idempotency::Keyed);
    assert_eq!(class.idempotency_window, 7_000_000);
    assert_eq!(class.priority_weight, 3.0);
    assert_eq!(class.late_weight, 0.2);
    assert_eq!(class.objective_per_cost, 1.5);
    assert!(class.makes_calls);
    assert_eq!(class.skip_call_weight, 0.5);
    assert_eq!(settings.tenants[0].quota_rps, 20.0);
    assert_eq!(settings.downstream, Downstream::Tier);
    assert_eq!(settings.backpressure, BackpressureKind::Window);
    assert_eq!(settings.cancellation, CancellationMode::Suspend);
    assert_eq!(settings.run_memory_factor, 8.0);
    assert_eq!(settings.read_cache_ttl, 40_000);
    assert_eq!(settings.max_retry_after, 900_000);
    assert_eq!(settings.safety.warmup_time, 3_000_000);
    assert_eq!(settings.safety.max_concurrency_per_core, 8.0);
}

#[test]
fn values_out_of_range_are_reported_with_their_key() {
    const DAY: i64 = 86_400_000_000;
    let cases = [
        ("/categories", json!([]), "0 classes, not from 1 to 64"),
        (
            "/categories/0/deadline",
            json!(0),
            "class read (0): deadline 0 is not from 1 to 86400000000",
        ),
        (
            "/categories/0/memorySpan",
            json!(DAY + 1),
            "class read (0): memorySpan 86400000001 is not from 0 to 86400000000",
        ),
        (
            "/categories/0/worth",
            json!(-1.0),
            "class read (0): worth, lateWorth or aimStretch below 0",
        ),
        ("/familyInfo/heapKb", json!(0.0), "heapKb 0 is not above 0"),
        (
            "/safety/drainGrace",
            json!(-1),
            "drainGrace -1 is not from 0 to 86400000000",
        ),
    ];
    for (pointer, value, message) in cases {
        let error = with(pointer, value).validate().expect_err(pointer);
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn invalid_and_duplicate_class_names_are_reported() {
    let reason = |platform: PlatformSettings| match platform.validate() {
        Err(SettingsError::Class { reason, .. }) => reason,
        other => panic!("{other:?}"),
    };
    for name in ["", "two words", "a:b", "a|b", &"x".repeat(65)] {
        let platform = with("/categories/0/name", json!(name));
        assert!(
            matches!(reason(platform), ClassError::Name { .. }),
            "{name}"
        );
    }
    let class = valid()["categories"][0].clone();
    let duplicate = with("/categories", json!([class, class]));
    assert_eq!(reason(duplicate), ClassError::DuplicateName);
}

#[test]
fn unknown_keywords_are_reported() {
    for pointer in [
        "/categories/0/idempotency",
        "/familyInfo/below",
        "/familyInfo/say",
        "/familyInfo/stopMode",
    ] {
        let platform = with(pointer, json!("undefined"));
        assert_eq!(platform.validate(), Ok(()));
        let error = platform.controller_settings().expect_err(pointer);
        let SettingsError::UnknownKeyword { keyword, .. } = error else {
            panic!("{error}")
        };
        assert_eq!(keyword, "undefined");
    }
}
