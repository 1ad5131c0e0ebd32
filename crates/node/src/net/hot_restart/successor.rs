//! The side of the process that takes over: it meets the one before it, follows it, and serves in
//! its place.

use super::*;
use pipitlever_hot_restart::successor::{Action, ConnectionLoss, Phase, Successor};

/// A predecessor that has passed its sockets on.
pub struct PredecessorConnection {
    stream: Async<UnixStream>,
    peer: Peer,
    reader: Decoder,
    machine: Successor,
    /// What makes the digests of bodies the node's own.
    pub salt: Salt,
    /// The sockets.
    pub sockets: Vec<(Front, SocketAddr, Async<TcpListener>)>,
    /// Those of the fleet, if it is in one.
    pub fleet: Option<Sockets>,
}

/// Meets the process that this one takes over from, if there is one. An error is a process that is
/// there and can't be taken over from: it serves on.
pub async fn meet(
    place: &Path,
    name: &str,
    listen: SocketAddr,
) -> Result<Option<PredecessorConnection>, String> {
    let until = after_ms(LEAVING_MS);
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
            return Err(format!(
                "handover: {}: a process of another user listens there",
                place.display()
            ));
        };
        let stream = Async::<UnixStream>::new(stream).map_err(|e| format!("handover: {e}"))?;
        match timeout_at(after_ms(PATIENCE_MS), welcomed(&stream)).await {
            Some(Ok(Some((machine, reader, welcome, passed)))) => {
                let (sockets, fleet) = taken_over(&welcome, passed, name, listen)?;
                let salt = Salt(welcome.salt);
                return Ok(Some(PredecessorConnection {
                    stream,
                    peer,
                    reader,
                    machine,
                    salt,
                    sockets,
                    fleet,
                }));
            }
            // It leaves, died, or has another successor already.
            Some(Ok(None)) if Instant::now() < until => {
                Timer::at(after_ms(PAUSE_MS)).await;
            }
            Some(Ok(None)) => {
                return Err("handover: the process that is there turns this one away".into())
            }
            Some(Err(why)) => {
                return Err(format!(
                    "handover: the process that is there can't be understood: {why}"
                ))
            }
            None => return Err("handover: the process that is there says nothing".into()),
        }
    }
}

type Welcomed = (Successor, Decoder, Welcome, Vec<OwnedFd>);

async fn welcomed(stream: &Async<UnixStream>) -> Result<Option<Welcomed>, String> {
    let (mut machine, mut reader) = (Successor::connecting(), Decoder::default());
    if stream.write_all(&message::greeting()).await.is_err() {
        return Ok(None);
    }
    let (mut bytes, mut passed) = ([0; 4096], Vec::new());
    loop {
        match stream
            .receive_with_descriptors(&mut bytes, &mut passed)
            .await
        {
            Ok(n) if n > 0 => reader.feed(&bytes[..n]),
            _ => return Ok(None),
        }
        match reader.next_message().map_err(|broken| broken.to_string())? {
            None => {}
            Some(said) => {
                return match machine.handle_message(said) {
                    Ok(Action::AdoptSockets(welcome)) => {
                        Ok(Some((machine, reader, welcome, passed)))
                    }
                    Err(unexpected) => Err(unexpected.to_string()),
                    Ok(_) => Err("it does not say who it is".into()),
                }
            }
        }
    }
}

/// What came: the fronts' sockets, and the fleet's.
type TakenOver = (
    Vec<(Front, SocketAddr, Async<TcpListener>)>,
    Option<Sockets>,
);

/// The sockets that came, if they are those of this very node.
fn taken_over(
    welcome: &Welcome,
    passed: Vec<OwnedFd>,
    name: &str,
    listen: SocketAddr,
) -> Result<TakenOver, String> {
    let wrong = |what: String| Err(format!("handover: the process that is there {what}"));
    if welcome.node_name != name {
        return wrong(format!(
            "is of node {}, this one is {name}",
            welcome.node_name
        ));
    }
    if welcome.sockets.len() != passed.len() {
        return wrong("passes other sockets than it says".into());
    }
    let (mut sockets, mut udp, mut tcp) = (Vec::new(), None, None);
    for (said, passed) in welcome.sockets.iter().zip(passed) {
        if said.protocol == FLEET[0] {
            udp = Some(UdpSocket::from(passed));
            continue;
        }
        if said.protocol == FLEET[1] {
            tcp = Some(TcpListener::from(passed));
            continue;
        }
        let Some(front) = Front::from_name(&said.protocol) else {
            return wrong(format!("speaks {}", said.protocol));
        };
        let listener = TcpListener::from(passed);
        let at = listener
            .local_addr()
            .map_err(|e| format!("handover: no listening socket came: {e}"))?;
        if at != said.address || (front == Front::Gateway && at != listen) {
            return wrong(format!("listens on {at}"));
        }
        sockets.push((
            front,
            at,
            Async::<TcpListener>::new(listener).map_err(|e| format!("handover: {e}"))?,
        ));
    }
    Ok((sockets, udp.zip(tcp).map(|(udp, tcp)| Sockets { udp, tcp })))
}

impl PredecessorConnection {
    /// Takes over once this process is ready, and follows the predecessor to its end. An error
    /// means that this process is to end, and the other one serves on.
    pub async fn take_over(
        mut self,
        state: &SharedState,
        serve: impl Fn(Option<Vec<u8>>),
    ) -> Result<(), String> {
        self.follow(state, &serve).await?;
        // A connection can end while both live, and two must not serve.
        let dead =
            !self.machine.must_check_exit() || self.peer.died(Some(after_ms(DYING_MS))).await;
        match self.machine.handle_disconnect(dead) {
            ConnectionLoss::Abort => {
                return Err("handover: the process that is there has broken off".into())
            }
            ConnectionLoss::KeysComplete => log("handover: the process before this one has ended"),
            ConnectionLoss::KeysIncomplete | ConnectionLoss::NoPredecessor => {
                log("handover: the process before this one died before its keys were here: unknown keys wait for a window");
                state
                    .borrow_mut()
                    .with_core(|core, now| core.distrust_unknown_keys(now));
            }
        }
        state
            .borrow_mut()
            .with_core(|core, now| core.resolve_orphaned_keys(now));
        state.borrow_mut().set_memory_share(None);
        if !state.borrow().is_accepting {
            serve(None);
        }
        Ok(())
    }

    /// Until the connection ends, or the predecessor, which lives, can't be followed.
    async fn follow(
        &mut self,
        state: &SharedState,
        serve: &impl Fn(Option<Vec<u8>>),
    ) -> Result<(), String> {
        let mut bytes = vec![0; PIECE];
        let ready = async {
            while state.borrow().core.is_starting() {
                Timer::at(after_ms(5)).await;
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
        self.machine.handle_ready();
        let mut out = Vec::new();
        message::encode(&Message::Freeze, &mut out);
        let until = after_ms(PATIENCE_MS);
        loop {
            if !out.is_empty() {
                // Few bytes, which go out whole. If nobody is there, the end of the connection says
                // so.
                let _ = timeout_at(after_ms(PATIENCE_MS), self.stream.write_all(&out)).await;
                out.clear();
            }
            let read = match self.machine.phase() {
                Phase::Mirror => Some(self.stream.read(&mut bytes).await),
                _ => timeout_at(until, self.stream.read(&mut bytes)).await,
            };
            match read {
                Some(Ok(n)) if n > 0 => self.reader.feed(&bytes[..n]),
                Some(_) => return Ok(()),
                None => {
                    return Err("handover: the process that is there does not tell its keys".into())
                }
            }
            loop {
                let serving = self.machine.phase() == Phase::Mirror;
                let act = match self.reader.next_message() {
                    Ok(None) => break,
                    Ok(Some(said)) => self.machine.handle_message(said).map_err(|e| e.to_string()),
                    Err(error) => Err(error.to_string()),
                };
                match act {
                    // It serves by now, and must not end for what another process says.
                    Err(_) if serving => return Ok(()),
                    Err(why) => return Err(format!("handover: the process that is there: {why}")),
                    Ok(Action::AdoptSockets(_)) => {}
                    Ok(Action::ApplyKey(key)) => {
                        let mut state = state.borrow_mut();
                        let until = state.clock.of_unix(key.window_end);
                        state.with_core(|core, now| core.apply_transferred_key(now, key, until));
                    }
                    Ok(Action::ReleaseKey(key)) => {
                        state
                            .borrow_mut()
                            .with_core(|core, now| core.release_transferred_key(now, &key));
                    }
                    Ok(Action::ConfirmSnapshot {
                        is_standby: standby,
                        memory_share: share,
                    }) => {
                        let mut state = state.borrow_mut();
                        state.core.set_standby(standby);
                        // Something is left for this one even if the other one has it all.
                        state.set_memory_share(Some((1.0 - share).max(0.05)));
                        message::encode(&Message::SnapshotReceived, &mut out);
                    }
                    Ok(Action::Serve { membership: member }) => {
                        log("handover: taken over, this process serves");
                        serve(member);
                    }
                }
            }
        }
    }
}
