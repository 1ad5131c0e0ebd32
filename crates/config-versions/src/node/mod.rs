//! All that one node does about versions: it hears of them, comes to them, acts on one while it
//! may, and as an elector votes.

use crate::closer::{Closer, Stage};
use crate::elector::{Elector, Kept, Said, Voting};
use crate::floor::{Floor, Unknown};
use crate::lease::{Leases, Rates};
use crate::message::{Beat, Hint, Message};
use crate::publisher::{Outcome, Publisher};
use crate::version::{majority, may_follow, Digest, Version, MOST_CONTENT, MOST_WHY};
use crate::Micros;
use fastrand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

mod act;
mod contents;
mod disk;
mod due;
mod heard;
mod publish;
mod terms;

pub use terms::*;

/// Electors say that they live so often in the length of a lease.
const BEATS: Micros = 5;
/// What has no answer is asked again after so long.
const AGAIN: Micros = 300_000;
/// A piece that has not come is asked for again after so long: they are small, and a lost one holds
/// up the rest.
const FETCH_AGAIN: Micros = 100_000;
/// The longest piece of a content, in bytes: a datagram holds it.
pub const PIECE: usize = 900;
/// Publishing is given up after so long.
const PUBLISH_MOST: Micros = 10_000_000;
/// A version that was accepted and is not decided is ended by an elector itself after so long.
const STALE: Micros = 5_000_000;
/// Contents that are kept beside the one that is acted on, the newest first.
const MOST_CONTENTS: usize = 4;
/// What is to be said and waits for the disk.
const MOST_HELD: usize = 256;
/// Events that nobody has fetched.
const MOST_EVENTS: usize = 1024;

/// A content that comes in pieces.
#[derive(Debug)]
struct Fetch {
    digest: Digest,
    bytes: Vec<u8>,
    from: Option<String>,
    again: Micros,
}

/// One node.
pub struct Node {
    name: String,
    settings: Settings,
    rates: Rates,
    rng: Rng,
    newest: Version,
    /// The version that is acted on.
    acting: u64,
    /// What can't be acted on, and why.
    unfit: Option<(u64, String)>,
    elector: Option<Elector>,
    /// The last write that is on the disk.
    synced: u64,
    /// The last one that was handed out.
    writing: u64,
    held: Vec<Said>,
    leases: Leases,
    leased: bool,
    floor: Floor,
    /// The newest version that each elector has said was decided, until a majority says so.
    claims: BTreeMap<String, Version>,
    publisher: Option<Publisher>,
    closer: Option<Closer>,
    contents: VecDeque<(Digest, Rc<[u8]>)>,
    fetch: Option<Fetch>,
    /// Since when something that was accepted is not decided.
    stale: Option<Micros>,
    next_beat: Micros,
    next_ask: Micros,
    next_which: Micros,
    out: Vec<(String, Message)>,
    events: VecDeque<Event>,
}

impl Node {
    /// Starts. `kept` is what an elector's disk holds, `Some(None)` an empty one; a node without a
    /// folder for it is no elector. `acting` is the version that was written down last and its
    /// content, `floor` the floor that was.
    pub fn new(
        name: &str,
        settings: Settings,
        kept: Option<Option<Kept>>,
        acting: Option<(Version, Rc<[u8]>)>,
        floor: u64,
        seed: u64,
        now: Micros,
    ) -> Node {
        let mut rng = Rng::with_seed(seed);
        let (token, nonce) = (rng.u64(1..), rng.u64(1..));
        let elector = kept.map(|kept| Elector::start(name, kept, &settings.electors, token));
        let mut newest = match &elector {
            Some(elector) => elector.kept().0.newest.clone(),
            None => Version::genesis(&settings.electors),
        };
        let mut contents = VecDeque::new();
        let mut number = 0;
        if let Some((version, content)) = acting {
            number = version.number;
            contents.push_back((version.digest, content));
            if version.number > newest.number {
                newest = version;
            }
        }
        Node {
            name: name.to_owned(),
            settings,
            rates: Rates::default(),
            rng,
            newest,
            acting: number,
            unfit: None,
            elector,
            synced: 0,
            writing: 0,
            held: Vec::new(),
            leases: Leases::default(),
            leased: false,
            floor: Floor::new(floor.max(number), nonce),
            claims: BTreeMap::new(),
            publisher: None,
            closer: None,
            contents,
            fetch: None,
            stale: None,
            next_beat: now,
            next_ask: now,
            next_which: now,
            out: Vec::new(),
            events: VecDeque::new(),
        }
    }

    /// The newest version that it knows was decided.
    pub fn newest(&self) -> &Version {
        &self.newest
    }

    /// The version that it acts on.
    pub fn acting(&self) -> u64 {
        self.acting
    }

    /// The one that it can't act on, and why.
    pub fn unfit(&self) -> Option<&(u64, String)> {
        self.unfit.as_ref()
    }

    /// What is known of its floor.
    pub fn floor(&self) -> &Floor {
        &self.floor
    }

    /// The process before this one hands over the version that it acts on; it is this one's, too.
    pub fn handed(&mut self, number: u64) {
        if self.acting >= number {
            self.floor.handed(number);
        }
    }

    /// An operator says what the floor is.
    pub fn accept_floor(&mut self, number: u64) {
        self.floor.accept(number);
        self.event(Event::Floor(number));
    }

    /// Another process of this node was the member for a while, and is gone. What it has voted and
    /// acted on is on the disk: this one goes on from there, as after a start, and under the
    /// version that it has itself acted on all the while.
    pub fn resume(&mut self, now: Micros, kept: Option<Option<Kept>>, floor: u64) {
        let token = self.rng.u64(1..);
        self.elector =
            kept.map(|kept| Elector::start(&self.name, kept, &self.settings.electors, token));
        (self.synced, self.writing) = (0, 0);
        (self.publisher, self.closer, self.stale) = (None, None, None);
        self.held.clear();
        self.out.clear();
        self.floor = Floor::new(self.floor.floor().max(floor), self.rng.u64(1..));
        (self.next_beat, self.next_ask) = (now, now);
        if let Some(learned) = self.elector.as_ref().map(|e| e.kept().0.newest.clone()) {
            let name = self.name.clone();
            self.learn(now, &name, &learned);
        }
    }

    /// Its elector, if it has a disk to be one.
    pub fn elector(&self) -> Option<&Elector> {
        self.elector.as_ref()
    }

    /// What is being closed here.
    pub fn closing(&self) -> Option<(u64, &Stage)> {
        self.closer.as_ref().map(|c| (c.floor(), c.stage()))
    }

    /// What is to be said, to whom. Those that are no members any more hear nothing.
    pub fn take_out(&mut self) -> Vec<(String, Message)> {
        std::mem::take(&mut self.out)
    }

    /// What happened.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    fn event(&mut self, event: Event) {
        if self.events.len() == MOST_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }
}
