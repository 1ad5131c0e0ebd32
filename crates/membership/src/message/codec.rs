//! Encoding of messages: a header with magic number, protocol version and fleet name, the content,
//! and a CRC-32C of both.

use crate::message::{Frame, Update};
use crate::record::MAX_NAME_BYTES;
use serde::{Deserialize, Serialize};

/// First bytes of each message.
const MAGIC: [u8; 4] = *b"plfl";
/// Protocol version. Messages of another version are dropped.
pub const PROTOCOL_VERSION: u16 = 1;

static CRC: crc::Crc<u32> = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);

/// Why a message could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is damaged, truncated, exceeds a limit, or is not one of this protocol.
    #[error("malformed message")]
    Malformed,
    /// The message has another protocol version.
    #[error("unsupported protocol version {0}, expected {PROTOCOL_VERSION}")]
    UnsupportedVersion(u16),
    /// The message belongs to another fleet.
    #[error("message of another fleet {0}")]
    WrongFleet(String),
}

/// Start of each message. It is decoded before the checksum is verified, since another version may
/// have the checksum at another position.
#[derive(Serialize, Deserialize)]
struct Preamble {
    magic: [u8; 4],
    version: u16,
}

/// Header of each message.
#[derive(Serialize, Deserialize)]
struct Header<'a> {
    preamble: Preamble,
    fleet: &'a str,
}

/// Encodes `content` with header and checksum.
pub(super) fn encode_message<T: Serialize>(fleet: &str, content: &T) -> Vec<u8> {
    let header = Header {
        preamble: Preamble {
            magic: MAGIC,
            version: PROTOCOL_VERSION,
        },
        fleet,
    };
    // Serializing these types into memory cannot fail.
    postcard::to_allocvec_crc32(&(header, content), CRC.digest()).unwrap_or_default()
}

/// Decodes a message that [`encode_message`] encoded for the same fleet.
pub(super) fn decode_message<'a, T: Deserialize<'a>>(
    fleet: &str,
    bytes: &'a [u8],
) -> Result<T, DecodeError> {
    let (preamble, _) =
        postcard::take_from_bytes::<Preamble>(bytes).map_err(|_| DecodeError::Malformed)?;
    if preamble.magic != MAGIC {
        return Err(DecodeError::Malformed);
    }
    if preamble.version != PROTOCOL_VERSION {
        return Err(DecodeError::UnsupportedVersion(preamble.version));
    }
    let ((header, content), rest): ((Header, T), &[u8]) =
        postcard::take_from_bytes_crc32(bytes, CRC.digest())
            .map_err(|_| undecodable_content(fleet, bytes))?;
    if header.fleet != fleet {
        let sender_fleet = header.fleet.chars().take(MAX_NAME_BYTES).collect();
        return Err(DecodeError::WrongFleet(sender_fleet));
    }
    if !rest.is_empty() {
        return Err(DecodeError::Malformed);
    }
    Ok(content)
}

/// Classifies a message whose content cannot be decoded: another fleet may use other content.
fn undecodable_content(fleet: &str, bytes: &[u8]) -> DecodeError {
    match postcard::take_from_bytes::<Header>(bytes) {
        Ok((header, _)) if header.fleet != fleet && header.fleet.len() <= MAX_NAME_BYTES => {
            DecodeError::WrongFleet(header.fleet.to_owned())
        }
        _ => DecodeError::Malformed,
    }
}

/// Returns the number of bytes that an update takes in a message.
pub fn encoded_length(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(usize::MAX)
}

/// Appends a frame for a connection of the fleet, delimited by COBS.
pub fn encode_frame(out: &mut Vec<u8>, fleet: &str, frame: &Frame) {
    // Serializing a byte vector into memory cannot fail.
    out.extend(postcard::to_allocvec_cobs(&encode_message(fleet, frame)).unwrap_or_default());
}
