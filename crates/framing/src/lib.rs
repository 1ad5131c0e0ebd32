//! Frames: each whole, cut off, or damaged, and never taken for one another.
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
    pub what: &'static str,
}

/// Bytes of the head.
pub const HEAD: usize = 16;
/// Bytes of a frame beside its payload.
pub const HEADER: usize = 16;
/// The longest payload. A state of 100,000 requests and keys takes some 20 MB.
pub const MOST_PAYLOAD: usize = 64 << 20;

/// Why a capture can't be read, and from where on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Offset in the file, in bytes.
    pub at: u64,
    /// What is wrong there.
    pub why: Wrong,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// It doesn't begin as such a file does.
    Foreign(&'static str),
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
        due: u32,
        /// The one that is there.
        found: u32,
    },
    /// A frame says that it is longer than any may be.
    Long(u32),
    /// A frame is whole and says what none may say.
    Content(String),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "offset {}: ", self.at)?;
        match &self.why {
            Wrong::Foreign(what) => write!(f, "this is no {what}"),
            Wrong::Version { found, read } => {
                write!(f, "format {found}; this build reads format {read}")
            }
            Wrong::Checksum => write!(f, "damaged: a checksum does not match"),
            Wrong::Number { due, found } => write!(f, "damaged: frame {found} where {due} is due"),
            Wrong::Long(length) => write!(f, "damaged: a frame of {length} bytes"),
            Wrong::Content(what) => write!(f, "damaged: {what}"),
        }
    }
}

impl std::error::Error for Unreadable {}

impl Format {
    /// Appends the head of a file.
    pub fn head(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&self.magic);
        out.extend_from_slice(&self.version.to_le_bytes());
        out.extend_from_slice(&[0, 0]);
        let sum = crc32fast::hash(&out[start..]);
        out.extend_from_slice(&sum.to_le_bytes());
    }
}

/// Appends one frame, its payload written in place.
pub fn frame(out: &mut Vec<u8>, number: u32, payload: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.resize(start + HEADER, 0);
    payload(out);
    let body = start + HEADER;
    let (length, sum) = ((out.len() - body) as u32, crc32fast::hash(&out[body..]));
    out[start..start + 4].copy_from_slice(&number.to_le_bytes());
    out[start + 4..start + 8].copy_from_slice(&length.to_le_bytes());
    let header = crc32fast::hash(&out[start..start + 8]);
    out[start + 8..start + 12].copy_from_slice(&header.to_le_bytes());
    out[start + 12..body].copy_from_slice(&sum.to_le_bytes());
}

/// The frames of a file, in order.
#[derive(Clone, Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
    number: u32,
    cut: bool,
}

impl<'a> Frames<'a> {
    /// Reads the head. A file that ends inside it was cut off there and has no frames.
    pub fn open(format: Format, bytes: &'a [u8]) -> Result<Frames<'a>, Unreadable> {
        let wrong = |at: usize, why| Err(Unreadable { at: at as u64, why });
        let mut expected = Vec::with_capacity(HEAD);
        format.head(&mut expected);
        if bytes.len() < HEAD {
            // What there is of it has to be the beginning of such a file.
            if bytes != &expected[..bytes.len()] {
                return wrong(0, Wrong::Foreign(format.what));
            }
            return Ok(Frames {
                bytes,
                at: 0,
                number: 0,
                cut: true,
            });
        }
        if bytes[..8] != format.magic {
            return wrong(0, Wrong::Foreign(format.what));
        }
        if crc32fast::hash(&bytes[..12]) != word(bytes, 12) {
            return wrong(8, Wrong::Checksum);
        }
        let version = u16::from_le_bytes([bytes[8], bytes[9]]);
        if version != format.version {
            return wrong(
                8,
                Wrong::Version {
                    found: version,
                    read: format.version,
                },
            );
        }
        Ok(Frames {
            bytes,
            at: HEAD,
            number: 0,
            cut: false,
        })
    }

    /// The next whole frame, with its offset. Nothing at the end and where the file was cut off.
    pub fn next_frame(&mut self) -> Result<Option<(u64, &'a [u8])>, Unreadable> {
        let at = self.at;
        let wrong = |why| Err(Unreadable { at: at as u64, why });
        let rest = &self.bytes[at..];
        if self.cut || rest.is_empty() {
            return Ok(None);
        }
        // A power cut may leave zeros where the system had no time to write: that is a cut, too.
        if rest.len() < HEADER || rest.iter().all(|&b| b == 0) {
            self.cut = true;
            return Ok(None);
        }
        if crc32fast::hash(&rest[..8]) != word(rest, 8) {
            return wrong(Wrong::Checksum);
        }
        let (found, length) = (word(rest, 0), word(rest, 4));
        if found != self.number {
            return wrong(Wrong::Number {
                due: self.number,
                found,
            });
        }
        if length as usize > MOST_PAYLOAD {
            return wrong(Wrong::Long(length));
        }
        let Some(payload) = rest[HEADER..].get(..length as usize) else {
            self.cut = true;
            return Ok(None);
        };
        if crc32fast::hash(payload) != word(rest, 12) {
            return wrong(Wrong::Checksum);
        }
        self.at += HEADER + payload.len();
        self.number += 1;
        Ok(Some((at as u64, payload)))
    }

    /// Whether the file was cut off behind the last whole frame.
    pub fn cut(&self) -> bool {
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
        what: "test",
    };

    fn file() -> Vec<u8> {
        let mut bytes = Vec::new();
        FORMAT.head(&mut bytes);
        for (number, payload) in [&b"one"[..], b"", b"three and more"].iter().enumerate() {
            frame(&mut bytes, number as u32, |out| {
                out.extend_from_slice(payload)
            });
        }
        bytes
    }

    fn read(bytes: &[u8]) -> Result<usize, Unreadable> {
        let mut frames = Frames::open(FORMAT, bytes)?;
        let mut count = 0;
        while frames.next_frame()?.is_some() {
            count += 1;
        }
        Ok(count)
    }

    #[test]
    fn a_file_cut_anywhere_yields_its_whole_frames() {
        let bytes = file();
        let ends = [HEAD + HEADER + 3, HEAD + 2 * HEADER + 3, bytes.len()];
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
                assert!(trouble.at as usize <= at, "{at}: {trouble}");
            }
        }
    }

    #[test]
    fn frames_in_another_order_are_damage() {
        let mut bytes = Vec::new();
        FORMAT.head(&mut bytes);
        frame(&mut bytes, 1, |out| out.extend_from_slice(b"late"));
        let number = Wrong::Number { due: 0, found: 1 };
        assert_eq!(
            read(&bytes),
            Err(Unreadable {
                at: HEAD as u64,
                why: number
            })
        );
    }
}
