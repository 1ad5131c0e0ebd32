//! Responses of the control endpoint. Each is the last one on its connection.

use super::RequestError;
use std::io::Write;

/// Content type of the responses that are not JSON.
const PLAIN_TEXT: &str = "text/plain; charset=utf-8";

/// Appends a text response, with status 200 if `is_success` and 503 otherwise. With `is_head_only`
/// the body is omitted, but the head still states its length.
pub fn write_text(out: &mut Vec<u8>, is_success: bool, is_head_only: bool, text: &str) {
    let status = if is_success {
        "200 OK"
    } else {
        "503 Service Unavailable"
    };
    let body = if is_head_only { "" } else { text };
    write_response(out, status, "", PLAIN_TEXT, text.len(), body);
}

/// Appends a response with a JSON document. With `is_head_only` the body is omitted.
pub fn write_json(out: &mut Vec<u8>, is_head_only: bool, text: &str) {
    let body = if is_head_only { "" } else { text };
    write_response(out, "200 OK", "", "application/json", text.len(), body);
}

/// Appends the response to an invalid request.
pub fn write_error(out: &mut Vec<u8>, error: RequestError) {
    let allow = match error {
        RequestError::MethodNotAllowed(methods) => format!("Allow: {methods}\r\n"),
        _ => String::new(),
    };
    let status = error.to_string();
    let text = format!("{status}\n");
    write_response(out, &status, &allow, PLAIN_TEXT, text.len(), &text);
}

fn write_response(
    out: &mut Vec<u8>,
    status: &str,
    fields: &str,
    content_type: &str,
    length: usize,
    body: &str,
) {
    // Writing to a vector cannot fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status}\r\n{fields}Content-Type: {content_type}\r\nContent-Length: {length}\r\n\
         Cache-Control: no-store\r\nConnection: close\r\n\r\n{body}"
    );
}
