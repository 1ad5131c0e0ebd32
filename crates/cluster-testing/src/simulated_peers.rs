//! A simulated membership around one real process, in real time: measures what a thousand members
//! cost the process.

use crate::membership_simulation::Simulation;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::message::Packet;
use pipitlever_membership::sync::SyncSession;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::mpsc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The node of the simulation that is the real process.
const REAL_NODE: usize = 0;
/// The node whose address the real process has as its seed.
const SEED_NODE: usize = 1;
const POLL_INTERVAL: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 1_000_000,
};
const SYNC_READ_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Virtual time for which the simulated members run before the real process starts.
const CONVERGENCE_TIME_MICROS: i64 = 20_000_000;

/// The port of all members. The simulation calls [`address`] without any state, so that a process
/// has one set of simulated peers at a time.
static PORT: AtomicU16 = AtomicU16::new(0);

/// The address of a member. That of the real process is a placeholder until its first datagram.
fn address(node: usize) -> SocketAddr {
    let is_real = node == REAL_NODE;
    let [high, low] = [(node >> 8) as u8, node as u8 + u8::from(is_real)];
    let port = PORT.load(Ordering::Relaxed) + u16::from(is_real);
    ([127, 80, high, low], port).into()
}

/// The member with this address.
fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) << 8 | usize::from(low)
        }
        IpAddr::V6(_) => SEED_NODE,
    }
}

/// All members but the real process. They stop when this is dropped.
pub struct SimulatedPeers {
    is_stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SimulatedPeers {
    /// Starts the peers of a membership of `member_count` members, of which one is the real process,
    /// and waits until they have converged.
    pub fn start(member_count: usize) -> SimulatedPeers {
        let listener = TcpListener::bind("0.0.0.0:0").expect("a free port");
        let port = listener.local_addr().expect("a bound address").port();
        PORT.store(port, Ordering::Relaxed);
        let is_stopping = Arc::new(AtomicBool::new(false));
        let stop_flag = is_stopping.clone();
        let (ready_sender, ready) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let mut driver = Driver::new(member_count, listener);
            ready_sender.send(()).expect("the starting thread waits");
            driver.run(&stop_flag);
        });
        ready.recv().expect("the peers start");
        SimulatedPeers {
            is_stopping,
            thread: Some(thread),
        }
    }

    /// The address that the real process needs as a seed.
    pub fn seed(&self) -> SocketAddr {
        address(SEED_NODE)
    }
}

impl Drop for SimulatedPeers {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Carries datagrams and connections between the simulation and the real process.
struct Driver {
    simulation: Simulation,
    /// The sockets of all members but the real process, in order.
    sockets: Vec<UdpSocket>,
    listener: TcpListener,
    real_address: Option<SocketAddr>,
}

impl Driver {
    fn new(member_count: usize, listener: TcpListener) -> Driver {
        let sockets: Vec<UdpSocket> = (SEED_NODE..member_count).map(bind).collect();
        listener.set_nonblocking(true).expect("a listener");
        let mut simulation = Simulation::new(MembershipConfig::default(), member_count, 1);
        simulation.records_history = false;
        simulation.set_external_process(address, REAL_NODE, address(REAL_NODE));
        (SEED_NODE..member_count).for_each(|node| simulation.start(node, &[1, 2]));
        // Virtual time passes as fast as the machine allows until the real process starts.
        simulation.run_for(CONVERGENCE_TIME_MICROS);
        Driver {
            simulation,
            sockets,
            listener,
            real_address: None,
        }
    }

    /// Runs the simulation in real time.
    fn run(&mut self, stop_flag: &AtomicBool) {
        let start = Instant::now();
        let virtual_start = self.simulation.now;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !stop_flag.load(Ordering::Relaxed) {
            for index in self.readable_sockets() {
                self.receive(index, &mut buffer);
            }
            if let Ok((stream, _)) = self.listener.accept() {
                let node = stream.local_addr().map_or(SEED_NODE, node_at);
                let _ = synchronize(&mut self.simulation, node, stream);
            }
            let elapsed = start.elapsed().as_micros() as i64;
            self.simulation.run_until(virtual_start + elapsed);
            self.send();
        }
    }

    /// Waits for datagrams. Returns the indices of the sockets that have some.
    fn readable_sockets(&self) -> Vec<usize> {
        let mut poll_fds: Vec<PollFd> = self
            .sockets
            .iter()
            .map(|socket| PollFd::new(socket, PollFlags::IN))
            .collect();
        let _ = poll(&mut poll_fds, Some(&POLL_INTERVAL));
        poll_fds
            .iter()
            .enumerate()
            .filter(|(_, poll_fd)| !poll_fd.revents().is_empty())
            .map(|(index, _)| index)
            .collect()
    }

    fn receive(&mut self, index: usize, buffer: &mut [u8]) {
        while let Ok((length, _)) = self.sockets[index].recv_from(buffer) {
            let datagram = &buffer[..length];
            // The address that the process advertises: there is no relay in between.
            if let Ok(packet) = Packet::decode(crate::CLUSTER_NAME, datagram) {
                let real_address = packet.sender.record.details.address;
                self.real_address = Some(real_address);
                self.simulation
                    .set_external_process(address, REAL_NODE, real_address);
            }
            self.simulation.inject(index + SEED_NODE, datagram.to_vec());
        }
    }

    fn send(&mut self) {
        for datagram in self.simulation.take_external_datagrams() {
            let socket = self.sockets.get(datagram.sender.wrapping_sub(SEED_NODE));
            if let (Some(recipient), Some(socket)) = (self.real_address, socket) {
                let _ = socket.send_to(&datagram.payload, recipient);
            }
        }
    }
}

fn bind(node: usize) -> UdpSocket {
    let socket = UdpSocket::bind(address(node)).expect("a free port");
    socket.set_nonblocking(true).expect("a socket");
    socket
}

/// Answers a push-pull synchronization of the real process with one member. Returns `None` if the
/// connection fails.
fn synchronize(simulation: &mut Simulation, node: usize, mut stream: TcpStream) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream.set_read_timeout(Some(SYNC_READ_TIMEOUT)).ok()?;
    let mut session = SyncSession::respond();
    let mut buffer = [0; 4096];
    while !session.is_complete() {
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        simulation.with_membership(node, |membership, now| {
            session
                .handle_bytes(membership, now, &buffer[..length])
                .ok()
        })??;
        while let Some(chunk) = simulation
            .with_membership(node, |membership, now| session.next_chunk(membership, now))?
        {
            stream.write_all(&chunk).ok()?;
        }
    }
    Some(())
}
