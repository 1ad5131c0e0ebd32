//! The operations of the control endpoint, and the metrics in the statsd form.

use crate::log::log;
use crate::net::event_loop::NodeState;
use crate::net::membership;
use pipitlever_wire::control::{self, ControlRequest, Operation, RequestError};
use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// The current Unix time in milliseconds, for display only.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// A text response and whether the operation succeeded.
struct TextResponse {
    is_success: bool,
    text: String,
}

impl TextResponse {
    fn new(is_success: bool, text: impl Into<String>) -> TextResponse {
        TextResponse {
            is_success,
            text: text.into(),
        }
    }
}

impl NodeState {
    /// Executes a request and appends its response to `out`.
    pub(super) fn handle_control_request(
        &mut self,
        request: ControlRequest,
        body: &[u8],
        out: &mut Vec<u8>,
    ) {
        let ControlRequest {
            operation,
            is_head_only,
        } = request;
        let response = match operation {
            Operation::Fleet => {
                return match &self.membership {
                    Some(membership) => {
                        control::write_json(out, is_head_only, &membership::view(membership));
                    }
                    None => control::write_error(out, RequestError::NotFound),
                };
            }
            Operation::Publish | Operation::RetireBelow(_) | Operation::AcceptMinimum(_) => {
                match self.change_version(&operation, body) {
                    Some(response) => response,
                    None => return control::write_error(out, RequestError::NotFound),
                }
            }
            Operation::Status => self.status(),
            Operation::Metrics => TextResponse::new(true, self.metrics()),
            Operation::Standby => {
                self.set_standby(true);
                TextResponse::new(true, "standby\n")
            }
            // A shutdown cannot be cancelled.
            Operation::Active if self.is_draining() => TextResponse::new(false, "draining\n"),
            Operation::Active => {
                self.set_standby(false);
                TextResponse::new(true, "active\n")
            }
        };
        control::write_text(out, response.is_success, is_head_only, &response.text);
    }

    /// Publishes or retires config versions, or accepts a minimum version; none if this node is in
    /// no fleet, or in one without config versions.
    fn change_version(&mut self, operation: &Operation, body: &[u8]) -> Option<TextResponse> {
        let membership = self.membership.clone()?;
        let versions = membership.versions.as_ref()?;
        let now = self.clock.now();
        let response = match operation {
            Operation::Publish => versions.publish(now, unix_ms(), body),
            Operation::RetireBelow(minimum) => versions.retire_below(now, *minimum),
            Operation::AcceptMinimum(number) => versions.accept_minimum(*number),
            _ => return None,
        };
        log(&format!("control: fleet: {}", response.text.trim_end()));
        membership.notify();
        Some(TextResponse::new(response.is_success, response.text))
    }

    fn status(&self) -> TextResponse {
        if let Some(subsystem) = self.failures.failed_subsystem() {
            TextResponse::new(false, format!("failed: {subsystem}\n"))
        } else if self.is_draining() {
            TextResponse::new(false, "draining\n")
        } else if self.core.is_starting() || !self.is_accepting {
            TextResponse::new(false, "starting\n")
        } else if self.core.is_standby() {
            TextResponse::new(true, "standby\n")
        } else {
            TextResponse::new(true, "active\n")
        }
    }

    fn set_standby(&mut self, is_standby: bool) {
        if self.core.set_standby(is_standby) {
            log(if is_standby {
                "control: standby"
            } else {
                "control: active"
            });
        }
    }

    /// The metrics in the statsd format, one per line. Results of `writeln!` are ignored, as
    /// writing to a string cannot fail.
    fn metrics(&self) -> String {
        let mut text = String::new();
        for (class, counters) in self.core.classes.counters() {
            let metrics = [
                ("fulfilled", counters.served),
                ("throttled", counters.rejected),
                ("faulted", counters.failed),
                ("relayed", counters.forwarded),
            ];
            for (metric, count) in metrics {
                let _ = writeln!(text, "edge.operations.{class}.{metric}:{count}|c");
            }
        }
        let files = self.config_files;
        let _ = writeln!(text, "edge.open_requests:{}|g", self.core.unanswered());
        let _ = writeln!(text, "edge.cfg_accepted:{}|c", files.accepted);
        let _ = writeln!(text, "edge.cfg_invalid:{}|c", files.rejected);
        // Only once there was one, so that the metrics of other nodes stay the same across releases.
        if self.processor.has_had_doubts() {
            let runs = self.processor.runs_in_doubt();
            let _ = writeln!(text, "edge.runs_in_doubt:{runs}|g");
        }
        // Only after a panic, so that the metrics of other nodes stay the same across releases.
        if self.failures.count() > 0 {
            let _ = writeln!(text, "edge.panics:{}|c", self.failures.count());
        }
        if let Some(membership) = &self.membership {
            membership::write_metrics(membership, &mut text);
        }
        text
    }
}
