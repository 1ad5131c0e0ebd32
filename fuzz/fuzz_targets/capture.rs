//! Arbitrary bytes as a capture: the reader reaches the end or returns an error, and never panics.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_capture::frame;
use pipitlever_capture::record::decode;
use pipitlever_capture::segment::SegmentReader;

/// Reads a segment to its end.
fn read_segment(bytes: &[u8]) {
    let Ok(mut reader) = SegmentReader::open(bytes) else {
        return;
    };
    let _ = reader.controller();
    while let Ok(Some(_)) = reader.next_record() {}
    let _ = reader.tail();
}

fuzz_target!(|data: &[u8]| {
    read_segment(data);
    // Arbitrary contents in frames with valid checksums; otherwise no input passes the checksums.
    let mut bytes = Vec::new();
    frame::FORMAT.write_header(&mut bytes);
    let (first, rest) = data.split_at(data.len() / 2);
    frame::append_frame(&mut bytes, 0, |out| out.extend_from_slice(first));
    frame::append_frame(&mut bytes, 1, |out| out.extend_from_slice(rest));
    frame::append_frame(&mut bytes, 2, |out| out.extend_from_slice(&[2, 1]));
    read_segment(&bytes);
    let mut rest = data;
    while let Ok((_, remaining)) = decode(rest) {
        if remaining.len() == rest.len() {
            break;
        }
        rest = remaining;
    }
});
