//! The sockets that a process needs before it serves: received from the process that it replaces,
//! or bound.

use crate::config::platform::Config;
use crate::log::log;
use crate::net::connections::Front;
use crate::net::front::FrontSocket;
use crate::net::hot_restart::{self, AdoptedSockets, PredecessorConnection};
use crate::net::{after_ms, membership};
use pipitlever_reactor::{Async, Timer};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

/// How long to wait for an address that is in use, in milliseconds: a process that drains listens
/// until its grace period is over.
const ADDRESS_TIMEOUT_MS: u64 = 5000;
/// Time between two attempts to bind an address, in milliseconds.
const BIND_RETRY_MS: u64 = 25;

/// The sockets of a process, and its connection to the one that it replaces.
pub struct OpenedSockets {
    /// The process that this one replaces, if there is one.
    pub predecessor: Option<PredecessorConnection>,
    /// The front ends' sockets, with that of the gateways first, and after them those that only the
    /// predecessor's configuration has.
    pub fronts: Vec<FrontSocket>,
    /// The sockets of the membership protocol, if this node is in a fleet.
    pub membership: Option<membership::Sockets>,
    /// The control endpoint's address and listener, if it is configured.
    pub control: Option<(SocketAddr, Async<TcpListener>)>,
}

impl OpenedSockets {
    /// Connects to the predecessor by the hot restart's socket, if there is one, and binds the
    /// sockets that the predecessor does not pass on.
    pub async fn open(
        config: &Config,
        restart_socket_path: Option<&Path>,
    ) -> Result<OpenedSockets, String> {
        let (predecessor, passed) = match claim_gateway_address(config, restart_socket_path).await?
        {
            GatewayAddress::PassedOn(mut predecessor) => {
                let passed = std::mem::take(&mut predecessor.sockets);
                (Some(*predecessor), passed)
            }
            GatewayAddress::Bound(listener) => {
                let fronts = vec![configured_socket(Front::Gateway, config.listen, listener)];
                let passed = AdoptedSockets {
                    fronts,
                    membership: None,
                };
                (None, passed)
            }
        };
        let fronts = open_fronts(config, passed.fronts).await?;
        let membership = open_membership(config, passed.membership).await?;
        Ok(OpenedSockets {
            predecessor,
            fronts,
            membership,
            control: bind_control(config)?,
        })
    }
}

/// How this process obtained the gateways' address.
enum GatewayAddress {
    /// The predecessor passes its sockets on.
    PassedOn(Box<PredecessorConnection>),
    /// The address was free and is bound.
    Bound(Async<TcpListener>),
}

/// Connects to the predecessor or binds the gateways' address, whichever is possible first.
///
/// Both can be impossible for a while: a process that shuts down keeps its address, and a process
/// whose successor has died opens its hot restart socket again only once it has detected that.
async fn claim_gateway_address(
    config: &Config,
    restart_socket_path: Option<&Path>,
) -> Result<GatewayAddress, String> {
    // With port 0 the system picks a port that no other process uses, so there is no predecessor.
    let restart_socket_path = restart_socket_path.filter(|_| config.listen.port() != 0);
    let deadline = after_ms(ADDRESS_TIMEOUT_MS);
    let mut has_logged = false;
    loop {
        if let Some(path) = restart_socket_path {
            let connected =
                hot_restart::connect_to_predecessor(path, &config.name, config.listen).await;
            if let Some(predecessor) = connected.map_err(|error| error.to_string())? {
                return Ok(GatewayAddress::PassedOn(Box::new(predecessor)));
            }
        }
        match Async::<TcpListener>::bind(config.listen) {
            Ok(listener) => return Ok(GatewayAddress::Bound(listener)),
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {}
            Err(e) => return Err(format!("cannot listen on {}: {e}", config.listen)),
        }
        if !std::mem::replace(&mut has_logged, true) {
            log(&format!(
                "starting: address in use, and no process to take over from: address={}",
                config.listen
            ));
        }
        Timer::at(after_ms(BIND_RETRY_MS)).await;
    }
}

/// A socket that this process has bound.
fn configured_socket(
    front: Front,
    address: SocketAddr,
    listener: Async<TcpListener>,
) -> FrontSocket {
    FrontSocket {
        front,
        address,
        listener: Rc::new(listener),
        is_configured: true,
    }
}

/// The configured front ends' sockets, passed on or bound, and then the other ones that were passed
/// on: clients that know only the predecessor's address are served there until its exit.
async fn open_fronts(
    config: &Config,
    mut passed: Vec<FrontSocket>,
) -> Result<Vec<FrontSocket>, String> {
    let mut configured = vec![(Front::Gateway, config.listen)];
    configured.extend(
        config
            .request_settings
            .uwsgi
            .listen
            .map(|at| (Front::Uwsgi, at)),
    );
    let mut sockets = Vec::new();
    for (front, address) in configured {
        let is_match = |socket: &FrontSocket| (socket.front, socket.address) == (front, address);
        if let Some(position) = passed.iter().position(is_match) {
            let listener = passed.swap_remove(position).listener;
            sockets.push(FrontSocket {
                front,
                address: local_address(&listener)?,
                listener,
                is_configured: true,
            });
            continue;
        }
        let bound = bind_when_free(|| Async::<TcpListener>::bind(address)).await;
        let listener = bound.map_err(|e| format!("cannot listen on {address}: {e}"))?;
        let address = local_address(&listener)?;
        sockets.push(configured_socket(front, address, listener));
    }
    sockets.append(&mut passed);
    Ok(sockets)
}

/// The membership sockets, passed on or bound. Passed sockets that are bound to another address are
/// not used.
async fn open_membership(
    config: &Config,
    passed: Option<membership::Sockets>,
) -> Result<Option<membership::Sockets>, String> {
    let Some(settings) = &config.fleet else {
        return Ok(None);
    };
    let address = settings.bind;
    let is_usable =
        |sockets: &membership::Sockets| address.port() == 0 || sockets.address() == Some(address);
    if let Some(sockets) = passed.filter(is_usable) {
        return Ok(Some(sockets));
    }
    let bound = bind_when_free(|| membership::Sockets::bind(address)).await;
    let sockets = bound.map_err(|e| format!("fleet: cannot listen on {address}: {e}"))?;
    Ok(Some(sockets))
}

/// The control endpoint's listener, if it is configured.
fn bind_control(config: &Config) -> Result<Option<(SocketAddr, Async<TcpListener>)>, String> {
    let Some(address) = config.control else {
        return Ok(None);
    };
    let bound = Async::<TcpListener>::bind(address);
    let listener = bound.map_err(|e| format!("cannot listen on {address}: {e}"))?;
    Ok(Some((local_address(&listener)?, listener)))
}

fn local_address(listener: &Async<TcpListener>) -> Result<SocketAddr, String> {
    let address = listener.get_ref().local_addr();
    address.map_err(|e| format!("listening socket: {e}"))
}

/// Binds an address, and waits for a process that shuts down to release it.
async fn bind_when_free<T>(mut bind: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    let deadline = after_ms(ADDRESS_TIMEOUT_MS);
    loop {
        match bind() {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                Timer::at(after_ms(BIND_RETRY_MS)).await;
            }
            result => return result,
        }
    }
}
