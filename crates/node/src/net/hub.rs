//! Where the drivers meet the core: who is connected, what is to be written, what the core is told.

use crate::log::log;
use crate::net::clock::Clock;
use crate::net::connections::{Front, Place, Places};
use crate::net::control::connections::Callers;
use crate::net::graceful_close::Rest;
use crate::net::ledger::calls::{Calls, ToPost};
use crate::net::notify::Nudge;
use crate::net::processor::connection::{Link, Told};
use crate::net::workers::pools::{Job, Pools, Put};
use crate::net::workers::routes::{Backend, Named, Uwsgi};
use pipitlever_admission::{Idempotency, Micros, Outcome, Settings};
use pipitlever_core::{
    Answer, ConfigFileCounters, Core, Effect, Gauges, IncomingRequest, MemoryLimits, Origin,
    Reference, RejectedCommand, RunOutcome, RunStore,
};
use pipitlever_hot_restart::predecessor::Predecessor;
use pipitlever_idempotency_store::record::Salt;
use pipitlever_idempotency_store::recovery::Recovered;
use pipitlever_load_balancing::pool::MemberId;
use pipitlever_wire::jsonrpc::{self, ErrorCode, Message, WorkRequest};
use pipitlever_wire::processor::{self, CommandKind, Notice};
use pipitlever_wire::uwsgi::{self, Packet, ResponseReader, Status};
use std::cell::RefCell;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;

mod answers;
mod clients;
mod gateways;
mod leaving;
mod notices;
mod tuning;

use tuning::classes;
pub use tuning::{Class, Limits, Parties, Tuning};

/// Places that are kept free for newcomers once connections get scarce, and the part of all places
/// that they are at the most: the closing of one that is idle takes some time.
const MOST_SPARE: usize = 16;
const SPARE_PART: usize = 8;

/// The hub as the drivers hold it: one thread, so a cell is enough.
pub type Shared = Rc<RefCell<Hub>>;

/// All that the drivers share.
pub struct Hub {
    /// The node's memory.
    pub core: Core,
    /// The one clock.
    pub clock: Clock,
    /// The link to the processor.
    pub link: Link,
    /// The calls to the ledger.
    pub calls: Calls,
    /// Where the membership service is, if there is one.
    pub members: Option<SocketAddr>,
    /// The core's next wake has changed.
    pub woken: Nudge,
    /// The fronts' connections.
    pub places: Places,
    /// The operators' door.
    pub callers: Callers,
    /// Configuration files that came with SIGHUP.
    pub files: ConfigFileCounters,
    /// The notice to leave has come.
    pub leaving: Nudge,
    /// The uwsgi front's settings.
    pub uwsgi: Uwsgi,
    /// Connections that there may be, of the fronts and to the workers together.
    sockets: usize,
    /// The node's limits, to be shared with another process of it.
    limits: Limits,
    /// This process takes clients: it accepts.
    pub taking: bool,
    /// The node goes on in another process: this one's end is not the node's.
    superseded: bool,
    /// Another process that comes to take over, as this one sees it.
    pub predecessor: Predecessor,
    /// There is something to tell it.
    pub news: Nudge,
    /// What is being told it, in bytes.
    pub telling: usize,
    /// The pools of workers.
    pub pools: Pools,
    /// The store may have something to write.
    pub storing: Nudge,
    /// Room for what the core has to have done.
    effects: Vec<Effect>,
    names: u64,
    /// What tells the bodies of a key's tries apart: keyed at random, so that no client can make
    /// two agree. A store brings its own, and so does the process before this one.
    pub salt: Salt,
    classes: Vec<Class>,
    gauge_names: Vec<String>,
    tenants: Vec<String>,
    draining: bool,
    closing: bool,
    /// All connections are being closed: the process is about to end.
    ending: bool,
    /// The level that the module wants told on the way out.
    last_level: Option<f64>,
    next_wake: Option<Micros>,
}

impl Hub {
    /// A hub for these settings.
    pub fn new(tuning: Tuning, seed: u64, salt: Salt, bounds: MemoryLimits) -> Hub {
        let classes = classes(&tuning);
        let Tuning {
            settings,
            gauges: gauge_names,
            tenants,
            round,
            marked,
            uwsgi,
            ..
        } = tuning;
        let names: Vec<Rc<str>> = classes.iter().map(|c| c.name.clone()).collect();
        let worked = classes.iter().any(|c| c.workers_path.is_some());
        let most_result = if worked {
            uwsgi.most_response
        } else {
            jsonrpc::MAX_RESULT
        };
        let clock = Clock::start();
        let mut core = Core::new(settings, &names, seed, round, most_result, bounds);
        core.retries_are_marked = marked;
        Hub {
            sockets: usize::MAX,
            limits: Limits::default(),
            taking: false,
            superseded: false,
            predecessor: Predecessor::default(),
            news: Nudge::new(),
            telling: 0,
            pools: Pools::new(uwsgi.pools(), seed, clock.now()),
            core,
            uwsgi,
            effects: Vec::new(),
            // Not the same on each start: a processor may still run what the last process called
            // so.
            names: RandomState::new().hash_one(seed),
            salt,
            storing: Nudge::new(),
            clock,
            link: Link::new(),
            calls: Calls::new(),
            members: None,
            woken: Nudge::new(),
            places: Places::new(bounds.answers),
            callers: Callers::default(),
            files: ConfigFileCounters::default(),
            leaving: Nudge::new(),
            classes,
            gauge_names,
            tenants,
            draining: false,
            closing: false,
            ending: false,
            last_level: None,
            next_wake: None,
        }
    }

    /// Tells the core something and carries out what comes of it.
    pub fn tell(&mut self, tell: impl FnOnce(&mut Core, Micros)) {
        tell(&mut self.core, self.clock.now());
        debug_assert!(self.core.is_balanced(), "{}", self.core.counters);
        // Two lists change places, and are kept: one is filled while the other is worked off.
        let mut effects = std::mem::take(&mut self.effects);
        loop {
            self.core.take_effects(&mut effects);
            if effects.is_empty() {
                break;
            }
            effects.drain(..).for_each(|e| self.carry_out(e));
        }
        // Not what a burst made of it.
        effects.shrink_to(256);
        self.effects = effects;
        if self.core.has_store() {
            self.storing.give();
            let now = self.clock.now();
            if let Some(change) = self.core.store_status_change(now) {
                log(&change.to_string());
            }
        }
        if self.core.has_key_updates() {
            self.news.give();
        }
        let next = self.core.next_wakeup();
        if next != self.next_wake {
            self.next_wake = next;
            self.woken.give();
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { origin, answer } => self.answer(origin, answer),
            Effect::StartRun {
                reference,
                class,
                result_deadline,
                body,
            } if self.classes[class].workers_path.is_some() => {
                let Class {
                    keyed,
                    pool: (pool, sticky),
                    ..
                } = self.classes[class];
                self.pools.job(Job {
                    reference,
                    safe: !keyed,
                    pool,
                    sticky,
                    packet: body,
                    until: result_deadline,
                });
            }
            Effect::StartRun {
                reference,
                class,
                body,
                ..
            } => {
                let Class { keyed, name, .. } = &self.classes[class];
                self.link
                    .command(Told::Begin(reference, *keyed, name.clone()), body);
            }
            Effect::SendReply { reference, body } => {
                self.link.command(Told::Answer(reference), body);
            }
            // A worker knows no way to be stopped but the end of its connection, which says nothing
            // of the run.
            Effect::StopRun { class, .. } if self.classes[class].workers_path.is_some() => {}
            Effect::StopRun { reference, .. } => {
                self.link.command(Told::Interrupt(reference), Rc::from([]))
            }
            Effect::QueryGauges => self.link.ask(),
            Effect::PlaceCall {
                reference,
                deadline,
                body,
            } => {
                if self.calls.address.is_some() {
                    self.calls.place(ToPost {
                        reference,
                        deadline,
                        body,
                    });
                } else {
                    // Not 'never ran': the module would place it again at once, and for ever.
                    self.core.handle_call_finished(
                        self.clock.now(),
                        reference,
                        Outcome::Error,
                        Rc::from([]),
                    );
                }
            }
            Effect::CancelCall { reference } => self.calls.abandon(reference),
        }
    }

    /// A connection was accepted, and takes a place until [`Hub::disconnected`].
    pub fn connected(&mut self, front: Front) -> Place {
        self.core.counters.connections_accepted += 1;
        let place = self.places.add(self.clock.now(), front);
        if (self.closing || !self.taking) && front == Front::Gateway {
            self.places.send(place.id, jsonrpc::write_goaway);
        }
        place
    }

    /// A connection ended: its callers are taken to have gone.
    pub fn disconnected(&mut self, id: u64) {
        for reference in self.places.remove(id) {
            self.tell(|core, now| core.handle_abandoned(now, reference));
        }
    }

    /// Has a connection closed, if one may be, unless enough places are free or about to be.
    pub fn make_room(&mut self) {
        let spare = MOST_SPARE.min(self.sockets / SPARE_PART);
        let excess =
            (self.places.taken() + self.pools.in_flight() + spare).saturating_sub(self.sockets);
        if excess > 0 && self.places.leaving() < excess {
            self.core.counters.connections_evicted +=
                u64::from(self.places.make_room(self.clock.now()));
        }
    }

    /// A connection is about to be closed; whether its peer is told first, and what it sent before
    /// it hears is waited for.
    pub fn retire(&mut self, id: u64) -> bool {
        let told = self.places.retire(id) && !self.ending;
        if told && !self.closing {
            self.places.send(id, jsonrpc::write_goaway);
        }
        told
    }

    /// What keeps a connection from being closed.
    pub fn rest(&self, id: u64) -> Rest {
        self.places.rest(id, self.clock.now())
    }

    /// When a connection has been idle for too long; nothing while a request is open on it.
    pub fn idle_at(&self, id: u64) -> Option<Micros> {
        self.places.idle_at(id, self.core.idle_timeout())
    }

    /// A connection brought bytes; whether a part of a message is left of them.
    pub fn stirred(&mut self, id: u64, unfinished: bool) {
        let now = self.clock.now();
        self.places.stirred(id, now, unfinished);
    }

    /// The class of this name, by position.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.core.classes.index_of(name)
    }

    /// The tenant of this name, by position.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t == name)
    }

    fn take(&mut self, incoming: IncomingRequest) {
        self.places.opened(
            incoming.origin,
            self.clock.now(),
            incoming.reference,
            incoming.class,
        );
        self.tell(|core, now| core.handle_request(now, incoming));
    }

    /// What tells the bodies of a key's tries apart.
    fn payload(&self, class: usize, body: &[u8]) -> u64 {
        // By name: a class that is defined anew has another place, and its keys keep their window.
        self.salt.digest(&self.classes[class].name, body)
    }

    /// Keyed runs are remembered by a store from now on, which has brought these keys.
    pub fn remember(&mut self, durable: RunStore, found: Vec<Recovered>, salt: Salt) {
        self.salt = salt;
        self.core.attach_store(durable, found);
    }

    /// A call ended, one way or another.
    pub fn called(&mut self, reference: Reference, outcome: Outcome, reply: Vec<u8>) {
        self.calls.ended(reference);
        self.tell(|core, now| core.handle_call_finished(now, reference, outcome, Rc::from(reply)));
    }

    /// A place for a run, where there is one.
    pub fn place(
        &mut self,
        job: &Job,
        key: Option<u64>,
        tried: &[(usize, MemberId)],
    ) -> Option<Put> {
        // The fronts keep half of the connections: without callers no run is of use.
        if self.pools.in_flight() >= self.sockets / 2 {
            return None;
        }
        self.pools.place(self.clock.now(), job, key, tried)
    }

    /// A place for a run at one worker and at no other.
    pub fn place_at(
        &mut self,
        job: &Job,
        at: SocketAddr,
        tried: &[(usize, MemberId)],
    ) -> Option<Put> {
        if self.pools.in_flight() >= self.sockets / 2 {
            return None;
        }
        self.pools.place_at(self.clock.now(), job, at, tried)
    }

    /// Whether there are more connections than there may be.
    pub fn crowded(&self) -> bool {
        self.places.taken() + self.pools.in_flight() > self.sockets
    }
}
