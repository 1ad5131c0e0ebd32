//! The log: lines on standard error.

use std::io::Write;

/// Writes one line. Write errors are ignored: `eprintln!` would panic if the reader of standard
/// error has closed it.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
