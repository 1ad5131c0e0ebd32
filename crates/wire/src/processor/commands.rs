//! Encodes commands to the processor and appends them to a batch.

use crate::lines::write_with_body;
use std::io::Write;

/// Starts the run of a request (`begin`).
pub fn write_start(out: &mut Vec<u8>, reference: u64, class: &str, body: &[u8]) {
    let length = body.len();
    write_with_body(
        out,
        format_args!("begin {reference:016x} {class} {length}"),
        body,
    );
}

/// Passes on the reply to the call that a run waits for (`answer`).
pub fn write_call_reply(out: &mut Vec<u8>, reference: u64, reply: &[u8]) {
    let length = reply.len();
    write_with_body(out, format_args!("answer {reference:016x} {length}"), reply);
}

/// Interrupts a run (`interrupt`). The settings define what an interruption does.
pub fn write_interrupt(out: &mut Vec<u8>, reference: u64) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "interrupt {reference:016x}\r\n");
}

/// Requests the gauges (`usage`). The notice with the gauges repeats the number of the query.
pub fn write_gauge_query(out: &mut Vec<u8>, query: u64) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "usage {query}\r\n");
}
