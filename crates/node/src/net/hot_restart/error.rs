//! Errors of a hot restart.

use pipitlever_hot_restart::message::DecodeError;
use pipitlever_hot_restart::successor::UnexpectedMessage;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a successor cannot take over. The predecessor goes on serving.
#[derive(Debug, Error)]
pub enum HotRestartError {
    /// The predecessor's socket exists and cannot be connected to.
    #[error("hot restart: {}: {source}", path.display())]
    Connect {
        /// The socket's path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A process of another user listens on the socket.
    #[error("hot restart: {}: a process of another user listens there", path.display())]
    OtherUser {
        /// The socket's path.
        path: PathBuf,
    },
    /// A socket could not be set up.
    #[error("hot restart: socket: {0}")]
    Socket(io::Error),
    /// The predecessor shuts down, or has another successor.
    #[error("hot restart: the predecessor rejects this process")]
    Rejected,
    /// The predecessor sent no welcome in time.
    #[error("hot restart: the predecessor sent no welcome in time")]
    WelcomeTimeout,
    /// The predecessor speaks another protocol or version.
    #[error("hot restart: a message of the predecessor could not be decoded: {0}")]
    Decode(#[from] DecodeError),
    /// The predecessor sent a message that does not belong to the phase.
    #[error("hot restart: {0}")]
    UnexpectedMessage(#[from] UnexpectedMessage),
    /// The predecessor sent a message before it was asked for one.
    #[error("hot restart: the predecessor sent a message before the freeze")]
    PrematureMessage,
    /// The predecessor's first message is not a welcome.
    #[error("hot restart: the predecessor's first message is not a welcome")]
    NoWelcome,
    /// The predecessor belongs to another node.
    #[error(
        "hot restart: the predecessor belongs to another node predecessor={predecessor} this={this}"
    )]
    OtherNode {
        /// The predecessor's node.
        predecessor: String,
        /// This process's node.
        this: String,
    },
    /// The welcome lists other sockets than were passed.
    #[error(
        "hot restart: the predecessor passed other sockets than its welcome lists \
         listed={listed} passed={passed}"
    )]
    SocketCount {
        /// Sockets in the welcome.
        listed: usize,
        /// Sockets that were passed.
        passed: usize,
    },
    /// A socket's protocol is not known.
    #[error("hot restart: the predecessor passed a socket of an unknown protocol={0}")]
    UnknownProtocol(String),
    /// A socket is not bound to the address that it should have.
    #[error("hot restart: the predecessor passed a socket of another address={0}")]
    OtherAddress(SocketAddr),
    /// The predecessor sent no key in time.
    #[error("hot restart: the predecessor did not send its keys in time")]
    SnapshotTimeout,
    /// The connection ended, and the predecessor runs.
    #[error("hot restart: the predecessor closed the connection and still runs")]
    Disconnected,
}

/// Why the connection to a successor ended.
#[derive(Debug, Error)]
pub enum SessionEnd {
    /// It closed the connection before its greeting.
    #[error("it sent no greeting")]
    NoGreeting,
    /// It sent no greeting in time.
    #[error("it sent no greeting in time")]
    GreetingTimeout,
    /// It sent a message that does not belong to the phase.
    #[error("it sent an unexpected message")]
    UnexpectedMessage,
    /// It speaks another protocol or version.
    #[error("{0}")]
    Decode(#[from] DecodeError),
    /// The welcome could not be sent.
    #[error("the welcome could not be sent")]
    WelcomeNotSent,
    /// A message could not be sent.
    #[error("{0}")]
    Write(#[from] io::Error),
    /// It did not read a message in time.
    #[error("it does not read")]
    WriteTimeout,
    /// It closed the connection.
    #[error("it closed the connection")]
    Closed,
}
