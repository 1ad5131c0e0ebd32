//! Queue of ledger calls, and the idle connections that they may reuse.

use crate::net::notify::Notify;
use pipitlever_admission::Micros;
use pipitlever_core::Reference;
use pipitlever_reactor::Async;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Limit on connections to the ledger, one for each call in flight. The admission controller's own
/// limit on calls is far lower with any real settings; this limit bounds the process's descriptors.
pub const MAX_CONNECTIONS: usize = 48;

/// A call to the ledger.
#[derive(Clone, Debug)]
pub struct LedgerCall {
    /// The request that makes the call.
    pub reference: Reference,
    /// When the call times out.
    pub deadline: Micros,
    /// Body of the call.
    pub body: Rc<[u8]>,
}

/// A call that was taken from the queue, for its driver.
#[derive(Debug)]
pub struct StartedCall {
    /// The call.
    pub call: LedgerCall,
    /// Notified when the call is cancelled.
    pub cancelled: Notify,
}

/// An idle connection that has carried a call.
#[derive(Debug)]
pub struct IdleConnection {
    /// The connection.
    pub stream: Async<TcpStream>,
    /// When the connection expires.
    pub reusable_until: Instant,
    /// The request of the last call on this connection. The connection is not reused for the same
    /// request: a late duplicate of the last reply would be taken for the reply to its next call.
    pub last_reference: Reference,
}

/// Calls that wait for a connection, calls in flight, and idle connections.
#[derive(Debug)]
pub struct LedgerCalls {
    /// The ledger's address, if there is a ledger.
    pub address: Option<SocketAddr>,
    /// Notified when a call is queued, or when a connection slot may be free.
    pub changed: Notify,
    /// Idle connections, the most recently used last.
    pub idle: Vec<IdleConnection>,
    queue: VecDeque<LedgerCall>,
    /// Calls in flight, each with the notification that cancels it.
    in_flight: HashMap<Reference, Notify>,
}

impl LedgerCalls {
    /// Creates an empty queue without an address.
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

    /// Takes the next call from the queue; none if all connections are in use.
    pub fn start_next(&mut self) -> Option<StartedCall> {
        if self.in_flight.len() >= MAX_CONNECTIONS {
            return None;
        }
        let call = self.queue.pop_front()?;
        let cancelled = Notify::new();
        self.in_flight.insert(call.reference, cancelled.clone());
        Some(StartedCall { call, cancelled })
    }

    /// Returns a connection to the pool, unless the ledger's address has changed or the pool is
    /// full.
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
