//! What stands between every two processes of a fleet. Each node tells the others an address of the
//! relay as its own; the relay knows the sender by its source address, and so each directed link
//! can be hurt by itself, for datagrams and connections, with nothing of it in the product.

use fastrand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a thread looks whether it is to end, or a link that was cut carries again.
const LOOK: Duration = Duration::from_millis(5);

/// How one directed link is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// It carries nothing: datagrams are lost, connections stall.
    pub cut: bool,
    /// What it carries comes so much later.
    pub delay: Duration,
    /// The share of datagrams that is lost, comes twice, or comes with a bit changed.
    pub loss: f64,
    /// As above.
    pub twice: f64,
    /// As above.
    pub spoilt: f64,
}

/// All links, by sender and receiver.
#[derive(Default)]
pub struct Links {
    all: Mutex<HashMap<(usize, usize), Link>>,
    ended: AtomicBool,
    /// Datagrams that were carried.
    pub carried: AtomicU64,
}

impl Links {
    /// How one is.
    pub fn get(&self, from: usize, to: usize) -> Link {
        self.all
            .lock()
            .expect("no holder panics")
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    /// Changes one.
    pub fn set(&self, from: usize, to: usize, link: Link) {
        self.all
            .lock()
            .expect("no holder panics")
            .insert((from, to), link);
    }

    /// Cuts those between different groups, and no other.
    pub fn split(&self, count: usize, group: impl Fn(usize) -> usize) {
        let mut all = self.all.lock().expect("no holder panics");
        for from in 0..count {
            for to in 0..count {
                all.insert(
                    (from, to),
                    Link {
                        cut: group(from) != group(to),
                        ..Link::default()
                    },
                );
            }
        }
    }

    /// All links are whole again.
    pub fn heal(&self) {
        self.all.lock().expect("no holder panics").clear();
    }

    fn ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// The address that a node binds: its own, so that the relay knows it by that.
pub fn bind_address(node: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 77, (node >> 8) as u8, node as u8 + 1))
}

fn sender(at: SocketAddr) -> Option<usize> {
    match at.ip() {
        IpAddr::V4(ip) => {
            let [a, b, high, low] = ip.octets();
            (a == 127 && b == 77 && low > 0)
                .then(|| (usize::from(high) << 8) + usize::from(low) - 1)
        }
        IpAddr::V6(_) => None,
    }
}

/// One node's address as the others know it.
pub struct Relay {
    /// That address.
    pub at: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    links: Arc<Links>,
}

impl Relay {
    /// Begins to relay to a node; until it is known where that is, nothing.
    pub fn start(node: usize, links: &Arc<Links>) -> Relay {
        // One port for both; it may be taken for the one when it is free for the other.
        let (udp, tcp) = loop {
            let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
            let at = udp.local_addr().expect("an address");
            if let Ok(tcp) = TcpListener::bind(at) {
                break (udp, tcp);
            }
        };
        let at = udp.local_addr().expect("an address");
        let target = Arc::new(Mutex::new(None));
        udp.set_read_timeout(Some(LOOK)).expect("a time-out");
        tcp.set_nonblocking(true).expect("no blocking");
        let (t, l) = (target.clone(), links.clone());
        std::thread::spawn(move || datagrams(node, &udp, &t, &l));
        let (t, l) = (target.clone(), links.clone());
        std::thread::spawn(move || connections(node, &tcp, &t, &l));
        Relay {
            at,
            target,
            links: links.clone(),
        }
    }

    /// Where the node is.
    pub fn aim(&self, at: SocketAddr) {
        *self.target.lock().expect("no holder panics") = Some(at);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.links.ended.store(true, Ordering::Relaxed);
    }
}

type Target = Mutex<Option<SocketAddr>>;

fn datagrams(node: usize, socket: &UdpSocket, target: &Target, links: &Links) {
    let mut rng = Rng::with_seed(node as u64);
    let mut late: BTreeMap<(Instant, u64), Vec<u8>> = BTreeMap::new();
    let (mut bytes, mut number) = (vec![0; 64 << 10], 0);
    while !links.ended() {
        let now = Instant::now();
        while let Some(first) = late.first_entry().filter(|e| e.key().0 <= now) {
            if let Some(to) = *target.lock().expect("no holder panics") {
                let _ = socket.send_to(&first.remove(), to);
                links.carried.fetch_add(1, Ordering::Relaxed);
            } else {
                first.remove();
            }
        }
        let next = late
            .first_key_value()
            .map_or(LOOK, |((at, _), _)| *at - now)
            .clamp(Duration::from_millis(1), LOOK);
        let _ = socket.set_read_timeout(Some(next));
        let Ok((length, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        let Some(from) = sender(from) else { continue };
        let link = links.get(from, node);
        if link.cut || rng.f64() < link.loss {
            continue;
        }
        let mut one = bytes[..length].to_vec();
        if rng.f64() < link.spoilt && length > 0 {
            one[rng.usize(..length)] ^= 1 << rng.u32(..8);
        }
        for _ in 0..1 + usize::from(rng.f64() < link.twice) {
            number += 1;
            late.insert((Instant::now() + link.delay, number), one.clone());
        }
    }
}

fn connections(node: usize, listener: &TcpListener, target: &Target, links: &Arc<Links>) {
    while !links.ended() {
        let Ok((stream, from)) = listener.accept() else {
            std::thread::sleep(LOOK);
            continue;
        };
        let (Some(from), Some(to)) = (sender(from), *target.lock().expect("no holder panics"))
        else {
            continue;
        };
        // The node is told who connects by the address that the others see.
        let Ok(onward) = TcpStream::connect(to) else {
            continue;
        };
        let pair = (stream.try_clone(), onward.try_clone());
        let (Ok(back), Ok(forth)) = pair else {
            continue;
        };
        let (l, r) = (links.clone(), links.clone());
        std::thread::spawn(move || pump(stream, onward, (from, node), &l));
        std::thread::spawn(move || pump(forth, back, (node, from), &r));
    }
}

/// Carries bytes one way until an end; while the link is cut they wait.
fn pump(mut from: TcpStream, mut to: TcpStream, (sender, receiver): (usize, usize), links: &Links) {
    let _ = from.set_nonblocking(false);
    let _ = from.set_read_timeout(Some(LOOK));
    let mut bytes = [0; 4096];
    while !links.ended() {
        let read = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(read) => read,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        while links.get(sender, receiver).cut && !links.ended() {
            std::thread::sleep(LOOK);
        }
        std::thread::sleep(links.get(sender, receiver).delay);
        if to.write_all(&bytes[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
