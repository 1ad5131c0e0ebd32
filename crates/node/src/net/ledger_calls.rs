//! Queue of ledger calls, and the idle connections that they may reuse.

use crate::net::notify::Notify;
use pipitlever_admission::Micros;
use pipitlever_core::Reference;
use pipitlever_reactor::Async;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Most connections to the ledger, one for each call in flight. The admission controller's own
/// limit is far lower with any real settings; this one bounds the process's descriptors.
pub const MAX_CONNECTIONS: usize = 48;

/// A call to the ledger.
#[derive(Clone, Debug)]
pub struct LedgerCall {
    /// The request that it is made for.
    pub reference: Reference,
    /// Until when its reply is waited for.
    pub deadline: Micros,
    /// Its body.
    pub body: Rc<[u8]>,
}

/// A call whose driver is to be started.
#[derive(Debug)]
pub struct StartedCall {
    /// The call.
    pub call: LedgerCall,
    /// Notified when the call is cancelled.
    pub cancelled: Notify,
}

/// A connection that carried a call and is not in use.
#[derive(Debug)]
pub struct IdleConnection {
    /// The connection.
    pub stream: Async<TcpStream>,
    /// Until when it may be used again.
    pub reusable_until: Instant,
    /// The request whose call it carried last: a late duplicate of that reply must not be taken for
    /// the reply to the request's next call.
    pub last_reference: Reference,
}

/// Calls that wait for a connection, calls in flight, and idle connections.
#[derive(Debug)]
pub struct LedgerCalls {
    /// The ledger's address, if there is a ledger.
    pub address: Option<SocketAddr>,
    /// Notified when the driver has something to do.
    pub changed: Notify,
    /// Idle connections, the most recently used last.
    pub idle: Vec<IdleConnection>,
    queue: VecDeque<LedgerCall>,
    /// Calls in flight, each with the notification that cancels it.
    in_flight: HashMap<Reference, Notify>,
}

impl LedgerCalls {
    /// No call and no address yet.
    pub fn new() -> LedgerCalls {
        LedgerCalls {
            address: None,
            changed: Notify::new(),
            idle: Vec::new(),
            queue: VecDeque::new(),
            in_flight: HashMap::new(),
        }
    }

    /// Queues a call.
    pub fn enqueue(&mut self, call: LedgerCall) {
        self.queue.push_back(call);
        self.changed.notify();
    }

    /// Cancels a request's call. The connection of a call in flight is closed.
    pub fn cancel(&mut self, reference: Reference) {
        self.queue.retain(|call| call.reference != reference);
        if let Some(cancelled) = self.in_flight.remove(&reference) {
            cancelled.notify();
            self.changed.notify();
        }
    }

    /// Takes the next call that may have a connection.
    pub fn start_next(&mut self) -> Option<StartedCall> {
        if self.in_flight.len() >= MAX_CONNECTIONS {
            return None;
        }
        let call = self.queue.pop_front()?;
        let cancelled = Notify::new();
        self.in_flight.insert(call.reference, cancelled.clone());
        Some(StartedCall { call, cancelled })
    }

    /// Keeps a connection for the next call, unless the ledger's address has changed.
    pub fn release(&mut self, address: SocketAddr, connection: IdleConnection) {
        let has_capacity = self.idle.len() + self.in_flight.len() <= MAX_CONNECTIONS;
        if has_capacity && self.address == Some(address) {
            self.idle.push(connection);
        }
    }

    /// Removes a call that has ended.
    pub fn remove(&mut self, reference: Reference) {
        self.in_flight.remove(&reference);
        self.changed.notify();
    }

    /// Sets the ledger's address, and closes idle connections to the old one.
    pub fn set_address(&mut self, address: Option<SocketAddr>) {
        if self.address != address {
            self.address = address;
            self.idle.clear();
        }
    }
}
