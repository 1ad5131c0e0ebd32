//! A node's view of the fleet, as its control endpoint returns it (`GET /fleet`).

use crate::cli::sessions::Sessions;
use serde::{Deserialize, Serialize};

/// The view of one node.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct View {
    /// The node's name.
    #[serde(rename = "self")]
    pub node: String,
    /// The fleet's name.
    pub fleet: String,
    /// Whether the view has not changed for a while.
    #[serde(rename = "settled")]
    pub is_settled: bool,
    /// Whether the node reaches less than half of the known members.
    #[serde(rename = "cut_off")]
    pub is_cut_off: bool,
    /// The Lifeguard local health multiplier: 0 when all is well.
    pub health: u32,
    /// Digest of the view: equal on two nodes if, and only if, their views are.
    pub digest: String,
    /// The members.
    pub members: Vec<Member>,
    /// The node's config versions, if the fleet decides them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Versions>,
    /// The sessions that the node knows, if any pool has session affinity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sessions: Option<Sessions>,
}

/// A node's config versions.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Versions {
    /// The active version.
    #[serde(rename = "acting")]
    pub active: u64,
    /// The newest version that the node knows was decided.
    pub decided: u64,
    /// The minimum version: the node activates none below it.
    #[serde(rename = "floor")]
    pub minimum: u64,
    /// Whether a quorum has confirmed the minimum version since the start.
    #[serde(rename = "floor_known")]
    pub is_minimum_known: bool,
    /// Whether the node admits and starts requests.
    pub may_act: bool,
    /// Why the node does not admit requests.
    pub why: String,
    /// Remaining time of the node's lease, in milliseconds.
    pub lease_ms: Option<i64>,
    /// A version that the node cannot activate, and why.
    pub unfit: Option<String>,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// The member's name.
    pub name: String,
    /// The address of its membership sockets.
    pub address: String,
    /// Its zone; may be empty.
    pub zone: String,
    /// `alive`, `suspect`, `down` or `left`.
    pub state: String,
    /// Its incarnation number.
    pub incarnation: u64,
    /// Its service state.
    #[serde(rename = "standing")]
    pub service_state: String,
    /// Time since its state changed, in milliseconds.
    pub since_ms: u64,
    /// The member that reported the state.
    #[serde(rename = "told_by")]
    pub reported_by: String,
    /// Addresses of other processes of the same name.
    pub conflict: Vec<String>,
    /// Its active config version.
    #[serde(default, rename = "acting")]
    pub active_version: Option<u64>,
}
