//! The side of the process that is replaced: it offers its place, passes on what it has, and
//! yields.

use super::*;
use pipitlever_hot_restart::predecessor::{Action, Phase};

/// The place where a successor finds this process.
pub struct SuccessorListener {
    executor: Rc<LocalExecutor<'static>>,
    state: SharedState,
    fronts: Rc<Fronts>,
    name: String,
    place: PathBuf,
    /// Ends what is there now.
    close: RefCell<Notify>,
}

impl SuccessorListener {
    /// Nothing is there yet.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        state: SharedState,
        fronts: Rc<Fronts>,
        name: String,
        place: PathBuf,
    ) -> Rc<SuccessorListener> {
        Rc::new(SuccessorListener {
            executor,
            state,
            fronts,
            name,
            place,
            close: RefCell::default(),
        })
    }

    /// Waits for a successor from now on. A socket that is there is taken over: whoever had it is
    /// dead, or leaves.
    pub fn open(self: &Rc<SuccessorListener>) {
        let fresh = self.place.with_extension(format!("{}", std::process::id()));
        // One that a crash has left under this very number.
        let _ = std::fs::remove_file(&fresh);
        let bound = UnixListener::bind(&fresh).and_then(|listener| {
            // Under its name only once it listens, and in one step: whoever comes finds one that
            // answers.
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
        let (offer, close) = (self.clone(), Notify::new());
        *self.close.borrow_mut() = close.clone();
        let accepting = async move {
            loop {
                let Ok(stream) = listener.accept().await else {
                    Timer::at(after_ms(50)).await;
                    continue;
                };
                let Some(peer) = Peer::of(&stream) else {
                    log("handover: a process of another user was turned away");
                    continue;
                };
                if let Ok(stream) = Async::<UnixStream>::new(stream) {
                    offer
                        .executor
                        .spawn(welcome(offer.clone(), stream, peer))
                        .detach();
                }
            }
        };
        self.executor
            .spawn(future::or(accepting, async move { close.wait().await }))
            .detach();
    }

    /// Nobody finds this process any more: its successor is to be found there by now.
    fn pass_on(&self) {
        self.close.borrow().notify();
    }

    /// Nobody finds this process any more. Who comes begins as if there had never been one.
    pub fn close(&self) {
        self.pass_on();
        let _ = std::fs::remove_file(&self.place);
    }
}

/// One that has come to take over, from its first word to its end.
async fn welcome(offer: Rc<SuccessorListener>, stream: Async<UnixStream>, peer: Peer) {
    let state = &offer.state;
    let mut reader = Decoder::default();
    let greeted = async {
        let mut bytes = [0; 512];
        while !reader.is_greeted() {
            match stream.read(&mut bytes).await {
                Ok(n) if n > 0 => reader.feed(&bytes[..n]),
                _ => return Err("it left without a word".to_owned()),
            }
            // There is nothing for it to say yet.
            match reader.next_message() {
                Ok(None) => {}
                Ok(Some(_)) => return Err("it spoke out of turn".into()),
                Err(broken) => return Err(broken.to_string()),
            }
        }
        Ok(())
    };
    let greeted = timeout_at(after_ms(PATIENCE_MS), greeted).await;
    if let Err(why) = greeted.unwrap_or_else(|| Err("it said nothing".into())) {
        // Its own version, so that a process of another one can say so.
        let _ = stream.write(&message::greeting()).await;
        return log(&format!("handover: a process was turned away: {why}"));
    }
    if !state.borrow_mut().hot_restart.predecessor.handle_connect() {
        return log("handover: a process was turned away: another one takes over already");
    }
    log("handover: a process has come to take over");
    let why = future::or(write(&offer, &stream), read(&offer, &mut reader, &stream)).await;
    // Whoever still reads at the other end is to see that this is over.
    drop(stream);
    let yielded = state.borrow().hot_restart.predecessor.has_yielded();
    if yielded {
        // As long as it lives it may serve, and two must not.
        peer.died(None).await;
    }
    let acts = state
        .borrow_mut()
        .hot_restart
        .predecessor
        .handle_disconnect();
    if !yielded {
        log(&format!(
            "handover: not done, this process serves on: {why}"
        ));
    } else if !acts.is_empty() {
        log(&format!(
            "handover: the process that took over is gone, this one serves again: {why}"
        ));
    }
    acts.iter().for_each(|act| act_on(&offer, *act));
}

/// Tells the successor what there is, until it can't be told; why not.
async fn write(offer: &SuccessorListener, stream: &Async<UnixStream>) -> String {
    let (state, sockets) = (&offer.state, offer.fronts.sockets());
    let listening = sockets.iter().map(|socket| ListeningSocket {
        protocol: socket.front.name().into(),
        address: socket.address,
    });
    let mut listening: Vec<ListeningSocket> = listening.collect();
    let part = state.borrow().membership.clone();
    let member = part.as_ref().map(|part| part.sockets());
    if let Some((udp, tcp)) = member {
        let at = [udp.local_addr(), tcp.local_addr()];
        let named = FLEET.into_iter().zip(at);
        listening.extend(named.filter_map(|(protocol, at)| {
            Some(ListeningSocket {
                protocol: protocol.into(),
                address: at.ok()?,
            })
        }));
    }
    let Salt(salt) = state.borrow().salt;
    let mut bytes = message::greeting();
    message::encode(
        &Message::Welcome(Welcome {
            node_name: offer.name.clone(),
            sockets: listening,
            salt,
        }),
        &mut bytes,
    );
    let passed = sockets
        .iter()
        .map(|socket| socket.listener.get_ref().as_fd());
    let passed = passed.chain(
        member
            .into_iter()
            .flat_map(|(udp, tcp)| [udp.as_fd(), tcp.as_fd()]),
    );
    let passed: Vec<_> = passed.collect();
    let first = timeout_at(
        after_ms(PATIENCE_MS),
        stream.send_with_descriptors(&bytes, &passed),
    )
    .await;
    let Some(Ok(sent)) = first else {
        return "its welcome could not be sent".into();
    };
    drop(sockets);
    let mut rest = bytes.split_off(sent);
    let news = state.borrow().hot_restart.transfer_pending.clone();
    let mut said = Said::default();
    loop {
        match timeout_at(after_ms(PATIENCE_MS), stream.write_all(&rest)).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return error.to_string(),
            // What it does not read would gather here.
            None => return "it does not read".into(),
        }
        rest.clear();
        while !next_piece(state, &mut rest, &mut said) {
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

/// What is to be told next, in one piece; whether there is anything. All keys come before `End`,
/// then those that change.
fn next_piece(state: &SharedState, piece: &mut Vec<u8>, said: &mut Said) -> bool {
    let mut state = state.borrow_mut();
    let to_unix = state.clock.ahead_to_unix();
    while piece.len() < PIECE {
        let Some(message) = state.core.next_key_update(to_unix) else {
            break;
        };
        message::encode(&message, piece);
    }
    let stage = state.hot_restart.predecessor.phase();
    if state.hot_restart.predecessor.has_yielded() && !std::mem::replace(&mut said.yielded, true) {
        let member = state.membership.as_ref().map(|part| part.pass_on());
        message::encode(&Message::Yielded { membership: member }, piece);
    }
    if piece.is_empty() && !said.end && stage == Phase::Freeze {
        said.end = true;
        let (standby, share) = (state.core.is_standby(), state.core.required_memory_share());
        // What this process has taken of the memory beyond its half, its successor leaves to it.
        state.set_memory_share(Some(share));
        message::encode(
            &Message::SnapshotComplete {
                is_standby: standby,
                memory_share: share,
            },
            piece,
        );
    }
    state.hot_restart.unsent_bytes = piece.len();
    !piece.is_empty()
}

/// Listens to the successor until its end, or until it says what it may not; which.
async fn read(
    offer: &Rc<SuccessorListener>,
    reader: &mut Decoder,
    stream: &Async<UnixStream>,
) -> String {
    let mut bytes = [0; 512];
    loop {
        loop {
            let said = match reader.next_message() {
                Ok(Some(said)) => said,
                Ok(None) => break,
                Err(broken) => return broken.to_string(),
            };
            let act = offer
                .state
                .borrow_mut()
                .hot_restart
                .predecessor
                .handle_message(&said);
            if act == Action::Disconnect {
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

fn act_on(offer: &Rc<SuccessorListener>, act: Action) {
    let state = &offer.state;
    match act {
        Action::RestoreLimits => state.borrow_mut().set_memory_share(None),
        Action::FreezeKeys => {
            let mut state = state.borrow_mut();
            state.core.freeze_keys();
            state.hot_restart.transfer_pending.notify();
        }
        Action::UnfreezeKeys => state.borrow_mut().core.unfreeze_keys(),
        Action::Yield => {
            log("handover: done, the other process serves");
            offer.fronts.pause();
            state
                .borrow()
                .membership
                .iter()
                .for_each(|part| part.pause());
            offer.pass_on();
            state.borrow().hot_restart.transfer_pending.notify();
        }
        Action::Resume => {
            state
                .borrow_mut()
                .with_core(|core, now| core.distrust_unknown_keys(now));
            // Before the fronts: what it acts on may be stale by now, and nobody is to be let in
            // before that is known.
            let part = state.borrow().membership.clone();
            part.iter().for_each(|part| part.resume());
            offer.fronts.open();
            offer.open();
        }
        Action::Disconnect => {}
    }
}
