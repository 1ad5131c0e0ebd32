//! An elector: what it has promised and accepted, and what it answers. What it says rests on what
//! is on its disk, so each answer names the write that it waits for.

use crate::message::{Ballot, Beat, Message, Seal};
use crate::version::{majority, Version};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Closed versions, decided ones and the like, as an elector has them on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// The disk.
    pub seal: Seal,
    /// Starts of its process.
    pub start: u64,
    /// It heeds no attempt before this one.
    pub promised: Ballot,
    /// What it has accepted for the number after the newest, and in which attempt.
    pub accepted: Option<(Ballot, Version)>,
    /// The newest version that it knows was decided.
    pub newest: Version,
    /// No version below this one is to be acted on.
    pub floor: u64,
    /// The disks of other electors, as they were heard of last.
    pub others: BTreeMap<String, Seal>,
}

/// Whether it votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Voting {
    /// It has started and asks the others about its disk. These have found nothing wrong.
    Asks(BTreeSet<String>),
    /// It does.
    Yes,
    /// It must not: its disk is not the one that others remember.
    Never(Seal),
}

/// An elector.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Elector {
    name: String,
    kept: Kept,
    voting: Voting,
    /// The last write that was asked for.
    write: u64,
}

/// What it says, to whom, and after which write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Said {
    /// To whom.
    pub to: String,
    /// What.
    pub message: Message,
    /// Not before this write is on the disk.
    pub after: u64,
}

impl Elector {
    /// Starts with what is on the disk. If that is nothing, these are the electors, and this random
    /// number tells the disk from others. The first write is due at once: it has the number of this
    /// start.
    pub fn start(name: &str, kept: Option<Kept>, electors: &[String], token: u64) -> Elector {
        let mut kept = kept.unwrap_or_else(|| Kept {
            seal: Seal { token, count: 0 },
            start: 0,
            promised: Ballot::default(),
            accepted: None,
            newest: Version::genesis(electors),
            floor: 0,
            others: BTreeMap::new(),
        });
        kept.start += 1;
        Elector {
            name: name.to_owned(),
            kept,
            voting: Voting::Asks(BTreeSet::new()),
            write: 1,
        }
    }

    /// What is to be on the disk, and the number of that write.
    pub fn kept(&self) -> (&Kept, u64) {
        (&self.kept, self.write)
    }

    /// Whether it votes.
    pub fn voting(&self) -> &Voting {
        &self.voting
    }

    /// What it asks the others as long as it doesn't know whether its disk is right.
    pub fn asks(&self) -> Vec<Said> {
        let Voting::Asks(heard) = &self.voting else {
            return Vec::new();
        };
        let others = self
            .kept
            .newest
            .electors
            .iter()
            .filter(|e| **e != self.name && !heard.contains(*e));
        others
            .map(|to| {
                self.say(
                    to,
                    Message::Known {
                        seal: self.kept.seal,
                    },
                )
            })
            .collect()
    }

    /// That it lives; nothing while it doesn't vote, as what it has closed may be lost. To be sent
    /// after the write that is named.
    pub fn beat(&self, at: Micros) -> Option<(Beat, u64)> {
        let config = self
            .pending()
            .map_or(self.kept.newest.electors_since, |v| v.electors_since);
        let Kept { start, floor, .. } = self.kept;
        let beat = Beat {
            by: self.name.clone(),
            start,
            at,
            floor,
            config,
        };
        (self.voting == Voting::Yes).then_some((beat, self.write))
    }

    /// An attempt that nobody has made before: above all that this process has heeded, and no other
    /// start of it has the same. This start is on the disk once the first write is.
    pub fn ballot(&self) -> Ballot {
        Ballot {
            round: self.kept.promised.round + 1,
            by: self.name.clone(),
            start: self.kept.start,
        }
    }

    /// What it has accepted and nobody has said to be decided.
    pub fn pending(&self) -> Option<&Version> {
        self.kept.accepted.as_ref().map(|(_, v)| v)
    }

    fn say(&self, to: &str, message: Message) -> Said {
        Said {
            to: to.to_owned(),
            message,
            after: self.write,
        }
    }

    /// A vote was cast: it is written, and the other electors are to remember that.
    fn vote(&mut self, said: &mut Vec<Said>) {
        self.kept.seal.count += 1;
        self.write += 1;
        let others = self
            .kept
            .newest
            .electors
            .iter()
            .filter(|e| **e != self.name);
        said.extend(others.map(|to| self.say(to, Message::Sealed(self.kept.seal))));
    }

    /// A version was decided.
    pub fn decided(&mut self, version: &Version) {
        if version.number > self.kept.newest.number {
            self.kept.newest = version.clone();
            if self
                .kept
                .accepted
                .as_ref()
                .is_some_and(|(_, v)| v.number <= version.number)
            {
                self.kept.accepted = None;
            }
            // Not synced for its own sake: it is told again.
            self.write += 1;
        }
    }

    fn remember(&mut self, from: &str, seal: Seal) {
        let before = self.kept.others.get(from).copied().unwrap_or_default();
        // What was decided without it would not matter, so a disk that is new counts as soon as its
        // elector votes.
        if seal != before && (seal.token != before.token || seal.count > before.count) {
            self.kept.others.insert(from.to_owned(), seal);
            self.write += 1;
        }
    }

    /// Whether the sender builds on what this one knows, which learns of a newer base first.
    fn same_base(&mut self, from: &str, base: &Version, said: &mut Vec<Said>) -> bool {
        self.decided(base);
        if base.number < self.kept.newest.number {
            said.push(self.say(from, Message::Decided(self.kept.newest.clone())));
            return false;
        }
        true
    }

    /// Something was said to it. `has` tells whether a content is here: none is accepted that can't
    /// be handed on.
    pub fn hear(
        &mut self,
        from: &str,
        message: &Message,
        has: impl Fn(&Version) -> bool,
    ) -> Vec<Said> {
        let mut said = Vec::new();
        match message {
            Message::Prepare { ballot, base } => {
                if self.voting == Voting::Yes && self.same_base(from, base, &mut said) {
                    if *ballot < self.kept.promised {
                        said.push(self.refuse(from, ballot));
                    } else {
                        if *ballot > self.kept.promised {
                            self.kept.promised = ballot.clone();
                            self.vote(&mut said);
                        }
                        let Kept {
                            accepted,
                            floor,
                            seal,
                            ..
                        } = &self.kept;
                        let (accepted, floor, seal) = (accepted.clone(), *floor, *seal);
                        said.push(self.say(
                            from,
                            Message::Promise {
                                ballot: ballot.clone(),
                                accepted,
                                floor,
                                seal,
                            },
                        ));
                    }
                }
            }
            Message::Accept {
                ballot,
                base,
                version,
                floor,
            } => {
                if self.voting == Voting::Yes && self.same_base(from, base, &mut said) {
                    if *ballot < self.kept.promised {
                        said.push(self.refuse(from, ballot));
                    } else if has(version) {
                        let new = Some((ballot.clone(), version.clone()));
                        if self.kept.accepted != new || *floor > self.kept.floor {
                            self.kept.promised = ballot.clone();
                            self.kept.accepted = new;
                            self.kept.floor = self.kept.floor.max(*floor);
                            self.vote(&mut said);
                        }
                        let Kept { floor, seal, .. } = self.kept;
                        said.push(self.say(
                            from,
                            Message::Accepted {
                                ballot: ballot.clone(),
                                floor,
                                seal,
                            },
                        ));
                    }
                }
            }
            Message::Close { floor, newest } => {
                self.decided(newest);
                if self.voting == Voting::Yes && *floor <= self.kept.newest.number {
                    if *floor > self.kept.floor {
                        self.kept.floor = *floor;
                        self.vote(&mut said);
                    }
                    let (pending, seal) = (self.pending().cloned(), self.kept.seal);
                    said.push(self.say(
                        from,
                        Message::Closed {
                            floor: self.kept.floor,
                            pending,
                            seal,
                        },
                    ));
                }
            }
            Message::Known { seal } => {
                let of = self.kept.others.get(from).copied().unwrap_or_default();
                if of == Seal::default() {
                    self.remember(from, *seal);
                }
                said.push(self.say(
                    from,
                    Message::Remembered {
                        of,
                        newest: self.kept.newest.clone(),
                    },
                ));
            }
            Message::Remembered { of, newest } => {
                self.decided(newest);
                let ours = self.kept.seal;
                let Voting::Asks(heard) = &mut self.voting else {
                    return said;
                };
                if *of != Seal::default() && (of.token != ours.token || of.count > ours.count) {
                    self.voting = Voting::Never(*of);
                    return said;
                }
                heard.insert(from.to_owned());
                let enough = |e: &str| e == self.name || heard.contains(e);
                if majority(&self.kept.newest.electors, enough) {
                    self.voting = Voting::Yes;
                }
            }
            Message::Sealed(seal)
            | Message::Promise { seal, .. }
            | Message::Accepted { seal, .. }
            | Message::Closed { seal, .. } => self.remember(from, *seal),
            Message::Decided(version) => self.decided(version),
            Message::Refused { .. }
            | Message::Which
            | Message::Clock { .. }
            | Message::ClockIs { .. }
            | Message::Floor { .. }
            | Message::FloorIs { .. } => {}
        }
        said
    }

    fn refuse(&self, to: &str, ballot: &Ballot) -> Said {
        self.say(
            to,
            Message::Refused {
                ballot: ballot.clone(),
                promised: self.kept.promised.clone(),
            },
        )
    }
}
