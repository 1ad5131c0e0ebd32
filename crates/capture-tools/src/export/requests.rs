//! The table of requests.

use super::table::{Column, ColumnType, Value};
use crate::rendering;
use crate::request_record::RequestRecord;
use pipitlever_capture::record::RecordedAnswer;

/// The columns, in order.
pub const COLUMNS: [Column; 32] = [
    Column::new("node", ColumnType::Text),
    Column::new("run_ms", ColumnType::Unsigned),
    Column::new("id", ColumnType::Unsigned),
    Column::new("ref", ColumnType::Text),
    Column::new("sender", ColumnType::Unsigned),
    Column::new("key_digest", ColumnType::Text),
    Column::new("class", ColumnType::Text),
    Column::new("arrived_us", ColumnType::Integer),
    Column::new("queued_us", ColumnType::Integer),
    Column::new("patience_us", ColumnType::Integer),
    Column::new("cost_us", ColumnType::Float),
    Column::new("memory_kb", ColumnType::Float),
    Column::new("rank", ColumnType::Float),
    Column::new("retry", ColumnType::Boolean),
    Column::new("repeats", ColumnType::Unsigned),
    Column::new("met_mode", ColumnType::Text),
    Column::new("met_held", ColumnType::Unsigned),
    Column::new("met_cut", ColumnType::Float),
    Column::new("started_us", ColumnType::Integer),
    Column::new("calls", ColumnType::Unsigned),
    Column::new("ended_us", ColumnType::Integer),
    Column::new("took_us", ColumnType::Integer),
    Column::new("run_outcome", ColumnType::Text),
    Column::new("decided_us", ColumnType::Integer),
    Column::new("cause", ColumnType::Text),
    Column::new("gone_us", ColumnType::Integer),
    Column::new("answered_us", ColumnType::Integer),
    Column::new("outcome", ColumnType::Text),
    Column::new("answered_by", ColumnType::Text),
    Column::new("cooldown_us", ColumnType::Integer),
    Column::new("nowhere", ColumnType::Boolean),
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
