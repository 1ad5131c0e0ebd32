//! What a checkpoint costs: the copy that the loop makes, and the bytes that the writer makes of
//! it.
//!
//! `cargo run --release -p pipitlever-capture --example checkpoint -- FILE...` with segments of a
//! capture.

use pipitlever_capture::segment::{state, Reader};
use std::time::Instant;

fn main() {
    for path in std::env::args().skip(1) {
        let bytes = std::fs::read(&path).expect("a file");
        let reader = Reader::open(&bytes).expect("a capture");
        let controller = reader.controller().expect("this build's");
        let time = |work: &dyn Fn() -> usize| {
            let start = Instant::now();
            let done: usize = (0..50).map(|_| work()).sum();
            (start.elapsed().as_secs_f64() * 1e6 / 50.0, done / 50)
        };
        let (copied, _) = time(&|| controller.clone().status().queued);
        let (written, length) = time(&|| state(&controller).len());
        println!("{path}: copied in {copied:.0} us, written in {written:.0} us to {length} bytes");
    }
}
