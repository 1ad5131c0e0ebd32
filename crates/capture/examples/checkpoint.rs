//! Measures the cost of a checkpoint: copying the controller in the event loop, and serializing it
//! in the writer thread.
//!
//! `cargo run --release -p pipitlever-capture --example checkpoint -- FILE...` with segments of a
//! capture.

use pipitlever_capture::segment::{serialize_controller, SegmentReader};
use std::time::Instant;

/// Repetitions of each measurement.
const REPETITIONS: u32 = 50;

/// The mean duration of the work, in microseconds.
fn measure<T>(work: impl Fn() -> T) -> f64 {
    let start = Instant::now();
    for _ in 0..REPETITIONS {
        std::hint::black_box(work());
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS)
}

fn main() {
    for path in std::env::args().skip(1) {
        let bytes = std::fs::read(&path).expect("reads the file");
        let reader = SegmentReader::open(&bytes).expect("the file is a capture");
        let controller = reader.controller().expect("this build reads the state");
        let copied = measure(|| controller.clone());
        let written = measure(|| serialize_controller(&controller));
        let length = serialize_controller(&controller).len();
        println!("{path}: copied in {copied:.0} us, written in {written:.0} us to {length} bytes");
    }
}
