//! Two views that differ are made equal over a connection: the one that connects says the digest of
//! each part of its view, the other one says which differ and tells its members of these, and gets
//! back what it had not, all in pieces.

use crate::members::{part, PARTS};
use crate::message::{frame, length, Broken, Frame, Frames, Update, MOST_FRAME};
use crate::node::Fleet;
use crate::record::Record;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The one that connects has said its digests.
    Asked,
    /// The other one waits for them.
    Waiting,
    /// It is told members.
    Told,
    /// It has said all, and waits for nothing.
    Over,
}

/// One connection, at either end.
pub struct Session {
    /// It is the end that was connected to.
    answers: bool,
    stage: Stage,
    frames: Frames,
    /// Who is at the other end.
    peer: Option<String>,
    parts: u64,
    told: BTreeMap<String, Record>,
    /// Members that are still to be told.
    left: VecDeque<String>,
    /// `End` is still to be said.
    end: bool,
    out: Vec<u8>,
    heard: usize,
}

impl Session {
    fn new(stage: Stage) -> Session {
        let (told, left, out) = (BTreeMap::new(), VecDeque::new(), Vec::new());
        let answers = stage == Stage::Waiting;
        Session {
            answers,
            stage,
            frames: Frames::default(),
            peer: None,
            parts: 0,
            told,
            left,
            end: false,
            out,
            heard: 0,
        }
    }

    /// The end that connects.
    pub fn dial(fleet: &Fleet) -> Session {
        let mut session = Session::new(Stage::Asked);
        let digests = fleet.members().parts().to_vec();
        frame(
            &mut session.out,
            fleet.fleet(),
            &Frame::Parts {
                from: fleet.own(),
                digests,
            },
        );
        session
    }

    /// The other end.
    pub fn answer() -> Session {
        Session::new(Stage::Waiting)
    }

    /// Who is at the other end, once it has said so.
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// Takes in what was read. After an error the connection is to end; what was learned before
    /// stays.
    pub fn feed(&mut self, fleet: &mut Fleet, now: Micros, bytes: &[u8]) -> Result<(), Broken> {
        self.frames.feed(bytes);
        while let Some(said) = self.frames.next(fleet.fleet())? {
            self.heard(fleet, now, said)?;
        }
        Ok(())
    }

    fn heard(&mut self, fleet: &mut Fleet, now: Micros, said: Frame) -> Result<(), Broken> {
        match (self.stage, said) {
            (Stage::Waiting, Frame::Parts { from, digests }) if digests.len() == PARTS => {
                let ours = fleet.members().parts();
                let differ = (0..PARTS).filter(|i| ours[*i] != digests[*i]);
                self.parts = differ.fold(0, |bits, i| bits | 1 << i);
                frame(
                    &mut self.out,
                    fleet.fleet(),
                    &Frame::Differ {
                        from: fleet.own(),
                        parts: self.parts,
                    },
                );
                self.tell(fleet);
                self.stage = Stage::Told;
                // Behind the choice of what to tell: it must hold for what the other one had.
                self.met(fleet, now, from);
            }
            (Stage::Asked, Frame::Differ { from, parts }) => {
                self.parts = parts;
                self.stage = Stage::Told;
                self.met(fleet, now, from);
            }
            (Stage::Told, Frame::Members(members)) => {
                self.heard += members.len();
                if self.heard > 2 * fleet.rules().most_members {
                    return Err(Broken::Malformed);
                }
                let peer = self.peer.clone().unwrap_or_default();
                for update in members {
                    fleet.learn(now, &update, &peer);
                    self.told.insert(update.name, update.record);
                }
            }
            (Stage::Told, Frame::End) => {
                self.stage = Stage::Over;
                // The one that connected has its turn now; the other one has had it.
                if !self.answers {
                    self.tell(fleet);
                }
            }
            _ => return Err(Broken::Malformed),
        }
        Ok(())
    }

    fn met(&mut self, fleet: &mut Fleet, now: Micros, from: Update) {
        fleet.learn(now, &from, &from.name);
        self.peer = Some(from.name);
    }

    /// Has the members of the parts that differ told, but for those that the other end has told
    /// alike.
    fn tell(&mut self, fleet: &Fleet) {
        let differs = |name: &str| self.parts >> part(name) & 1 == 1;
        let all = fleet.members().iter().filter(|(name, m)| {
            !m.fading && differs(name) && self.told.get(*name).is_none_or(|told| *told != m.record)
        });
        self.left = all.map(|(name, _)| name.to_owned()).collect();
        self.end = true;
    }

    /// What is to be written next, in pieces; nothing while it is the other end's turn.
    pub fn piece(&mut self, fleet: &Fleet, now: Micros) -> Option<Vec<u8>> {
        if self.out.is_empty() && self.end {
            let (mut members, mut size) = (Vec::new(), 0);
            while let Some(name) = self.left.front() {
                if let Some(update) = fleet.update(now, name) {
                    size += length(&update);
                    if size > MOST_FRAME / 2 {
                        break;
                    }
                    members.push(update);
                }
                self.left.pop_front();
            }
            if members.is_empty() {
                self.end = false;
                frame(&mut self.out, fleet.fleet(), &Frame::End);
            } else {
                frame(&mut self.out, fleet.fleet(), &Frame::Members(members));
            }
        }
        (!self.out.is_empty()).then(|| std::mem::take(&mut self.out))
    }

    /// Whether all was heard and said.
    pub fn over(&self) -> bool {
        self.stage == Stage::Over && !self.end && self.out.is_empty()
    }
}
