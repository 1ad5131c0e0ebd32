//! `export`: requests and steps as Parquet tables for data tools. `docs/capture-tools.md` has the
//! schema.

mod requests;
mod steps;
mod table;

use crate::cursor::{replay_capture, Extent, ReplayedRecord, Visitor};
use crate::replay::{print_summary, summary};
use crate::request_record::RequestRecord;
use crate::request_records::RequestRecords;
use crate::source::ToolError;
use pipitlever_admission::Controller;
use pipitlever_capture::record::SegmentHeader;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use table::Table;

/// Writes a row for each step, and passes records on to the collector of requests.
struct Exporter<'a, V: Visitor> {
    requests: V,
    steps: &'a mut Table,
}

impl<V: Visitor> Visitor for Exporter<'_, V> {
    fn segment(&mut self, header: &SegmentHeader, controller: &Controller, is_restart: bool) {
        self.requests.segment(header, controller, is_restart);
    }

    fn record(&mut self, replayed: &ReplayedRecord) {
        self.requests.record(replayed);
        if let Some(row) = steps::row(replayed) {
            self.steps.add_row(row);
        }
    }

    fn run_ended(&mut self) {
        self.requests.run_ended();
    }
}

/// The file of the table of steps: the name of the file of requests with `-steps`.
fn steps_path(requests: &Path) -> PathBuf {
    let stem = requests.file_stem().map_or_else(
        || "steps".into(),
        |stem| stem.to_string_lossy().into_owned(),
    );
    requests.with_file_name(format!("{stem}-steps.parquet"))
}

/// Writes the tables of requests and of steps of a capture.
///
/// # Errors
///
/// If the capture can't be read or a table can't be written.
pub fn export(path: &Path, output: &Path, as_json: bool) -> Result<(), ToolError> {
    let steps_output = steps_path(output);
    let requests = RefCell::new(Table::create(output, &requests::COLUMNS)?);
    let mut steps = Table::create(&steps_output, &steps::COLUMNS)?;
    let add_request = |request: RequestRecord| {
        requests.borrow_mut().add_row(requests::row(&request));
    };
    let mut exporter = Exporter {
        requests: RequestRecords::new(false, add_request),
        steps: &mut steps,
    };
    let totals = replay_capture(path, Extent::End, &mut exporter)?;
    drop(exporter);
    let request_rows = requests.into_inner().close()?;
    let step_rows = steps.close()?;
    if as_json {
        let mut output = summary(&totals);
        output["request_rows"] = request_rows.into();
        output["step_rows"] = step_rows.into();
        println!("{output}");
        return Ok(());
    }
    println!("{}: {request_rows} requests", output.display());
    println!("{}: {step_rows} steps", steps_output.display());
    print_summary(&totals);
    Ok(())
}
