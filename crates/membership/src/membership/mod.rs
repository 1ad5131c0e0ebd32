//! State machine of one node. Its inputs are times, datagrams and the node's own announcements; its
//! outputs are datagrams, requests for push-pull synchronization, and events.

use crate::config::MembershipConfig;
use crate::dissemination::DisseminationQueue;
use crate::event::{Event, EventBatch};
use crate::local_health::LocalHealth;
use crate::local_member::{LocalMember, ResumeState, MAX_CONTACTS};
use crate::members::Members;
use crate::record::{LoadReading, Record, ServiceState, State};
use crate::spare_capacity;
use crate::Micros;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

mod application;
mod convergence;
mod delay;
mod events;
mod inbound;
mod outbound;
mod probing;
mod reconnect;
mod suspicions;
mod timers;
mod transition;
mod updates;

pub use application::{ApplicationMessage, ReceivedMessage};
pub use outbound::OutboundDatagram;

use application::ApplicationChannel;
use convergence::Convergence;
use delay::DelayDetector;
use events::EventQueue;
use probing::Prober;
use reconnect::Reconnector;
use suspicions::SuspicionDeadline;

/// Minimum interval between two load readings of one member, in microseconds.
const MIN_LOAD_INTERVAL: Micros = 500_000;
/// Interval between load readings for each active member, in microseconds: the rate of all
/// readings together stays constant as the cluster grows.
const LOAD_INTERVAL_PER_MEMBER: Micros = 50_000;
/// Interval after which an unchanged priority cutoff above zero is announced again, in
/// microseconds, since receivers ignore old readings.
const LOAD_REFRESH_INTERVAL: Micros = 2_000_000;

/// A node's membership view and the protocol state that maintains it.
pub struct Membership {
    config: MembershipConfig,
    fleet_name: String,
    local_name: String,
    local: LocalMember,
    members: Members,
    rng: Rng,
    last_sequence: u32,
    health: LocalHealth,
    prober: Prober,
    reconnector: Reconnector,
    suspicion_deadlines: BTreeSet<SuspicionDeadline>,
    dissemination: DisseminationQueue,
    next_gossip_at: Micros,
    next_expiry_at: Micros,
    convergence: Convergence,
    /// Partition state as last reported by an event.
    reported_partitioned: bool,
    load_announced_at: Micros,
    delay_detector: DelayDetector,
    application: ApplicationChannel,
    outgoing: Vec<OutboundDatagram>,
    events: EventQueue,
}

impl Membership {
    /// Creates a view that contains only this node. `seed` seeds the random choices.
    pub fn new(
        config: MembershipConfig,
        fleet_name: &str,
        local_name: &str,
        local: LocalMember,
        seed: u64,
        now: Micros,
    ) -> Membership {
        let mut rng = Rng::with_seed(seed);
        let period = config.probe_interval;
        let first_probe_at = now + rng.i64(0..period);
        let mut members = Members::default();
        let record = local.effective_record().clone();
        members.insert(local_name, record, now, local_name);
        Membership {
            fleet_name: fleet_name.to_owned(),
            local_name: local_name.to_owned(),
            local,
            members,
            last_sequence: rng.u32(..),
            rng,
            health: LocalHealth::default(),
            prober: Prober::new(first_probe_at),
            reconnector: Reconnector::new(now, period),
            suspicion_deadlines: BTreeSet::new(),
            dissemination: DisseminationQueue::default(),
            next_gossip_at: now,
            next_expiry_at: now + period,
            convergence: Convergence::new(now),
            reported_partitioned: false,
            load_announced_at: now,
            delay_detector: DelayDetector::new(now),
            application: ApplicationChannel::default(),
            outgoing: Vec::new(),
            events: EventQueue::default(),
            config,
        }
    }

    /// Sets the seed addresses. A seed that is not the address of an active member is pinged
    /// periodically.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.reconnector.seeds = seeds;
    }

    /// Sets recent addresses of members; each is pinged once.
    pub fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.reconnector.contacts = contacts;
    }

    /// Returns the state for the process that succeeds this one at a hot restart.
    pub fn resume_state(&self) -> ResumeState {
        let contacts = self
            .members
            .iter()
            .filter(|(name, member)| {
                *name != self.local_name && member.record.state == State::Alive
            })
            .map(|(_, member)| member.record.details.address)
            .take(MAX_CONTACTS)
            .collect();
        ResumeState {
            record: self.local.record.clone(),
            contacts,
        }
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, config: MembershipConfig) {
        self.config = config;
    }

    /// Returns the configuration.
    pub fn config(&self) -> &MembershipConfig {
        &self.config
    }

    /// Returns the name of the fleet.
    pub fn fleet_name(&self) -> &str {
        &self.fleet_name
    }

    /// Returns the member name of this node.
    pub fn local_name(&self) -> &str {
        &self.local_name
    }

    /// Returns the table of members, including this node.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the record of this process.
    pub fn local_record(&self) -> &Record {
        &self.local.record
    }

    /// Returns the local health score: 0 for a healthy node, at most 8.
    pub fn local_health_score(&self) -> u32 {
        self.health.score()
    }

    /// Returns whether the view has converged: no member is suspected, and the digests last
    /// received from other members equal the digest of this view. A node with a seed other than
    /// itself must also have discovered a member: without any, there is no digest to compare.
    pub fn is_converged(&self) -> bool {
        let others = self.members.active_count().saturating_sub(1);
        let is_only_seed = || {
            let own_address = self.local.record.details.address;
            self.reconnector
                .seeds
                .iter()
                .all(|seed| *seed == own_address)
        };
        self.suspicion_deadlines.is_empty()
            && (self.convergence.has_discovered_member() || is_only_seed())
            && self.convergence.has_agreement(others)
    }

    /// Returns whether this node has no contact with a majority of the known members.
    pub fn is_partitioned(&self) -> bool {
        let known = self.members.known_count();
        known > 1 && 2 * self.members.active_count() <= known
    }

    /// Returns the digest of the view.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// Takes the datagrams to send.
    pub fn take_datagrams(&mut self) -> Vec<OutboundDatagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> EventBatch {
        self.events.take()
    }

    /// Returns whether push-pull synchronization with a member is due.
    pub fn has_sync_target(&self) -> bool {
        self.convergence.has_sync_target()
    }

    /// Takes the address of a member to synchronize with over a connection.
    pub fn take_sync_target(&mut self) -> Option<SocketAddr> {
        self.convergence.take_sync_target()
    }

    /// Announces the service state and the payload of this node.
    pub fn set_service_state(&mut self, service_state: ServiceState, payload: &[u8]) {
        let details = &self.local.record.details;
        if details.service_state == service_state && details.payload == payload {
            return;
        }
        let is_changed = self.local.update_details(|details| {
            details.service_state = service_state;
            details.payload = payload.to_vec();
        });
        if is_changed {
            self.publish_local_record();
        }
    }

    /// Announces the priority below which this node rejects requests, in 255ths. The rate of
    /// announcements is limited by the size of the cluster; a cutoff above zero is refreshed.
    pub fn report_load(&mut self, now: Micros, priority_cutoff: u8) {
        let previous = self.local.record.load;
        let active_count = self.members.active_count();
        let elapsed = now - self.load_announced_at;
        let interval = MIN_LOAD_INTERVAL.max(active_count as Micros * LOAD_INTERVAL_PER_MEMBER);
        let is_refresh_due = priority_cutoff > 0 && elapsed >= LOAD_REFRESH_INTERVAL.max(interval);
        if active_count <= spare_capacity::MAX_MEMBERS
            && elapsed >= interval
            && (priority_cutoff != previous.priority_cutoff || is_refresh_due)
        {
            self.load_announced_at = now;
            self.local.record.load = LoadReading {
                sequence: previous.sequence + 1,
                priority_cutoff,
            };
            self.publish_local_record();
        }
    }

    /// Announces that this node leaves, and gossips that to some members at once.
    pub fn leave(&mut self, now: Micros) {
        self.local.leave();
        self.publish_local_record();
        self.gossip_to_random_members(now, 2 * MembershipConfig::INDIRECT_PROBES);
    }

    /// Returns the number of members in each state, without tombstones.
    pub fn count_by_state(&self) -> BTreeMap<State, usize> {
        let mut counts = BTreeMap::new();
        for (_, member) in self.members.iter() {
            if !member.is_tombstone {
                *counts.entry(member.record.state).or_default() += 1;
            }
        }
        counts
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let member = self.members.get(name)?;
        Some(member.record.details.address)
    }

    /// Emits an event when contact with a majority is lost or regained.
    fn report_partition_change(&mut self) {
        let is_partitioned = self.is_partitioned();
        if std::mem::replace(&mut self.reported_partitioned, is_partitioned) != is_partitioned {
            self.events.push(Event::Partitioned(is_partitioned));
        }
    }
}
