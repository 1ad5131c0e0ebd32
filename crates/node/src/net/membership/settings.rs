//! What the operator's file says of the fleet, and the sockets that are opened for it.

use super::*;

/// What the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name: another fleet's members are not heard.
    pub name: String,
    /// Where datagrams and connections come in, and go out from.
    pub bind: SocketAddr,
    /// How others reach it.
    pub advertise: SocketAddr,
    /// Where others may be met.
    pub seeds: Vec<SocketAddr>,
    /// Where it stands; may be empty.
    pub zone: String,
    /// Times and bounds.
    pub rules: MembershipConfig,
    /// VersionsDriver of the settings, if the fleet decides them.
    pub versions: Option<config_versions::Settings>,
    /// What a node keeps to of a pool that is shared while it may be cut off.
    pub apart: PartitionPolicy,
}

impl Settings {
    /// News reaches all within the first, as a rule; what a node had that is gone is nobody's for
    /// the second.
    pub(super) fn times(&self) -> Timing {
        let hold = 2 * self.rules.probe_interval + 2 * LOOK_MS as i64 * 1000;
        // From the last word that one that is cut off had of a majority until its lease is over, by
        // any clock.
        let reserve = self
            .versions
            .as_ref()
            .map_or(RESERVE, |v| v.rules.lease + v.rules.lease / 40 + hold);
        Timing {
            max_propagation: hold,
            reservation: reserve,
        }
    }
}

/// What a node had of a pool is nobody's for so long where there are no leases, in microseconds.
const RESERVE: i64 = 10_000_000;

/// The sockets, which pass from one process of the node to the next.
pub struct Sockets {
    /// For datagrams.
    pub udp: UdpSocket,
    /// For connections.
    pub tcp: TcpListener,
}

impl Sockets {
    /// Both on one port.
    pub fn bind(at: SocketAddr) -> std::io::Result<Sockets> {
        let mut tries = 0;
        loop {
            let udp = UdpSocket::bind(at)?;
            match TcpListener::bind(udp.local_addr()?) {
                // The system picked a port for the one that is taken for the other.
                Err(e)
                    if at.port() == 0
                        && e.kind() == std::io::ErrorKind::AddrInUse
                        && tries < 20 =>
                {
                    tries += 1
                }
                tcp => return Ok(Sockets { udp, tcp: tcp? }),
            }
        }
    }

    /// Where they are.
    pub fn at(&self) -> Option<SocketAddr> {
        self.udp.local_addr().ok()
    }
}
