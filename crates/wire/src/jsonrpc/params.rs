//! Parameters of a request for work: parsed, checked, and mapped to the node's terms.

use super::reader::Text;
use super::{ErrorCode, WorkRequest, MAX_BODY};
use crate::{count_copied, parse_reference};
use base64::{engine::general_purpose::STANDARD, Engine};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::rc::Rc;

/// Longest idempotency key, in bytes.
const MAX_KEY: usize = 128;
/// Latest arrival time, in Unix milliseconds.
const MAX_ARRIVED_AT_MS: f64 = 1e14;
/// Longest time that a caller may wait, in milliseconds: an hour.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;
/// Largest expected work of a request, in milliseconds.
const MAX_EXPECTED_WORK_MS: f64 = 1e9;
/// A request's memory is below this, in KB.
const MEMORY_LIMIT_KB: f64 = 2000.0;

/// The parameters, with their names on the wire in attributes.
#[derive(Deserialize)]
struct Params<'a> {
    #[serde(rename = "ref", borrow)]
    reference: Cow<'a, str>,
    // Only captures use the sender, so any value is accepted.
    #[serde(rename = "sender", borrow, default)]
    gateway: Option<&'a RawValue>,
    #[serde(rename = "project", borrow, default)]
    tenant: Option<Text<'a>>,
    #[serde(rename = "since")]
    arrived_at_ms: f64,
    #[serde(rename = "allow", default)]
    timeout_ms: Option<f64>,
    #[serde(rename = "dup", default)]
    retry_flag: Option<f64>,
    #[serde(rename = "effort", default)]
    expected_work_ms: Option<f64>,
    #[serde(rename = "room")]
    memory_kb: f64,
    #[serde(rename = "class_rank")]
    priority: f64,
    #[serde(rename = "replay", borrow, default)]
    idempotency_key: Option<Text<'a>>,
    #[serde(rename = "doc", borrow)]
    body: Cow<'a, str>,
}

impl Params<'_> {
    fn are_in_range(&self) -> bool {
        let is_within = |value: f64, max: f64| (0.0..=max).contains(&value);
        let is_key = |key: &Text| (1..=MAX_KEY).contains(&key.0.len());
        is_within(self.arrived_at_ms, MAX_ARRIVED_AT_MS)
            && self.timeout_ms.is_none_or(|v| is_within(v, MAX_TIMEOUT_MS))
            && self
                .expected_work_ms
                .is_none_or(|v| is_within(v, MAX_EXPECTED_WORK_MS))
            && self.memory_kb > 0.0
            && self.memory_kb < MEMORY_LIMIT_KB
            && (0.0..1.0).contains(&self.priority)
            && self.retry_flag.is_none_or(|v| v == 0.0 || v == 1.0)
            && self.idempotency_key.as_ref().is_none_or(is_key)
    }

    /// Decodes the body into `buffer` and returns its length; none if it is too long or not base64.
    fn decode_body(&self, buffer: &mut [u8]) -> Option<usize> {
        if self.body.len() > MAX_BODY.div_ceil(3) * 4 {
            return None;
        }
        let length = STANDARD.decode_slice(&*self.body, buffer).ok()?;
        (length <= MAX_BODY).then_some(length)
    }
}

/// Parses the parameters of the request with this id. `class` is looked up last, so that invalid
/// parameters are reported even if the class is unknown.
pub(super) fn parse_work(
    id: u64,
    params: Option<&RawValue>,
    class: impl FnOnce() -> Option<usize>,
    tenant: impl FnOnce(&str) -> Option<usize>,
) -> Result<WorkRequest, ErrorCode> {
    let params = params.ok_or(ErrorCode::InvalidParams)?;
    let params: Params =
        serde_json::from_str(params.get()).map_err(|_| ErrorCode::InvalidParams)?;
    if !params.are_in_range() {
        return Err(ErrorCode::InvalidParams);
    }
    // Base64 is decoded in groups of three bytes: the buffer has space for a whole last group.
    let mut buffer = [0; MAX_BODY + 2];
    let length = params.decode_body(&mut buffer);
    let length = length.ok_or(ErrorCode::InvalidParams)?;
    let reference = parse_reference(&params.reference).ok_or(ErrorCode::InvalidParams)?;
    // The body is copied twice: out of base64, and into the shared buffer.
    count_copied(2 * length);
    Ok(WorkRequest {
        id,
        class: class().ok_or(ErrorCode::MethodNotFound)?,
        reference,
        gateway: params.gateway.and_then(|s| s.get().parse().ok()),
        tenant: params.tenant.and_then(|name| tenant(&name.0)),
        arrived_at_ms: params.arrived_at_ms,
        timeout_ms: params.timeout_ms,
        is_retry: params.retry_flag == Some(1.0),
        expected_work_ms: params.expected_work_ms,
        memory_kb: params.memory_kb,
        priority: params.priority,
        idempotency_key: params.idempotency_key.map(|key| Rc::from(&*key.0)),
        body: Rc::from(&buffer[..length]),
    })
}
