//! The metadata of one version, and which sets of acceptors may decide the next one.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use thiserror::Error;

/// The maximum length of a version's content, in bytes.
pub const MAX_CONTENT_BYTES: usize = 256 << 10;
/// The maximum length of the reason for a version, in bytes.
pub const MAX_REASON_BYTES: usize = 200;
/// The maximum length of a member's name, as in the membership view, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The minimum number of acceptors.
pub const MIN_ACCEPTORS: usize = 3;
/// The maximum number of acceptors.
pub const MAX_ACCEPTORS: usize = 7;

/// The number of bytes of a digest that are displayed.
const DISPLAYED_DIGEST_BYTES: usize = 8;

/// The SHA-256 digest of a content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of a content.
    pub fn of(content: &[u8]) -> Digest {
        Digest(Sha256::digest(content).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0[..DISPLAYED_DIGEST_BYTES]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// The metadata of a version. Its content is transferred separately.
///
/// Version 0 precedes the first decision: until then every node acts on its local files.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The version number: one more than that of the version it builds on.
    pub number: u64,
    /// The digest of the content.
    pub digest: Digest,
    /// The length of the content, in bytes.
    pub length: u32,
    /// The acceptors that decide the next version.
    pub acceptors: Vec<String>,
    /// The number of the version that introduced these acceptors.
    pub acceptors_since: u64,
    /// The number of the version that this one reverts, if any.
    pub reverts: Option<u64>,
    /// A random number that distinguishes versions proposed concurrently under one number.
    pub nonce: u64,
    /// The name of the acceptor that proposed the version.
    pub proposer: String,
    /// The time of the proposal by the proposer's clock, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
    /// The operator's reason, one sentence.
    pub reason: String,
}

impl Version {
    /// Returns version 0 for these acceptors.
    pub fn genesis(acceptors: &[String]) -> Version {
        Version {
            number: 0,
            digest: Digest::of(b""),
            length: 0,
            acceptors: acceptors.to_vec(),
            acceptors_since: 0,
            reverts: None,
            nonce: 0,
            proposer: String::new(),
            proposed_at_ms: 0,
            reason: String::new(),
        }
    }

    /// Returns whether all fields are within their limits. Checked on versions from the network.
    pub fn is_valid(&self) -> bool {
        self.length as usize <= MAX_CONTENT_BYTES
            && self.reason.len() <= MAX_REASON_BYTES
            && self.acceptors_since <= self.number
            && (self.number == 0 || is_valid_name(&self.proposer))
            && check_acceptors(&self.acceptors).is_ok()
    }
}

/// Returns whether a member's name has a valid length.
pub(crate) fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// Why a set of acceptors is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AcceptorSetError {
    /// There are too few or too many acceptors.
    #[error(
        "{count} acceptors are named: {} to {} are allowed",
        MIN_ACCEPTORS,
        MAX_ACCEPTORS
    )]
    Count {
        /// The number of acceptors named.
        count: usize,
    },
    /// An acceptor is named more than once.
    #[error("{0} is named twice")]
    Duplicate(String),
    /// A name is empty or too long.
    #[error("the name of an acceptor must have 1 to {} bytes", MAX_NAME_BYTES)]
    NameLength,
    /// More than one acceptor changes from one version to the next.
    #[error("{added} added and {removed} removed: one acceptor may be added or removed at a time")]
    TooManyChanges {
        /// The number of acceptors added.
        added: usize,
        /// The number of acceptors removed.
        removed: usize,
    },
}

/// Checks the number and the names of a set of acceptors.
///
/// # Errors
///
/// Returns the first rule that the set violates.
pub fn check_acceptors(acceptors: &[String]) -> Result<(), AcceptorSetError> {
    let count = acceptors.len();
    if !(MIN_ACCEPTORS..=MAX_ACCEPTORS).contains(&count) {
        return Err(AcceptorSetError::Count { count });
    }
    let mut sorted: Vec<&String> = acceptors.iter().collect();
    sorted.sort();
    if let Some(pair) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(AcceptorSetError::Duplicate(pair[0].clone()));
    }
    if !acceptors.iter().all(|name| is_valid_name(name)) {
        return Err(AcceptorSetError::NameLength);
    }
    Ok(())
}

/// Checks that one set of acceptors may follow another.
///
/// At most one acceptor may be added or removed per version: any quorum of the old set then
/// intersects any quorum of the new set (Ongaro 2014, section 4.1). Replacing one would break that:
/// {a, b, c} and {a, b, d} have the disjoint quorums {b, c} and {a, d}.
///
/// # Errors
///
/// Returns the first rule that the new set or the change violates.
pub fn check_acceptor_change(current: &[String], next: &[String]) -> Result<(), AcceptorSetError> {
    check_acceptors(next)?;
    let added = next.iter().filter(|name| !current.contains(name)).count();
    let removed = current.iter().filter(|name| !next.contains(name)).count();
    if added + removed > 1 {
        return Err(AcceptorSetError::TooManyChanges { added, removed });
    }
    Ok(())
}

/// Returns whether the acceptors that satisfy a predicate form a quorum, that is, a majority.
pub fn is_quorum(acceptors: &[String], includes: impl Fn(&str) -> bool) -> bool {
    2 * acceptors.iter().filter(|name| includes(name)).count() > acceptors.len()
}
