//! Helpers that call a core directly, without sockets or a clock.
#![allow(dead_code, reason = "each test crate uses only some of the helpers")]

use pipitlever_admission::{Class, Downstream, Idempotency, Micros, Settings};
use pipitlever_core::{
    Answer, Core, Effect, IncomingRequest, MemoryLimits, Origin, Reference, OVERLOAD_RETRY_AFTER,
};
use std::rc::Rc;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Limit on a result in these tests, in bytes.
pub const MAX_RESULT_BYTES: usize = 4096;
/// The shortest interval between two calls of one request in these tests.
pub const CALL_INTERVAL: Micros = 2 * MILLISECOND;
const SEED: u64 = 7;
/// First reference of the requests sent by [`fill_cores`].
pub const FIRST_FILLER: Reference = 1000;

/// A core with these settings, whose controller is not started.
pub fn core_with(settings: Settings, class_names: &[Rc<str>], limits: MemoryLimits) -> Core {
    Core::new(
        settings,
        class_names,
        SEED,
        CALL_INTERVAL,
        MAX_RESULT_BYTES,
        limits,
    )
}

pub fn default_limits() -> MemoryLimits {
    MemoryLimits::for_process(192 << 20, 960)
}

/// Settings with an idempotent class and a keyed class, whose window has this length.
pub fn settings_with_window(idempotency_window: Micros) -> Settings {
    let class = |idempotency| Class {
        latency_objective: 2 * SECOND,
        deadline: 7 * SECOND,
        idempotency,
        idempotency_window,
        makes_calls: true,
        ..Class::default()
    };
    Settings {
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::Keyed)],
        cores: 2.0,
        downstream: Downstream::Tier,
        ..Settings::default()
    }
}

/// The names of the classes of [`settings_with_window`].
pub fn class_names() -> [Rc<str>; 2] {
    ["free".into(), "keyed".into()]
}

/// A core with a started controller, an idempotent class and a keyed class.
pub fn core() -> Core {
    core_with_window(20 * SECOND)
}

/// Like [`core`], with this window of the keyed class.
pub fn core_with_window(idempotency_window: Micros) -> Core {
    let settings = settings_with_window(idempotency_window);
    let mut core = core_with(settings, &class_names(), default_limits());
    core.start(SECOND, 0, false);
    core
}

/// A request that arrives now, with a deadline in five seconds.
pub fn incoming(reference: Reference, now: Micros, key: Option<&str>) -> IncomingRequest {
    IncomingRequest {
        reference,
        tenant: None,
        sender: None,
        origin: Origin {
            connection: 1,
            request_number: reference,
        },
        class: usize::from(key.is_some()),
        arrived_at: now,
        deadline: Some(now + 5 * SECOND),
        cost: None,
        memory_kb: 10.0,
        priority: 0.9,
        is_retry: false,
        idempotency_key: key.map(Rc::from),
        body: Rc::from(*b"body"),
        payload_digest: 1,
    }
}

/// Takes the pending effects of the core.
pub fn take_effects(core: &mut Core) -> Vec<Effect> {
    let mut effects = Vec::new();
    core.take_effects(&mut effects);
    effects
}

/// The requests whose runs are started by these effects.
pub fn started(effects: &[Effect]) -> Vec<Reference> {
    let start = |effect: &Effect| match effect {
        Effect::StartRun { reference, .. } => Some(*reference),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

/// The answers among these effects.
pub fn answers(effects: &[Effect]) -> Vec<(Reference, Answer)> {
    let answer = |effect: &Effect| match effect {
        Effect::Answer { origin, answer } => Some((origin.request_number, answer.clone())),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

pub fn served(result: &[u8]) -> Answer {
    Answer::Served(Rc::from(result))
}

/// The answer to a request that the node itself rejects, with the default retry delay.
pub fn overloaded() -> Answer {
    Answer::Rejected {
        retry_after: OVERLOAD_RETRY_AFTER,
        no_retry: false,
    }
}

/// Starts runs until the controller queues further requests.
pub fn fill_cores(core: &mut Core) {
    for reference in FIRST_FILLER.. {
        core.handle_request(SECOND, incoming(reference, SECOND, None));
        if started(&take_effects(core)).is_empty() {
            return core.handle_abandoned(SECOND, reference);
        }
    }
}
