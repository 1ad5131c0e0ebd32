//! The table of steps.

use super::table::{Column, ColumnType, Value};
use crate::cursor::ReplayedRecord;
use crate::rendering;
use pipitlever_capture::record::Record;

/// The columns, in order.
pub const COLUMNS: [Column; 24] = [
    Column::new("node", ColumnType::Text),
    Column::new("run_ms", ColumnType::Unsigned),
    Column::new("segment", ColumnType::Unsigned),
    Column::new("step", ColumnType::Unsigned),
    Column::new("clock_us", ColumnType::Integer),
    Column::new("events", ColumnType::Unsigned),
    Column::new("actions", ColumnType::Unsigned),
    Column::new("mode", ColumnType::Text),
    Column::new("count", ColumnType::Float),
    Column::new("abate", ColumnType::Float),
    Column::new("onset", ColumnType::Float),
    Column::new("discard", ColumnType::Float),
    Column::new("cut", ColumnType::Float),
    Column::new("calls_mode", ColumnType::Text),
    Column::new("calls_count", ColumnType::Float),
    Column::new("held", ColumnType::Unsigned),
    Column::new("running", ColumnType::Unsigned),
    Column::new("at_call", ColumnType::Unsigned),
    Column::new("run_limit", ColumnType::Float),
    Column::new("reading", ColumnType::Float),
    Column::new("calls_out", ColumnType::Float),
    Column::new("call_limit", ColumnType::Float),
    Column::new("memory_kb", ColumnType::Float),
    Column::new("leaving", ColumnType::Boolean),
];

/// The values of a step and of the controller's status after it, in the order of [`COLUMNS`];
/// `None` for other records.
pub fn row(replayed: &ReplayedRecord) -> Option<Vec<Value>> {
    let Record::Step {
        events, actions, ..
    } = replayed.record
    else {
        return None;
    };
    let status = replayed.replay.controller().status();
    let [start, calls] = &status.queues;
    let [abate, onset, discard] = start.thresholds;
    let float = |value: f64| Value::Float(Some(value));
    let count = |value: usize| Value::Unsigned(Some(value as u64));
    Some(vec![
        Value::Text(Some(replayed.header.node.clone())),
        Value::Unsigned(Some(replayed.header.run)),
        Value::Unsigned(Some(u64::from(replayed.header.segment))),
        Value::Unsigned(Some(replayed.replay.steps())),
        Value::Integer(Some(replayed.replay.now())),
        count(events.len()),
        count(actions.len()),
        Value::Text(Some(rendering::mode(start.mode).into())),
        float(start.length),
        float(abate),
        float(onset),
        float(discard),
        float(start.priority_cutoff),
        Value::Text(Some(rendering::mode(calls.mode).into())),
        float(calls.length),
        count(status.queued),
        count(status.running),
        count(status.waiting_for_call),
        float(status.concurrency_limit),
        float(status.reading),
        float(status.calls_in_flight),
        float(status.call_limit),
        float(status.memory_kb),
        Value::Boolean(Some(status.is_shutting_down)),
    ])
}
