//! FrameReader: each whole, cut off, or damaged, and never taken for one another.
//!
//! ```text
//! head:   magic, 8 bytes  version u16  zero u16  crc32 of the 12 bytes before
//! frame:  number u32  length u32  crc32 of these 8 bytes  crc32 of the payload  payload
//! ```
//!
//! All figures are little-endian. The header has a checksum of its own: without it a flipped bit in
//! a length would look like a file that was cut off, and what follows would be lost without a word.

use std::fmt;

/// What a file of frames is, and how it says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Format {
    /// How a file begins.
    pub magic: [u8; 8],
    /// The version of what the frames hold. Another one is not read.
    pub version: u16,
    /// What such a file is called.
    pub description: &'static str,
}

/// Bytes of the head.
pub const FILE_HEADER_BYTES: usize = 16;
/// Bytes of a frame beside its payload.
pub const FRAME_HEADER_BYTES: usize = 16;
/// The longest payload. A state of 100,000 requests and keys takes some 20 MB.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// Why a capture can't be read, and from where on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadError {
    /// Offset in the file, in bytes.
    pub offset: u64,
    /// What is wrong there.
    pub kind: ReadErrorKind,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadErrorKind {
    /// It doesn't begin as such a file does.
    WrongFileType(&'static str),
    /// It is of another version of the format.
    Version {
        /// Its version.
        found: u16,
        /// The one that is read.
        read: u16,
    },
    /// A checksum does not match.
    Checksum,
    /// A frame has another number than the one that is due.
    Number {
        /// The number that is due.
        expected: u32,
        /// The one that is there.
        found: u32,
    },
    /// A frame says that it is longer than any may be.
    TooLong(u32),
    /// A frame is whole and says what none may say.
    Content(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "offset {}: ", self.offset)?;
        match &self.kind {
            ReadErrorKind::WrongFileType(what) => write!(f, "this is no {what}"),
            ReadErrorKind::Version { found, read } => {
                write!(f, "format {found}; this build reads format {read}")
            }
            ReadErrorKind::Checksum => write!(f, "damaged: a checksum does not match"),
            ReadErrorKind::Number {
                expected: due,
                found,
            } => write!(f, "damaged: frame {found} where {due} is due"),
            ReadErrorKind::TooLong(length) => write!(f, "damaged: a frame of {length} bytes"),
            ReadErrorKind::Content(what) => write!(f, "damaged: {what}"),
        }
    }
}

impl std::error::Error for ReadError {}

impl Format {
    /// Appends the head of a file.
    pub fn write_header(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&self.magic);
        out.extend_from_slice(&self.version.to_le_bytes());
        out.extend_from_slice(&[0, 0]);
        let sum = crc32fast::hash(&out[start..]);
        out.extend_from_slice(&sum.to_le_bytes());
    }
}

/// Appends one frame, its payload written in place.
pub fn append_frame(out: &mut Vec<u8>, number: u32, payload: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.resize(start + FRAME_HEADER_BYTES, 0);
    payload(out);
    let body = start + FRAME_HEADER_BYTES;
    let (length, sum) = ((out.len() - body) as u32, crc32fast::hash(&out[body..]));
    out[start..start + 4].copy_from_slice(&number.to_le_bytes());
    out[start + 4..start + 8].copy_from_slice(&length.to_le_bytes());
    let header = crc32fast::hash(&out[start..start + 8]);
    out[start + 8..start + 12].copy_from_slice(&header.to_le_bytes());
    out[start + 12..body].copy_from_slice(&sum.to_le_bytes());
}

/// The frames of a file, in order.
#[derive(Clone, Debug)]
pub struct FrameReader<'a> {
    bytes: &'a [u8],
    at: usize,
    number: u32,
    cut: bool,
}

impl<'a> FrameReader<'a> {
    /// Reads the head. A file that ends inside it was cut off there and has no frames.
    pub fn open(format: Format, bytes: &'a [u8]) -> Result<FrameReader<'a>, ReadError> {
        let wrong = |at: usize, why| {
            Err(ReadError {
                offset: at as u64,
                kind: why,
            })
        };
        let mut expected = Vec::with_capacity(FILE_HEADER_BYTES);
        format.write_header(&mut expected);
        if bytes.len() < FILE_HEADER_BYTES {
            // What there is of it has to be the beginning of such a file.
            if bytes != &expected[..bytes.len()] {
                return wrong(0, ReadErrorKind::WrongFileType(format.description));
            }
            return Ok(FrameReader {
                bytes,
                at: 0,
                number: 0,
                cut: true,
            });
        }
        if bytes[..8] != format.magic {
            return wrong(0, ReadErrorKind::WrongFileType(format.description));
        }
        if crc32fast::hash(&bytes[..12]) != word(bytes, 12) {
            return wrong(8, ReadErrorKind::Checksum);
        }
        let version = u16::from_le_bytes([bytes[8], bytes[9]]);
        if version != format.version {
            return wrong(
                8,
                ReadErrorKind::Version {
                    found: version,
                    read: format.version,
                },
            );
        }
        Ok(FrameReader {
            bytes,
            at: FILE_HEADER_BYTES,
            number: 0,
            cut: false,
        })
    }

    /// The next whole frame, with its offset. Nothing at the end and where the file was cut off.
    pub fn next_frame(&mut self) -> Result<Option<(u64, &'a [u8])>, ReadError> {
        let at = self.at;
        let wrong = |why| {
            Err(ReadError {
                offset: at as u64,
                kind: why,
            })
        };
        let rest = &self.bytes[at..];
        if self.cut || rest.is_empty() {
            return Ok(None);
        }
        // A power cut may leave zeros where the system had no time to write: that is a cut, too.
        if rest.len() < FRAME_HEADER_BYTES || rest.iter().all(|&b| b == 0) {
            self.cut = true;
            return Ok(None);
        }
        if crc32fast::hash(&rest[..8]) != word(rest, 8) {
            return wrong(ReadErrorKind::Checksum);
        }
        let (found, length) = (word(rest, 0), word(rest, 4));
        if found != self.number {
            return wrong(ReadErrorKind::Number {
                expected: self.number,
                found,
            });
        }
        if length as usize > MAX_PAYLOAD_BYTES {
            return wrong(ReadErrorKind::TooLong(length));
        }
        let Some(payload) = rest[FRAME_HEADER_BYTES..].get(..length as usize) else {
            self.cut = true;
            return Ok(None);
        };
        if crc32fast::hash(payload) != word(rest, 12) {
            return wrong(ReadErrorKind::Checksum);
        }
        self.at += FRAME_HEADER_BYTES + payload.len();
        self.number += 1;
        Ok(Some((at as u64, payload)))
    }

    /// Whether the file was cut off behind the last whole frame.
    pub fn is_truncated(&self) -> bool {
        self.cut
    }

    /// Where the next frame would begin: everything before was whole.
    pub fn offset(&self) -> u64 {
        self.at as u64
    }
}

fn word(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

#[cfg(test)]
mod tests {
    use super::*;

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
                out.extend_from_slice(payload)
            });
        }
        bytes
    }

    fn read(bytes: &[u8]) -> Result<usize, ReadError> {
        let mut frames = FrameReader::open(FORMAT, bytes)?;
        let mut count = 0;
        while frames.next_frame()?.is_some() {
            count += 1;
        }
        Ok(count)
    }

    #[test]
    fn a_file_cut_anywhere_yields_its_whole_frames() {
        let bytes = file();
        let ends = [
            FILE_HEADER_BYTES + FRAME_HEADER_BYTES + 3,
            FILE_HEADER_BYTES + 2 * FRAME_HEADER_BYTES + 3,
            bytes.len(),
        ];
        for length in 0..=bytes.len() {
            let whole = ends.iter().filter(|&&end| end <= length).count();
            assert_eq!(read(&bytes[..length]), Ok(whole), "{length}");
        }
        let zeros = [&bytes[..], &[0; 40]].concat();
        assert_eq!(read(&zeros), Ok(3));
    }

    #[test]
    fn a_flipped_bit_anywhere_is_damage() {
        let bytes = file();
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut damaged = bytes.clone();
                damaged[at] ^= 1 << bit;
                let trouble = read(&damaged).expect_err("noticed");
                assert!(trouble.offset as usize <= at, "{at}: {trouble}");
            }
        }
    }

    #[test]
    fn frames_in_another_order_are_damage() {
        let mut bytes = Vec::new();
        FORMAT.write_header(&mut bytes);
        append_frame(&mut bytes, 1, |out| out.extend_from_slice(b"late"));
        let number = ReadErrorKind::Number {
            expected: 0,
            found: 1,
        };
        assert_eq!(
            read(&bytes),
            Err(ReadError {
                offset: FILE_HEADER_BYTES as u64,
                kind: number
            })
        );
    }
}
