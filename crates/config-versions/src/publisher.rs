//! Publishing: one attempt after the other to have a number decided, until it is, by this version
//! or another one.

use crate::message::{Ballot, Message};
use crate::version::{majority, Version};
use crate::Micros;
use std::collections::BTreeMap;

/// Requests are sent again after so long.
const AGAIN: Micros = 200_000;
/// After a refusal the next attempt begins so late, and up to as much later again, times the
/// attempts so far.
const BACK_OFF: Micros = 100_000;
/// The longest that this grows to.
const BACK_OFF_MOST: Micros = 2_000_000;

/// How it ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// This version was decided, for its number.
    Decided(Version),
    /// Another one was.
    Another(Version),
    /// A majority could not be heard in time. The number may still end up with this version or
    /// another one, or with none; these electors had accepted.
    Open(Vec<String>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// Who has promised, and what each has accepted.
    Preparing(BTreeMap<String, Option<(Ballot, Version)>>),
    /// What is to be accepted, and who has, with its floor.
    Accepting(Version, BTreeMap<String, u64>),
    /// Another attempt begins then.
    Waiting(Micros),
}

/// A version on its way to being decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    base: Version,
    /// What it would have decided. Without one it only ends what another one began.
    own: Option<Version>,
    ballot: Ballot,
    attempts: u32,
    stage: Stage,
    floor: u64,
    again: Micros,
    until: Micros,
}

/// What it says, to whom.
pub type Out = Vec<(String, Message)>;

impl Publisher {
    /// Begins with this attempt, which nobody has made before.
    pub fn new(
        base: Version,
        own: Option<Version>,
        ballot: Ballot,
        now: Micros,
        until: Micros,
    ) -> Publisher {
        Publisher {
            base,
            own,
            ballot,
            attempts: 0,
            stage: Stage::Preparing(BTreeMap::new()),
            floor: 0,
            again: now,
            until,
        }
    }

    /// When it wants to be woken.
    pub fn due(&self) -> Micros {
        match self.stage {
            Stage::Waiting(at) => at.min(self.until),
            _ => self.again.min(self.until),
        }
    }

    /// Whether it was refused and begins anew later.
    pub fn backs_off(&self) -> bool {
        matches!(self.stage, Stage::Waiting(_))
    }

    /// Its attempt.
    pub fn round(&self) -> u64 {
        self.ballot.round
    }

    /// The version that it builds on.
    pub fn base(&self) -> &Version {
        &self.base
    }

    /// Who has accepted so far.
    pub fn accepted(&self) -> Vec<String> {
        match &self.stage {
            Stage::Accepting(_, who) => who.keys().cloned().collect(),
            _ => Vec::new(),
        }
    }

    /// It is time: says what is not answered, or ends.
    pub fn wake(&mut self, now: Micros, out: &mut Out) -> Option<Outcome> {
        if now >= self.until {
            return Some(Outcome::Open(self.accepted()));
        }
        if matches!(self.stage, Stage::Waiting(at) if now >= at) {
            self.stage = Stage::Preparing(BTreeMap::new());
            self.again = now;
        }
        if now >= self.again && !matches!(self.stage, Stage::Waiting(_)) {
            self.again = now + AGAIN;
            self.tell(out);
        }
        None
    }

    fn tell(&self, out: &mut Out) {
        let (ballot, base) = (self.ballot.clone(), self.base.clone());
        match &self.stage {
            Stage::Preparing(heard) => {
                let message = Message::Prepare { ballot, base };
                let silent = self
                    .base
                    .electors
                    .iter()
                    .filter(|e| !heard.contains_key(*e));
                out.extend(silent.map(|e| (e.clone(), message.clone())));
            }
            Stage::Accepting(version, heard) => {
                let floor = self.floor;
                let message = Message::Accept {
                    ballot,
                    base,
                    version: version.clone(),
                    floor,
                };
                // Those of the next version too: a majority of both has it before it counts.
                let new = version
                    .electors
                    .iter()
                    .filter(|e| !self.base.electors.contains(e));
                let all = self.base.electors.iter().chain(new);
                let silent = all.filter(|e| heard.get(*e).is_none_or(|had| *had < floor));
                out.extend(silent.map(|e| (e.clone(), message.clone())));
            }
            Stage::Waiting(_) => {}
        }
    }

    /// Something was answered. `jitter` is a random number from 0 to 1.
    pub fn hear(
        &mut self,
        now: Micros,
        from: &str,
        message: &Message,
        jitter: f64,
        out: &mut Out,
    ) -> Option<Outcome> {
        match message {
            Message::Promise {
                ballot,
                accepted,
                floor,
                ..
            } if *ballot == self.ballot => {
                let Stage::Preparing(heard) = &mut self.stage else {
                    return None;
                };
                heard.insert(from.to_owned(), accepted.clone());
                self.floor = self.floor.max(*floor);
                if !majority(&self.base.electors, |e| heard.contains_key(e)) {
                    return None;
                }
                // What was accepted in the latest attempt may have been decided: nothing else can
                // be.
                let latest = heard
                    .values()
                    .flatten()
                    .max_by(|a, b| a.0.cmp(&b.0))
                    .map(|(_, v)| v.clone());
                let Some(version) = latest.or(self.own.clone()) else {
                    return Some(Outcome::Another(self.base.clone()));
                };
                self.stage = Stage::Accepting(version, BTreeMap::new());
                self.again = now + AGAIN;
                self.tell(out);
                None
            }
            Message::Accepted { ballot, floor, .. } if *ballot == self.ballot => {
                let Stage::Accepting(version, heard) = &mut self.stage else {
                    return None;
                };
                heard.insert(from.to_owned(), *floor);
                self.floor = self.floor.max(*floor);
                // What an old majority has closed, a new one has closed too, before it is one.
                let holds = |e: &str| heard.get(e).is_some_and(|had| *had >= self.floor);
                let decided = majority(&self.base.electors, |e| heard.contains_key(e))
                    && majority(&version.electors, holds);
                if !decided {
                    return None;
                }
                let version = version.clone();
                let all = self.base.electors.iter().chain(&version.electors);
                out.extend(all.map(|e| (e.clone(), Message::Decided(version.clone()))));
                Some(self.ended(version))
            }
            Message::Refused { ballot, promised }
                if *ballot == self.ballot && *promised > self.ballot =>
            {
                if matches!(self.stage, Stage::Waiting(_)) {
                    return None;
                }
                self.attempts += 1;
                self.ballot.round = promised.round + 1;
                let most = (BACK_OFF * Micros::from(self.attempts)).min(BACK_OFF_MOST);
                self.stage = Stage::Waiting(now + most + (most as f64 * jitter) as Micros);
                None
            }
            Message::Decided(version) if version.number > self.base.number => {
                Some(self.ended(version.clone()))
            }
            _ => None,
        }
    }

    fn ended(&self, version: Version) -> Outcome {
        match self.own.as_ref() == Some(&version) {
            true => Outcome::Decided(version),
            false => Outcome::Another(version),
        }
    }
}
