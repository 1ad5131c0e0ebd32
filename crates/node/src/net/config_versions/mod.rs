//! The node's part in the fleet's versions: what `pipitlever-versions` decides, by datagrams of the
//! fleet, a thread for the disk, and a word to the core on whether anything may be done at all.
//! Only with `[fleet.versions]`.

pub mod disk;

use crate::log::log;
use crate::net::hub::Shared;
use async_channel::{Receiver, Sender};
use disk::{Done, Job};
use pipitlever_config_versions::floor::{Saved, Unknown};
use pipitlever_config_versions::message::{Hint, Message};
use pipitlever_config_versions::node::{self, Draft, Event, May, Node, Unpublished};
use pipitlever_config_versions::publisher::Outcome;
use pipitlever_config_versions::version::Version;
use pipitlever_config_versions::word::Word;
use pipitlever_membership::{ApplicationMessage, Membership, ReceivedMessage};
use serde::Deserialize;
use serde_json::{json, value::RawValue, Value};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;

/// What the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this node's files are. Each node has its own.
    pub folder: PathBuf,
    /// What is decided by.
    pub rules: node::Settings,
}

/// A version that is to be acted on: its number and content.
pub type Act = (u64, Rc<[u8]>);

/// The part.
pub struct Versions {
    node: RefCell<Node>,
    jobs: Sender<Job>,
    folder: PathBuf,
    elector: bool,
    acts: Option<Sender<Act>>,
    /// The version that the acting loop has in its hands.
    offered: Cell<u64>,
    /// What may be done, as it was last told to the core.
    told: Cell<Option<May>>,
    hub: Shared,
}

/// What a publisher sends to the door.
#[derive(Deserialize)]
struct Published<'a> {
    base: u64,
    why: String,
    #[serde(borrow)]
    content: &'a RawValue,
}

impl Versions {
    /// Begins, with what the disk holds. What is to be acted on goes out by the channel, whose
    /// other end acts and says so.
    pub fn begin(
        hub: Shared,
        name: &str,
        settings: &Settings,
        saved: Option<Saved>,
        acts: Option<Sender<Act>>,
        seed: u64,
        now: i64,
    ) -> Result<(Versions, Receiver<Done>), String> {
        let (jobs, done) = disk::start(settings.folder.clone())?;
        let elector = settings.rules.electors.iter().any(|e| e == name);
        let kept = elector
            .then(|| disk::load(&settings.folder, disk::ELECTOR))
            .transpose()?;
        let saved = saved.unwrap_or_default();
        let acting = saved.version.map(|version| (version, saved.content.into()));
        let node = Node::new(
            name,
            settings.rules.clone(),
            kept,
            acting,
            saved.floor,
            seed,
            now,
        );
        log(&format!(
            "versions: acting={} floor={} elector={elector}",
            node.acting(),
            node.floor().floor()
        ));
        let (offered, told) = (Cell::new(node.acting()), Cell::new(None));
        let (node, folder) = (RefCell::new(node), settings.folder.clone());
        let versions = Versions {
            node,
            jobs,
            folder,
            elector,
            acts,
            offered,
            told,
            hub,
        };
        Ok((versions, done))
    }

    /// Takes in what members have said, does what is due, and says what comes of it.
    pub fn turn(&self, fleet: &mut Membership, now: i64, heard: Vec<ReceivedMessage>) {
        let mut node = self.node.borrow_mut();
        for ReceivedMessage {
            sender: from,
            content,
        } in heard
        {
            match content {
                ApplicationMessage::Piggyback(bytes) => {
                    if let Some(hint) = Hint::read(&bytes) {
                        node.heard_hint(now, &hint);
                    }
                }
                ApplicationMessage::Direct(bytes) => match Word::read(&bytes) {
                    Some(Word::Register(bytes)) => {
                        Message::read(&bytes).inspect(|message| node.heard(now, &from, message));
                    }
                    Some(Word::Want { digest, at }) => {
                        let piece = node.piece(digest, at as usize);
                        let all = piece.as_ref().map(|(_, all)| *all as u32);
                        let bytes = piece.map_or(Vec::new(), |(bytes, _)| bytes);
                        fleet.send_application_message(
                            &from,
                            Word::Piece {
                                digest,
                                at,
                                all,
                                bytes,
                            }
                            .write(),
                        );
                    }
                    Some(Word::Piece {
                        digest,
                        at,
                        all,
                        bytes,
                    }) => {
                        let piece = all.map(|all| (&bytes[..], all as usize));
                        node.fetched(now, &from, digest, at as usize, piece);
                    }
                    None => {}
                },
            }
        }
        let mut spread = node.due() <= now && node.wake(now);
        if let Some((kept, write)) = node.take_write() {
            // A thread that has ended writes nothing, and nothing that rests on it is ever said.
            let _ = self.jobs.try_send(Job::Elector(Box::new(kept), write));
        }
        // Not put together each time: a content is wanted now and then.
        if node.fetching() {
            let there = fleet
                .members()
                .iter()
                .filter(|(_, m)| m.record.state.is_active());
            let others: Vec<&str> = there
                .map(|(name, _)| name)
                .filter(|name| *name != fleet.local_name())
                .collect();
            if let Some((digest, at, of)) = node.take_fetch(now, &others) {
                fleet.send_application_message(
                    &of,
                    Word::Want {
                        digest,
                        at: at as u32,
                    }
                    .write(),
                );
            }
        }
        for (to, message) in node.take_out() {
            fleet.send_application_message(&to, Word::register(&message).write());
        }
        if let Some((version, content)) =
            node.offer().filter(|(v, _)| v.number > self.offered.get())
        {
            if node.floor().allows(version.number) {
                self.offered.set(version.number);
                self.acts
                    .iter()
                    .for_each(|acts| drop(acts.try_send((version.number, content.clone()))));
            }
        }
        for event in node.take_events() {
            spread |= matches!(event, Event::Heard(..));
            log(&format!("versions: {}", line(&event)));
        }
        fleet.set_piggyback(node.hint().write());
        if spread {
            fleet.gossip_piggyback(now);
        }
        let may = node.may_act(now);
        drop(node);
        self.tell(may);
    }

    /// Tells the core what may be done, and until when: it looks at the time itself, at each
    /// request.
    fn tell(&self, may: May) {
        if self.told.replace(Some(may)) == Some(may) {
            return;
        }
        let serves = self.node.borrow().serves();
        // A turn may come from within the hub's own; the next one is soon.
        let Ok(mut hub) = self.hub.try_borrow_mut() else {
            return self.told.set(None);
        };
        let until = match may {
            May::Act(_) if serves => Some(i64::MAX),
            May::Act(until) => Some(until),
            _ => None,
        };
        if hub.core.set_configuration_expiry(until) {
            log(&format!(
                "versions: {}",
                if until.is_some() {
                    "this node acts"
                } else {
                    why(may)
                }
            ));
        }
    }

    /// When it wants to be woken.
    pub fn due(&self) -> i64 {
        self.node.borrow().due()
    }

    /// What the disk thread has done.
    pub fn done(&self, now: i64, done: Done) -> Option<Result<u64, String>> {
        match done {
            Done::Elector(number, result) => {
                let written = result.is_ok();
                let _ = result
                    .inspect_err(|why| log(&format!("versions: a vote is not on the disk: {why}")));
                self.node.borrow_mut().written(now, number, written);
                None
            }
            Done::Acting(result) => Some(result),
        }
    }

    /// Has it written down that a version is about to be acted on.
    pub fn write(&self, number: u64, content: &[u8]) {
        let node = self.node.borrow();
        let version = Some(node.newest().clone()).filter(|v| v.number == number);
        let floor = node.floor().floor().max(number);
        let _ = self.jobs.try_send(Job::Acting(Saved {
            floor,
            version,
            content: content.to_vec(),
        }));
    }

    /// Another process of this node was the member for a while, and is gone: what it has voted and
    /// acted on is on the disk. A disk that can't be read is like a new one: its elector is found
    /// out, and a majority says where to go on.
    pub fn resume(&self, now: i64) {
        let said = |why: String| log(&format!("versions: {why}: going on as on a new disk"));
        let kept = self.elector.then(|| {
            disk::load(&self.folder, disk::ELECTOR)
                .map_err(said)
                .ok()
                .flatten()
        });
        let saved: Option<Saved> = disk::load(&self.folder, disk::ACTING)
            .map_err(said)
            .ok()
            .flatten();
        let mut node = self.node.borrow_mut();
        node.resume(now, kept, saved.map_or(0, |saved| saved.floor));
        self.offered.set(node.acting());
        self.told.set(None);
        self.hub.borrow_mut().core.set_configuration_expiry(None);
    }

    /// A version was taken as a whole, or can't be.
    pub fn acted(&self, number: u64, taken: Result<(), String>) {
        self.node.borrow_mut().acted(number, taken);
    }

    /// The process before this one acted on this version.
    pub fn handed(&self, number: u64) {
        self.node.borrow_mut().handed(number);
    }

    /// The version that is acted on.
    pub fn acting(&self) -> u64 {
        self.node.borrow().acting()
    }

    /// Begins to publish what an operator sent: what is said to that, and whether it is a yes.
    pub fn publish(&self, now: i64, unix_ms: u64, body: &[u8]) -> (bool, String) {
        let published: Published = match serde_json::from_slice(body) {
            Ok(published) => published,
            Err(e) => return (false, format!("no publication: {e}\n")),
        };
        let Published { base, why, content } = published;
        let content = content.get().as_bytes().to_vec();
        let draft = Draft {
            base,
            content,
            electors: None,
            withdraws: None,
            at_ms: unix_ms,
            why,
        };
        match self.node.borrow_mut().publish(now, draft) {
            Ok(number) => (true, format!("publishing {number}\n")),
            Err(Unpublished::Newest(v)) => {
                let Version {
                    number, by, why, ..
                } = *v;
                (false, format!("the newest is {number}, by {by}: {why}\n"))
            }
            Err(Unpublished::NoElector(why)) => {
                (false, format!("this node can't publish: {why}\n"))
            }
            Err(Unpublished::Busy) => (false, "another version is being published here\n".into()),
            Err(Unpublished::Unfit(why)) => (false, format!("{why}\n")),
        }
    }

    /// Begins to close all versions below one.
    pub fn close(&self, now: i64, floor: u64) -> (bool, String) {
        match self.node.borrow_mut().close(now, floor) {
            Ok(()) => (true, format!("closing all below {floor}\n")),
            Err(why) => (false, format!("{why}\n")),
        }
    }

    /// An operator says what the floor is.
    pub fn accept_floor(&self, number: u64) -> (bool, String) {
        self.node.borrow_mut().accept_floor(number);
        (true, format!("the floor is {number}\n"))
    }

    /// Until when a majority of electors is known to have been heard.
    pub fn leased_until(&self) -> i64 {
        self.node.borrow().leased_until().unwrap_or(i64::MIN)
    }

    /// How it stands, for the door.
    pub fn view(&self, now: i64) -> Value {
        let node = self.node.borrow();
        let may = node.may_act(now);
        let lease_ms = node.leased_until().map(|until| (until - now).max(0) / 1000);
        json!({
            "acting": node.acting(), "decided": node.newest().number, "floor": node.floor().floor(),
            "floor_known": node.floor().open(), "may_act": matches!(may, May::Act(_)),
            "why": if matches!(may, May::Act(_)) { "" } else { why(may) },
            "lease_ms": lease_ms, "unfit": node.unfit().map(|(n, why)| format!("{n}: {why}")),
        })
    }
}

fn why(may: May) -> &'static str {
    match may {
        May::Act(_) => "it acts",
        May::Closed => "refusing: its version is closed",
        May::NoLease => "refusing: its lease has run out",
        May::Unknown => "refusing: too few electors were heard to know its floor",
        May::Below => "refusing: its version lies below its floor, a newer one is on its way",
    }
}

fn line(event: &Event) -> String {
    match event {
        Event::Heard(number, from) => format!("heard of {number} from {from}"),
        Event::Fetched(number, from) => format!("fetched {number} from {from}"),
        Event::Acting(number) => format!("acting on {number}"),
        Event::Unfit(number, why) => format!("{number} can't be acted on: {why}"),
        Event::Lease(number, true) => format!("a lease on {number}"),
        Event::Lease(number, false) => format!("no lease on {number} any more"),
        Event::Disk => "this disk is not the one that others remember: it never votes again".into(),
        Event::Published(Outcome::Decided(v)) => format!("published {}", v.number),
        Event::Published(outcome) => format!("not published: {outcome:?}"),
        Event::Closed(floor) => format!("nobody acts on a version below {floor}"),
        Event::Floor(floor) => format!("the floor is {floor}"),
    }
}

/// What is usual: leases of ten seconds, and no act that is not known to be right.
pub fn usual(electors: Vec<String>) -> node::Settings {
    node::Settings {
        electors,
        lease: 10_000_000,
        without: node::Without::Serve,
        unknown: Unknown::Wait,
    }
}
