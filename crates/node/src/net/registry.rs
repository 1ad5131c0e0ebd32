//! Reports to the membership service, well inside the 3 s after which it drops a silent node.

use crate::net::event_loop::SharedState;
use crate::net::{after_ms, timeout_at};
use pipitlever_wire::service_registry::{heartbeat, Availability};
use std::net::{SocketAddr, UdpSocket};

/// Time between reports, in milliseconds. Reports get lost: where one in four does, four in a row
/// within the three seconds were a matter of minutes, and eleven are not to be expected.
const EVERY_MS: u64 = 250;

/// Reports for as long as the node takes requests. On its way out it says so once and falls silent,
/// so that it is dropped from the list where the word alone has no effect.
pub async fn reports(state: SharedState, name: String) {
    let leaving = state.borrow().shutdown_started.clone();
    let (mut socket, mut bound) = (None, None);
    loop {
        let next = after_ms(EVERY_MS);
        let availability = match state.borrow().is_draining() {
            true => Availability::Draining,
            false => Availability::Up,
        };
        let up = availability == Availability::Up;
        let members = state.borrow().registry_address;
        if bound != members {
            // The address may be new, and of the other family.
            socket = None;
        }
        if let (None, Some(address)) = (&socket, members) {
            let local: SocketAddr = match address {
                SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
                SocketAddr::V6(_) => ([0u16; 8], 0).into(),
            };
            // A report is never waited for.
            let open = UdpSocket::bind(local).and_then(|s| s.set_nonblocking(true).map(|()| s));
            socket = open.ok();
            bound = members;
        }
        // A report that can't be sent is made up for by the next one.
        // The node stays where another process of it goes on.
        let say = up || !state.borrow().is_replaced();
        if let (Some(socket), Some(address), true) = (&socket, members, say) {
            let _ = socket.send_to(&heartbeat(&name, availability), address);
        }
        if !up {
            return;
        }
        // The way out may be shorter than the time to the next report.
        timeout_at(next, leaving.wait()).await;
    }
}
