//! The control endpoint: HTTP/1.1 (RFC 9112), one request per connection.

mod request;
mod response;

pub use request::{ControlRequest, Operation, RequestError, RequestReader};
pub use response::{write_error, write_json, write_text};

/// Longest head of a request, in bytes.
pub const MAX_HEAD: usize = 8 << 10;
/// Longest body of a request that does not need one, in bytes. It is read and ignored, so that its
/// sender receives the response.
pub const MAX_IGNORED_BODY: usize = 16 << 10;
/// Longest config version that may be published, in bytes.
pub const MAX_PUBLISHED_VERSION: usize = 256 << 10;
/// Most header fields of a request.
pub const MAX_FIELDS: usize = 64;
