//! The simulated network between the nodes.

use fastrand::Rng;
use pipitlever_membership::sync::SyncSession;
use pipitlever_membership::Micros;
use std::net::SocketAddr;

/// Time until a lost segment of a connection is transmitted again.
const RETRANSMISSION_TIMEOUT: Micros = 200_000;

/// The address of a simulated node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7000))
}

/// Delay and faults of every link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// The minimum one-way delay in microseconds.
    pub min_delay: Micros,
    /// The maximum additional delay in microseconds, drawn for each datagram, so that datagrams may
    /// overtake each other.
    pub jitter: Micros,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The fraction of datagrams that are delivered twice.
    pub duplication: f64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions {
            min_delay: 200,
            jitter: 1800,
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

impl NetworkConditions {
    /// Draws the one-way delay of a datagram or segment.
    pub(super) fn delay(&self, rng: &mut Rng) -> Micros {
        self.min_delay + rng.i64(0..=self.jitter)
    }

    /// Draws the delay that the loss of segments adds on a connection.
    pub(super) fn retransmission_delay(&self, rng: &mut Rng) -> Micros {
        let mut delay = 0;
        while rng.f64() < self.loss {
            delay += RETRANSMISSION_TIMEOUT;
        }
        delay
    }
}

/// What a node has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Datagrams.
    pub datagrams: u64,
    /// Bytes of datagrams, with the IP and UDP headers.
    pub datagram_bytes: u64,
    /// Bytes on connections, without headers.
    pub stream_bytes: u64,
    /// Connections that the node has opened.
    pub connections: u64,
}

/// One end of a connection: a node, and the process of that node which holds it.
#[derive(Clone, Copy)]
pub(super) struct StreamEnd {
    pub(super) node: usize,
    pub(super) process: u64,
}

/// A connection for a push-pull synchronization. The first end has opened it.
pub(super) struct Stream {
    pub(super) ends: [StreamEnd; 2],
    pub(super) sessions: [SyncSession; 2],
}

impl Stream {
    /// Whether both ends have sent and received all.
    pub(super) fn is_complete(&self) -> bool {
        self.sessions.iter().all(SyncSession::is_complete)
    }
}
