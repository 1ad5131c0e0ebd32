//! Arbitrary bytes as segments of the idempotency store: the reader does not panic, and allocates
//! no more memory than the size of the input justifies.
//!
//! The first byte of the input splits the rest into two segments, so that the header of one can
//! refer to the other.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_framing::append_frame;
use pipitlever_idempotency_store::log::{Batch, Limits, Log, LogContents, SegmentFiles};
use pipitlever_idempotency_store::record::{encode, Clocks, Salt, SegmentHeader, FORMAT};
use std::io;

struct File {
    name: &'static str,
    bytes: Vec<u8>,
}

/// A directory in memory that ignores all changes.
struct Directory(Vec<File>);

impl SegmentFiles for Directory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.0.iter().map(|file| file.name.to_owned()).collect())
    }
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let file = self.0.iter().find(|file| file.name == name);
        Ok(file.map(|file| file.bytes.clone()).unwrap_or_default())
    }
    fn create(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn append(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }
    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
    fn remove(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn clocks(&mut self) -> Clocks {
        clocks()
    }
}

fn clocks() -> Clocks {
    Clocks {
        wall: 1_764_576_000_000_000,
        since_boot: 1_000_000_000,
        boot_id: "b".into(),
    }
}

/// A segment with these payloads in frames with valid checksums.
fn framed_segment(payloads: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    FORMAT.write_header(&mut bytes);
    for (number, payload) in payloads.iter().enumerate() {
        append_frame(&mut bytes, number as u32, |out| {
            out.extend_from_slice(payload);
        });
    }
    bytes
}

fn valid_header() -> Vec<u8> {
    let header = SegmentHeader {
        number: 1,
        oldest: 1,
        previous_durable_bytes: None,
        clocks: clocks(),
        salt: Salt([1, 2]),
    };
    let mut bytes = Vec::new();
    encode(&header, &mut bytes);
    bytes
}

fuzz_target!(|bytes: &[u8]| {
    let Some((&split, rest)) = bytes.split_first() else {
        return;
    };
    let (first, second) = rest.split_at(usize::from(split) * rest.len() / 256);
    // The raw bytes, then the bytes in frames with valid checksums after a valid segment header;
    // otherwise no input passes the checksums.
    let header = valid_header();
    read(first.to_vec(), second.to_vec());
    read(framed_segment(&[&header, first]), framed_segment(&[second]));
    read(framed_segment(&[&header, first, second]), Vec::new());
});

fn read(first: Vec<u8>, second: Vec<u8>) {
    let directory = || {
        Directory(vec![
            File {
                name: "000000000001.pls",
                bytes: first.clone(),
            },
            File {
                name: "000000000002.pls",
                bytes: second.clone(),
            },
        ])
    };
    let _ = LogContents::read(&mut directory()).map(|contents| contents.into_keys(&clocks()));
    let _ = Log::open(directory(), Limits::for_capacity(1 << 20), 1)
        .map(|(mut log, _)| log.write(&Batch::default()));
}
