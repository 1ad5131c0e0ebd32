//! Two views that differ are made equal over a connection: the one that connects says the digest of
//! each part of its view, the other one says which differ and tells its members of these, and gets
//! back what it had not, all in pieces.

use crate::members::{bucket, BUCKETS};
use crate::membership::Membership;
use crate::message::{
    encode_frame, encoded_length, DecodeError, Frame, FrameDecoder, Update, MAX_FRAME_BYTES,
};
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
pub struct SyncSession {
    /// It is the end that was connected to.
    answers: bool,
    stage: Stage,
    frames: FrameDecoder,
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

impl SyncSession {
    fn new(stage: Stage) -> SyncSession {
        let (told, left, out) = (BTreeMap::new(), VecDeque::new(), Vec::new());
        let answers = stage == Stage::Waiting;
        SyncSession {
            answers,
            stage,
            frames: FrameDecoder::default(),
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
    pub fn initiate(fleet: &Membership) -> SyncSession {
        let mut session = SyncSession::new(Stage::Asked);
        let digests = fleet.members().bucket_digests().to_vec();
        encode_frame(
            &mut session.out,
            fleet.fleet_name(),
            &Frame::BucketDigests {
                sender: fleet.local_update(),
                digests,
            },
        );
        session
    }

    /// The other end.
    pub fn respond() -> SyncSession {
        SyncSession::new(Stage::Waiting)
    }

    /// Who is at the other end, once it has said so.
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// Takes in what was read. After an error the connection is to end; what was learned before
    /// stays.
    pub fn handle_bytes(
        &mut self,
        fleet: &mut Membership,
        now: Micros,
        bytes: &[u8],
    ) -> Result<(), DecodeError> {
        self.frames.push(bytes);
        while let Some(said) = self.frames.next_frame(fleet.fleet_name())? {
            self.heard(fleet, now, said)?;
        }
        Ok(())
    }

    fn heard(
        &mut self,
        fleet: &mut Membership,
        now: Micros,
        said: Frame,
    ) -> Result<(), DecodeError> {
        match (self.stage, said) {
            (
                Stage::Waiting,
                Frame::BucketDigests {
                    sender: from,
                    digests,
                },
            ) if digests.len() == BUCKETS => {
                let ours = fleet.members().bucket_digests();
                let differ = (0..BUCKETS).filter(|i| ours[*i] != digests[*i]);
                self.parts = differ.fold(0, |bits, i| bits | 1 << i);
                encode_frame(
                    &mut self.out,
                    fleet.fleet_name(),
                    &Frame::DifferingBuckets {
                        sender: fleet.local_update(),
                        buckets: self.parts,
                    },
                );
                self.tell(fleet);
                self.stage = Stage::Told;
                // Behind the choice of what to tell: it must hold for what the other one had.
                self.met(fleet, now, from);
            }
            (
                Stage::Asked,
                Frame::DifferingBuckets {
                    sender: from,
                    buckets: parts,
                },
            ) => {
                self.parts = parts;
                self.stage = Stage::Told;
                self.met(fleet, now, from);
            }
            (Stage::Told, Frame::Members(members)) => {
                self.heard += members.len();
                if self.heard > 2 * fleet.config().max_members {
                    return Err(DecodeError::Malformed);
                }
                let peer = self.peer.clone().unwrap_or_default();
                for update in members {
                    fleet.handle_update(now, &update, &peer);
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
            _ => return Err(DecodeError::Malformed),
        }
        Ok(())
    }

    fn met(&mut self, fleet: &mut Membership, now: Micros, from: Update) {
        fleet.handle_update(now, &from, &from.name);
        self.peer = Some(from.name);
    }

    /// Has the members of the parts that differ told, but for those that the other end has told
    /// alike.
    fn tell(&mut self, fleet: &Membership) {
        let differs = |name: &str| self.parts >> bucket(name) & 1 == 1;
        let all = fleet.members().iter().filter(|(name, m)| {
            !m.is_tombstone
                && differs(name)
                && self.told.get(*name).is_none_or(|told| *told != m.record)
        });
        self.left = all.map(|(name, _)| name.to_owned()).collect();
        self.end = true;
    }

    /// What is to be written next, in pieces; nothing while it is the other end's turn.
    pub fn next_chunk(&mut self, fleet: &Membership, now: Micros) -> Option<Vec<u8>> {
        if self.out.is_empty() && self.end {
            let (mut members, mut size) = (Vec::new(), 0);
            while let Some(name) = self.left.front() {
                if let Some(update) = fleet.update_about(now, name) {
                    size += encoded_length(&update);
                    if size > MAX_FRAME_BYTES / 2 {
                        break;
                    }
                    members.push(update);
                }
                self.left.pop_front();
            }
            if members.is_empty() {
                self.end = false;
                encode_frame(&mut self.out, fleet.fleet_name(), &Frame::End);
            } else {
                encode_frame(&mut self.out, fleet.fleet_name(), &Frame::Members(members));
            }
        }
        (!self.out.is_empty()).then(|| std::mem::take(&mut self.out))
    }

    /// Whether all was heard and said.
    pub fn is_complete(&self) -> bool {
        self.stage == Stage::Over && !self.end && self.out.is_empty()
    }
}
