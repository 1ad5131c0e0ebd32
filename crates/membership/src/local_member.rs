//! This node's own record: what it says when others hold it dead, and when another process goes by
//! its name.

use crate::record::{Details, Record, Rival, ServiceState, State, MAX_RIVALS};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Tokens of processes that were out-bid; a fleet that restarts for ever must not fill this.
const MOST_OUTBID: usize = 8;

/// Members that a process passes on to the one that goes on in its place.
pub const MAX_CONTACTS: usize = 32;

/// What one process of a node passes on to the next, so that the two are one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeState {
    /// What it said last of itself.
    pub record: Record,
    /// Where some members are.
    pub contacts: Vec<SocketAddr>,
}

impl ResumeState {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Into memory, which takes all that is written to it.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// What these bytes say, if one may hold it.
    pub fn decode(bytes: &[u8]) -> Option<ResumeState> {
        let passed: ResumeState = postcard::from_bytes(bytes).ok()?;
        (passed.record.is_valid() && passed.contacts.len() <= MAX_CONTACTS).then_some(passed)
    }
}

/// What comes of news about this node's own name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SelfUpdateOutcome {
    /// It is what this node says itself, or older.
    Unchanged,
    /// It lives: the record has a higher incarnation now, and is to be told.
    Refuted(State),
    /// Another process went by this name before, and this one has out-bid it.
    Superseded,
    /// Another process goes by this name, and lives. This one's record names it.
    Contested,
    /// Another process goes by this name, and its record names this one: both are known to all, and
    /// that is left so.
    Yielded,
}

/// This node, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalMember {
    /// Its record.
    pub record: Record,
    /// What others hold under this name while another process's word holds.
    other: Option<Record>,
    /// Processes whose record this one has out-bid before, the last ones.
    outbid: Vec<u64>,
    /// When each rival last gave a sign of its own.
    heard: Vec<(u64, Micros)>,
    leaving: bool,
}

impl LocalMember {
    /// A process that has just started. The token stands for it, and is drawn at random; what
    /// others remember of a process before it is out-bid as soon as it is heard of.
    pub fn new(token: u64, address: SocketAddr, zone: &str) -> LocalMember {
        let details = Details {
            revision: 1,
            address,
            zone: zone.to_owned(),
            service_state: ServiceState::Starting,
            payload: Vec::new(),
            rivals: Vec::new(),
        };
        let record = Record {
            incarnation: 1,
            token,
            state: State::Alive,
            details,
            load: (0, 0),
        };
        LocalMember {
            record,
            other: None,
            outbid: Vec::new(),
            heard: Vec::new(),
            leaving: false,
        }
    }

    /// A process that goes on where the one before it was.
    pub fn resumed(record: Record) -> LocalMember {
        LocalMember {
            record,
            other: None,
            outbid: Vec::new(),
            heard: Vec::new(),
            leaving: false,
        }
    }

    /// The record that holds under this name: this process's, or the one of another that names it
    /// as its rival.
    pub fn effective_record(&self) -> &Record {
        self.other.as_ref().unwrap_or(&self.record)
    }

    /// Whether another process goes by this name.
    pub fn is_contested(&self) -> bool {
        self.other.is_some() || !self.record.details.rivals.is_empty()
    }

    /// Changes what it says of itself; whether that is anything new.
    pub fn update_details(&mut self, change: impl FnOnce(&mut Details)) -> bool {
        let before = self.record.details.clone();
        change(&mut self.record.details);
        let new = self.record.details != before;
        self.record.details.revision = before.revision + u64::from(new);
        new
    }

    /// It leaves. From now on it says so.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.record.state = State::Left;
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// A rival gave a sign of its own.
    pub fn record_rival_contact(&mut self, token: u64, now: Micros) {
        if let Some(heard) = self.heard.iter_mut().find(|(t, _)| *t == token) {
            heard.1 = now;
        }
    }

    /// Rivals to be asked whether they are there.
    pub fn rival_addresses(&self) -> Vec<SocketAddr> {
        self.record
            .details
            .rivals
            .iter()
            .map(|r| r.address)
            .collect()
    }

    /// Lets go of rivals of which nothing was heard since then; whether there were any.
    pub fn expire_rivals(&mut self, since: Micros) -> bool {
        let silent: Vec<u64> = self
            .heard
            .iter()
            .filter(|(_, at)| *at < since)
            .map(|(t, _)| *t)
            .collect();
        self.heard.retain(|(t, _)| !silent.contains(t));
        self.update_details(|d| d.rivals.retain(|r| !silent.contains(&r.token)))
    }

    /// What others say of this name.
    pub fn handle_update(&mut self, now: Micros, said: &Record) -> SelfUpdateOutcome {
        if said.token == self.record.token {
            return self.of_this_process(said);
        }
        self.rival_heard_in(said, now);
        if let Some(other) = &mut self.other {
            // The one that holds may say something new, or have died.
            if other.token == said.token {
                other.merge(said);
            }
        }
        let held = self.effective_record().clone();
        if (said.incarnation, said.token) < (held.incarnation, held.token) {
            return SelfUpdateOutcome::Unchanged;
        }
        let names_this = said
            .details
            .rivals
            .iter()
            .any(|r| r.token == self.record.token);
        if said.state.is_active() && names_this {
            let new = self.other.as_ref().is_none_or(|o| o.token != said.token);
            let mut other = self.other.take().unwrap_or_else(|| said.clone());
            other.merge(said);
            self.other = Some(other);
            return if new {
                SelfUpdateOutcome::Yielded
            } else {
                SelfUpdateOutcome::Unchanged
            };
        }
        self.other = None;
        self.record.incarnation = said.incarnation + 1;
        if !said.state.is_active() {
            // Nobody is left to contest it.
            self.forget_rival(said.token);
            return SelfUpdateOutcome::Superseded;
        }
        let again = self.outbid.contains(&said.token);
        if !again {
            // The process before this one, most likely: it is dead, and what is left of it is its
            // record.
            self.outbid.push(said.token);
            if self.outbid.len() > MOST_OUTBID {
                self.outbid.remove(0);
            }
            return SelfUpdateOutcome::Superseded;
        }
        let own = self.record.token;
        let theirs = std::iter::once(Rival {
            token: said.token,
            address: said.details.address,
        });
        let theirs: Vec<Rival> = theirs.chain(said.details.rivals.iter().cloned()).collect();
        for rival in &theirs {
            if rival.token != own && !self.heard.iter().any(|(t, _)| *t == rival.token) {
                self.heard.push((rival.token, now));
            }
        }
        self.update_details(|d| {
            for rival in theirs {
                let known = d.rivals.iter().any(|r| r.token == rival.token);
                if rival.token != own && !known && d.rivals.len() < MAX_RIVALS {
                    d.rivals.push(rival);
                }
            }
            d.rivals.sort();
        });
        let named = &self.record.details.rivals;
        self.heard
            .retain(|(t, _)| named.iter().any(|r| r.token == *t));
        SelfUpdateOutcome::Contested
    }

    fn rival_heard_in(&mut self, said: &Record, now: Micros) {
        // What it says itself is higher than all that others say of it, so a higher one is a sign
        // of its own.
        if said.state.is_active()
            && (said.incarnation, said.token) > (self.record.incarnation, self.record.token)
        {
            self.record_rival_contact(said.token, now);
        }
    }

    fn forget_rival(&mut self, token: u64) {
        self.heard.retain(|(t, _)| *t != token);
        self.update_details(|d| d.rivals.retain(|r| r.token != token));
    }

    fn of_this_process(&mut self, said: &Record) -> SelfUpdateOutcome {
        let Record {
            incarnation,
            state,
            details,
            ..
        } = said;
        if let Some(other) = &self.other {
            // The one that names this process holds, and so do its numbers: to refute what is lower
            // would undo that.
            if (said.incarnation, said.token) < (other.incarnation, other.token) {
                return SelfUpdateOutcome::Unchanged;
            }
            self.other = None;
        }
        if *incarnation < self.record.incarnation {
            return SelfUpdateOutcome::Unchanged;
        }
        // Said by the process that this one goes on for, or by one that has copied its word.
        let revision = self.record.details.revision.max(details.revision);
        if *incarnation > self.record.incarnation
            || (revision > self.record.details.revision && *details != self.record.details)
        {
            self.record.incarnation = incarnation + u64::from(*state != self.record.state);
            self.record.details.revision = revision + 1;
            return SelfUpdateOutcome::Superseded;
        }
        if *state <= self.record.state || self.leaving {
            return SelfUpdateOutcome::Unchanged;
        }
        self.record.incarnation = incarnation + 1;
        SelfUpdateOutcome::Refuted(*state)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn own(token: u64) -> LocalMember {
        LocalMember::new(token, format!("127.0.0.1:{token}").parse().unwrap(), "")
    }

    #[test]
    fn it_refutes_once_and_old_news_does_nothing() {
        let mut a = own(1);
        let mut held = a.record.clone();
        held.state = State::Suspect;
        assert_eq!(
            a.handle_update(0, &held),
            SelfUpdateOutcome::Refuted(State::Suspect)
        );
        assert_eq!((a.record.incarnation, a.record.state), (2, State::Alive));
        held.state = State::Down;
        assert_eq!(
            a.handle_update(0, &held),
            SelfUpdateOutcome::Unchanged,
            "of the incarnation before"
        );
        held.incarnation = 2;
        assert_eq!(
            a.handle_update(0, &held),
            SelfUpdateOutcome::Refuted(State::Down)
        );
        a.leave();
        held.incarnation = 3;
        assert_eq!(
            a.handle_update(0, &held),
            SelfUpdateOutcome::Unchanged,
            "it leaves, and is gone soon"
        );
    }

    #[test]
    fn a_process_out_bids_the_one_before_it_and_names_none() {
        let (mut new, mut old) = (own(2), own(1));
        old.record.incarnation = 9;
        assert_eq!(
            new.handle_update(0, &old.record),
            SelfUpdateOutcome::Superseded
        );
        assert_eq!((new.record.incarnation, new.is_contested()), (10, false));
        // What was on its way still, and what comes of its death.
        assert_eq!(
            new.handle_update(0, &old.record),
            SelfUpdateOutcome::Unchanged
        );
        old.record.state = State::Down;
        assert_eq!(
            new.handle_update(0, &old.record),
            SelfUpdateOutcome::Unchanged
        );
    }

    /// All news goes round until nobody has any; how often somebody changed its word.
    fn settle(all: &mut [LocalMember]) -> usize {
        let mut changes = 0;
        loop {
            let mut new = false;
            for i in 0..all.len() {
                let said = all[i].effective_record().clone();
                for (j, other) in all.iter_mut().enumerate() {
                    if i != j {
                        let reply = other.handle_update(0, &said);
                        changes += usize::from(matches!(
                            reply,
                            SelfUpdateOutcome::Superseded | SelfUpdateOutcome::Contested
                        ));
                        new |= reply != SelfUpdateOutcome::Unchanged;
                    }
                }
            }
            assert!(changes < 50, "they fight");
            if !new {
                return changes;
            }
        }
    }

    #[test]
    fn two_or_more_that_live_under_one_name_are_all_named_and_nobody_fights() {
        for count in 2..=5 {
            let mut all: Vec<LocalMember> = (1..=count).map(own).collect();
            settle(&mut all);
            let held = all[0].effective_record().clone();
            assert!(
                all.iter().all(|o| *o.effective_record() == held),
                "{count}: {all:#?}"
            );
            let mut tokens: Vec<u64> = held.details.rivals.iter().map(|r| r.token).collect();
            tokens.push(held.token);
            tokens.sort();
            assert_eq!(tokens, (1..=count).collect::<Vec<_>>(), "all are named");
            assert!(all.iter().all(LocalMember::is_contested));
            // The one whose word holds dies: the next one's does.
            let dead = all
                .iter()
                .position(|o| o.record.token == held.token)
                .unwrap();
            all.remove(dead);
            let mut down = held.clone();
            down.state = State::Down;
            all.iter_mut().for_each(|o| {
                o.handle_update(0, &down);
            });
            settle(&mut all);
            let held = all[0].effective_record().clone();
            assert!(
                held.state == State::Alive && all.iter().all(|o| *o.effective_record() == held),
                "{count}"
            );
            assert!(
                !held.details.rivals.iter().any(|r| r.token == down.token),
                "{count}: {held:?}"
            );
        }
    }

    #[test]
    fn a_rival_that_is_silent_is_let_go() {
        let mut all = [own(1), own(2)];
        settle(&mut all);
        let winner = all
            .iter_mut()
            .find(|o| !o.record.details.rivals.is_empty())
            .unwrap();
        let rival = winner.record.details.rivals[0].token;
        winner.record_rival_contact(rival, 50);
        assert!(!winner.expire_rivals(50) && winner.is_contested());
        assert!(winner.expire_rivals(51) && !winner.is_contested());
    }
}
