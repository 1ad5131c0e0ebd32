//! This process's own record: incarnations, refutation of suspicions, and conflicts between
//! processes that use one member name.

use crate::record::{Details, LoadReading, Record, Rival, ServiceState, State, MAX_RIVALS};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of remembered tokens of processes whose records were overridden.
const MAX_OVERRIDDEN_TOKENS: usize = 8;

/// Maximum number of member addresses that a process passes on at a hot restart.
pub const MAX_CONTACTS: usize = 32;

/// State that a process passes to its successor at a hot restart, so that both are one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeState {
    /// Last record of the process.
    pub record: Record,
    /// Addresses of some members.
    pub contacts: Vec<SocketAddr>,
}

impl ResumeState {
    /// Encodes the state.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types into memory cannot fail.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a state; `None` if the bytes are malformed or exceed a limit.
    pub fn decode(bytes: &[u8]) -> Option<ResumeState> {
        let state: ResumeState = postcard::from_bytes(bytes).ok()?;
        (state.record.is_valid() && state.contacts.len() <= MAX_CONTACTS).then_some(state)
    }
}

/// Effect of an update about this node's own name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SelfUpdateOutcome {
    /// The update is older than this node's record, or equal to it.
    Unchanged,
    /// The update claimed that this process is in this state. The record has a higher incarnation
    /// and has to be disseminated.
    Refuted(State),
    /// The record of an earlier process was overridden by a higher incarnation.
    Overridden,
    /// Another live process uses this name, and this process's record names it as a rival.
    Contested,
    /// Another live process uses this name, and its record, which names this process as a rival,
    /// stays in effect.
    Yielded,
}

/// Time of the latest evidence that a rival is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RivalContact {
    token: u64,
    at: Micros,
}

/// This process as a member: its record, and its conflicts with rivals.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalMember {
    /// Record of this process.
    pub record: Record,
    /// Record of a rival, while it is in effect instead of this process's record.
    overriding: Option<Record>,
    /// Tokens of processes whose records this one overrode, the latest last.
    overridden_tokens: Vec<u64>,
    rival_contacts: Vec<RivalContact>,
    is_leaving: bool,
}

impl LocalMember {
    /// Creates the member of a process that has just started. `token` identifies the process and
    /// is drawn at random. A record of an earlier process that is still in other members' views is
    /// overridden as soon as it is received.
    pub fn new(token: u64, address: SocketAddr, zone: &str) -> LocalMember {
        let details = Details {
            revision: 1,
            address,
            zone: zone.to_owned(),
            service_state: ServiceState::Starting,
            payload: Vec::new(),
            rivals: Vec::new(),
        };
        LocalMember::resumed(Record {
            incarnation: 1,
            token,
            state: State::Alive,
            details,
            load: LoadReading::default(),
        })
    }

    /// Creates the member of a process that continues its predecessor's record.
    pub fn resumed(record: Record) -> LocalMember {
        LocalMember {
            record,
            overriding: None,
            overridden_tokens: Vec::new(),
            rival_contacts: Vec::new(),
            is_leaving: false,
        }
    }

    /// Returns the record that is in effect under this name: that of this process, or that of a
    /// rival that names this process.
    pub fn effective_record(&self) -> &Record {
        self.overriding.as_ref().unwrap_or(&self.record)
    }

    /// Returns whether another live process uses this name.
    pub fn is_contested(&self) -> bool {
        self.overriding.is_some() || !self.record.details.rivals.is_empty()
    }

    /// Changes the details of the record, and returns whether they differ from before.
    pub fn update_details(&mut self, change: impl FnOnce(&mut Details)) -> bool {
        let previous = self.record.details.clone();
        change(&mut self.record.details);
        let is_changed = self.record.details != previous;
        self.record.details.revision = previous.revision + u64::from(is_changed);
        is_changed
    }

    /// Marks this member as leaving and sets the state of its record accordingly.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.record.state = State::Left;
    }

    /// Returns whether this member announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that a message arrived from a rival.
    pub fn record_rival_contact(&mut self, token: u64, now: Micros) {
        if let Some(contact) = self
            .rival_contacts
            .iter_mut()
            .find(|contact| contact.token == token)
        {
            contact.at = now;
        }
    }

    /// Returns the addresses of the rivals, which are probed.
    pub fn rival_addresses(&self) -> Vec<SocketAddr> {
        let rivals = self.record.details.rivals.iter();
        rivals.map(|rival| rival.address).collect()
    }

    /// Removes rivals without contact since `deadline`, and returns whether there were any.
    pub fn expire_rivals(&mut self, deadline: Micros) -> bool {
        let expired: Vec<u64> = self
            .rival_contacts
            .iter()
            .filter(|contact| contact.at < deadline)
            .map(|contact| contact.token)
            .collect();
        self.rival_contacts
            .retain(|contact| !expired.contains(&contact.token));
        self.update_details(|details| {
            details
                .rivals
                .retain(|rival| !expired.contains(&rival.token));
        })
    }

    /// Handles an update about this node's name.
    pub fn handle_update(&mut self, now: Micros, received: &Record) -> SelfUpdateOutcome {
        if received.token == self.record.token {
            return self.handle_update_of_this_process(received);
        }
        self.record_contact_from_update(received, now);
        if let Some(overriding) = &mut self.overriding {
            if overriding.token == received.token {
                overriding.merge(received);
            }
        }
        let effective = self.effective_record();
        if (received.incarnation, received.token) < (effective.incarnation, effective.token) {
            return SelfUpdateOutcome::Unchanged;
        }
        if received.state.is_active() && self.is_named_in(received) {
            return self.yield_to(received);
        }
        self.overriding = None;
        self.record.incarnation = received.incarnation + 1;
        if !received.state.is_active() {
            self.remove_rival(received.token);
            return SelfUpdateOutcome::Overridden;
        }
        if self.overridden_tokens.contains(&received.token) {
            self.name_rivals(received, now);
            return SelfUpdateOutcome::Contested;
        }
        // Most likely the record of an earlier process that crashed. That process is alive only if
        // its record is received again with a higher incarnation.
        self.overridden_tokens.push(received.token);
        if self.overridden_tokens.len() > MAX_OVERRIDDEN_TOKENS {
            self.overridden_tokens.remove(0);
        }
        SelfUpdateOutcome::Overridden
    }

    fn is_named_in(&self, record: &Record) -> bool {
        let mut rivals = record.details.rivals.iter();
        rivals.any(|rival| rival.token == self.record.token)
    }

    /// Puts the record of a rival that names this process into effect.
    fn yield_to(&mut self, received: &Record) -> SelfUpdateOutcome {
        let is_new = self
            .overriding
            .as_ref()
            .is_none_or(|overriding| overriding.token != received.token);
        let mut overriding = self.overriding.take().unwrap_or_else(|| received.clone());
        overriding.merge(received);
        self.overriding = Some(overriding);
        if is_new {
            SelfUpdateOutcome::Yielded
        } else {
            SelfUpdateOutcome::Unchanged
        }
    }

    /// Adds the process of the received record, and the rivals that the record names, to the
    /// rivals of this process.
    fn name_rivals(&mut self, received: &Record, now: Micros) {
        let own_token = self.record.token;
        let sender = Rival {
            token: received.token,
            address: received.details.address,
        };
        let rivals: Vec<Rival> = std::iter::once(sender)
            .chain(received.details.rivals.iter().cloned())
            .filter(|rival| rival.token != own_token)
            .collect();
        for rival in &rivals {
            let mut contacts = self.rival_contacts.iter();
            if !contacts.any(|contact| contact.token == rival.token) {
                self.rival_contacts.push(RivalContact {
                    token: rival.token,
                    at: now,
                });
            }
        }
        self.update_details(|details| {
            for rival in rivals {
                let is_known = details
                    .rivals
                    .iter()
                    .any(|known| known.token == rival.token);
                if !is_known && details.rivals.len() < MAX_RIVALS {
                    details.rivals.push(rival);
                }
            }
            details.rivals.sort();
        });
        let named = &self.record.details.rivals;
        self.rival_contacts
            .retain(|contact| named.iter().any(|rival| rival.token == contact.token));
    }

    /// Records contact with a rival whose record is higher than this process's record. Only the
    /// rival itself raises its incarnation, so such a record proves that the rival is alive.
    fn record_contact_from_update(&mut self, received: &Record, now: Micros) {
        if received.state.is_active()
            && (received.incarnation, received.token) > (self.record.incarnation, self.record.token)
        {
            self.record_rival_contact(received.token, now);
        }
    }

    fn remove_rival(&mut self, token: u64) {
        self.rival_contacts.retain(|contact| contact.token != token);
        self.update_details(|details| details.rivals.retain(|rival| rival.token != token));
    }

    fn handle_update_of_this_process(&mut self, received: &Record) -> SelfUpdateOutcome {
        if let Some(overriding) = &self.overriding {
            // The rival's record is in effect; refuting a claim with a lower incarnation would
            // contest the name again.
            if (received.incarnation, received.token) < (overriding.incarnation, overriding.token) {
                return SelfUpdateOutcome::Unchanged;
            }
            self.overriding = None;
        }
        if received.incarnation < self.record.incarnation {
            return SelfUpdateOutcome::Unchanged;
        }
        if self.is_outdated_by(received) {
            let is_state_claimed = received.state != self.record.state;
            let revision = self.record.details.revision.max(received.details.revision);
            self.record.incarnation = received.incarnation + u64::from(is_state_claimed);
            self.record.details.revision = revision + 1;
            return SelfUpdateOutcome::Overridden;
        }
        if received.state <= self.record.state || self.is_leaving {
            return SelfUpdateOutcome::Unchanged;
        }
        self.record.incarnation = received.incarnation + 1;
        SelfUpdateOutcome::Refuted(received.state)
    }

    /// Returns whether a record with this process's token is newer than this process's record: one
    /// of its predecessor at a hot restart, or a forged one.
    fn is_outdated_by(&self, received: &Record) -> bool {
        let own = &self.record;
        received.incarnation > own.incarnation
            || (received.details.revision > own.details.revision && received.details != own.details)
    }
}
