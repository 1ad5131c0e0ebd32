//! The log: lines on standard error.

use std::io::Write;

/// Writes one line. A log that nobody reads any more must not end the node, as `eprintln!` would.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
