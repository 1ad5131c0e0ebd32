//! Errors of operators' commands. No state changes when one is returned.

use crate::version::{AcceptorSetError, Version, MAX_CONTENT_BYTES, MAX_REASON_BYTES};
use thiserror::Error;

/// Why a version can't be proposed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This node is not an acceptor.
    #[error("this node is not an acceptor; the acceptors are {}", acceptors.join(", "))]
    NotAcceptor {
        /// The acceptors.
        acceptors: Vec<String>,
    },
    /// This acceptor's disk was replaced or restored.
    #[error("the disk of this acceptor was replaced or restored from a backup: it does not vote")]
    DiskMismatch,
    /// This acceptor has not started to vote.
    #[error("this acceptor has not written its incarnation or verified its disk yet")]
    NotReady,
    /// The proposal does not build on the newest version, which is this one.
    #[error(
        "the proposal does not build on the newest version, {}, proposed by {}: {}",
        .0.number, .0.proposer, .0.reason
    )]
    StaleBase(Box<Version>),
    /// Another proposal is in progress here.
    #[error("another proposal is in progress at this node")]
    InProgress,
    /// The content is too long.
    #[error(
        "the content has {length} bytes, at most {} are allowed",
        MAX_CONTENT_BYTES
    )]
    ContentTooLong {
        /// The length of the content, in bytes.
        length: usize,
    },
    /// The reason is empty or too long.
    #[error("the reason must have 1 to {} bytes", MAX_REASON_BYTES)]
    ReasonLength,
    /// The acceptors can't follow the current ones.
    #[error("acceptors: {0}")]
    Acceptors(#[from] AcceptorSetError),
}

/// Why versions can't be retired.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RetireError {
    /// The newest version, and version 0, can't be retired.
    #[error("the newest version is {newest}: only versions before it can be retired")]
    OutOfRange {
        /// The newest version.
        newest: u64,
    },
    /// This node is not an acceptor.
    #[error("this node is not an acceptor; the acceptors are {}", acceptors.join(", "))]
    NotAcceptor {
        /// The acceptors.
        acceptors: Vec<String>,
    },
    /// A retirement with a higher minimum was started here.
    #[error("a retirement with a higher minimum version, {minimum_version}, was started before")]
    HigherMinimum {
        /// The minimum of that retirement.
        minimum_version: u64,
    },
}
