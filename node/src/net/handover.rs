//! The contact between a process of this node and the one that takes over from it: a Unix socket in `$TMPDIR`.

use super::fleet::Sockets;
use super::front::Fronts;
use super::hub::Shared;
use super::nudge::Nudge;
use super::places::Front;
use super::{ahead, by};
use crate::log::log;
use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_handover::message::{self, Listening, Message, Reader, Welcome};
use pipitlever_handover::predecessor::{Act, Stage as Step};
use pipitlever_handover::successor::{self, Lost, Stage, Successor};
use pipitlever_reactor::{Async, Timer};
use pipitlever_store::record::Salt;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::process::{pidfd_open, PidfdFlags};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Instant;

/// A peer says and reads what is its turn by then, in milliseconds: a process answers operators within a second, and a
/// successor is to say yes within six.
const PATIENCE_MS: u64 = 2000;
/// A process that is leaving is waited for so long, in milliseconds, with such pauses.
const LEAVING_MS: u64 = 3000;
const PAUSE_MS: u64 = 25;
/// A process whose connection has ended is given so long to be dead, in milliseconds.
const DYING_MS: u64 = 500;
/// What the fleet's sockets are called when they are passed on.
const FLEET: [&str; 2] = ["fleet-udp", "fleet-tcp"];
/// Nothing is waited for.
const NOW: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
/// Bytes written at a time: the table moves in pieces, and the node's other tasks have their turn in between.
const PIECE: usize = 64 << 10;

/// Where the processes of the node that listens here meet, if there is a folder for that.
pub fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    let name = listen.to_string().replace([':', '[', ']'], "-");
    Some(Path::new(&folder).join(format!("pipitlever-{name}.sock")))
}

/// The process at the other end.
struct Peer(Option<OwnedFd>);

impl Peer {
    /// Who holds the other end, if it is of the same user: nobody else may have the node's sockets, or give it any.
    fn of(stream: &UnixStream) -> Option<Peer> {
        let peer = rustix::net::sockopt::socket_peercred(stream).ok()?;
        let ours = peer.uid == rustix::process::getuid();
        ours.then(|| Peer(pidfd_open(peer.pid, PidfdFlags::empty()).ok()))
    }

    /// Whether it has ended. Where the system can't say, the end of its connection has to do.
    fn dead(&self) -> bool {
        let Some(process) = &self.0 else { return true };
        let mut ended = [PollFd::new(process, PollFlags::IN)];
        rustix::event::poll(&mut ended, Some(&NOW)).is_ok_and(|n| n > 0)
    }

    /// Waits for its end, until then if a time is given; whether it came.
    async fn died(&self, until: Option<Instant>) -> bool {
        // Its sockets close a moment before it has ended.
        while !self.dead() {
            if until.is_some_and(|until| until <= Instant::now()) {
                return false;
            }
            Timer::at(ahead(PAUSE_MS)).await;
        }
        true
    }
}

/// The place where a successor finds this process.
pub struct Offer {
    executor: Rc<LocalExecutor<'static>>,
    hub: Shared,
    fronts: Rc<Fronts>,
    name: String,
    place: PathBuf,
    /// Ends what is there now.
    close: RefCell<Nudge>,
}

impl Offer {
    /// Nothing is there yet.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        hub: Shared,
        fronts: Rc<Fronts>,
        name: String,
        place: PathBuf,
    ) -> Rc<Offer> {
        Rc::new(Offer { executor, hub, fronts, name, place, close: RefCell::default() })
    }

    /// Waits for a successor from now on. A socket that is there is taken over: whoever had it is dead, or leaves.
    pub fn open(self: &Rc<Offer>) {
        let fresh = self.place.with_extension(format!("{}", std::process::id()));
        // One that a crash has left under this very number.
        let _ = std::fs::remove_file(&fresh);
        let bound = UnixListener::bind(&fresh).and_then(|listener| {
            // Under its name only once it listens, and in one step: whoever comes finds one that answers.
            std::fs::rename(&fresh, &self.place)?;
            Async::<UnixListener>::new(listener)
        });
        let listener = match bound {
            Ok(listener) => listener,
            Err(error) => {
                let _ = std::fs::remove_file(&fresh);
                return log(&format!("handover: off: {}: {error}", self.place.display()));
            }
        };
        let (offer, close) = (self.clone(), Nudge::new());
        *self.close.borrow_mut() = close.clone();
        let accepting = async move {
            loop {
                let Ok(stream) = listener.accept().await else {
                    Timer::at(ahead(50)).await;
                    continue;
                };
                let Some(peer) = Peer::of(&stream) else {
                    log("handover: a process of another user was turned away");
                    continue;
                };
                if let Ok(stream) = Async::<UnixStream>::new(stream) {
                    offer.executor.spawn(welcome(offer.clone(), stream, peer)).detach();
                }
            }
        };
        self.executor.spawn(future::or(accepting, async move { close.wait().await })).detach();
    }

    /// Nobody finds this process any more: its successor is to be found there by now.
    fn pass_on(&self) {
        self.close.borrow().give();
    }

    /// Nobody finds this process any more. Who comes begins as if there had never been one.
    pub fn close(&self) {
        self.pass_on();
        let _ = std::fs::remove_file(&self.place);
    }
}

/// One that has come to take over, from its first word to its end.
async fn welcome(offer: Rc<Offer>, stream: Async<UnixStream>, peer: Peer) {
    let hub = &offer.hub;
    let mut reader = Reader::default();
    let greeted = async {
        let mut bytes = [0; 512];
        while !reader.greeted() {
            match stream.read(&mut bytes).await {
                Ok(n) if n > 0 => reader.feed(&bytes[..n]),
                _ => return Err("it left without a word".to_owned()),
            }
            // There is nothing for it to say yet.
            match reader.message() {
                Ok(None) => {}
                Ok(Some(_)) => return Err("it spoke out of turn".into()),
                Err(broken) => return Err(broken.to_string()),
            }
        }
        Ok(())
    };
    let greeted = by(ahead(PATIENCE_MS), greeted).await;
    if let Err(why) = greeted.unwrap_or_else(|| Err("it said nothing".into())) {
        // Its own version, so that a process of another one can say so.
        let _ = stream.write(&message::greeting()).await;
        return log(&format!("handover: a process was turned away: {why}"));
    }
    if !hub.borrow_mut().predecessor.met() {
        return log("handover: a process was turned away: another one takes over already");
    }
    log("handover: a process has come to take over");
    let why = future::or(write(&offer, &stream), read(&offer, &mut reader, &stream)).await;
    // Whoever still reads at the other end is to see that this is over.
    drop(stream);
    let yielded = hub.borrow().predecessor.awaits_death();
    if yielded {
        // As long as it lives it may serve, and two must not.
        peer.died(None).await;
    }
    let acts = hub.borrow_mut().predecessor.lost();
    if !yielded {
        log(&format!("handover: not done, this process serves on: {why}"));
    } else if !acts.is_empty() {
        log(&format!("handover: the process that took over is gone, this one serves again: {why}"));
    }
    acts.iter().for_each(|act| act_on(&offer, *act));
}

/// Tells the successor what there is, until it can't be told; why not.
async fn write(offer: &Offer, stream: &Async<UnixStream>) -> String {
    let (hub, sockets) = (&offer.hub, offer.fronts.sockets());
    let listening = sockets.iter().map(|(front, at, _)| Listening { protocol: front.word().into(), at: *at });
    let mut listening: Vec<Listening> = listening.collect();
    let part = hub.borrow().callers.fleet.clone();
    let member = part.as_ref().map(|part| part.sockets());
    if let Some((udp, tcp)) = member {
        let at = [udp.local_addr(), tcp.local_addr()];
        let named = FLEET.into_iter().zip(at);
        listening.extend(
            named.filter_map(|(protocol, at)| Some(Listening { protocol: protocol.into(), at: at.ok()? })),
        );
    }
    let Salt(salt) = hub.borrow().salt;
    let mut bytes = message::greeting();
    message::write(&Message::Welcome(Welcome { name: offer.name.clone(), listening, salt }), &mut bytes);
    let passed = sockets.iter().map(|(_, _, listener)| listener.get_ref().as_fd());
    let passed = passed.chain(member.into_iter().flat_map(|(udp, tcp)| [udp.as_fd(), tcp.as_fd()]));
    let passed: Vec<_> = passed.collect();
    let first = by(ahead(PATIENCE_MS), stream.send_with(&bytes, &passed)).await;
    let Some(Ok(sent)) = first else { return "its welcome could not be sent".into() };
    drop(sockets);
    let mut rest = bytes.split_off(sent);
    let news = hub.borrow().news.clone();
    let mut said = Said::default();
    loop {
        match by(ahead(PATIENCE_MS), stream.write_all(&rest)).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return error.to_string(),
            // What it does not read would gather here.
            None => return "it does not read".into(),
        }
        rest.clear();
        while !next_piece(hub, &mut rest, &mut said) {
            news.wait().await;
        }
    }
}

/// What a successor has been told beside keys.
#[derive(Default)]
struct Said {
    end: bool,
    yielded: bool,
}

/// What is to be told next, in one piece; whether there is anything. All keys come before `End`, then those that change.
fn next_piece(hub: &Shared, piece: &mut Vec<u8>, said: &mut Said) -> bool {
    let mut hub = hub.borrow_mut();
    let to_unix = hub.clock.ahead_to_unix();
    while piece.len() < PIECE {
        let Some(message) = hub.core.next_news(to_unix) else { break };
        message::write(&message, piece);
    }
    let stage = hub.predecessor.stage();
    if stage == Step::Yielded && !std::mem::replace(&mut said.yielded, true) {
        let member = hub.callers.fleet.as_ref().map(|part| part.pass_on());
        message::write(&Message::Yielded { member }, piece);
    }
    if piece.is_empty() && !said.end && stage == Step::Frozen {
        said.end = true;
        let (standby, share) = (hub.core.standing_by(), hub.core.share_wanted());
        // What this process has taken of the memory beyond its half, its successor leaves to it.
        hub.share(Some(share));
        message::write(&Message::End { standby, share }, piece);
    }
    hub.telling = piece.len();
    !piece.is_empty()
}

/// Listens to the successor until its end, or until it says what it may not; which.
async fn read(offer: &Rc<Offer>, reader: &mut Reader, stream: &Async<UnixStream>) -> String {
    let mut bytes = [0; 512];
    loop {
        loop {
            let said = match reader.message() {
                Ok(Some(said)) => said,
                Ok(None) => break,
                Err(broken) => return broken.to_string(),
            };
            let act = offer.hub.borrow_mut().predecessor.heard(&said);
            if act == Act::Drop {
                return "it spoke out of turn".into();
            }
            act_on(offer, act);
        }
        match stream.read(&mut bytes).await {
            Ok(n) if n > 0 => reader.feed(&bytes[..n]),
            _ => return "it ended".into(),
        }
    }
}

fn act_on(offer: &Rc<Offer>, act: Act) {
    let hub = &offer.hub;
    match act {
        Act::Unshare => hub.borrow_mut().share(None),
        Act::Freeze => {
            let mut hub = hub.borrow_mut();
            hub.core.freeze();
            hub.news.give();
        }
        Act::Thaw => hub.borrow_mut().core.thaw(),
        Act::Yield => {
            log("handover: done, the other process serves");
            offer.fronts.pause();
            hub.borrow().callers.fleet.iter().for_each(|part| part.pause());
            offer.pass_on();
            hub.borrow().news.give();
        }
        Act::Resume => {
            hub.borrow_mut().tell(|core, now| core.doubt_keys(now));
            // Before the fronts: what it acts on may be stale by now, and nobody is to be let in before that is known.
            let part = hub.borrow().callers.fleet.clone();
            part.iter().for_each(|part| part.resume());
            offer.fronts.open();
            offer.open();
        }
        Act::Drop => {}
    }
}

/// A predecessor that has passed its sockets on.
pub struct Met {
    stream: Async<UnixStream>,
    peer: Peer,
    reader: Reader,
    machine: Successor,
    /// What makes the digests of bodies the node's own.
    pub salt: Salt,
    /// The sockets.
    pub sockets: Vec<(Front, SocketAddr, Async<TcpListener>)>,
    /// Those of the fleet, if it is in one.
    pub fleet: Option<Sockets>,
}

/// Meets the process that this one takes over from, if there is one. An error is a process that is there and can't be taken
/// over from: it serves on.
pub async fn meet(place: &Path, name: &str, listen: SocketAddr) -> Result<Option<Met>, String> {
    let until = ahead(LEAVING_MS);
    loop {
        let stream = match UnixStream::connect(place) {
            Ok(stream) => stream,
            // Nobody, or what a crash has left.
            Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                return Ok(None)
            }
            Err(e) => return Err(format!("handover: {}: {e}", place.display())),
        };
        let Some(peer) = Peer::of(&stream) else {
            return Err(format!("handover: {}: a process of another user listens there", place.display()));
        };
        let stream = Async::<UnixStream>::new(stream).map_err(|e| format!("handover: {e}"))?;
        match by(ahead(PATIENCE_MS), welcomed(&stream)).await {
            Some(Ok(Some((machine, reader, welcome, passed)))) => {
                let (sockets, fleet) = taken_over(&welcome, passed, name, listen)?;
                let salt = Salt(welcome.salt);
                return Ok(Some(Met { stream, peer, reader, machine, salt, sockets, fleet }));
            }
            // It leaves, died, or has another successor already.
            Some(Ok(None)) if Instant::now() < until => {
                Timer::at(ahead(PAUSE_MS)).await;
            }
            Some(Ok(None)) => return Err("handover: the process that is there turns this one away".into()),
            Some(Err(why)) => {
                return Err(format!("handover: the process that is there can't be understood: {why}"))
            }
            None => return Err("handover: the process that is there says nothing".into()),
        }
    }
}

type Welcomed = (Successor, Reader, Welcome, Vec<OwnedFd>);

async fn welcomed(stream: &Async<UnixStream>) -> Result<Option<Welcomed>, String> {
    let (mut machine, mut reader) = (Successor::greeting(), Reader::default());
    if stream.write_all(&message::greeting()).await.is_err() {
        return Ok(None);
    }
    let (mut bytes, mut passed) = ([0; 4096], Vec::new());
    loop {
        match stream.receive_with(&mut bytes, &mut passed).await {
            Ok(n) if n > 0 => reader.feed(&bytes[..n]),
            _ => return Ok(None),
        }
        match reader.message().map_err(|broken| broken.to_string())? {
            None => {}
            Some(said) => {
                return match machine.heard(said) {
                    successor::Act::Sockets(welcome) => Ok(Some((machine, reader, welcome, passed))),
                    successor::Act::GiveUp(why) => Err(why.into()),
                    _ => Err("it does not say who it is".into()),
                }
            }
        }
    }
}

/// What came: the fronts' sockets, and the fleet's.
type TakenOver = (Vec<(Front, SocketAddr, Async<TcpListener>)>, Option<Sockets>);

/// The sockets that came, if they are those of this very node.
fn taken_over(
    welcome: &Welcome,
    passed: Vec<OwnedFd>,
    name: &str,
    listen: SocketAddr,
) -> Result<TakenOver, String> {
    let wrong = |what: String| Err(format!("handover: the process that is there {what}"));
    if welcome.name != name {
        return wrong(format!("is of node {}, this one is {name}", welcome.name));
    }
    if welcome.listening.len() != passed.len() {
        return wrong("passes other sockets than it says".into());
    }
    let (mut sockets, mut udp, mut tcp) = (Vec::new(), None, None);
    for (said, passed) in welcome.listening.iter().zip(passed) {
        if said.protocol == FLEET[0] {
            udp = Some(UdpSocket::from(passed));
            continue;
        }
        if said.protocol == FLEET[1] {
            tcp = Some(TcpListener::from(passed));
            continue;
        }
        let Some(front) = Front::named(&said.protocol) else {
            return wrong(format!("speaks {}", said.protocol));
        };
        let listener = TcpListener::from(passed);
        let at = listener.local_addr().map_err(|e| format!("handover: no listening socket came: {e}"))?;
        if at != said.at || (front == Front::Gateway && at != listen) {
            return wrong(format!("listens on {at}"));
        }
        sockets.push((front, at, Async::<TcpListener>::new(listener).map_err(|e| format!("handover: {e}"))?));
    }
    Ok((sockets, udp.zip(tcp).map(|(udp, tcp)| Sockets { udp, tcp })))
}

impl Met {
    /// Takes over once this process is ready, and follows the predecessor to its end. An error means that this process is to end,
    /// and the other one serves on.
    pub async fn take_over(mut self, hub: &Shared, serve: impl Fn(Option<Vec<u8>>)) -> Result<(), String> {
        self.follow(hub, &serve).await?;
        // A connection can end while both live, and two must not serve.
        let dead = !self.machine.asks_for_death() || self.peer.died(Some(ahead(DYING_MS))).await;
        match self.machine.lost(dead) {
            Lost::GiveUp => return Err("handover: the process that is there has broken off".into()),
            Lost::Settled => log("handover: the process before this one has ended"),
            Lost::Doubtful | Lost::Nobody => {
                log("handover: the process before this one died before its keys were here: unknown keys wait for a window");
                hub.borrow_mut().tell(|core, now| core.doubt_keys(now));
            }
        }
        hub.borrow_mut().tell(|core, now| core.orphaned(now));
        hub.borrow_mut().share(None);
        if !hub.borrow().taking {
            serve(None);
        }
        Ok(())
    }

    /// Until the connection ends, or the predecessor, which lives, can't be followed.
    async fn follow(&mut self, hub: &Shared, serve: &impl Fn(Option<Vec<u8>>)) -> Result<(), String> {
        let mut bytes = vec![0; PIECE];
        let ready = async {
            while hub.borrow().core.fresh() {
                Timer::at(ahead(5)).await;
            }
            None
        };
        // It has nothing to say until it is asked, but it may end.
        match future::or(ready, async { Some(self.stream.read(&mut bytes).await) }).await {
            None => {}
            Some(Ok(n)) if n > 0 => {
                return Err("handover: the process that is there speaks out of turn".into())
            }
            Some(_) => return Ok(()),
        }
        self.machine.ready();
        let mut out = Vec::new();
        message::write(&Message::Freeze, &mut out);
        let until = ahead(PATIENCE_MS);
        loop {
            if !out.is_empty() {
                // Few bytes, which go out whole. If nobody is there, the end of the connection says so.
                let _ = by(ahead(PATIENCE_MS), self.stream.write_all(&out)).await;
                out.clear();
            }
            let read = match self.machine.stage() {
                Stage::Serving => Some(self.stream.read(&mut bytes).await),
                _ => by(until, self.stream.read(&mut bytes)).await,
            };
            match read {
                Some(Ok(n)) if n > 0 => self.reader.feed(&bytes[..n]),
                Some(_) => return Ok(()),
                None => return Err("handover: the process that is there does not tell its keys".into()),
            }
            loop {
                let serving = self.machine.stage() == Stage::Serving;
                let act = match self.reader.message() {
                    Ok(None) => break,
                    Ok(Some(said)) => self.machine.heard(said),
                    Err(_) => successor::Act::GiveUp("it can't be understood"),
                };
                match act {
                    // It serves by now, and must not end for what another process says.
                    successor::Act::GiveUp(_) if serving => return Ok(()),
                    successor::Act::GiveUp(why) => {
                        return Err(format!("handover: the process that is there: {why}"))
                    }
                    successor::Act::Sockets(_) => {}
                    successor::Act::Enter(key) => {
                        let mut hub = hub.borrow_mut();
                        let until = hub.clock.of_unix(key.until);
                        hub.tell(|core, now| core.enter(now, key, until));
                    }
                    successor::Act::Free(key) => {
                        hub.borrow_mut().tell(|core, now| core.freed(now, &key));
                    }
                    successor::Act::Take { standby, share } => {
                        let mut hub = hub.borrow_mut();
                        hub.core.stand_by(standby);
                        // Something is left for this one even if the other one has it all.
                        hub.share(Some((1.0 - share).max(0.05)));
                        message::write(&Message::Taken, &mut out);
                    }
                    successor::Act::Serve(member) => {
                        log("handover: taken over, this process serves");
                        serve(member);
                    }
                }
            }
        }
    }
}

/// What a task that found something wrong leaves for the one that ends the process.
#[derive(Clone, Default)]
pub struct Trouble(Rc<RefCell<Option<String>>>, Nudge);

impl Trouble {
    /// This is wrong.
    pub fn found(&self, what: String) {
        *self.0.borrow_mut() = Some(what);
        self.1.give();
    }

    /// Waits for something to be wrong.
    pub async fn wait(&self) -> String {
        loop {
            self.1.wait().await;
            if let Some(what) = self.0.take() {
                return what;
            }
        }
    }
}
