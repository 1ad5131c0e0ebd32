//! The uwsgi protocol, both sides: a packet is a 4-byte header, variables, and a body of
//! `CONTENT_LENGTH` bytes; the response is raw HTTP.

mod packet;
mod response;

pub use packet::{encode_packet, find_variable, Packet, PacketReader};
pub use response::{write_response, ResponseReader};

/// An HTTP status of the front end's own responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The processor's result.
    Ok,
    /// The packet, or a variable in it, is malformed.
    BadRequest,
    /// No route has this path.
    NotFound,
    /// The packet is too large.
    TooLarge,
    /// The request failed, and may have run.
    BadGateway,
    /// The request never ran.
    Unavailable,
    /// The request's deadline passed.
    GatewayTimeout,
}

impl Status {
    /// The status code and the reason phrase.
    fn code_and_reason(self) -> &'static str {
        match self {
            Status::Ok => "200 OK",
            Status::BadRequest => "400 Bad Request",
            Status::NotFound => "404 Not Found",
            Status::TooLarge => "413 Content Too Large",
            Status::BadGateway => "502 Bad Gateway",
            Status::Unavailable => "503 Service Unavailable",
            Status::GatewayTimeout => "504 Gateway Timeout",
        }
    }
}
