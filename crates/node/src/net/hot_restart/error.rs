//! Errors of a hot restart.

use pipitlever_hot_restart::message::DecodeError;
use pipitlever_hot_restart::successor::UnexpectedMessage;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a successor cannot take over. The predecessor continues to serve.
#[derive(Debug, Error)]
pub enum HotRestartError {
    /// A connection to the predecessor's socket failed.
    #[error("hot restart: could not connect to the predecessor: {}: {source}", path.display())]
    Connect {
        /// The socket's path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A process of another user listens on the socket.
    #[error("hot restart: a process of another user listens on the socket: {}", path.display())]
    OtherUser {
        /// The socket's path.
        path: PathBuf,
    },
    /// A socket could not be set up.
    #[error("hot restart: could not set up a socket: {0}")]
    Socket(io::Error),
    /// The predecessor is shutting down, or has another successor.
    #[error("hot restart: the predecessor rejected this process")]
    Rejected,
    /// The predecessor sent no welcome in time.
    #[error("hot restart: the predecessor sent no welcome in time")]
    WelcomeTimeout,
    /// The predecessor uses another protocol or version.
    #[error("hot restart: a message of the predecessor could not be decoded: {0}")]
    Decode(#[from] DecodeError),
    /// The predecessor sent a message that is not valid in the current phase.
    #[error("hot restart: {0}")]
    UnexpectedMessage(#[from] UnexpectedMessage),
    /// The predecessor sent a message before this process sent `Freeze`.
    #[error("hot restart: the predecessor sent a message before the freeze")]
    PrematureMessage,
    /// The predecessor's first message is not a welcome.
    #[error("hot restart: the predecessor's first message is not a welcome")]
    NoWelcome,
    /// The predecessor belongs to another node.
    #[error(
        "hot restart: the predecessor belongs to another node: predecessor={predecessor} \
         this={this}"
    )]
    NodeMismatch {
        /// Name of the predecessor's node.
        predecessor: String,
        /// Name of this process's node.
        this: String,
    },
    /// The number of passed sockets differs from the number in the welcome.
    #[error(
        "hot restart: the predecessor passed another number of sockets than its welcome lists: \
         listed={listed} passed={passed}"
    )]
    SocketCountMismatch {
        /// Number of sockets in the welcome.
        listed: usize,
        /// Number of sockets that were passed.
        passed: usize,
    },
    /// The protocol of a passed socket is unknown.
    #[error("hot restart: the predecessor passed a socket of an unknown protocol: protocol={0}")]
    UnknownProtocol(String),
    /// A passed socket is not bound to the expected address.
    #[error(
        "hot restart: the predecessor passed a socket with an unexpected address: address={0}"
    )]
    AddressMismatch(SocketAddr),
    /// The predecessor did not send all keys in time.
    #[error("hot restart: the predecessor did not send its keys in time")]
    SnapshotTimeout,
    /// The predecessor closed the connection and is still running.
    #[error("hot restart: the predecessor closed the connection and still runs")]
    Disconnected,
}

/// Why the connection to a successor ended.
#[derive(Debug, Error)]
pub enum SessionEnd {
    /// The successor closed the connection before its greeting.
    #[error("the connection ended before a greeting")]
    NoGreeting,
    /// The successor sent no greeting in time.
    #[error("no greeting arrived in time")]
    GreetingTimeout,
    /// The successor sent a message that is not valid in the current phase.
    #[error("the successor sent an unexpected message")]
    UnexpectedMessage,
    /// The successor uses another protocol or version.
    #[error("a message could not be decoded: {0}")]
    Decode(#[from] DecodeError),
    /// The welcome could not be sent.
    #[error("the welcome could not be sent")]
    WelcomeNotSent,
    /// A message could not be sent.
    #[error("a message could not be sent: {0}")]
    Write(#[from] io::Error),
    /// The successor did not read a message in time.
    #[error("the successor did not read a message in time")]
    WriteTimeout,
    /// The successor closed the connection.
    #[error("the successor closed the connection")]
    Closed,
}
