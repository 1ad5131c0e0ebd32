//! The table of requests.

use super::table::{Column, ColumnType, Value};
use crate::rendering;
use crate::request_record::RequestRecord;
use pipitlever_capture::record::RecordedAnswer;

/// The columns, in order. Their names are part of the output format. The comments name the fields
/// of [`RequestRecord`] behind the columns that have other names. The suffixes `_ms`, `_us` and
/// `_kb` are units: milliseconds, microseconds and KB.
pub const COLUMNS: [Column; 32] = [
    Column::new("node", ColumnType::Text),
    // The start of the node's run, in Unix milliseconds.
    Column::new("run_ms", ColumnType::Unsigned),
    Column::new("id", ColumnType::Unsigned),
    // `reference`, in hexadecimal.
    Column::new("ref", ColumnType::Text),
    Column::new("sender", ColumnType::Unsigned),
    Column::new("key_digest", ColumnType::Text),
    Column::new("class", ColumnType::Text),
    // Points in time, here and below, are in Unix microseconds.
    Column::new("arrived_us", ColumnType::Integer),
    // `queue_time`: the time unread before the arrival at the controller.
    Column::new("queued_us", ColumnType::Integer),
    // `timeout`: how long the client still waits after the arrival.
    Column::new("patience_us", ColumnType::Integer),
    Column::new("cost_us", ColumnType::Float),
    Column::new("memory_kb", ColumnType::Float),
    // `priority`.
    Column::new("rank", ColumnType::Float),
    Column::new("retry", ColumnType::Boolean),
    // `duplicate_of`: the identifier of the original request.
    Column::new("repeats", ColumnType::Unsigned),
    // The next three are `queue_at_arrival`: `mode`, `queued` and `priority_cutoff`.
    Column::new("met_mode", ColumnType::Text),
    Column::new("met_held", ColumnType::Unsigned),
    Column::new("met_cut", ColumnType::Float),
    Column::new("started_us", ColumnType::Integer),
    Column::new("calls", ColumnType::Unsigned),
    // The next three are `run_end`: `at`, `elapsed` and `outcome`.
    Column::new("ended_us", ColumnType::Integer),
    Column::new("took_us", ColumnType::Integer),
    Column::new("run_outcome", ColumnType::Text),
    // The next two are `decision`: `at` and the label of `cause`.
    Column::new("decided_us", ColumnType::Integer),
    Column::new("cause", ColumnType::Text),
    // `abandoned`: when the controller was notified that the client had abandoned it.
    Column::new("gone_us", ColumnType::Integer),
    // `answer.at`.
    Column::new("answered_us", ColumnType::Integer),
    // The label of [`RequestRecord::outcome`].
    Column::new("outcome", ColumnType::Text),
    // `answer.source`.
    Column::new("answered_by", ColumnType::Text),
    // `retry_after` of a rejection: the shortest delay before a retry.
    Column::new("cooldown_us", ColumnType::Integer),
    // `no_retry` of a rejection: the request should not be retried at any node.
    Column::new("nowhere", ColumnType::Boolean),
    // The size of the result of a served request.
    Column::new("result_bytes", ColumnType::Unsigned),
];

fn text(value: Option<&str>) -> Value {
    Value::Text(value.map(str::to_owned))
}

fn hex(value: Option<u64>) -> Value {
    Value::Text(value.map(|value| format!("{value:016x}")))
}

/// The retry advice of a rejection: the shortest delay before a retry in microseconds, and whether
/// the client should not retry at all.
fn rejection(answer: Option<RecordedAnswer>) -> (Option<i64>, Option<bool>) {
    match answer {
        Some(RecordedAnswer::Rejected {
            retry_after,
            no_retry,
        }) => (Some(retry_after), Some(no_retry)),
        _ => (None, None),
    }
}

/// The size of the result, in bytes.
fn result_bytes(answer: Option<RecordedAnswer>) -> Option<u64> {
    match answer {
        Some(RecordedAnswer::Served(bytes)) => Some(u64::from(bytes)),
        _ => None,
    }
}

/// The values of a request, in the order of [`COLUMNS`].
pub fn row(request: &RequestRecord) -> Vec<Value> {
    let answer = request.answer.map(|answer| answer.answer);
    let (retry_after, no_retry) = rejection(answer);
    vec![
        text(Some(&request.node)),
        Value::Unsigned(Some(request.run)),
        Value::Unsigned(request.id),
        hex(request.reference),
        Value::Unsigned(request.sender),
        hex(request.key_digest),
        text(
            Some(&request.class.name)
                .filter(|name| !name.is_empty())
                .map(String::as_str),
        ),
        Value::Integer(request.arrived),
        Value::Integer(request.queue_time),
        Value::Integer(request.timeout),
        Value::Float(request.cost),
        Value::Float(request.memory_kb),
        Value::Float(request.priority),
        Value::Boolean(request.arrived.map(|_| request.is_retry)),
        Value::Unsigned(request.duplicate_of),
        text(
            request
                .queue_at_arrival
                .map(|queue| rendering::mode(queue.mode)),
        ),
        Value::Unsigned(request.queue_at_arrival.map(|queue| queue.queued as u64)),
        Value::Float(request.queue_at_arrival.map(|queue| queue.priority_cutoff)),
        Value::Integer(request.started),
        Value::Unsigned(request.arrived.map(|_| u64::from(request.calls))),
        Value::Integer(request.run_end.map(|end| end.at)),
        Value::Integer(request.run_end.map(|end| end.elapsed)),
        text(request.run_end.map(|end| rendering::outcome(end.outcome))),
        Value::Integer(request.decision.map(|decision| decision.at)),
        text(
            request
                .decision
                .map(|decision| rendering::cause_label(&decision.cause)),
        ),
        Value::Integer(request.abandoned),
        Value::Integer(request.answer.map(|answer| answer.at)),
        text(Some(request.outcome())),
        text(
            request
                .answer
                .map(|answer| rendering::answer_source_label(answer.source)),
        ),
        Value::Integer(retry_after),
        Value::Boolean(no_retry),
        Value::Unsigned(result_bytes(answer)),
    ]
}
