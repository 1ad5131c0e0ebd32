//! The forms that a capture could have, by bytes and CPU for each request. `docs/capture.md` has
//! what came of it.
//!
//! `cargo run --release -p pipitlever-capture-tools --example formats -- FILE...`

use arrow_array::builder::{Float64Builder, Int64Builder, UInt8Builder};
use arrow_array::{ArrayRef, RecordBatch};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use pipitlever_admission::{Action, Event};
use pipitlever_capture::record::Record;
use pipitlever_capture::segment::{RecordAt, SegmentReader};
use std::sync::Arc;
use std::time::Instant;

const TIMES: u32 = 5;

/// A row an event or action: what a columnar file written directly would hold. Kinds of field share
/// columns.
fn columns(records: &[Record], compression: Compression) -> Vec<u8> {
    let (mut kind, mut after) = (UInt8Builder::new(), Int64Builder::new());
    let mut ints: Vec<Int64Builder> = (0..8).map(|_| Int64Builder::new()).collect();
    let mut floats: Vec<Float64Builder> = (0..4).map(|_| Float64Builder::new()).collect();
    let mut row = |what: u8, time: i64, whole: &[Option<i64>], parts: &[Option<f64>]| {
        kind.append_value(what);
        after.append_value(time);
        ints.iter_mut()
            .enumerate()
            .for_each(|(i, b)| b.append_option(whole.get(i).copied().flatten()));
        floats
            .iter_mut()
            .enumerate()
            .for_each(|(i, b)| b.append_option(parts.get(i).copied().flatten()));
    };
    for record in records {
        match record {
            Record::Identity(n) => {
                let all = [
                    Some(n.id as i64),
                    Some(n.reference as i64),
                    n.sender.map(|s| s as i64),
                ];
                row(0, 0, &all, &[]);
            }
            Record::Answer {
                clock_delta,
                reference,
                class,
                ..
            } => {
                row(
                    1,
                    *clock_delta,
                    &[Some(*reference as i64), Some(i64::from(*class))],
                    &[],
                );
            }
            Record::Step {
                clock_delta,
                events,
                actions,
            } => {
                row(2, *clock_delta, &[Some(events.len() as i64)], &[]);
                for event in events.iter() {
                    match event {
                        Event::Arrived(r) => {
                            let all = [
                                Some(r.id as i64),
                                Some(r.class as i64),
                                r.timeout,
                                Some(r.queue_time),
                                r.duplicate_of.map(|s| s as i64),
                                Some(i64::from(r.is_retry)),
                                Some(i64::from(r.is_write)),
                                Some(i64::from(r.has_key)),
                            ];
                            row(3, 0, &all, &[r.cost, Some(r.memory_kb), Some(r.priority)]);
                        }
                        Event::Finished {
                            id,
                            elapsed: took,
                            outcome,
                        }
                        | Event::CallEnded {
                            id,
                            elapsed: took,
                            outcome,
                        } => {
                            row(
                                4,
                                0,
                                &[Some(*id as i64), Some(*took), Some(*outcome as i64)],
                                &[],
                            );
                        }
                        Event::Timer {
                            cpu_utilization: core_use,
                            runnable: on_cores,
                            memory_utilization: memory_use,
                            connections,
                            ..
                        } => {
                            row(
                                5,
                                0,
                                &[],
                                &[*core_use, *on_cores, *memory_use, *connections],
                            );
                        }
                        other => row(6, 0, &[other.request().map(|id| id as i64)], &[]),
                    }
                }
                for action in actions.iter() {
                    let figure = match action {
                        Action::RetainKey(_, v) | Action::PlaceCall(_, v) | Action::Timer(v, _) => {
                            Some(*v)
                        }
                        Action::Reject {
                            retry_after: backoff,
                            ..
                        } => Some(*backoff),
                        _ => None,
                    };
                    row(7, 0, &[action.request().map(|id| id as i64), figure], &[]);
                }
            }
        }
    }
    let mut arrays: Vec<(String, ArrayRef)> = vec![
        ("kind".into(), Arc::new(kind.finish())),
        ("after".into(), Arc::new(after.finish())),
    ];
    for (i, b) in ints.iter_mut().enumerate() {
        arrays.push((format!("int{i}"), Arc::new(b.finish())));
    }
    for (i, b) in floats.iter_mut().enumerate() {
        arrays.push((format!("float{i}"), Arc::new(b.finish())));
    }
    let batch = RecordBatch::try_from_iter(arrays).expect("columns of one length");
    let properties = WriterProperties::builder()
        .set_compression(compression)
        .build();
    let mut writer =
        ArrowWriter::try_new(Vec::new(), batch.schema(), Some(properties)).expect("a schema");
    writer.write(&batch).expect("memory takes all");
    writer.into_inner().expect("memory takes all")
}

fn main() {
    let mut records = Vec::new();
    for path in std::env::args().skip(1) {
        let bytes = std::fs::read(&path).expect("a file");
        let mut reader = SegmentReader::open(&bytes).expect("a capture");
        while let Some(RecordAt { record, .. }) = reader.next_record().expect("a whole one") {
            records.push(record);
        }
    }
    let arrived = |r: &&Record| matches!(r, Record::Identity(_));
    let requests = records.iter().filter(arrived).count().max(1) as f64;
    let steps = records
        .iter()
        .filter(|r| matches!(r, Record::Step { .. }))
        .count();
    println!(
        "{requests} requests, {steps} steps, {} records",
        records.len()
    );
    type Form<'a> = (&'a str, Box<dyn Fn(&[Record]) -> Vec<u8>>);
    // As the node would: one record after the other into a buffer that is reused.
    let each = |write: fn(&Record, &mut Vec<u8>)| {
        move |records: &[Record]| {
            let mut all = Vec::new();
            let mut one = Vec::new();
            for record in records {
                one.clear();
                write(record, &mut one);
                all.extend_from_slice(&one);
            }
            all
        }
    };
    let forms: [Form; 6] = [
        (
            "postcard",
            Box::new(each(pipitlever_capture::record::encode)),
        ),
        (
            "MessagePack, no names",
            Box::new(each(|r, out| {
                rmp_serde::encode::write(out, r).expect("memory takes all")
            })),
        ),
        (
            "MessagePack, names",
            Box::new(each(|r, out| {
                rmp_serde::encode::write_named(out, r).expect("memory takes all")
            })),
        ),
        (
            "JSON lines",
            Box::new(each(|r, out| {
                serde_json::to_writer(&mut *out, r).expect("memory takes all");
                out.push(b'\n');
            })),
        ),
        (
            "Parquet, plain",
            Box::new(|r| columns(r, Compression::UNCOMPRESSED)),
        ),
        (
            "Parquet, snappy",
            Box::new(|r| columns(r, Compression::SNAPPY)),
        ),
    ];
    for (name, write) in &forms {
        let bytes = write(&records).len();
        let start = Instant::now();
        (0..TIMES).for_each(|_| assert_eq!(write(&records).len(), bytes));
        let us = start.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES) / requests;
        println!(
            "{name:<22} {:>8.1} bytes {us:>8.3} us a request",
            bytes as f64 / requests
        );
    }
}
