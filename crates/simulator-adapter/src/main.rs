//! Runs admission controllers for the simulator: reads one JSON batch of events per line from
//! standard input and writes one line with the resulting actions to standard output.
//!
//! The adapter only translates; all decisions are the controller's. On invalid input it writes one
//! line to standard error and exits with status 1.

mod error;
mod host;
mod input;
mod instance;
mod names;
mod output;

use error::AdapterError;
use host::Host;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut line = String::new();
    for line_number in 1.. {
        match process_line(&mut host, &mut input, &mut line, &mut output) {
            Ok(true) => {}
            Ok(false) => break,
            Err(error) => {
                let message = error.to_string().replace('\n', " ");
                eprintln!("pipitlever-adapter: line {line_number}: {message}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

/// Reads a line with a batch and writes the reply. Returns false at the end of the input.
fn process_line(
    host: &mut Host,
    input: &mut impl BufRead,
    line: &mut String,
    output: &mut impl Write,
) -> Result<bool, AdapterError> {
    line.clear();
    if input.read_line(line).map_err(AdapterError::Read)? == 0 {
        return Ok(false);
    }
    let reply = host.process(line)?;
    serde_json::to_writer(&mut *output, &reply).map_err(|e| AdapterError::Write(e.into()))?;
    output.write_all(b"\n").map_err(AdapterError::Write)?;
    output.flush().map_err(AdapterError::Write)?;
    Ok(true)
}
