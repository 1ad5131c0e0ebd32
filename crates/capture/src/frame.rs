//! The frames of capture files.

pub use pipitlever_framing::{
    append_frame, Format, Frame, FrameReader, ReadError, ReadErrorKind, FILE_HEADER_BYTES,
    FRAME_HEADER_BYTES, MAX_PAYLOAD_BYTES,
};

/// The format of capture files.
pub const FORMAT: Format = Format {
    magic: *b"PLCAPTUR",
    version: 1,
    description: "capture",
};
