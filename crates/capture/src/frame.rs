//! The frames of captures.

pub use pipitlever_framing::{
    frame, Format, Frames, Unreadable, Wrong, HEAD, HEADER, MOST_PAYLOAD,
};

/// How a capture begins.
pub const FORMAT: Format = Format {
    magic: *b"PLCAPTUR",
    version: 1,
    what: "capture",
};
