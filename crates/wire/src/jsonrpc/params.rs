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
/// Most work that a request may announce, in milliseconds.
const MAX_EXPECTED_WORK_MS: f64 = 1e9;
/// A request's memory is below this, in KB.
const MEMORY_LIMIT_KB: f64 = 2000.0;

/// The parameters under their names on the wire.
#[derive(Deserialize)]
struct Params<'a> {
    #[serde(rename = "ref", borrow)]
    reference: Cow<'a, str>,
    // Only captures use it, so any value is accepted.
    #[serde(borrow, default)]
    sender: Option<&'a RawValue>,
    #[serde(borrow, default)]
    project: Option<Text<'a>>,
    since: f64,
    #[serde(default)]
    allow: Option<f64>,
    #[serde(default)]
    dup: Option<f64>,
    #[serde(default)]
    effort: Option<f64>,
    room: f64,
    class_rank: f64,
    #[serde(borrow, default)]
    replay: Option<Text<'a>>,
    #[serde(borrow)]
    doc: Cow<'a, str>,
}

impl Params<'_> {
    fn are_in_range(&self) -> bool {
        let is_within = |value: f64, max: f64| (0.0..=max).contains(&value);
        let is_key = |key: &Text| (1..=MAX_KEY).contains(&key.0.len());
        is_within(self.since, MAX_ARRIVED_AT_MS)
            && self.allow.is_none_or(|v| is_within(v, MAX_TIMEOUT_MS))
            && self
                .effort
                .is_none_or(|v| is_within(v, MAX_EXPECTED_WORK_MS))
            && self.room > 0.0
            && self.room < MEMORY_LIMIT_KB
            && (0.0..1.0).contains(&self.class_rank)
            && self.dup.is_none_or(|v| v == 0.0 || v == 1.0)
            && self.replay.as_ref().is_none_or(is_key)
    }

    /// Decodes the body into `buffer` and returns its length; none if it is too long or not base64.
    fn decode_body(&self, buffer: &mut [u8]) -> Option<usize> {
        if self.doc.len() > MAX_BODY.div_ceil(3) * 4 {
            return None;
        }
        let length = STANDARD.decode_slice(&*self.doc, buffer).ok()?;
        (length <= MAX_BODY).then_some(length)
    }
}

/// The request of this id. `class` is looked up last, so that invalid parameters are reported even
/// where the class is unknown.
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
    // Base64 decodes in groups, so the buffer has room for one more.
    let mut buffer = [0; MAX_BODY + 2];
    let length = params.decode_body(&mut buffer);
    let length = length.ok_or(ErrorCode::InvalidParams)?;
    let reference = parse_reference(&params.reference).ok_or(ErrorCode::InvalidParams)?;
    // Once out of base64, and once into the shared body.
    count_copied(2 * length);
    Ok(WorkRequest {
        id,
        class: class().ok_or(ErrorCode::MethodNotFound)?,
        reference,
        gateway: params.sender.and_then(|s| s.get().parse().ok()),
        tenant: params.project.and_then(|name| tenant(&name.0)),
        arrived_at_ms: params.since,
        timeout_ms: params.allow,
        is_retry: params.dup == Some(1.0),
        expected_work_ms: params.effort,
        memory_kb: params.room,
        priority: params.class_rank,
        idempotency_key: params.replay.map(|key| Rc::from(&*key.0)),
        body: Rc::from(&buffer[..length]),
    })
}
