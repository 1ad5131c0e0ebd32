//! The sockets that a successor receives from its predecessor.

use super::error::HotRestartError;
use super::{MEMBERSHIP_TCP, MEMBERSHIP_UDP};
use crate::net::connections::Front;
use crate::net::front::FrontSocket;
use crate::net::membership::Sockets;
use pipitlever_hot_restart::message::{ListeningSocket, Welcome};
use pipitlever_reactor::Async;
use rustix::fd::OwnedFd;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

/// The sockets of the front ends and of the membership protocol.
#[derive(Default)]
pub struct AdoptedSockets {
    /// The front ends' sockets, which are not matched with the configuration yet.
    pub fronts: Vec<FrontSocket>,
    /// The membership sockets, if the node is in a fleet.
    pub membership: Option<Sockets>,
}

impl AdoptedSockets {
    /// Checks that the sockets belong to the node `node_name` whose gateways connect to `listen`.
    pub fn new(
        welcome: &Welcome,
        passed: Vec<OwnedFd>,
        node_name: &str,
        listen: SocketAddr,
    ) -> Result<AdoptedSockets, HotRestartError> {
        if welcome.node_name != node_name {
            return Err(HotRestartError::NodeMismatch {
                predecessor: welcome.node_name.clone(),
                this: node_name.to_owned(),
            });
        }
        if welcome.sockets.len() != passed.len() {
            return Err(HotRestartError::SocketCountMismatch {
                listed: welcome.sockets.len(),
                passed: passed.len(),
            });
        }
        let (mut fronts, mut udp, mut tcp) = (Vec::new(), None, None);
        for (listed, socket) in welcome.sockets.iter().zip(passed) {
            match listed.protocol.as_str() {
                MEMBERSHIP_UDP => udp = Some(UdpSocket::from(socket)),
                MEMBERSHIP_TCP => tcp = Some(TcpListener::from(socket)),
                _ => fronts.push(front_listener(listed, socket, listen)?),
            }
        }
        let membership = udp.zip(tcp).map(|(udp, tcp)| Sockets { udp, tcp });
        Ok(AdoptedSockets { fronts, membership })
    }
}

fn front_listener(
    listed: &ListeningSocket,
    socket: OwnedFd,
    listen: SocketAddr,
) -> Result<FrontSocket, HotRestartError> {
    let front = Front::from_name(&listed.protocol)
        .ok_or_else(|| HotRestartError::UnknownProtocol(listed.protocol.clone()))?;
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().map_err(HotRestartError::Socket)?;
    if address != listed.address || (front == Front::Gateway && address != listen) {
        return Err(HotRestartError::AddressMismatch(address));
    }
    let listener = Async::<TcpListener>::new(listener).map_err(HotRestartError::Socket)?;
    Ok(FrontSocket {
        front,
        address,
        listener: Rc::new(listener),
        is_configured: false,
    })
}
