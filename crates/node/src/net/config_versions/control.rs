//! Operations of the control endpoint on config versions.

use super::{log_lines, ConfigVersionsDriver};
use pipitlever_config_versions::node::{Permission, Proposal};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};

/// The body of a publication.
#[derive(Deserialize)]
struct Publication<'a> {
    base: u64,
    why: String,
    #[serde(borrow)]
    content: &'a RawValue,
}

/// The response to an operation.
pub struct OperationResponse {
    /// Whether the operation was started.
    pub is_success: bool,
    /// The response line.
    pub text: String,
}

impl OperationResponse {
    fn success(text: String) -> OperationResponse {
        OperationResponse {
            is_success: true,
            text,
        }
    }

    fn failure(text: String) -> OperationResponse {
        OperationResponse {
            is_success: false,
            text,
        }
    }
}

impl ConfigVersionsDriver {
    /// Starts the publication of a version. `unix_ms` is the current Unix time in milliseconds.
    pub fn publish(&self, now: i64, unix_ms: u64, body: &[u8]) -> OperationResponse {
        let publication: Publication = match serde_json::from_slice(body) {
            Ok(publication) => publication,
            Err(error) => return OperationResponse::failure(format!("no publication: {error}\n")),
        };
        let proposal = Proposal {
            base: publication.base,
            content: publication.content.get().as_bytes().to_vec(),
            acceptors: None,
            reverts: None,
            proposed_at_ms: unix_ms,
            reason: publication.why,
        };
        match self.node.borrow_mut().propose(now, proposal) {
            Ok(number) => OperationResponse::success(format!("publishing {number}\n")),
            Err(error) => OperationResponse::failure(format!("{error}\n")),
        }
    }

    /// Starts the retirement of all versions below `minimum`.
    pub fn retire_below(&self, now: i64, minimum: u64) -> OperationResponse {
        match self.node.borrow_mut().retire_below(now, minimum) {
            Ok(()) => {
                OperationResponse::success(format!("retiring all versions below {minimum}\n"))
            }
            Err(error) => OperationResponse::failure(format!("{error}\n")),
        }
    }

    /// Sets the minimum version that an operator has determined.
    pub fn accept_minimum(&self, number: u64) -> OperationResponse {
        self.node.borrow_mut().set_minimum_version(number);
        OperationResponse::success(format!("the minimum version is {number}\n"))
    }

    /// The state for the control endpoint.
    pub fn view(&self, now: i64) -> Value {
        let node = self.node.borrow();
        let permission = node.permission(now);
        let is_granted = matches!(permission, Permission::Granted { .. });
        let denial_reason = if is_granted {
            ""
        } else {
            log_lines::permission(permission)
        };
        let lease_ms = node
            .lease_expires_at()
            .map(|expires_at| (expires_at - now).max(0) / 1000);
        let rejected = node
            .rejected_version()
            .map(|rejected| format!("{}: {}", rejected.number, rejected.reason));
        json!({
            "acting": node.active_version(),
            "decided": node.newest().number,
            "floor": node.minimum_version().number(),
            "floor_known": node.minimum_version().is_known(),
            "may_act": is_granted,
            "why": denial_reason,
            "lease_ms": lease_ms,
            "unfit": rejected,
        })
    }
}
