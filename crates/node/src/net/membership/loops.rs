//! What reads, wakes and connects for the fleet, for as long as this process is the member.

use super::*;

pub(super) async fn datagrams(part: Rc<MembershipDriver>) {
    // One byte more than the longest that is read: what is cut off can't pass for whole.
    let mut bytes = vec![0; 64 << 10];
    loop {
        for _ in 0..TURN {
            match part.udp.receive(&mut bytes).await {
                Ok((length, _)) => {
                    part.count(|c| c.heard += 1);
                    let read = part.turn(|fleet, now| fleet.handle_datagram(now, &bytes[..length]));
                    let _ = read.map_err(|why| part.misunderstood("a datagram", &why));
                }
                // Word of a datagram that reached nobody, or no memory for one.
                Err(_) => {
                    Timer::at(after_ms(1)).await;
                }
            }
        }
        future::yield_now().await;
    }
}

pub(super) async fn wakes(part: Rc<MembershipDriver>) {
    loop {
        let seen = part.standing();
        let standing = part.steady.borrow_mut().observe(part.clock.now(), seen);
        let until = part.parts_until();
        part.turn(|fleet, now| {
            part.sharing
                .iter()
                .for_each(|sharing| sharing.turn(fleet, now, until));
            let mut payload = Vec::new();
            let (sharing, sessions) = (&part.sharing, &part.affinity);
            if part.versions.is_some() || sharing.is_some() || sessions.is_some() {
                payload.extend(part.acting().to_le_bytes());
            }
            if sharing.is_some() || sessions.is_some() {
                payload.push(sessions.as_ref().map_or(0, SessionAffinity::told));
            }
            sharing
                .iter()
                .for_each(|sharing| payload.extend(sharing.told()));
            if let Some(sessions) = sessions {
                sessions.look(now);
                sessions.note(now);
            }
            fleet.set_service_state(standing, &payload);
            if fleet.next_wakeup() <= now {
                fleet.handle_wakeup(now);
            }
        });
        let next = part.clock.instant(part.next.get()).min(after_ms(LOOK_MS));
        timeout_at(next, part.woken.wait()).await;
        future::yield_now().await;
    }
}

pub(super) async fn connections(part: Rc<MembershipDriver>) {
    loop {
        match part.tcp.accept().await {
            Ok((stream, _)) => {
                if part.sessions.get() >= MOST_SESSIONS {
                    continue;
                }
                let Ok(stream) = Async::<TcpStream>::new(stream) else {
                    continue;
                };
                part.sessions.set(part.sessions.get() + 1);
                let session = part.clone();
                let answering = async move {
                    session
                        .settle("a connection", stream, SyncSession::respond())
                        .await;
                    session.sessions.set(session.sessions.get() - 1);
                };
                part.executor.spawn(answering).detach();
            }
            // Out of descriptors: whoever could not get in comes again.
            Err(_) => {
                Timer::at(after_ms(50)).await;
            }
        }
    }
}

pub(super) async fn dials(part: Rc<MembershipDriver>) {
    loop {
        part.dial.wait().await;
        let Some(to) = part.turn(|fleet, _| fleet.take_sync_target()) else {
            continue;
        };
        let from = (!part.from.ip().is_unspecified()).then(|| part.from.ip());
        match timeout_at(
            after_ms(READ_MS),
            Async::<TcpStream>::connect_from(from, to),
        )
        .await
        {
            Some(Ok(stream)) => {
                let session = SyncSession::initiate(&part.fleet.borrow());
                part.settle("a member", stream, session).await;
            }
            _ => part.count(|c| c.broken += 1),
        }
    }
}

impl MembershipDriver {
    /// Makes two views equal over a connection, in pieces, and not for longer than it may take.
    async fn settle(&self, what: &str, stream: Async<TcpStream>, mut session: SyncSession) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut bytes = vec![0; 16 << 10];
        let settled = timeout_at(after_ms(SESSION_MS), async {
            loop {
                while let Some(piece) = self.turn(|fleet, now| session.next_chunk(fleet, now)) {
                    timeout_at(after_ms(READ_MS), stream.write_all(&piece))
                        .await?
                        .ok()?;
                    future::yield_now().await;
                }
                if session.is_complete() {
                    return Some(());
                }
                let read = timeout_at(after_ms(READ_MS), stream.read(&mut bytes))
                    .await?
                    .ok()
                    .filter(|n| *n > 0)?;
                if !self.active() {
                    return None;
                }
                let fed = self.turn(|fleet, now| session.handle_bytes(fleet, now, &bytes[..read]));
                fed.map_err(|why| self.misunderstood(what, &why)).ok()?;
                future::yield_now().await;
            }
        });
        let over = settled.await.flatten().is_some();
        self.count(|c| {
            (c.synced, c.broken) = (c.synced + u64::from(over), c.broken + u64::from(!over))
        });
    }
}
