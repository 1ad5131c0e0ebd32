//! Reading of intact, truncated, damaged and out-of-sequence frames.

use pipitlever_framing::{
    append_frame, Format, FrameReader, ReadError, ReadErrorKind, FILE_HEADER_BYTES,
    FRAME_HEADER_BYTES,
};

const FORMAT: Format = Format {
    magic: *b"PLFRAMES",
    version: 3,
    description: "test",
};

fn file() -> Vec<u8> {
    let mut bytes = Vec::new();
    FORMAT.write_header(&mut bytes);
    for (number, payload) in [&b"one"[..], b"", b"three and more"].iter().enumerate() {
        append_frame(&mut bytes, number as u32, |out| {
            out.extend_from_slice(payload);
        });
    }
    bytes
}

fn count_frames(bytes: &[u8]) -> Result<usize, ReadError> {
    let mut reader = FrameReader::open(FORMAT, bytes)?;
    let mut count = 0;
    while reader.next_frame()?.is_some() {
        count += 1;
    }
    Ok(count)
}

#[test]
fn a_truncated_file_yields_its_intact_frames() {
    let bytes = file();
    let frame_ends = [
        FILE_HEADER_BYTES + FRAME_HEADER_BYTES + 3,
        FILE_HEADER_BYTES + 2 * FRAME_HEADER_BYTES + 3,
        bytes.len(),
    ];
    for length in 0..=bytes.len() {
        let intact = frame_ends.iter().filter(|&&end| end <= length).count();
        assert_eq!(count_frames(&bytes[..length]), Ok(intact), "{length}");
    }
    let followed_by_zeros = [&bytes[..], &[0; 40]].concat();
    assert_eq!(count_frames(&followed_by_zeros), Ok(3));
}

#[test]
fn any_flipped_bit_is_damage() {
    let bytes = file();
    for offset in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[offset] ^= 1 << bit;
            let error = count_frames(&damaged).expect_err("the damage is detected");
            assert!(error.offset as usize <= offset, "{offset}: {error}");
        }
    }
}

#[test]
fn a_frame_out_of_sequence_is_damage() {
    let mut bytes = Vec::new();
    FORMAT.write_header(&mut bytes);
    append_frame(&mut bytes, 1, |out| out.extend_from_slice(b"second"));
    let expected = ReadError {
        offset: FILE_HEADER_BYTES as u64,
        kind: ReadErrorKind::OutOfSequence {
            expected: 0,
            found: 1,
        },
    };
    assert_eq!(count_frames(&bytes), Err(expected));
}
