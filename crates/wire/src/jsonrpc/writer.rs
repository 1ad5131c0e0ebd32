//! Encodes answers to gateways and appends them to the output of a connection.
//!
//! `level` is the load level that each answer reports to the caller (`pressure`), if there is one.

use super::ErrorCode;
use crate::count_copied;
use base64::{engine::general_purpose::STANDARD, Engine};
use std::io::Write;

/// Appends a result, encoded in base64.
pub fn write_result(out: &mut Vec<u8>, id: u64, result: &[u8], level: Option<f64>) {
    write_head(out, Some(id));
    out.extend_from_slice(b"\"result\":{\"doc\":\"");
    let start = out.len();
    out.resize(start + result.len().div_ceil(3) * 4, 0);
    let written = STANDARD
        .encode_slice(result, &mut out[start..])
        .unwrap_or(0);
    count_copied(written);
    debug_assert_eq!(start + written, out.len(), "base64 has a known length");
    out.push(b'"');
    write_level(out, level, Separator::Comma);
    out.extend_from_slice(b"}}\n");
}

/// Appends a rejection: the request never ran. `retry_after_ms` is the time to wait before a retry,
/// 0 for none (`cooldown`); `no_retry` advises against a retry at other nodes (`nowhere`).
pub fn write_rejection(
    out: &mut Vec<u8>,
    id: u64,
    retry_after_ms: u64,
    no_retry: bool,
    level: Option<f64>,
) {
    write_error_head(out, Some(id), ErrorCode::Rejected);
    write_level(out, level, Separator::None);
    let mut is_first = level.is_none();
    if retry_after_ms > 0 {
        let comma = if is_first { "" } else { "," };
        let _ = write!(out, "{comma}\"cooldown\":{retry_after_ms}");
        is_first = false;
    }
    if no_retry {
        let comma = if is_first { "" } else { "," };
        let _ = write!(out, "{comma}\"nowhere\":1");
    }
    out.extend_from_slice(b"}}}\n");
}

/// Appends an error, for a failed request or an invalid message.
pub fn write_error(out: &mut Vec<u8>, id: Option<u64>, code: ErrorCode, level: Option<f64>) {
    write_error_head(out, id, code);
    write_level(out, level, Separator::None);
    out.extend_from_slice(b"}}}\n");
}

/// Appends the answer to a health check.
pub fn write_health(out: &mut Vec<u8>, id: u64, is_healthy: bool, level: Option<f64>) {
    write_head(out, Some(id));
    let _ = write!(out, "\"result\":{{\"healthy\":{is_healthy}");
    write_level(out, level, Separator::Comma);
    out.extend_from_slice(b"}}\n");
}

/// Appends `goaway`: the gateway must not send new requests on this connection.
pub fn write_goaway(out: &mut Vec<u8>) {
    out.extend_from_slice(b"{\"jsonrpc\":\"2.0\",\"method\":\"goaway\"}\n");
}

/// The separator before a field.
#[derive(Clone, Copy)]
enum Separator {
    None,
    Comma,
}

/// Begins an answer. Errors are ignored in this module, as writing to a vector cannot fail.
fn write_head(out: &mut Vec<u8>, id: Option<u64>) {
    let _ = match id {
        Some(id) => write!(out, "{{\"jsonrpc\":\"2.0\",\"id\":{id},"),
        None => write!(out, "{{\"jsonrpc\":\"2.0\",\"id\":null,"),
    };
}

/// Begins an error, up to its data.
fn write_error_head(out: &mut Vec<u8>, id: Option<u64>, code: ErrorCode) {
    write_head(out, id);
    let number = code.number();
    let _ = write!(
        out,
        "\"error\":{{\"code\":{number},\"message\":\"{code}\",\"data\":{{"
    );
}

fn write_level(out: &mut Vec<u8>, level: Option<f64>, separator: Separator) {
    let Some(level) = level else { return };
    let comma = match separator {
        Separator::None => "",
        Separator::Comma => ",",
    };
    let _ = write!(out, "{comma}\"pressure\":{level}");
}
