//! `export`: requests and steps as Parquet, for common data tools. `docs/capture-tools.md` has the schema.

use crate::cursor::{replay_capture, Extent, ReplayedRecord, Visitor};
use crate::rendering;
use crate::replay::summary;
use crate::request_records::{RequestRecord, RequestRecords};
use crate::source::ToolError;
use arrow_array::builder::{
    BooleanBuilder, Float64Builder, Int64Builder, StringBuilder, UInt64Builder,
};
use arrow_array::{ArrayRef, RecordBatch};
use arrow_schema::{DataType, Field, Schema};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use pipitlever_admission::Controller;
use pipitlever_capture::record::{Opening, Record, RecordedAnswer};
use std::cell::RefCell;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// RequestRecords that are gathered before they are written.
const BATCH: usize = 16 << 10;

/// A value of a row.
enum Value {
    Text(Option<String>),
    Int(Option<i64>),
    Unsigned(Option<u64>),
    Float(Option<f64>),
    Flag(Option<bool>),
}

enum Column {
    Text(StringBuilder),
    Int(Int64Builder),
    Unsigned(UInt64Builder),
    Float(Float64Builder),
    Flag(BooleanBuilder),
}

/// A Parquet file that takes rows.
struct Table {
    path: PathBuf,
    schema: Arc<Schema>,
    columns: Vec<Column>,
    rows: usize,
    total: u64,
    writer: Option<ArrowWriter<File>>,
    trouble: Option<String>,
}

impl Table {
    fn create(path: &Path, columns: &[(&str, DataType)]) -> Result<Table, ToolError> {
        let wrong = |e: String| ToolError::Output(path.to_owned(), e);
        let file = File::create(path).map_err(|e| wrong(e.to_string()))?;
        let fields: Vec<Field> = columns
            .iter()
            .map(|(name, kind)| Field::new(*name, kind.clone(), true))
            .collect();
        let schema = Arc::new(Schema::new(fields));
        let properties = WriterProperties::builder()
            .set_compression(Compression::SNAPPY)
            .build();
        let writer = ArrowWriter::try_new(file, schema.clone(), Some(properties));
        let columns = columns.iter().map(|(_, kind)| match kind {
            DataType::Utf8 => Column::Text(StringBuilder::new()),
            DataType::UInt64 => Column::Unsigned(UInt64Builder::new()),
            DataType::Float64 => Column::Float(Float64Builder::new()),
            DataType::Boolean => Column::Flag(BooleanBuilder::new()),
            _ => Column::Int(Int64Builder::new()),
        });
        Ok(Table {
            path: path.to_owned(),
            schema,
            columns: columns.collect(),
            rows: 0,
            total: 0,
            writer: Some(writer.map_err(|e| wrong(e.to_string()))?),
            trouble: None,
        })
    }

    fn row(&mut self, values: Vec<Value>) {
        assert_eq!(
            values.len(),
            self.columns.len(),
            "a row has a value for each column"
        );
        for (column, value) in self.columns.iter_mut().zip(values) {
            match (column, value) {
                (Column::Text(c), Value::Text(v)) => c.append_option(v),
                (Column::Int(c), Value::Int(v)) => c.append_option(v),
                (Column::Unsigned(c), Value::Unsigned(v)) => c.append_option(v),
                (Column::Float(c), Value::Float(v)) => c.append_option(v),
                (Column::Flag(c), Value::Flag(v)) => c.append_option(v),
                _ => panic!("a value of another kind than its column"),
            }
        }
        self.rows += 1;
        self.total += 1;
        if self.rows >= BATCH {
            self.flush();
        }
    }

    fn flush(&mut self) {
        if std::mem::take(&mut self.rows) == 0 {
            return;
        }
        let arrays: Vec<ArrayRef> = self
            .columns
            .iter_mut()
            .map(|column| -> ArrayRef {
                match column {
                    Column::Text(c) => Arc::new(c.finish()),
                    Column::Int(c) => Arc::new(c.finish()),
                    Column::Unsigned(c) => Arc::new(c.finish()),
                    Column::Float(c) => Arc::new(c.finish()),
                    Column::Flag(c) => Arc::new(c.finish()),
                }
            })
            .collect();
        let written = RecordBatch::try_new(self.schema.clone(), arrays).map_err(|e| e.to_string());
        let Some(writer) = &mut self.writer else {
            return;
        };
        if let Err(error) =
            written.and_then(|batch| writer.write(&batch).map_err(|e| e.to_string()))
        {
            self.trouble.get_or_insert(error);
        }
    }

    fn close(mut self) -> Result<u64, ToolError> {
        self.flush();
        let closed = self
            .writer
            .take()
            .map_or(Ok(()), |w| w.close().map(|_| ()).map_err(|e| e.to_string()));
        match self.trouble.take().map_or(closed, Err) {
            Ok(()) => Ok(self.total),
            Err(why) => Err(ToolError::Output(self.path, why)),
        }
    }
}

fn requests(path: &Path) -> Result<Table, ToolError> {
    use DataType::{Boolean, Float64, Int64, UInt64, Utf8};
    Table::create(
        path,
        &[
            ("node", Utf8),
            ("run_ms", UInt64),
            ("id", UInt64),
            ("ref", Utf8),
            ("sender", UInt64),
            ("key_digest", Utf8),
            ("class", Utf8),
            ("arrived_us", Int64),
            ("queued_us", Int64),
            ("patience_us", Int64),
            ("cost_us", Float64),
            ("memory_kb", Float64),
            ("rank", Float64),
            ("retry", Boolean),
            ("repeats", UInt64),
            ("met_mode", Utf8),
            ("met_held", UInt64),
            ("met_cut", Float64),
            ("started_us", Int64),
            ("calls", UInt64),
            ("ended_us", Int64),
            ("took_us", Int64),
            ("run_outcome", Utf8),
            ("decided_us", Int64),
            ("cause", Utf8),
            ("gone_us", Int64),
            ("answered_us", Int64),
            ("outcome", Utf8),
            ("answered_by", Utf8),
            ("cooldown_us", Int64),
            ("nowhere", Boolean),
            ("result_bytes", UInt64),
        ],
    )
}

fn request(request: &RequestRecord) -> Vec<Value> {
    use Value::{Flag, Float, Int, Text, Unsigned};
    let text = |word: Option<&str>| Text(word.map(str::to_owned));
    let hex = |v: Option<u64>| Text(v.map(|v| format!("{v:016x}")));
    let answer = request.answer.map(|answer| answer.answer);
    let (retry_after, no_retry) = match answer {
        Some(RecordedAnswer::Rejected {
            retry_after,
            no_retry,
        }) => (Some(retry_after), Some(no_retry)),
        _ => (None, None),
    };
    let result_bytes = if let Some(RecordedAnswer::Served(bytes)) = answer {
        Some(u64::from(bytes))
    } else {
        None
    };
    vec![
        text(Some(&request.node)),
        Unsigned(Some(request.run)),
        Unsigned(request.id),
        hex(request.reference),
        Unsigned(request.sender),
        hex(request.key_digest),
        text(
            Some(&request.class.name)
                .filter(|c| !c.is_empty())
                .map(String::as_str),
        ),
        Int(request.arrived),
        Int(request.queue_time),
        Int(request.timeout),
        Float(request.cost),
        Float(request.memory_kb),
        Float(request.priority),
        Flag(request.arrived.map(|_| request.is_retry)),
        Unsigned(request.duplicate_of),
        text(
            request
                .queue_at_arrival
                .map(|queue| rendering::mode(queue.mode)),
        ),
        Unsigned(request.queue_at_arrival.map(|queue| queue.queued as u64)),
        Float(request.queue_at_arrival.map(|queue| queue.priority_cutoff)),
        Int(request.started),
        Unsigned(request.arrived.map(|_| u64::from(request.calls))),
        Int(request.run_end.map(|end| end.at)),
        Int(request.run_end.map(|end| end.elapsed)),
        text(request.run_end.map(|end| rendering::outcome(end.outcome))),
        Int(request.decision.map(|decision| decision.at)),
        text(
            request
                .decision
                .map(|decision| rendering::cause_label(&decision.cause)),
        ),
        Int(request.abandoned),
        Int(request.answer.map(|answer| answer.at)),
        text(Some(request.outcome())),
        text(
            request
                .answer
                .map(|answer| rendering::answer_source_label(answer.source)),
        ),
        Int(retry_after),
        Flag(no_retry),
        Unsigned(result_bytes),
    ]
}

fn steps(path: &Path) -> Result<Table, ToolError> {
    use DataType::{Boolean, Float64, Int64, UInt64, Utf8};
    Table::create(
        path,
        &[
            ("node", Utf8),
            ("run_ms", UInt64),
            ("segment", UInt64),
            ("step", UInt64),
            ("clock_us", Int64),
            ("events", UInt64),
            ("actions", UInt64),
            ("mode", Utf8),
            ("count", Float64),
            ("abate", Float64),
            ("onset", Float64),
            ("discard", Float64),
            ("cut", Float64),
            ("calls_mode", Utf8),
            ("calls_count", Float64),
            ("held", UInt64),
            ("running", UInt64),
            ("at_call", UInt64),
            ("run_limit", Float64),
            ("reading", Float64),
            ("calls_out", Float64),
            ("call_limit", Float64),
            ("memory_kb", Float64),
            ("leaving", Boolean),
        ],
    )
}

struct Both<'a, R: Visitor> {
    rows: R,
    steps: &'a mut Table,
}

impl<R: Visitor> Visitor for Both<'_, R> {
    fn segment(&mut self, opening: &Opening, controller: &Controller, anew: bool) {
        self.rows.segment(opening, controller, anew);
    }

    fn record(&mut self, replayed: &ReplayedRecord) {
        use Value::{Flag, Float, Int, Text, Unsigned};
        self.rows.record(replayed);
        let Record::Step {
            events, actions, ..
        } = replayed.record
        else {
            return;
        };
        let view = replayed.replay.controller().status();
        let [start, calls] = &view.queues;
        let [abate, onset, discard] = start.thresholds;
        let float = |v: f64| Float(Some(v));
        let count = |v: usize| Unsigned(Some(v as u64));
        self.steps.row(vec![
            Text(Some(replayed.opening.node.clone())),
            Unsigned(Some(replayed.opening.run)),
            Unsigned(Some(u64::from(replayed.opening.segment))),
            Unsigned(Some(replayed.replay.steps())),
            Int(Some(replayed.replay.now())),
            count(events.len()),
            count(actions.len()),
            Text(Some(rendering::mode(start.mode).into())),
            float(start.length),
            float(abate),
            float(onset),
            float(discard),
            float(start.priority_cutoff),
            Text(Some(rendering::mode(calls.mode).into())),
            float(calls.length),
            count(view.queued),
            count(view.running),
            count(view.at_call),
            float(view.concurrency_limit),
            float(view.reading),
            float(view.calls_in_flight),
            float(view.call_limit),
            float(view.memory_kb),
            Flag(Some(view.is_shutting_down)),
        ]);
    }

    fn run_ended(&mut self) {
        self.rows.run_ended();
    }
}

/// Where the steps go: beside the requests.
fn beside(path: &Path) -> PathBuf {
    let stem = path
        .file_stem()
        .map_or_else(|| "steps".into(), |s| s.to_string_lossy().into_owned());
    path.with_file_name(format!("{stem}-steps.parquet"))
}

/// Writes both tables.
pub fn export(path: &Path, to: &Path, as_json: bool) -> Result<(), ToolError> {
    let all = RefCell::new(requests(to)?);
    let mut each = steps(&beside(to))?;
    let rows = RequestRecords::new(false, |row: RequestRecord| {
        all.borrow_mut().row(request(&row))
    });
    let mut both = Both {
        rows,
        steps: &mut each,
    };
    let totals = replay_capture(path, Extent::End, &mut both)?;
    drop(both);
    let (requests, steps) = (all.into_inner().close()?, each.close()?);
    if as_json {
        let mut said = summary(&totals);
        said["request_rows"] = requests.into();
        said["step_rows"] = steps.into();
        println!("{said}");
        return Ok(());
    }
    println!("{}: {requests} requests", to.display());
    println!("{}: {steps} steps", beside(to).display());
    crate::replay::print_summary(&totals);
    Ok(())
}
