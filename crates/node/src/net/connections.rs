//! The fronts' connections, as far as they are kept in memory: who is connected, what is open, what
//! waits to be written. Places are few, and everything that waits is bounded.

use crate::net::graceful_close::Rest;
use crate::net::notify::Nudge;
use pipitlever_admission::Micros;
use pipitlever_core::{Origin, Reference};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Bytes that may wait to be written to one connection before it is given up: all open answers and
/// more.
const MOST_QUEUED: usize = 256 << 10;
/// What a connection's buffers keep of their memory once they are empty: some answers.
const KEPT: usize = 8 << 10;

/// A connection that has brought no request and no health check yet is closed after so long: it is
/// owed a word or a close within three seconds, and places are few.
const STRANGER: Micros = 2_000_000;
/// One that has brought bytes this lately may stay a little longer: a first request may take two
/// seconds to arrive.
const STIRRED: Micros = 1_000_000;
const STRANGER_MOST: Micros = 2_700_000;
/// Errors without a request between them that a connection may bring: a peer that speaks another
/// protocol would else have the core to itself.
const MOST_ERRORS: u32 = 8;
/// A connection used this lately is not closed to make room: its peer may be about to use it again.
const IN_USE: Micros = 100_000;
/// Nor is one that came this lately: its request may be on its way. Longer than the above, so that
/// some other one can be closed before it.
const NEW: Micros = 250_000;
/// Connections without a whole message that may be read for a moment after their last word; the
/// others of these are closed at once. One that has brought a request always is: it may have
/// answers to read.
const MOST_LINGERING_STRANGERS: usize = 32;

/// The front that a connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// JSON-RPC, the platform's.
    Gateway,
    /// The uwsgi protocol: one request a connection.
    Uwsgi,
}

impl Front {
    /// What the log and other processes call it.
    pub fn word(self) -> &'static str {
        match self {
            Front::Gateway => "json-rpc",
            Front::Uwsgi => "uwsgi",
        }
    }

    /// The front of this name.
    pub fn named(word: &str) -> Option<Front> {
        [Front::Gateway, Front::Uwsgi]
            .into_iter()
            .find(|f| f.word() == word)
    }
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    /// Nothing more is to be written: the driver then flushes and closes.
    closed: bool,
}

/// What waits to be written to a connection: all answers of a turn go out together.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    waiting: Rc<RefCell<Waiting>>,
    nudge: Nudge,
}

impl Outbox {
    /// Waits for something to write and takes all of it, for a buffer that is empty. False once
    /// nothing more comes.
    pub async fn take(&self, bytes: &mut Vec<u8>) -> bool {
        loop {
            {
                let mut waiting = self.waiting.borrow_mut();
                if !waiting.bytes.is_empty() {
                    std::mem::swap(&mut waiting.bytes, bytes);
                    // What a burst took is given back.
                    waiting.bytes.shrink_to(KEPT);
                    return true;
                }
                if waiting.closed {
                    return false;
                }
            }
            self.nudge.wait().await;
        }
    }

    fn close(&self) {
        self.waiting.borrow_mut().closed = true;
        self.nudge.give();
    }

    /// Whether nothing more is to be written, and so nothing more that is read can be answered.
    pub fn closed(&self) -> bool {
        self.waiting.borrow().closed
    }
}

/// What a connection's driver is given.
#[derive(Debug)]
pub struct Place {
    /// The connection's number.
    pub id: u64,
    /// What is to be written.
    pub out: Outbox,
    /// Its place is wanted.
    pub wanted: Nudge,
}

/// A connection that is read after its last word, until it is given back.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Lingering {
    /// It never brought a whole message.
    stranger: bool,
}

/// One connection of a front.
#[derive(Debug)]
struct Connection {
    front: Front,
    out: Outbox,
    queued: usize,
    /// Requests without an answer, by their numbers here, with their classes.
    open: HashMap<u64, (Reference, usize)>,
    active: Micros,
    /// When it last brought anything, be it half a message.
    stirred: Micros,
    /// When a message began to come whose end has not come yet.
    begun: Option<Micros>,
    /// Its place is wanted, and it has brought no request since; or it is being closed.
    chosen: bool,
    retiring: bool,
    /// It has brought a request or a health check.
    known: bool,
    /// Errors since the last one.
    errors: u32,
    /// Its place is wanted.
    wanted: Nudge,
}

impl Connection {
    /// Until when the rest of a message that has begun to come is waited for, if one has.
    fn message_until(&self) -> Option<Micros> {
        self.begun
            .map(|begun| (self.stirred + STIRRED).min(begun + STRANGER_MOST))
    }
}

/// All connections of the fronts.
#[derive(Debug)]
pub struct Places {
    all: HashMap<u64, Connection>,
    last: u64,
    /// Bytes that wait to be written to all connections together, and that may.
    queued: usize,
    most_queued: usize,
    /// Connections that are read after their last word, and those of them that never brought a
    /// whole message.
    lingering: usize,
    lingering_strangers: usize,
    /// A connection was closed.
    pub freed: Nudge,
}

impl Places {
    /// None yet. So many bytes may wait to be written to all together.
    pub fn new(most_queued: usize) -> Places {
        Places {
            all: HashMap::new(),
            last: 0,
            queued: 0,
            most_queued,
            lingering: 0,
            lingering_strangers: 0,
            freed: Nudge::new(),
        }
    }

    /// So many bytes may wait to be written to all together from now on.
    pub fn bound(&mut self, most_queued: usize) {
        self.most_queued = most_queued;
    }

    /// A connection was accepted, and takes a place until [`Places::remove`].
    pub fn add(&mut self, now: Micros, front: Front) -> Place {
        self.last += 1;
        let place = Place {
            id: self.last,
            out: Outbox::default(),
            wanted: Nudge::new(),
        };
        let connection = Connection {
            front,
            out: place.out.clone(),
            queued: 0,
            open: HashMap::new(),
            active: now,
            stirred: now,
            begun: None,
            chosen: false,
            retiring: false,
            known: false,
            errors: 0,
            wanted: place.wanted.clone(),
        };
        self.all.insert(self.last, connection);
        place
    }

    /// A connection ended: the one place where it is given back. Its requests without an answer.
    pub fn remove(&mut self, id: u64) -> Vec<Reference> {
        let Some(connection) = self.all.remove(&id) else {
            return Vec::new();
        };
        self.queued -= connection.queued;
        self.freed.give();
        connection
            .open
            .into_values()
            .map(|(reference, _)| reference)
            .collect()
    }

    /// Writes something to a connection; whether it will be written. One whose peer does not read
    /// is given up.
    pub fn send(&mut self, id: u64, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let Some(connection) = self.all.get_mut(&id) else {
            return false;
        };
        let mut waiting = connection.out.waiting.borrow_mut();
        if waiting.closed {
            return false;
        }
        let before = waiting.bytes.len();
        write(&mut waiting.bytes);
        let length = waiting.bytes.len() - before;
        if connection.queued + length > MOST_QUEUED || self.queued + length > self.most_queued {
            waiting.bytes.truncate(before);
            drop(waiting);
            connection.out.close();
            return false;
        }
        connection.queued += length;
        self.queued += length;
        drop(waiting);
        connection.out.nudge.give();
        true
    }

    /// So many bytes were written to a connection.
    pub fn written(&mut self, id: u64, length: usize) {
        if let Some(connection) = self.all.get_mut(&id) {
            connection.queued -= length;
            self.queued -= length;
        }
    }

    /// Bytes that wait to be written.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Nothing more will be read from a connection: it ends once what is queued is written.
    pub fn finish(&mut self, id: u64) {
        self.all.get(&id).inspect(|c| c.out.close());
    }

    /// A connection brought bytes, whether they make a message or not; whether a part of a message
    /// is left.
    pub fn stirred(&mut self, id: u64, now: Micros, unfinished: bool) {
        if let Some(c) = self.all.get_mut(&id) {
            c.stirred = now;
            c.begun = unfinished.then(|| c.begun.unwrap_or(now));
        }
    }

    /// Requests that a connection has open; nothing if it is gone.
    pub fn open(&self, id: u64) -> Option<usize> {
        self.all.get(&id).map(|c| c.open.len())
    }

    /// A connection brought a request or a health check.
    pub fn heard(&mut self, id: u64, now: Micros) {
        if let Some(c) = self.all.get_mut(&id) {
            (c.active, c.known, c.errors, c.begun) = (now, true, 0, None);
        }
    }

    /// A request is open from now on.
    pub fn opened(&mut self, origin: Origin, now: Micros, reference: Reference, class: usize) {
        self.heard(origin.connection, now);
        if let Some(c) = self.all.get_mut(&origin.connection) {
            c.open.insert(origin.request_number, (reference, class));
            c.chosen = false;
        }
    }

    /// It has its answer: which front that goes to, and its class. Nothing if nobody waits for it.
    pub fn answered(&mut self, origin: Origin, now: Micros) -> Option<(Front, usize)> {
        let connection = self.all.get_mut(&origin.connection)?;
        let (_, class) = connection.open.remove(&origin.request_number)?;
        connection.active = now;
        Some((connection.front, class))
    }

    /// Its caller took it back.
    pub fn cancelled(&mut self, origin: Origin) -> Option<Reference> {
        let connection = self.all.get_mut(&origin.connection)?;
        connection
            .open
            .remove(&origin.request_number)
            .map(|(reference, _)| reference)
    }

    /// A connection brought something that it may not; with too many of them it ends.
    pub fn erred(&mut self, id: u64) {
        let Some(connection) = self.all.get_mut(&id) else {
            return;
        };
        connection.errors += 1;
        if connection.errors >= MOST_ERRORS {
            connection.out.close();
        }
    }

    /// The connections of the platform's gateways.
    pub fn gateways(&self) -> Vec<u64> {
        self.all
            .iter()
            .filter(|(_, c)| c.front == Front::Gateway)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Whether a connection may be read for a moment after its last word; it then keeps a place
    /// until [`Places::lingered`].
    pub fn linger(&mut self, id: u64) -> Option<Lingering> {
        let stranger = self.all.get(&id).is_none_or(|c| !c.known);
        if stranger && self.lingering_strangers >= MOST_LINGERING_STRANGERS {
            return None;
        }
        self.lingering += 1;
        self.lingering_strangers += usize::from(stranger);
        Some(Lingering { stranger })
    }

    /// It was: its place is given back.
    pub fn lingered(&mut self, Lingering { stranger }: Lingering) {
        self.lingering -= 1;
        self.lingering_strangers -= usize::from(stranger);
        self.freed.give();
    }

    /// Marks a connection as one that is being closed; whether its peer is a gateway that may be
    /// about to use it and is to hear of that first.
    pub fn retire(&mut self, id: u64) -> bool {
        let Some(connection) = self.all.get_mut(&id) else {
            return false;
        };
        let first = !std::mem::replace(&mut connection.retiring, true);
        first && connection.known && connection.front == Front::Gateway
    }

    /// What keeps a connection from being closed.
    pub fn rest(&self, id: u64, now: Micros) -> Rest {
        match self.all.get(&id) {
            Some(c) if !c.open.is_empty() => Rest::Open,
            Some(c) if c.queued > 0 => Rest::Unwritten,
            Some(c) if c.message_until().is_some_and(|until| until > now) => Rest::Unfinished,
            _ => Rest::Quiet,
        }
    }

    /// Has all connections closed, each once nothing is open on it.
    pub fn retire_all(&self) {
        self.all.values().for_each(|c| c.wanted.give());
    }

    /// Connections that take a place on the fronts.
    pub fn taken(&self) -> usize {
        self.all.len() + self.lingering
    }

    /// Connections whose places are about to be free: those that are being closed with nothing open
    /// on them, and those that are read after their last word.
    pub fn leaving(&self) -> usize {
        let leaves =
            |c: &&Connection| c.open.is_empty() && (c.chosen || c.retiring || c.out.closed());
        self.all.values().filter(leaves).count() + self.lingering
    }

    /// Has one connection closed for the others, if any may be: of those that have said nothing
    /// whole first the one that has been silent for longest, as a request may be on its way in
    /// pieces; then the one that was used least lately. While those that have said nothing whole
    /// hold more than half of the places they make room among themselves: each ends within
    /// [`STRANGER_MOST`], and a flood of them is not to push out who has been heard.
    pub fn make_room(&mut self, now: Micros) -> bool {
        let (all, strangers) = (
            self.all.len(),
            self.all.values().filter(|c| !c.known).count(),
        );
        let unused = |c: &&mut Connection| {
            c.open.is_empty() && !c.chosen && !c.retiring && !c.out.closed() && c.queued == 0
        };
        let closable = self.all.values_mut().filter(unused);
        let last = |c: &Connection| if c.known { c.active } else { c.stirred };
        let closable =
            closable.filter(|c| !c.known || c.message_until().is_none_or(|until| until <= now));
        let closable = closable.filter(|c| last(c) + if c.known { IN_USE } else { NEW } <= now);
        let Some(closed) = closable.min_by_key(|c| (c.known, last(c))) else {
            return false;
        };
        if closed.known && 2 * strangers > all {
            return false;
        }
        // Its driver may not have its turn before the next newcomer comes, which is to have another
        // one's place.
        closed.chosen = true;
        closed.wanted.give();
        true
    }

    /// Whether a connection has a request open.
    pub fn in_use(&self, id: u64) -> bool {
        self.open(id).is_some_and(|open| open > 0)
    }

    /// When a connection has been idle for too long, if it may be so for this time; nothing while a
    /// request is open on it.
    pub fn idle_at(&self, id: u64, idle: Micros) -> Option<Micros> {
        let connection = self.all.get(&id)?;
        let Connection {
            active, stirred, ..
        } = *connection;
        let at = match connection.known {
            // A request that arrives in pieces has begun, though it is not read yet.
            true => (active + idle).max(connection.message_until().unwrap_or(Micros::MIN)),
            false => {
                let silent = (active + STRANGER).max(stirred + STIRRED);
                silent.min(active + STRANGER_MOST).min(active + idle)
            }
        };
        connection.open.is_empty().then_some(at)
    }
}
