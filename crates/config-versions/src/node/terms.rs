//! What is said to a node, and what it says.

use crate::floor::Unknown;
use crate::publisher::Outcome;
use crate::version::Version;
use crate::Micros;

/// What a node without a lease does where it knows of nothing that was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Without {
    /// It serves on: the fleet's register being away harms nobody.
    Serve,
    /// It refuses.
    Refuse,
}

/// What the operator's file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who decides about the first version.
    pub electors: Vec<String>,
    /// How long a lease lasts.
    pub lease: Micros,
    /// What to do without one.
    pub without: Without,
    /// What to do where too few electors are heard to know the floor.
    pub unknown: Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A newer version was heard of, from whom.
    Heard(u64, String),
    /// Its content is here, from whom.
    Fetched(u64, String),
    /// It is acted on.
    Acting(u64),
    /// It can't be: why.
    Unfit(u64, String),
    /// A lease began, or has run out.
    Lease(u64, bool),
    /// An elector's disk is not the one that others remember.
    Disk,
    /// A publisher came to its end here.
    Published(Outcome),
    /// No node acts on a version below this one.
    Closed(u64),
    /// Enough electors were heard: this node acts on nothing below this version.
    Floor(u64),
}

/// Whether a node may act, and if not why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum May {
    /// Until then, if nothing else is heard.
    Act(Micros),
    /// Its version is closed.
    Closed,
    /// Its lease has run out, and it is to refuse then.
    NoLease,
    /// Too few electors were heard since its start to know which versions it may not go back
    /// behind.
    Unknown,
    /// Its version lies below its floor: it waits for a newer one.
    Below,
}

/// What can't be published, and why. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unpublished {
    /// This node is no elector that votes.
    NoElector(String),
    /// This is the newest version.
    Newest(Box<Version>),
    /// Another one is being published here.
    Busy,
    /// It is too long, or its electors can't follow.
    Unfit(String),
}

/// What is to be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// The number that it builds on.
    pub base: u64,
    /// The content.
    pub content: Vec<u8>,
    /// Who decides about the next one, if that changes.
    pub electors: Option<Vec<String>>,
    /// The version that it takes back.
    pub withdraws: Option<u64>,
    /// When, by the publisher's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// Why.
    pub why: String,
}
