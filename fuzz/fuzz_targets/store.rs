//! The store's reader on bytes that nobody wrote: no panic, and nothing beyond what the bytes can
//! hold.
//!
//! The first byte cuts the input into two segments, so that an opening of one can speak of the
//! other.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_framing::append_frame;
use pipitlever_idempotency_store::log::{LogContents, SegmentFiles, Limits, Log};
use pipitlever_idempotency_store::record::{encode, Clocks, SegmentHeader, Salt, FORMAT};
use std::io;

struct Folder(Vec<(String, Vec<u8>)>);

impl SegmentFiles for Folder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.0.iter().map(|f| f.0.clone()).collect())
    }
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.iter().find(|f| f.0 == name).map(|f| f.1.clone()).unwrap_or_default())
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
        Clocks { wall: 1_764_576_000_000_000, since_boot: 1_000_000_000, boot_id: "b".into() }
    }
}

/// A segment with these payloads in frames whose checksums hold.
fn framed(payloads: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    FORMAT.write_header(&mut bytes);
    for (number, payload) in payloads.iter().enumerate() {
        append_frame(&mut bytes, number as u32, |out| out.extend_from_slice(payload));
    }
    bytes
}

fuzz_target!(|bytes: &[u8]| {
    let Some((&cut, rest)) = bytes.split_first() else { return };
    let (first, second) = rest.split_at(usize::from(cut) * rest.len() / 256);
    // As they are; and past the checksums, with an opening of its own or one that holds.
    let mut opening = Vec::new();
    let clocks = Folder(vec![]).clocks();
    encode(&SegmentHeader { number: 1, oldest: 1, previous_durable_bytes: None, clocks, salt: Salt([1, 2]) }, &mut opening);
    read(first.to_vec(), second.to_vec());
    read(framed(&[&opening, first]), framed(&[second]));
    read(framed(&[&opening, first, second]), Vec::new());
});

fn read(first: Vec<u8>, second: Vec<u8>) {
    let files = vec![("000000000001.pls".into(), first), ("000000000002.pls".into(), second)];
    let _ = LogContents::read(&mut Folder(files.clone())).map(|c| c.into_keys(&Folder(vec![]).clocks()));
    let _ = Log::open(Folder(files), Limits::for_capacity(1 << 20), 1)
        .map(|(mut log, _)| log.write(&Default::default()));
}
