//! The simulator's output: the actions of all servers of a batch.

use crate::names::RequestIds;
use pipitlever_admission::{Action, Micros};
use serde::Serialize;

/// A line of output.
#[derive(Serialize)]
pub struct Reply<'a> {
    /// The actions, in the order in which they have to be carried out.
    #[serde(rename = "steps")]
    pub actions: Vec<ServerAction<'a>>,
}

/// An action of a server's instance, or the report that its controller panicked.
#[derive(Serialize)]
pub struct ServerAction<'a> {
    #[serde(rename = "who")]
    server: &'a str,
    #[serde(flatten)]
    command: Command<'a>,
}

/// An action with its name in the simulator's protocol.
#[derive(Serialize)]
#[serde(
    tag = "type",
    rename_all = "camelCase",
    rename_all_fields = "camelCase"
)]
enum Command<'a> {
    #[serde(rename = "start")]
    Run {
        #[serde(rename = "opId")]
        request: &'a str,
    },
    #[serde(rename = "echo")]
    ReuseOutcome {
        #[serde(rename = "opId")]
        request: &'a str,
    },
    #[serde(rename = "busy")]
    Reject {
        #[serde(rename = "opId")]
        request: &'a str,
        #[serde(rename = "backoff")]
        retry_after: Micros,
        #[serde(rename = "dontRetry")]
        no_retry: bool,
    },
    #[serde(rename = "surrender")]
    Fail {
        #[serde(rename = "opId")]
        request: &'a str,
    },
    #[serde(rename = "pin")]
    RetainKey {
        #[serde(rename = "opId")]
        request: &'a str,
        lifetime: Micros,
    },
    #[serde(rename = "dropKey")]
    ReleaseKey {
        #[serde(rename = "opId")]
        request: &'a str,
    },
    #[serde(rename = "invoke")]
    PlaceCall {
        #[serde(rename = "opId")]
        request: &'a str,
        #[serde(rename = "within")]
        timeout: Micros,
    },
    #[serde(rename = "skip")]
    SkipCall {
        #[serde(rename = "opId")]
        request: &'a str,
    },
    #[serde(rename = "interrupt")]
    Cancel {
        #[serde(rename = "opId")]
        request: &'a str,
    },
    #[serde(rename = "say")]
    Backpressure {
        #[serde(rename = "amount")]
        level: f64,
    },
    #[serde(rename = "readiness")]
    Health {
        #[serde(rename = "enable")]
        is_healthy: bool,
        #[serde(rename = "cached")]
        is_cached: bool,
    },
    #[serde(rename = "idle")]
    CloseIdle {
        #[serde(rename = "lifetime")]
        timeout: Micros,
    },
    #[serde(rename = "defer")]
    Timer {
        from_now: Micros,
        #[serde(rename = "ref")]
        tag: u64,
    },
    #[serde(rename = "panic")]
    Panic {
        #[serde(rename = "words")]
        message: &'a str,
    },
}

impl<'a> ServerAction<'a> {
    /// Translates an action of the controller, with the simulator's name of its request.
    pub fn action(server: &'a str, action: &Action, request_ids: &'a RequestIds) -> Self {
        let command = match *action {
            Action::Run(id) => Command::Run {
                request: request_ids.name(id),
            },
            Action::ReuseOutcome(id) => Command::ReuseOutcome {
                request: request_ids.name(id),
            },
            Action::Reject {
                id,
                retry_after,
                no_retry,
            } => Command::Reject {
                request: request_ids.name(id),
                retry_after,
                no_retry,
            },
            Action::Fail(id) => Command::Fail {
                request: request_ids.name(id),
            },
            Action::RetainKey(id, lifetime) => Command::RetainKey {
                request: request_ids.name(id),
                lifetime,
            },
            Action::ReleaseKey(id) => Command::ReleaseKey {
                request: request_ids.name(id),
            },
            Action::PlaceCall(id, timeout) => Command::PlaceCall {
                request: request_ids.name(id),
                timeout,
            },
            Action::SkipCall(id) => Command::SkipCall {
                request: request_ids.name(id),
            },
            Action::Cancel(id) => Command::Cancel {
                request: request_ids.name(id),
            },
            Action::Backpressure(level) => Command::Backpressure { level },
            Action::Health(is_healthy) => Command::Health {
                is_healthy,
                is_cached: true,
            },
            Action::CloseIdle(timeout) => Command::CloseIdle { timeout },
            Action::Timer(from_now, tag) => Command::Timer { from_now, tag },
        };
        ServerAction { server, command }
    }

    /// Reports that the controller of a server's instance panicked.
    pub fn panic(server: &'a str, message: &'a str) -> Self {
        ServerAction {
            server,
            command: Command::Panic { message },
        }
    }
}
