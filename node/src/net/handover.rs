//! The contact between a process of this node and the one that takes over from it: a Unix socket in `$TMPDIR`.

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
use rustix::fd::{AsFd, OwnedFd};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// A peer says and reads what is its turn by then, in milliseconds: a process answers operators within a second, and a
/// successor is to say yes within six.
const PATIENCE_MS: u64 = 2000;
/// A process that is leaving is waited for so long, in milliseconds, with such pauses.
const LEAVING_MS: u64 = 3000;
const PAUSE_MS: u64 = 25;
/// Bytes written at a time: the table moves in pieces, and the node's other tasks have their turn in between.
const PIECE: usize = 64 << 10;

/// Where the processes of the node that listens here meet, if there is a folder for that.
pub fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    let name = listen.to_string().replace([':', '[', ']'], "-");
    Some(Path::new(&folder).join(format!("pipitlever-{name}.sock")))
}

/// Whether a peer is of the same user: nobody else may have the node's sockets, or give it any.
fn ours(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::getuid())
}

/// Waits for a successor at this place from now on. Another process's socket there is taken over: who knew it has been met.
pub fn offer(
    executor: &Rc<LocalExecutor<'static>>,
    hub: &Shared,
    fronts: &Rc<Fronts>,
    name: &str,
    place: &Path,
) {
    let fresh = place.with_extension(format!("{}", std::process::id()));
    // One that a crash has left under this very number.
    let _ = std::fs::remove_file(&fresh);
    let bound = UnixListener::bind(&fresh).and_then(|listener| {
        // Under its name only once it listens, and in one step: whoever comes finds one that answers.
        std::fs::rename(&fresh, place)?;
        Async::<UnixListener>::new(listener)
    });
    let listener = match bound {
        Ok(listener) => listener,
        Err(error) => {
            let _ = std::fs::remove_file(&fresh);
            return log(&format!("handover: off: {}: {error}", place.display()));
        }
    };
    let gone = hub.borrow().alone.clone();
    let (hub, fronts, name, place) = (hub.clone(), fronts.clone(), name.to_owned(), place.to_owned());
    let spawner = executor.clone();
    let accepting = async move {
        loop {
            match listener.accept().await {
                Ok(stream) if ours(&stream) => {
                    let Ok(stream) = Async::<UnixStream>::new(stream) else { continue };
                    spawner.spawn(welcome(hub.clone(), fronts.clone(), name.clone(), stream)).detach();
                }
                Ok(_) => log("handover: a process of another user was turned away"),
                Err(_) => {
                    Timer::at(ahead(50)).await;
                }
            }
        }
    };
    let offering = async move {
        future::or(accepting, gone.wait()).await;
        // Who comes now finds nobody, and begins as if there had never been one.
        let _ = std::fs::remove_file(&place);
    };
    executor.spawn(offering).detach();
}

/// One that has come to take over, from its first word to its end.
async fn welcome(hub: Shared, fronts: Rc<Fronts>, name: String, stream: Async<UnixStream>) {
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
    let met = hub.borrow_mut().predecessor.met();
    let Some(act) = met else {
        return log("handover: a process was turned away: another one takes over already");
    };
    log("handover: a process has come to take over");
    act_on(&hub, &fronts, act);
    let carried = future::or(write(&hub, &fronts, &name, &stream), read(&hub, &fronts, &mut reader, &stream));
    let why = carried.await;
    let before = hub.borrow().predecessor.stage();
    let acts = hub.borrow_mut().predecessor.lost();
    if before != Step::Yielded {
        log(&format!("handover: not done, this process serves on: {why}"));
    } else if !acts.is_empty() {
        log(&format!("handover: the process that took over is gone, this one serves again: {why}"));
    }
    acts.iter().for_each(|act| act_on(&hub, &fronts, *act));
}

/// Tells the successor what there is, until it can't be told; why not.
async fn write(hub: &Shared, fronts: &Fronts, name: &str, stream: &Async<UnixStream>) -> String {
    let sockets = fronts.sockets();
    let listening = sockets.iter().map(|(front, at, _)| Listening { protocol: front.word().into(), at: *at });
    let listening = listening.collect();
    let Salt(salt) = hub.borrow().salt;
    let mut bytes = message::greeting();
    message::write(&Message::Welcome(Welcome { name: name.to_owned(), listening, salt }), &mut bytes);
    let passed: Vec<_> = sockets.iter().map(|(_, _, listener)| listener.get_ref().as_fd()).collect();
    let first = by(ahead(PATIENCE_MS), stream.send_with(&bytes, &passed)).await;
    let Some(Ok(sent)) = first else { return "its welcome could not be sent".into() };
    drop(sockets);
    let mut rest = bytes.split_off(sent);
    let news = hub.borrow().news.clone();
    let mut ended = false;
    loop {
        match by(ahead(PATIENCE_MS), stream.write_all(&rest)).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return error.to_string(),
            // What it does not read would gather here.
            None => return "it does not read".into(),
        }
        rest.clear();
        while !next_piece(hub, &mut rest, &mut ended) {
            news.wait().await;
        }
    }
}

/// What is to be told next, in one piece; whether there is anything. All keys come before `End`, then those that change.
fn next_piece(hub: &Shared, piece: &mut Vec<u8>, ended: &mut bool) -> bool {
    let mut hub = hub.borrow_mut();
    let to_unix = hub.clock.ahead_to_unix();
    while piece.len() < PIECE {
        let Some(message) = hub.core.next_news(to_unix) else { break };
        message::write(&message, piece);
    }
    if piece.is_empty() && !*ended && hub.predecessor.stage() == Step::Frozen {
        *ended = true;
        let (standby, share) = (hub.core.standing_by(), hub.core.share_wanted());
        // What this process has taken of the memory beyond its half, its successor leaves to it.
        hub.share(Some(share));
        message::write(&Message::End { standby, share }, piece);
    }
    hub.telling = piece.len();
    !piece.is_empty()
}

/// Listens to the successor until its end, or until it says what it may not; which.
async fn read(hub: &Shared, fronts: &Fronts, reader: &mut Reader, stream: &Async<UnixStream>) -> String {
    let mut bytes = [0; 512];
    loop {
        loop {
            let said = match reader.message() {
                Ok(Some(said)) => said,
                Ok(None) => break,
                Err(broken) => return broken.to_string(),
            };
            let act = hub.borrow_mut().predecessor.heard(&said);
            if act == Act::Drop {
                return "it spoke out of turn".into();
            }
            act_on(hub, fronts, act);
        }
        match stream.read(&mut bytes).await {
            Ok(n) if n > 0 => reader.feed(&bytes[..n]),
            _ => return "it ended".into(),
        }
    }
}

fn act_on(hub: &Shared, fronts: &Fronts, act: Act) {
    match act {
        // Its module starts with half; this one goes on with what it has until it is asked for the keys.
        Act::Share(true) => {}
        Act::Share(false) => hub.borrow_mut().share(None),
        Act::Freeze => {
            let mut hub = hub.borrow_mut();
            hub.core.freeze();
            hub.news.give();
        }
        Act::Thaw => hub.borrow_mut().core.thaw(),
        Act::Yield => {
            log("handover: done, the other process serves");
            fronts.pause();
        }
        Act::Resume => {
            hub.borrow_mut().tell(|core, now| core.doubt_keys(now));
            fronts.open();
        }
        Act::Drop => {}
    }
}

/// A predecessor that has passed its sockets on.
pub struct Met {
    stream: Async<UnixStream>,
    reader: Reader,
    machine: Successor,
    /// What makes the digests of bodies the node's own.
    pub salt: Salt,
    /// The sockets.
    pub sockets: Vec<(Front, SocketAddr, Async<TcpListener>)>,
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
        if !ours(&stream) {
            return Err(format!("handover: {}: a process of another user listens there", place.display()));
        }
        let stream = Async::<UnixStream>::new(stream).map_err(|e| format!("handover: {e}"))?;
        match by(ahead(PATIENCE_MS), welcomed(&stream)).await {
            Some(Ok(Some((machine, reader, welcome, passed)))) => {
                let sockets = taken_over(&welcome, passed, name, listen)?;
                return Ok(Some(Met { stream, reader, machine, salt: Salt(welcome.salt), sockets }));
            }
            // It leaves, died, or has another successor already.
            Some(Ok(None)) if std::time::Instant::now() < until => {
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

/// The sockets that came, if they are those of this very node.
fn taken_over(
    welcome: &Welcome,
    passed: Vec<OwnedFd>,
    name: &str,
    listen: SocketAddr,
) -> Result<Vec<(Front, SocketAddr, Async<TcpListener>)>, String> {
    let wrong = |what: String| Err(format!("handover: the process that is there {what}"));
    if welcome.name != name {
        return wrong(format!("is of node {}, this one is {name}", welcome.name));
    }
    if welcome.listening.len() != passed.len() {
        return wrong("passes other sockets than it says".into());
    }
    let mut sockets = Vec::new();
    for (said, passed) in welcome.listening.iter().zip(passed) {
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
    Ok(sockets)
}

impl Met {
    /// Takes over once this process is ready, and follows the predecessor to its end. An error means that this process is to end,
    /// and the other one serves on.
    pub async fn take_over(
        mut self,
        hub: &Shared,
        fronts: &Rc<Fronts>,
        serves: impl Fn(),
    ) -> Result<(), String> {
        let result = {
            let ready = async {
                while hub.borrow().core.fresh() {
                    Timer::at(ahead(5)).await;
                }
            };
            // Until it is ready the predecessor says nothing, but it may end.
            let mut byte = [0; 1];
            let ended = async {
                let _ = self.stream.read(&mut byte).await;
            };
            let ready = future::or(
                async {
                    ready.await;
                    true
                },
                async {
                    ended.await;
                    false
                },
            )
            .await;
            match ready {
                true => self.follow(hub, fronts, &serves).await,
                false => Ok(()),
            }
        };
        result?;
        let lost = self.machine.lost();
        match lost {
            Lost::Settled => log("handover: the process before this one has ended"),
            Lost::Doubtful | Lost::Nobody => {
                log("handover: the process before this one died before its keys were here: unknown keys wait for a window");
                hub.borrow_mut().tell(|core, now| core.doubt_keys(now));
                fronts.open();
                serves();
            }
        }
        hub.borrow_mut().tell(|core, now| core.orphaned(now));
        hub.borrow_mut().share(None);
        Ok(())
    }

    async fn follow(&mut self, hub: &Shared, fronts: &Rc<Fronts>, serves: &impl Fn()) -> Result<(), String> {
        self.machine.ready();
        let mut bytes = Vec::new();
        message::write(&Message::Freeze, &mut bytes);
        if by(ahead(PATIENCE_MS), self.stream.write_all(&bytes)).await.is_none_or(|r| r.is_err()) {
            return Ok(());
        }
        let until = ahead(PATIENCE_MS);
        let mut bytes = vec![0; PIECE];
        loop {
            let serving = self.machine.stage() == Stage::Serving;
            let read = match serving {
                true => Some(self.stream.read(&mut bytes).await),
                false => by(until, self.stream.read(&mut bytes)).await,
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
                    successor::Act::Free(key) => hub.borrow_mut().tell(|core, now| core.freed(now, &key)),
                    successor::Act::Serve { standby, share } => {
                        {
                            let mut hub = hub.borrow_mut();
                            hub.core.stand_by(standby);
                            // Something is left for this one even if the other one has it all.
                            hub.share(Some((1.0 - share).max(0.05)));
                        }
                        let mut taken = Vec::new();
                        message::write(&Message::Taken, &mut taken);
                        // Few bytes, which go out whole. If the predecessor is gone its end says so.
                        let _ = by(ahead(PATIENCE_MS), self.stream.write_all(&taken)).await;
                        log("handover: taken over, this process serves");
                        fronts.open();
                        serves();
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
