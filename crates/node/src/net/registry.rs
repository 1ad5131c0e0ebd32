//! Heartbeats to the service registry.

use crate::net::event_loop::SharedState;
use crate::net::{after_ms, timeout_at};
use pipitlever_wire::service_registry::{heartbeat, Availability};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Time between heartbeats, in milliseconds. The registry drops a node after 3 s without one. If
/// one datagram in four is lost, four in a row would be lost every few minutes; eleven in a row are
/// not to be expected.
const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// The socket of heartbeats, and the registry's address that it was opened for.
#[derive(Default)]
struct HeartbeatSocket {
    socket: Option<UdpSocket>,
    address: Option<SocketAddr>,
}

impl HeartbeatSocket {
    /// Opens the socket anew if the address has changed, which may be one of the other family.
    fn set_address(&mut self, address: Option<SocketAddr>) {
        if self.address != address {
            self.socket = None;
        }
        if let (None, Some(address)) = (&self.socket, address) {
            self.socket = open(address).ok();
            self.address = Some(address);
        }
    }

    /// Sends a heartbeat. One that cannot be sent is made up for by the next one.
    fn send(&self, name: &str, availability: Availability) {
        if let (Some(socket), Some(address)) = (&self.socket, self.address) {
            let _ = socket.send_to(&heartbeat(name, availability), address);
        }
    }
}

fn open(registry: SocketAddr) -> io::Result<UdpSocket> {
    let local: SocketAddr = match registry {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Sends heartbeats until shutdown begins, and then one with the availability `Draining`. The
/// registry drops the node after that, even if it ignores the availability. A process that has been
/// replaced sends none at its end, as the node stays available.
pub async fn run(state: SharedState, name: String) {
    let shutdown_started = state.borrow().shutdown_started.clone();
    let mut socket = HeartbeatSocket::default();
    loop {
        let next = after_ms(HEARTBEAT_INTERVAL_MS);
        let registry_address = state.borrow().registry_address;
        let is_draining = state.borrow().is_draining();
        let is_replaced = state.borrow().is_replaced();
        socket.set_address(registry_address);
        if !is_draining {
            socket.send(&name, Availability::Up);
        } else if !is_replaced {
            socket.send(&name, Availability::Draining);
        }
        if is_draining {
            return;
        }
        // A shutdown may be shorter than the time to the next heartbeat.
        timeout_at(next, shutdown_started.wait()).await;
    }
}
