//! Requests to control endpoints.

use super::view::View;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, ToSocketAddrs};
use std::time::Duration;

/// How long to wait for a response; a working endpoint responds within a second.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Longest response that is read, in bytes: a view of 10,000 members is shorter.
const MAX_RESPONSE: u64 = 16 << 20;
/// Most header fields of a response.
const MAX_FIELDS: usize = 32;

/// The status code and the body of a response.
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim_end().to_owned()
    }
}

/// Why an endpoint's response cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The address cannot be resolved.
    #[error("{endpoint}: not an address: expected HOST:PORT")]
    Address {
        /// The endpoint.
        endpoint: String,
    },
    /// The connection failed.
    #[error("{endpoint}: {source}")]
    Connection {
        /// The endpoint.
        endpoint: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The response is not HTTP.
    #[error("{endpoint}: not a control endpoint: the response is not HTTP")]
    NotHttp {
        /// The endpoint.
        endpoint: String,
    },
    /// The view cannot be parsed.
    #[error("{endpoint}: invalid response: {source}")]
    View {
        /// The endpoint.
        endpoint: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The node is in no fleet.
    #[error("{endpoint}: this node is in no fleet: its operator file has no [fleet]")]
    NoFleet {
        /// The endpoint.
        endpoint: String,
    },
    /// An unexpected status.
    #[error("{endpoint}: unexpected HTTP status {status}")]
    Status {
        /// The endpoint.
        endpoint: String,
        /// The HTTP status code.
        status: u16,
    },
}

/// Gets the view of the node at an endpoint.
pub fn get_view(endpoint: &str) -> Result<View, ClientError> {
    let response = request(endpoint, "GET", "/fleet", b"")?;
    let endpoint = endpoint.to_owned();
    match response.status {
        200 => serde_json::from_slice(&response.body)
            .map_err(|source| ClientError::View { endpoint, source }),
        404 => Err(ClientError::NoFleet { endpoint }),
        status => Err(ClientError::Status { endpoint, status }),
    }
}

/// Sends one request and reads the response.
pub fn request(
    endpoint: &str,
    method: &str,
    path: &str,
    content: &[u8],
) -> Result<Response, ClientError> {
    let mut addresses = endpoint.to_socket_addrs().into_iter().flatten();
    let address = addresses.next().ok_or_else(|| ClientError::Address {
        endpoint: endpoint.to_owned(),
    })?;
    let bytes =
        exchange(address, method, path, content).map_err(|source| ClientError::Connection {
            endpoint: endpoint.to_owned(),
            source,
        })?;
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    match response.parse(&bytes) {
        Ok(httparse::Status::Complete(head)) => Ok(Response {
            status: response.code.unwrap_or(0),
            body: bytes[head..].to_vec(),
        }),
        _ => Err(ClientError::NotHttp {
            endpoint: endpoint.to_owned(),
        }),
    }
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    content: &[u8],
) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = content.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), content].concat())?;
    let mut bytes = Vec::new();
    stream.take(MAX_RESPONSE).read_to_end(&mut bytes)?;
    Ok(bytes)
}
