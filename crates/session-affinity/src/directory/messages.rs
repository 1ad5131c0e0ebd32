//! What the others say.

use super::{Peer, Resolution, SessionDirectory};
use crate::lookup::LookupResult;
use crate::message::{Entry, Message};
use crate::replicas::ReplicaSet;
use crate::table::MergeOutcome;
use crate::{Micros, Session};

impl SessionDirectory {
    /// The view of the fleet has changed, or has come to rest.
    pub fn handle_membership_change(&mut self, now: Micros, others: Vec<Peer>, settled: bool) {
        let me = std::iter::once((self.name.as_str(), self.fill.done()));
        let all: Vec<(&str, bool)> = others
            .iter()
            .filter(|p| p.name != self.name)
            .map(|p| (p.name.as_str(), p.is_bootstrapped))
            .chain(me)
            .collect();
        let homes = ReplicaSet::new(
            all.iter()
                .filter(|(_, filled)| *filled)
                .map(|(name, _)| *name),
        );
        self.coming = ReplicaSet::new(all.iter().map(|(name, _)| *name));
        let before = std::mem::replace(&mut self.homes, homes);
        if before != self.homes {
            self.spread(now, before);
        }
        let filled = others
            .into_iter()
            .filter(|p| p.is_bootstrapped && p.name != self.name)
            .map(|p| p.name);
        self.fill.view(filled.collect(), settled);
        self.filling(now);
    }

    /// A member said this.
    pub fn handle_message(&mut self, now: Micros, from: &str, message: &Message) {
        match message {
            Message::LookupRequest {
                time,
                ticket,
                session,
            } => {
                self.time.observe(now, *time);
                self.table.touch(now, *session);
                let placement = self.table.get(now, *session).map(|(p, _)| p);
                let (time, ticket, session) = (self.time.read(now), *ticket, *session);
                let answer = Message::LookupReply {
                    time,
                    ticket,
                    session,
                    placement,
                };
                self.out.push((from.to_owned(), answer.encode()));
            }
            Message::LookupReply {
                time,
                ticket,
                session,
                placement,
            } => {
                self.time.observe(now, *time);
                if let Some(settled) = self
                    .questions
                    .handle_reply(*ticket, from, *session, *placement)
                {
                    return self.settled(now, settled);
                }
                // A late one, or one that nobody waits for.
                let Some((ours, _)) = self.table.get(now, *session) else {
                    return;
                };
                match placement {
                    // The others may have what it takes the place of.
                    Some(theirs) if self.join(now, from, (*session, *theirs, 0)) => {
                        self.tell(now, *session, *theirs);
                    }
                    Some(_) => {}
                    // It should have it, and has not.
                    None => self.answer_with(now, from, vec![(*session, ours, 0)]),
                }
            }
            Message::Update {
                time,
                entries,
                ack_requested: owed,
            } => {
                self.time.observe(now, *time);
                self.fill.heard(now, from);
                for entry in entries {
                    let (session, placement, _) = *entry;
                    let mine = self.homes.is_replica(session, &self.name)
                        || self.coming.is_replica(session, &self.name);
                    // Strangers fill nobody's memory with what is not his to remember.
                    if mine || self.table.get(now, session).is_some() {
                        self.join(now, from, *entry);
                    }
                    if let Some(settled) = self.questions.resolve(session, placement) {
                        self.settled(now, settled);
                    }
                }
                let there = entries
                    .iter()
                    .map(|e| e.0)
                    .filter(|s| *owed && self.table.get(now, *s).is_some());
                let sessions: Vec<Session> = there.collect();
                if !sessions.is_empty() {
                    self.out
                        .push((from.to_owned(), Message::UpdateAck { sessions }.encode()));
                }
            }
            Message::UpdateAck { sessions } => sessions
                .iter()
                .for_each(|s| self.owed.acknowledge(*s, from)),
            Message::TransferRequest { token } => self.fill_other(now, from, *token),
            Message::TransferComplete { token } => {
                self.fill.answered(*token, from);
                self.filling(now);
            }
        }
    }

    /// Takes in what another one holds; if what is held here is older, that one hears of it.
    /// Whether it holds here from now on.
    fn join(&mut self, now: Micros, from: &str, entry: Entry) -> bool {
        let (session, placement, idle) = entry;
        let joined = self.table.merge(now, session, placement, idle);
        if let MergeOutcome::Superseded(ours) = joined {
            self.answer_with(now, from, vec![(session, ours, 0)]);
        }
        joined == MergeOutcome::Applied
    }

    fn answer_with(&mut self, now: Micros, to: &str, entries: Vec<Entry>) {
        let message = Message::Update {
            time: self.time.read(now),
            entries,
            ack_requested: false,
        };
        self.out.push((to.to_owned(), message.encode()));
    }

    /// A question is settled: those who wait hear of it.
    pub(super) fn settled(&mut self, now: Micros, settled: LookupResult) {
        let LookupResult {
            session,
            pool,
            waiting,
            placement,
            at,
        } = settled;
        let found = match placement {
            _ if pool >= self.pools.len() => Resolution::Unavailable,
            Some(placement) => {
                self.table.merge(now, session, placement, 0);
                // What is older may have been heard of meanwhile.
                let held = self.table.get(now, session).map_or(placement, |(p, _)| p);
                self.settle(now, pool, session, held)
            }
            None => self.known(now, pool, session, at),
        };
        self.found.extend(waiting.into_iter().map(|w| (w, found)));
    }
}
