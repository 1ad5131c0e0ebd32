//! Sends heartbeats to the service registry.

use crate::net::event_loop::SharedState;
use crate::net::{after_ms, timeout_at};
use pipitlever_wire::service_registry::{heartbeat, Availability};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Time between heartbeats, in milliseconds. The registry removes a node after 3 s without one,
/// which is eleven lost heartbeats in a row. With a loss of one datagram in four, four in a row are
/// lost every few minutes, but eleven in a row are not to be expected.
const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// The socket that sends heartbeats, and the address of the registry.
#[derive(Default)]
struct HeartbeatSocket {
    socket: Option<UdpSocket>,
    address: Option<SocketAddr>,
}

impl HeartbeatSocket {
    /// Opens a new socket if the address has changed, as the address family may differ.
    fn set_address(&mut self, address: Option<SocketAddr>) {
        if self.address != address {
            self.socket = None;
        }
        if let (None, Some(address)) = (&self.socket, address) {
            self.socket = open(address).ok();
            self.address = Some(address);
        }
    }

    /// Sends a heartbeat. An error is ignored, as the next heartbeat follows soon.
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

/// Sends heartbeats until shutdown begins, and then one with the availability `Draining`. A
/// registry that ignores the availability removes the node for lack of heartbeats. A process that
/// has been replaced does not send the last one, as the node stays available.
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
        // Does not wait for the next heartbeat if shutdown begins: the process may end before it.
        timeout_at(next, shutdown_started.wait()).await;
    }
}
