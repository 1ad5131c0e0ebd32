//! Anti-entropy push-pull synchronization of two tables over a connection. The initiator sends the
//! digest of each bucket; the responder answers with the set of differing buckets and its members
//! of these; the initiator then sends those members that the responder does not have. Members
//! travel in frames of bounded size.

use crate::members::{bucket, BUCKETS};
use crate::membership::Membership;
use crate::message::{
    encode_frame, encoded_length, DecodeError, Frame, FrameDecoder, Update, MAX_FRAME_BYTES,
};
use crate::record::Record;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Maximum size of the members in one frame, in bytes.
const MAX_MEMBERS_BYTES: usize = MAX_FRAME_BYTES / 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Initiator,
    Responder,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The initiator sent its digests.
    AwaitingBuckets,
    /// The responder waits for the digests.
    AwaitingDigests,
    /// The peer sends members.
    Receiving,
    /// The peer has sent all its members.
    ReceivedAll,
}

/// One end of a push-pull synchronization.
pub struct SyncSession {
    role: Role,
    phase: Phase,
    decoder: FrameDecoder,
    peer: Option<String>,
    differing_buckets: u64,
    /// Records received from the peer, which are not sent back.
    received: BTreeMap<String, Record>,
    received_count: usize,
    /// Names of members that are still to be sent.
    unsent: VecDeque<String>,
    /// Whether `End` is still to be sent.
    is_end_pending: bool,
    outgoing: Vec<u8>,
}

impl SyncSession {
    fn new(role: Role, phase: Phase) -> SyncSession {
        SyncSession {
            role,
            phase,
            decoder: FrameDecoder::default(),
            peer: None,
            differing_buckets: 0,
            received: BTreeMap::new(),
            received_count: 0,
            unsent: VecDeque::new(),
            is_end_pending: false,
            outgoing: Vec::new(),
        }
    }

    /// Creates the end that opened the connection.
    pub fn initiate(membership: &Membership) -> SyncSession {
        let mut session = SyncSession::new(Role::Initiator, Phase::AwaitingBuckets);
        let digests = Frame::BucketDigests {
            sender: membership.local_update(),
            digests: membership.members().bucket_digests().to_vec(),
        };
        encode_frame(&mut session.outgoing, membership.fleet_name(), &digests);
        session
    }

    /// Creates the end that accepted the connection.
    pub fn respond() -> SyncSession {
        SyncSession::new(Role::Responder, Phase::AwaitingDigests)
    }

    /// Returns the name of the peer, once its first frame has arrived.
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// Handles bytes read from the connection.
    ///
    /// # Errors
    ///
    /// Fails if the peer sends a malformed or unexpected frame, or more members than the limit.
    /// The connection then has to be closed; updates already applied are not undone.
    pub fn handle_bytes(
        &mut self,
        membership: &mut Membership,
        now: Micros,
        bytes: &[u8],
    ) -> Result<(), DecodeError> {
        self.decoder.push(bytes);
        while let Some(frame) = self.decoder.next_frame(membership.fleet_name())? {
            self.handle_frame(membership, now, frame)?;
        }
        Ok(())
    }

    fn handle_frame(
        &mut self,
        membership: &mut Membership,
        now: Micros,
        frame: Frame,
    ) -> Result<(), DecodeError> {
        match (self.phase, frame) {
            (Phase::AwaitingDigests, Frame::BucketDigests { sender, digests })
                if digests.len() == BUCKETS =>
            {
                self.handle_digests(membership, now, sender, &digests);
            }
            (Phase::AwaitingBuckets, Frame::DifferingBuckets { sender, buckets }) => {
                self.differing_buckets = buckets;
                self.phase = Phase::Receiving;
                self.set_peer(membership, now, sender);
            }
            (Phase::Receiving, Frame::Members(members)) => {
                self.handle_members(membership, now, members)?;
            }
            (Phase::Receiving, Frame::End) => {
                self.phase = Phase::ReceivedAll;
                // The responder has sent its members already.
                if self.role == Role::Initiator {
                    self.queue_members(membership);
                }
            }
            _ => return Err(DecodeError::Malformed),
        }
        Ok(())
    }

    fn handle_digests(
        &mut self,
        membership: &mut Membership,
        now: Micros,
        sender: Update,
        digests: &[u64],
    ) {
        let own_digests = membership.members().bucket_digests();
        self.differing_buckets = (0..BUCKETS)
            .filter(|bucket| own_digests[*bucket] != digests[*bucket])
            .fold(0, |bits, bucket| bits | 1 << bucket);
        let differing = Frame::DifferingBuckets {
            sender: membership.local_update(),
            buckets: self.differing_buckets,
        };
        encode_frame(&mut self.outgoing, membership.fleet_name(), &differing);
        self.queue_members(membership);
        self.phase = Phase::Receiving;
        // The sender's record is applied last: the queued members have to match the digests that
        // were compared.
        self.set_peer(membership, now, sender);
    }

    fn handle_members(
        &mut self,
        membership: &mut Membership,
        now: Micros,
        members: Vec<Update>,
    ) -> Result<(), DecodeError> {
        self.received_count += members.len();
        if self.received_count > 2 * membership.config().max_members {
            return Err(DecodeError::Malformed);
        }
        let peer = self.peer.clone().unwrap_or_default();
        for update in members {
            membership.handle_update(now, &update, &peer);
            self.received.insert(update.name, update.record);
        }
        Ok(())
    }

    fn set_peer(&mut self, membership: &mut Membership, now: Micros, sender: Update) {
        membership.handle_update(now, &sender, &sender.name);
        self.peer = Some(sender.name);
    }

    /// Queues the members of the differing buckets, except those that the peer sent with the same
    /// record.
    fn queue_members(&mut self, membership: &Membership) {
        let is_in_differing_bucket = |name: &str| self.differing_buckets >> bucket(name) & 1 == 1;
        self.unsent = membership
            .members()
            .iter()
            .filter(|(name, member)| {
                let received = self.received.get(*name);
                !member.is_tombstone
                    && is_in_differing_bucket(name)
                    && received.is_none_or(|record| *record != member.record)
            })
            .map(|(name, _)| name.to_owned())
            .collect();
        self.is_end_pending = true;
    }

    /// Returns the bytes to write next; `None` while waiting for the peer.
    pub fn next_chunk(&mut self, membership: &Membership, now: Micros) -> Option<Vec<u8>> {
        if self.outgoing.is_empty() && self.is_end_pending {
            let members = self.take_members(membership, now);
            let frame = if members.is_empty() {
                self.is_end_pending = false;
                Frame::End
            } else {
                Frame::Members(members)
            };
            encode_frame(&mut self.outgoing, membership.fleet_name(), &frame);
        }
        (!self.outgoing.is_empty()).then(|| std::mem::take(&mut self.outgoing))
    }

    /// Takes queued members for one frame.
    fn take_members(&mut self, membership: &Membership, now: Micros) -> Vec<Update> {
        let (mut members, mut size) = (Vec::new(), 0);
        while let Some(name) = self.unsent.front() {
            if let Some(update) = membership.update_about(now, name) {
                size += encoded_length(&update);
                if size > MAX_MEMBERS_BYTES {
                    break;
                }
                members.push(update);
            }
            self.unsent.pop_front();
        }
        members
    }

    /// Returns whether both ends have sent all their members.
    pub fn is_complete(&self) -> bool {
        self.phase == Phase::ReceivedAll && !self.is_end_pending && self.outgoing.is_empty()
    }
}
