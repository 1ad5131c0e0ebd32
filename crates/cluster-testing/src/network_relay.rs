//! A relay between every two processes of a cluster. Each node advertises the address of its relay;
//! the relay identifies the sender by its source address, so that faults can be injected into each
//! directed link, for datagrams and for connections.

use fastrand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two checks of a relay's thread for its end, or for the restoration of a link.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The faults of a directed link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Whether the link carries nothing: datagrams are lost, connections stall.
    pub is_cut: bool,
    /// The delay of everything on the link.
    pub delay: Duration,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The fraction of datagrams that are delivered twice.
    pub duplication: f64,
    /// The fraction of datagrams of which one bit is flipped.
    pub corruption: f64,
}

impl LinkFaults {
    /// A link that carries nothing.
    pub const CUT: LinkFaults = LinkFaults {
        is_cut: true,
        delay: Duration::ZERO,
        loss: 0.0,
        duplication: 0.0,
        corruption: 0.0,
    };
}

/// The end points of a directed link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Link {
    sender: usize,
    recipient: usize,
}

/// The faults of all links.
#[derive(Default)]
pub struct LinkTable {
    faults: Mutex<HashMap<Link, LinkFaults>>,
    is_stopping: AtomicBool,
}

impl LinkTable {
    fn faults(&self, link: Link) -> LinkFaults {
        let faults = self.faults.lock().expect("no holder panics");
        faults.get(&link).copied().unwrap_or_default()
    }

    /// Sets the faults of the link from one node to another.
    pub fn set(&self, sender: usize, recipient: usize, faults: LinkFaults) {
        let link = Link { sender, recipient };
        let mut all = self.faults.lock().expect("no holder panics");
        all.insert(link, faults);
    }

    /// Partitions the network: cuts the links between nodes of different groups, and restores all
    /// others.
    pub fn partition(&self, node_count: usize, group: impl Fn(usize) -> usize) {
        let mut all = self.faults.lock().expect("no holder panics");
        for sender in 0..node_count {
            for recipient in 0..node_count {
                let faults = LinkFaults {
                    is_cut: group(sender) != group(recipient),
                    ..LinkFaults::default()
                };
                all.insert(Link { sender, recipient }, faults);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.faults.lock().expect("no holder panics").clear();
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

/// The address that a node binds, by which relays identify it.
pub fn bind_address(node: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 77, (node >> 8) as u8, node as u8 + 1))
}

/// The node that has bound this address.
fn node_at(address: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    match ip.octets() {
        [127, 77, high, low] if low > 0 => Some((usize::from(high) << 8) + usize::from(low) - 1),
        _ => None,
    }
}

/// The relay in front of one node.
pub struct Relay {
    /// The address that other nodes send to, for datagrams and connections.
    pub address: SocketAddr,
    forwarding: Arc<Forwarding>,
}

impl Relay {
    /// Starts the relay of a node. It drops everything until its target is set.
    pub fn start(node: usize, links: &Arc<LinkTable>) -> Relay {
        let (udp, tcp) = bind_same_port();
        let address = udp.local_addr().expect("a bound address");
        tcp.set_nonblocking(true).expect("a listener");
        let forwarding = Arc::new(Forwarding {
            node,
            target: Mutex::new(None),
            links: links.clone(),
        });
        let datagrams = forwarding.clone();
        std::thread::spawn(move || datagrams.forward_datagrams(&udp));
        let connections = forwarding.clone();
        std::thread::spawn(move || connections.forward_connections(&tcp));
        Relay {
            address,
            forwarding,
        }
    }

    /// Sets the address of the node's process.
    pub fn set_target(&self, address: SocketAddr) {
        let mut target = self.forwarding.target.lock().expect("no holder panics");
        *target = Some(address);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let is_stopping = &self.forwarding.links.is_stopping;
        is_stopping.store(true, Ordering::Relaxed);
    }
}

/// Binds a UDP and a TCP socket of the same port.
fn bind_same_port() -> (UdpSocket, TcpListener) {
    loop {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let address = udp.local_addr().expect("a bound address");
        // A port that is free for UDP may be in use for TCP.
        if let Ok(tcp) = TcpListener::bind(address) {
            return (udp, tcp);
        }
    }
}

/// What the threads of a relay share.
struct Forwarding {
    node: usize,
    target: Mutex<Option<SocketAddr>>,
    links: Arc<LinkTable>,
}

/// Datagrams by the time at which they are due, and a sequence number.
type DelayedDatagrams = BTreeMap<(Instant, u64), Vec<u8>>;

impl Forwarding {
    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().expect("no holder panics")
    }

    fn faults_from(&self, sender: usize) -> LinkFaults {
        self.links.faults(Link {
            sender,
            recipient: self.node,
        })
    }

    fn forward_datagrams(&self, socket: &UdpSocket) {
        let mut rng = Rng::with_seed(self.node as u64);
        let mut delayed = DelayedDatagrams::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut last_sequence = 0;
        while !self.links.is_stopping() {
            let now = Instant::now();
            self.send_due(socket, &mut delayed, now);
            let _ = socket.set_read_timeout(Some(read_timeout(&delayed, now)));
            let Ok((length, source)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(sender) = node_at(source) else {
                continue;
            };
            let faults = self.faults_from(sender);
            for datagram in apply_faults(faults, &buffer[..length], &mut rng) {
                last_sequence += 1;
                let due_at = Instant::now() + faults.delay;
                delayed.insert((due_at, last_sequence), datagram);
            }
        }
    }

    /// Sends the datagrams that are due.
    fn send_due(&self, socket: &UdpSocket, delayed: &mut DelayedDatagrams, now: Instant) {
        while let Some(first) = delayed.first_entry().filter(|entry| entry.key().0 <= now) {
            let datagram = first.remove();
            if let Some(target) = self.target() {
                let _ = socket.send_to(&datagram, target);
            }
        }
    }

    fn forward_connections(&self, listener: &TcpListener) {
        while !self.links.is_stopping() {
            let Ok((stream, source)) = listener.accept() else {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            };
            if let (Some(sender), Some(target)) = (node_at(source), self.target()) {
                let _ = self.forward_connection(stream, sender, target);
            }
        }
    }

    /// Forwards both directions of a connection, each on a thread of its own.
    fn forward_connection(
        &self,
        inbound: TcpStream,
        sender: usize,
        target: SocketAddr,
    ) -> std::io::Result<()> {
        let outbound = TcpStream::connect(target)?;
        let request_link = Link {
            sender,
            recipient: self.node,
        };
        let response_link = Link {
            sender: self.node,
            recipient: sender,
        };
        let response_direction = (outbound.try_clone()?, inbound.try_clone()?);
        let directions = [
            (request_link, (inbound, outbound)),
            (response_link, response_direction),
        ];
        for (link, (source, destination)) in directions {
            let links = self.links.clone();
            std::thread::spawn(move || copy_stream(source, destination, link, &links));
        }
        Ok(())
    }
}

/// The time until the next datagram is due, within the bounds of a read timeout.
fn read_timeout(delayed: &DelayedDatagrams, now: Instant) -> Duration {
    delayed
        .first_key_value()
        .map_or(POLL_INTERVAL, |((due_at, _), _)| *due_at - now)
        .clamp(MIN_READ_TIMEOUT, POLL_INTERVAL)
}

/// What a link delivers of a datagram.
fn apply_faults(faults: LinkFaults, datagram: &[u8], rng: &mut Rng) -> Vec<Vec<u8>> {
    if faults.is_cut || rng.f64() < faults.loss {
        return Vec::new();
    }
    let mut datagram = datagram.to_vec();
    if rng.f64() < faults.corruption && !datagram.is_empty() {
        let position = rng.usize(..datagram.len());
        datagram[position] ^= 1 << rng.u32(..8);
    }
    let copies = 1 + usize::from(rng.f64() < faults.duplication);
    vec![datagram; copies]
}

/// Copies bytes in one direction until the source ends. Bytes wait while the link is cut.
fn copy_stream(mut source: TcpStream, mut destination: TcpStream, link: Link, links: &LinkTable) {
    let _ = source.set_nonblocking(false);
    let _ = source.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 4096];
    while !links.is_stopping() {
        let length = match source.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        while links.faults(link).is_cut && !links.is_stopping() {
            std::thread::sleep(POLL_INTERVAL);
        }
        std::thread::sleep(links.faults(link).delay);
        if destination.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = destination.shutdown(Shutdown::Write);
    let _ = source.shutdown(Shutdown::Read);
}
