//! Settings and sockets of the membership protocol.

use crate::net::config_versions;
use crate::net::subsetting::PartitionPolicy;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_subsetting::node::Timing;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Longest time between two checks of the node's service state, in milliseconds.
pub const STATE_CHECK_MS: u64 = 250;
/// How long a lost share of a pool stays reserved where there are no leases, in microseconds.
const DEFAULT_RESERVATION: i64 = 10_000_000;
/// On a slow clock, a lease may last longer by the lease divided by this.
const CLOCK_DRIFT_DIVISOR: i64 = 40;
/// Limit on further attempts to find a port that is free for both UDP and TCP.
const MAX_BIND_ATTEMPTS: u32 = 20;

/// Settings of a node's membership in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the fleet. Messages of other fleets are ignored.
    pub name: String,
    /// Local address of the sockets.
    pub bind: SocketAddr,
    /// Address at which other members reach this node.
    pub advertise: SocketAddr,
    /// Addresses of members to join through.
    pub seeds: Vec<SocketAddr>,
    /// The node's zone; may be empty.
    pub zone: String,
    /// Times and limits of the protocol.
    pub protocol: MembershipConfig,
    /// Config versions, if the fleet decides them.
    pub versions: Option<config_versions::Settings>,
    /// The share of a divided pool that a node keeps while it may be partitioned.
    pub partition_policy: PartitionPolicy,
}

impl Settings {
    /// Times of subsetting: how long an update takes at most to reach all members, and how long a
    /// lost share stays reserved.
    pub(super) fn timing(&self) -> Timing {
        let max_propagation = 2 * self.protocol.probe_interval + 2 * STATE_CHECK_MS as i64 * 1000;
        // The time from the last message of a quorum to a partitioned member until the member's
        // lease has expired on any clock.
        let reservation = self
            .versions
            .as_ref()
            .map_or(DEFAULT_RESERVATION, |versions| {
                let lease = versions.protocol.lease;
                lease + lease / CLOCK_DRIFT_DIVISOR + max_propagation
            });
        Timing {
            max_propagation,
            reservation,
        }
    }
}

/// The sockets of the membership protocol. A predecessor passes them to its successor.
pub struct Sockets {
    /// Socket for datagrams.
    pub udp: UdpSocket,
    /// Listener for sync connections.
    pub tcp: TcpListener,
}

impl Sockets {
    /// Binds both sockets to the same port.
    pub fn bind(address: SocketAddr) -> io::Result<Sockets> {
        let mut attempts = 0;
        loop {
            let udp = UdpSocket::bind(address)?;
            match TcpListener::bind(udp.local_addr()?) {
                // The port that the system picked for UDP is in use for TCP.
                Err(error)
                    if address.port() == 0
                        && error.kind() == ErrorKind::AddrInUse
                        && attempts < MAX_BIND_ATTEMPTS =>
                {
                    attempts += 1;
                }
                tcp => return Ok(Sockets { udp, tcp: tcp? }),
            }
        }
    }

    /// The local address of both sockets.
    pub fn address(&self) -> Option<SocketAddr> {
        self.udp.local_addr().ok()
    }
}
