//! The calls to the ledger, as far as they are kept in memory.

use crate::net::notify::Nudge;
use pipitlever_admission::Micros;
use pipitlever_core::Reference;
use pipitlever_reactor::Async;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Connections to the ledger, one for each call that is out. The module's own bound is far lower on
/// any real settings; this one keeps the process within its descriptors.
pub const MOST_CALLS: usize = 48;

/// A call to place with the ledger.
#[derive(Clone, Debug)]
pub struct ToPost {
    /// The request that it is made for.
    pub reference: Reference,
    /// It is waited for until then.
    pub deadline: Micros,
    /// What it carries.
    pub body: Rc<[u8]>,
}

/// A connection that has just carried a call and carries none now.
#[derive(Debug)]
pub struct Idle {
    /// It.
    pub stream: Async<TcpStream>,
    /// It is used again until then.
    pub until: Instant,
    /// Whose call it carried: a late second copy of that reply must not pass for the next call's.
    pub last: u64,
}

/// The calls to the ledger: those that wait for a connection, and those that have one.
#[derive(Debug)]
pub struct Calls {
    /// Where it is, if there is one.
    pub address: Option<SocketAddr>,
    /// Something is to be done.
    pub nudge: Nudge,
    /// Connections without a call, the one used last at the end.
    pub idle: Vec<Idle>,
    queue: VecDeque<ToPost>,
    /// Calls with a driver, each with the nudge that takes it back.
    out: HashMap<Reference, Nudge>,
}

impl Calls {
    /// None yet, and no address.
    pub fn new() -> Calls {
        Calls {
            address: None,
            nudge: Nudge::new(),
            idle: Vec::new(),
            queue: VecDeque::new(),
            out: HashMap::new(),
        }
    }

    /// One is to be placed.
    pub fn place(&mut self, call: ToPost) {
        self.queue.push_back(call);
        self.nudge.give();
    }

    /// A call that was not sent yet is taken back; the connection of one in the ledger's hands is
    /// closed.
    pub fn abandon(&mut self, reference: Reference) {
        self.queue.retain(|c| c.reference != reference);
        if let Some(taken_back) = self.out.remove(&reference) {
            taken_back.give();
            self.nudge.give();
        }
    }

    /// The next call that may have a connection, and the nudge that takes it back.
    pub fn next(&mut self) -> Option<(ToPost, Nudge)> {
        let call = (self.out.len() < MOST_CALLS).then(|| self.queue.pop_front())??;
        let taken_back = Nudge::new();
        self.out.insert(call.reference, taken_back.clone());
        Some((call, taken_back))
    }

    /// A connection has no call any more. One to an address that no longer holds is not kept.
    pub fn rest(&mut self, address: SocketAddr, idle: Idle) {
        let room = self.idle.len() + self.out.len() <= MOST_CALLS;
        if room && self.address == Some(address) {
            self.idle.push(idle);
        }
    }

    /// One has ended, and its place is free.
    pub fn ended(&mut self, reference: Reference) {
        self.out.remove(&reference);
        self.nudge.give();
    }

    /// The ledger is there from now on. Connections to where it was are of no further use.
    pub fn moved(&mut self, to: Option<SocketAddr>) {
        if self.address != to {
            self.address = to;
            self.idle.clear();
        }
    }
}
