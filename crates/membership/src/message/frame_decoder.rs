//! Decoder of the frames of a connection.

use crate::message::codec;
use crate::message::{DecodeError, Frame};
use postcard::accumulator::{CobsAccumulator, FeedResult};

/// Maximum length of a frame on a connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 10;
/// Bytes of an encoded frame beside its content: checksum, header, and one in 254 for COBS.
const FRAMING_BYTES: usize = 256;

/// Decodes frames from the bytes of a connection, which may arrive in chunks of any size.
pub struct FrameDecoder {
    accumulator: Box<CobsAccumulator<{ MAX_FRAME_BYTES + FRAMING_BYTES }>>,
    unread: Vec<u8>,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        FrameDecoder {
            accumulator: Box::new(CobsAccumulator::new()),
            unread: Vec::new(),
        }
    }
}

impl FrameDecoder {
    /// Adds bytes read from the connection. Call [`FrameDecoder::next_frame`] until it returns
    /// `None` before adding more.
    pub fn push(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if a frame is malformed or exceeds a limit, or belongs to another protocol version or
    /// fleet. The connection then has to be closed.
    pub fn next_frame(&mut self, fleet: &str) -> Result<Option<Frame>, DecodeError> {
        let unread = std::mem::take(&mut self.unread);
        let (encoded, rest) = match self.accumulator.feed::<Vec<u8>>(&unread) {
            FeedResult::Consumed => return Ok(None),
            FeedResult::OverFull(_) | FeedResult::DeserError(_) => {
                return Err(DecodeError::Malformed);
            }
            FeedResult::Success { data, remaining } => (data, remaining.to_vec()),
        };
        self.unread = rest;
        let frame: Frame = codec::decode_message(fleet, &encoded)?;
        frame
            .is_valid()
            .then_some(Some(frame))
            .ok_or(DecodeError::Malformed)
    }
}
