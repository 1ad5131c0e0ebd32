//! Compares encoded values with fixture files that an earlier build wrote.
//!
//! A fixture file has one line per sample, `NAME HEX`. The compatibility tests build each sample
//! from named fields, encode it with the current code and compare the bytes, so a renamed field, a
//! swapped pair of fields or a changed hash input shows up as a difference. With
//! `PIPITLEVER_WRITE_FIXTURES=1` in the environment the files are written instead of compared; the
//! fixtures in the repository were written this way by the build of commit 5f02f56.

use std::fmt::Write as _;
use std::path::Path;

/// The environment variable that makes the functions write fixture files instead of comparing them.
const WRITE_VARIABLE: &str = "PIPITLEVER_WRITE_FIXTURES";

/// Compares the samples with the fixture file at `path`, in order.
///
/// # Panics
///
/// Panics if the file cannot be read, or if any name or any byte differs.
pub fn assert_bytes(path: impl AsRef<Path>, samples: &[(&str, Vec<u8>)]) {
    let mut text = String::new();
    for (name, bytes) in samples {
        text.push_str(name);
        text.push(' ');
        for byte in bytes {
            write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        }
        text.push('\n');
    }
    assert_text(path, &text);
}

/// Compares a text with the fixture file at `path`, line by line.
///
/// # Panics
///
/// Panics if the file cannot be read, or if any line differs.
pub fn assert_text(path: impl AsRef<Path>, text: &str) {
    let path = path.as_ref();
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        std::fs::write(path, text).expect("the fixture file can be written");
        return;
    }
    let expected =
        std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    for (number, (expected, actual)) in expected.lines().zip(text.lines()).enumerate() {
        assert_eq!(actual, expected, "{}: line {}", path.display(), number + 1);
    }
    assert_eq!(
        text.lines().count(),
        expected.lines().count(),
        "{}: number of lines differs",
        path.display()
    );
}
