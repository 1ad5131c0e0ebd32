//! Compares encodings of captures by bytes and CPU time per request. `docs/capture.md` has the
//! results.
//!
//! `cargo run --release -p pipitlever-capture-tools --example formats -- FILE...`

use arrow_array::builder::{Float64Builder, Int64Builder, UInt8Builder};
use arrow_array::{ArrayRef, RecordBatch};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use pipitlever_admission::{Action, Event, Request};
use pipitlever_capture::record::{encode, Record};
use pipitlever_capture::segment::{RecordAt, SegmentReader};
use std::sync::Arc;
use std::time::Instant;

/// Repetitions of each measurement.
const REPETITIONS: u32 = 5;
/// Columns of integers in the Parquet file.
const INTEGER_COLUMNS: usize = 8;
/// Columns of floats in the Parquet file.
const FLOAT_COLUMNS: usize = 4;

/// The kind of a row in the Parquet file.
#[derive(Clone, Copy)]
enum RowKind {
    Identity = 0,
    Answer = 1,
    Step = 2,
    Arrival = 3,
    RunOrCallEnd = 4,
    Timer = 5,
    OtherEvent = 6,
    Action = 7,
}

/// The rows of a Parquet file with one row for each record, event and action. Fields of the same
/// type share columns. The rows leave out some data, such as key digests, the contents of answers,
/// load levels, `no_retry` and the kinds of actions, while the other encodings are lossless. The
/// sizes for Parquet therefore don't cover all the data that the other sizes cover.
struct ParquetRows {
    kind: UInt8Builder,
    clock_delta: Int64Builder,
    integers: Vec<Int64Builder>,
    floats: Vec<Float64Builder>,
}

impl ParquetRows {
    fn new() -> ParquetRows {
        ParquetRows {
            kind: UInt8Builder::new(),
            clock_delta: Int64Builder::new(),
            integers: (0..INTEGER_COLUMNS).map(|_| Int64Builder::new()).collect(),
            floats: (0..FLOAT_COLUMNS).map(|_| Float64Builder::new()).collect(),
        }
    }

    fn add(
        &mut self,
        kind: RowKind,
        clock_delta: i64,
        integers: &[Option<i64>],
        floats: &[Option<f64>],
    ) {
        self.kind.append_value(kind as u8);
        self.clock_delta.append_value(clock_delta);
        for (index, builder) in self.integers.iter_mut().enumerate() {
            builder.append_option(integers.get(index).copied().flatten());
        }
        for (index, builder) in self.floats.iter_mut().enumerate() {
            builder.append_option(floats.get(index).copied().flatten());
        }
    }

    fn add_record(&mut self, record: &Record) {
        match record {
            Record::Identity(identity) => {
                let integers = [
                    Some(identity.id as i64),
                    Some(identity.reference as i64),
                    identity.sender.map(|sender| sender as i64),
                ];
                self.add(RowKind::Identity, 0, &integers, &[]);
            }
            Record::Answer {
                clock_delta,
                reference,
                class,
                ..
            } => {
                let integers = [Some(*reference as i64), Some(i64::from(*class))];
                self.add(RowKind::Answer, *clock_delta, &integers, &[]);
            }
            Record::Step {
                clock_delta,
                events,
                actions,
            } => {
                let integers = [Some(events.len() as i64)];
                self.add(RowKind::Step, *clock_delta, &integers, &[]);
                events.iter().for_each(|event| self.add_event(event));
                actions.iter().for_each(|action| self.add_action(action));
            }
        }
    }

    fn add_event(&mut self, event: &Event) {
        match event {
            Event::Arrived(request) => self.add_arrival(request),
            Event::Finished {
                id,
                elapsed,
                outcome,
            }
            | Event::CallEnded {
                id,
                elapsed,
                outcome,
            } => {
                let integers = [Some(*id as i64), Some(*elapsed), Some(*outcome as i64)];
                self.add(RowKind::RunOrCallEnd, 0, &integers, &[]);
            }
            Event::Timer {
                cpu_utilization,
                runnable,
                memory_utilization,
                connections,
                ..
            } => {
                let gauges = [
                    *cpu_utilization,
                    *runnable,
                    *memory_utilization,
                    *connections,
                ];
                self.add(RowKind::Timer, 0, &[], &gauges);
            }
            other => {
                let integers = [other.request().map(|id| id as i64)];
                self.add(RowKind::OtherEvent, 0, &integers, &[]);
            }
        }
    }

    fn add_arrival(&mut self, request: &Request) {
        let integers = [
            Some(request.id as i64),
            Some(request.class as i64),
            request.timeout,
            Some(request.queue_time),
            request.duplicate_of.map(|id| id as i64),
            Some(i64::from(request.is_retry)),
            Some(i64::from(request.is_write)),
            Some(i64::from(request.has_key)),
        ];
        let floats = [
            request.cost,
            Some(request.memory_kb),
            Some(request.priority),
        ];
        self.add(RowKind::Arrival, 0, &integers, &floats);
    }

    fn add_action(&mut self, action: &Action) {
        let duration = match action {
            Action::RetainKey(_, duration)
            | Action::PlaceCall(_, duration)
            | Action::Timer(duration, _) => Some(*duration),
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        let integers = [action.request().map(|id| id as i64), duration];
        self.add(RowKind::Action, 0, &integers, &[]);
    }

    fn finish(mut self, compression: Compression) -> Vec<u8> {
        let mut arrays: Vec<(String, ArrayRef)> = vec![
            ("kind".into(), Arc::new(self.kind.finish())),
            // The clock delta: the time since the previous record.
            ("after".into(), Arc::new(self.clock_delta.finish())),
        ];
        for (index, builder) in self.integers.iter_mut().enumerate() {
            arrays.push((format!("int{index}"), Arc::new(builder.finish())));
        }
        for (index, builder) in self.floats.iter_mut().enumerate() {
            arrays.push((format!("float{index}"), Arc::new(builder.finish())));
        }
        let batch = RecordBatch::try_from_iter(arrays).expect("columns of one length");
        let properties = WriterProperties::builder()
            .set_compression(compression)
            .build();
        let mut writer = ArrowWriter::try_new(Vec::new(), batch.schema(), Some(properties))
            .expect("a valid schema");
        writer.write(&batch).expect("writes to memory");
        writer.into_inner().expect("writes to memory")
    }
}

fn parquet(records: &[Record], compression: Compression) -> Vec<u8> {
    let mut rows = ParquetRows::new();
    records.iter().for_each(|record| rows.add_record(record));
    rows.finish(compression)
}

/// Encodes the records one by one into a buffer that is reused, as the node does.
fn encode_each(records: &[Record], encode: fn(&Record, &mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buffer = Vec::new();
    for record in records {
        buffer.clear();
        encode(record, &mut buffer);
        bytes.extend_from_slice(&buffer);
    }
    bytes
}

/// A named encoding of records.
struct Encoding {
    name: &'static str,
    encode: fn(&[Record]) -> Vec<u8>,
}

const ENCODINGS: [Encoding; 6] = [
    Encoding {
        name: "postcard",
        encode: |records| encode_each(records, encode),
    },
    Encoding {
        name: "MessagePack, no names",
        encode: |records| {
            encode_each(records, |record, out| {
                rmp_serde::encode::write(out, record).expect("writes to memory");
            })
        },
    },
    Encoding {
        name: "MessagePack, names",
        encode: |records| {
            encode_each(records, |record, out| {
                rmp_serde::encode::write_named(out, record).expect("writes to memory");
            })
        },
    },
    Encoding {
        name: "JSON lines",
        encode: |records| {
            encode_each(records, |record, out| {
                serde_json::to_writer(&mut *out, record).expect("writes to memory");
                out.push(b'\n');
            })
        },
    },
    Encoding {
        name: "Parquet, plain",
        encode: |records| parquet(records, Compression::UNCOMPRESSED),
    },
    Encoding {
        name: "Parquet, snappy",
        encode: |records| parquet(records, Compression::SNAPPY),
    },
];

fn read_records(paths: impl Iterator<Item = String>) -> Vec<Record> {
    let mut records = Vec::new();
    for path in paths {
        let bytes = std::fs::read(&path).expect("reads the file");
        let mut reader = SegmentReader::open(&bytes).expect("the file is a capture");
        while let Some(RecordAt { record, .. }) = reader.next_record().expect("intact records") {
            records.push(record);
        }
    }
    records
}

fn main() {
    let records = read_records(std::env::args().skip(1));
    let count = |is_counted: fn(&&Record) -> bool| records.iter().filter(is_counted).count();
    let requests = count(|record| matches!(record, Record::Identity(_))).max(1) as f64;
    let steps = count(|record| matches!(record, Record::Step { .. }));
    println!(
        "{requests} requests, {steps} steps, {} records",
        records.len()
    );
    for Encoding { name, encode } in &ENCODINGS {
        let bytes = encode(&records).len();
        let start = Instant::now();
        for _ in 0..REPETITIONS {
            assert_eq!(encode(&records).len(), bytes);
        }
        let microseconds = start.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS);
        println!(
            "{name:<22} {:>8.1} bytes {:>8.3} us per request",
            bytes as f64 / requests,
            microseconds / requests
        );
    }
}
