//! A progress bar on the terminal.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::time::{Duration, Instant};

/// The delay before the progress bar appears. Commands that end earlier show none.
const DELAY: Duration = Duration::from_secs(1);

/// A progress bar, shown on standard error if that is a terminal.
pub struct Progress {
    start: Instant,
    bar: Option<ProgressBar>,
    total_bytes: u64,
    is_terminal: bool,
}

impl Progress {
    /// Creates the progress bar of a command that processes this many bytes.
    pub fn new(total_bytes: u64) -> Progress {
        Progress {
            start: Instant::now(),
            bar: None,
            total_bytes,
            is_terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Sets the number of bytes that have been processed.
    pub fn set(&mut self, bytes: u64) {
        if !self.is_terminal || self.start.elapsed() < DELAY {
            return;
        }
        let bar = self.bar.get_or_insert_with(|| {
            let style = ProgressStyle::with_template("{bar:40} {bytes}/{total_bytes} {eta}");
            ProgressBar::new(self.total_bytes).with_style(style.expect("a valid template"))
        });
        bar.set_position(bytes);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
