//! The minimum version: the fence of one node, which acts on no version below it.
//!
//! The minimum version is the highest version that any process under the node's name has acted on.
//! A process can't learn it from its own disk, which may have been lost or restored from a backup.
//! A new process therefore queries the acceptors for the highest version that each has accepted or
//! knows to be decided, and acts on no version until a quorum has answered.
//!
//! The answers of a quorum are sufficient: a version is acted on only after it is decided, so a quorum has accepted it
//! durably, and any quorum that answers contains one of these acceptors. Responses echo a random
//! nonce, which excludes responses to an earlier process, and an acceptor whose disk is not
//! verified does not answer.

use crate::version::{is_quorum, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a node does while its minimum version is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub enum UnknownMinimum {
    /// The node rejects all requests until a quorum answers or an operator sets the minimum
    /// version. Stale settings are never applied.
    #[default]
    Wait,
    /// The node acts on the version on its disk, which may be older than one it has acted on
    /// before.
    Serve,
}

/// The durable state of a node, written before it first acts on a version. Postcard: the order of
/// fields is part of the file format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersion {
    /// The minimum version.
    pub minimum_version: u64,
    /// The active version. `None` while the node acts on its local files.
    pub version: Option<Version>,
    /// The content of the active version.
    pub content: Vec<u8>,
}

/// The minimum version of a node, as known to one of its processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MinimumVersion {
    number: u64,
    nonce: u64,
    /// The highest version that each acceptor has reported.
    responses: BTreeMap<String, u64>,
    is_known: bool,
}

impl MinimumVersion {
    /// Starts with the number on the disk, and a random nonce.
    pub fn new(number: u64, nonce: u64) -> MinimumVersion {
        MinimumVersion {
            number,
            nonce,
            responses: BTreeMap::new(),
            is_known: false,
        }
    }

    /// Returns the lowest version that may be acted on, as known to this process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether the minimum is known: no process under this node's name has acted on a higher
    /// version.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns whether a version may be acted on.
    pub fn allows(&self, version: u64) -> bool {
        self.is_known && version >= self.number
    }

    /// Returns the nonce of requests and responses.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// Returns the acceptors to send a request to.
    pub fn acceptors_to_query<'a>(
        &'a self,
        acceptors: &'a [String],
    ) -> impl Iterator<Item = &'a String> {
        acceptors
            .iter()
            .filter(|name| !self.is_known && !self.responses.contains_key(*name))
    }

    /// Handles a response. Returns whether it makes the minimum version known.
    pub fn handle_response(
        &mut self,
        sender: &str,
        nonce: u64,
        highest: u64,
        acceptors: &[String],
    ) -> bool {
        let is_acceptor = acceptors.iter().any(|name| name == sender);
        if self.is_known || nonce != self.nonce || !is_acceptor {
            return false;
        }
        let reported = self.responses.entry(sender.to_owned()).or_default();
        *reported = highest.max(*reported);
        if !is_quorum(acceptors, |name| self.responses.contains_key(name)) {
            return false;
        }
        self.is_known = true;
        self.number = self.responses.values().copied().fold(self.number, u64::max);
        true
    }

    /// Raises the minimum to a version that is about to be acted on and is durable.
    pub fn raise(&mut self, version: u64) {
        self.number = self.number.max(version);
    }

    /// Takes over the version that the node's previous process acted on until now.
    pub fn inherit(&mut self, version: u64) {
        self.raise(version);
        self.is_known = true;
    }

    /// Sets the minimum version on an operator's command. The new one may be lower: this is for a
    /// register that was lost, or a minimum that a forged response has raised.
    pub fn set_by_operator(&mut self, version: u64) {
        self.number = version;
        self.is_known = true;
    }
}
