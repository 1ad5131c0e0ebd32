//! A simulated fleet around one real process, in real time: what a thousand members cost it.

use crate::membership_simulation::Simulation;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::sync::SyncSession;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The port of all members; one crowd at a time.
static PORT: AtomicU16 = AtomicU16::new(0);

fn address(place: usize) -> SocketAddr {
    let ip = [
        127,
        80,
        (place >> 8) as u8,
        place as u8 + u8::from(place == 0),
    ];
    (ip, PORT.load(Ordering::Relaxed) + u16::from(place == 0)).into()
}

/// All members but one.
pub struct SimulatedPeers {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SimulatedPeers {
    /// So many members, of which the real process is one.
    pub fn start(members: usize) -> SimulatedPeers {
        let listener = TcpListener::bind("0.0.0.0:0").expect("a port");
        PORT.store(
            listener.local_addr().expect("an address").port(),
            Ordering::Relaxed,
        );
        let stop = Arc::new(AtomicBool::new(false));
        let told = stop.clone();
        let (ready, up) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let sockets: Vec<UdpSocket> = (1..members)
                .map(|i| UdpSocket::bind(address(i)).expect("its address"))
                .collect();
            sockets
                .iter()
                .for_each(|s| s.set_nonblocking(true).expect("no blocking"));
            listener.set_nonblocking(true).expect("no blocking");
            let mut world = Simulation::new(MembershipConfig::default(), members, 1);
            world.record = false;
            world.bridge(address, 0, address(0));
            (1..members).for_each(|i| world.start(i, &[1, 2]));
            // Before anybody looks, as fast as it goes.
            world.run(20_000_000);
            ready.send(()).expect("it is waited for");
            carry(&mut world, &sockets, &listener, &told);
        });
        up.recv().expect("the crowd is up");
        SimulatedPeers {
            stop,
            thread: Some(thread),
        }
    }

    /// Where the real process meets it.
    pub fn seed(&self) -> SocketAddr {
        address(1)
    }
}

impl Drop for SimulatedPeers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn carry(world: &mut Simulation, sockets: &[UdpSocket], listener: &TcpListener, stop: &AtomicBool) {
    let (start, from) = (Instant::now(), world.now);
    let mut bytes = vec![0; 64 << 10];
    let mut real: Option<SocketAddr> = None;
    while !stop.load(Ordering::Relaxed) {
        let mut fds: Vec<PollFd> = sockets
            .iter()
            .map(|s| PollFd::new(s, PollFlags::IN))
            .collect();
        let wait = Timespec {
            tv_sec: 0,
            tv_nsec: 1_000_000,
        };
        let _ = poll(&mut fds, Some(&wait));
        let ready: Vec<bool> = fds.iter().map(|fd| !fd.revents().is_empty()).collect();
        for (i, socket) in sockets.iter().enumerate().filter(|(i, _)| ready[*i]) {
            while let Ok((length, _)) = socket.recv_from(&mut bytes) {
                // Where it says that it is: through no relay, as none is asked to hurt it.
                if let Ok(packet) =
                    pipitlever_membership::message::Packet::decode("rig", &bytes[..length])
                {
                    real = Some(packet.sender.record.details.address);
                    world.bridge(address, 0, packet.sender.record.details.address);
                }
                world.inject(i + 1, bytes[..length].to_vec());
            }
        }
        if let Ok((stream, _)) = listener.accept() {
            let place = stream.local_addr().map_or(1, |at| match at.ip() {
                std::net::IpAddr::V4(ip) => {
                    usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3])
                }
                std::net::IpAddr::V6(_) => 1,
            });
            let _ = settle(world, place, stream);
        }
        world.run_to(from + start.elapsed().as_micros() as i64);
        for (place, bytes) in world.take_sent_out() {
            if let (Some(to), Some(socket)) = (real, sockets.get(place.wrapping_sub(1))) {
                let _ = socket.send_to(&bytes, to);
            }
        }
    }
}

/// One member makes its view and the real process's equal.
fn settle(world: &mut Simulation, place: usize, mut stream: TcpStream) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(200)))
        .ok()?;
    let mut session = SyncSession::respond();
    let mut bytes = [0; 4096];
    while !session.is_complete() {
        let read = stream.read(&mut bytes).ok().filter(|n| *n > 0)?;
        world.with_membership(place, |fleet, now| {
            session.handle_bytes(fleet, now, &bytes[..read]).ok()
        })??;
        while let Some(piece) =
            world.with_membership(place, |fleet, now| session.next_chunk(fleet, now))?
        {
            stream.write_all(&piece).ok()?;
        }
    }
    Some(())
}
