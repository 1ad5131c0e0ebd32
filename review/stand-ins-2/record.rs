//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Appends lines to `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, replacing an earlier one.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Appends a line and prints it.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} {}", text.as_ref());
        println!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{line}");
    }
}
