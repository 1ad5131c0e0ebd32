//! Failure detection: probes that this node sends, and indirect probes that it relays for others.

use crate::config::MembershipConfig;
use crate::event::Cause;
use crate::membership::Membership;
use crate::message::{Body, Update};
use crate::probe::{IndirectProbe, Probe, ProbeOrigin, ProbeStep};
use crate::probe_schedule::ProbeSchedule;
use crate::record::{Record, State};
use crate::Micros;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of indirect probes relayed at one time.
const MAX_INDIRECT_PROBES: usize = 64;
/// Maximum number of members that are to be probed ahead of the schedule.
pub(super) const MAX_PRIORITY_TARGETS: usize = 8;

/// Probes in progress, and the targets of the next ones.
pub(super) struct Prober {
    pub(super) schedule: ProbeSchedule,
    pub(super) current: Option<Probe>,
    pub(super) next_probe_at: Micros,
    /// Members to probe ahead of the schedule.
    pub(super) priority_targets: VecDeque<String>,
    pub(super) indirect: Vec<IndirectProbe>,
}

impl Prober {
    pub(super) fn new(next_probe_at: Micros) -> Prober {
        Prober {
            schedule: ProbeSchedule::default(),
            current: None,
            next_probe_at,
            priority_targets: VecDeque::new(),
            indirect: Vec::new(),
        }
    }

    /// Abandons the current probe and repeats it at `next_probe_at`.
    pub(super) fn restart(&mut self, next_probe_at: Micros) {
        if let Some(probe) = self.current.take() {
            self.priority_targets.push_front(probe.name);
            self.priority_targets.truncate(MAX_PRIORITY_TARGETS);
        }
        self.next_probe_at = next_probe_at;
    }

    /// Returns when the next step of a probe is due.
    pub(super) fn next_step_at(&self) -> Micros {
        self.current.as_ref().map_or(self.next_probe_at, |probe| {
            probe.next_step_at().min(probe.period_end())
        })
    }

    /// Returns when the next nack for an indirect probe is due.
    pub(super) fn next_nack_at(&self) -> Option<Micros> {
        self.indirect
            .iter()
            .filter(|probe| !probe.is_nack_sent)
            .map(|probe| probe.nack_at)
            .min()
    }

    fn is_current(&self, sequence: u32, target: &str) -> bool {
        self.current
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence && probe.name == target)
    }

    fn take_indirect(&mut self, sequence: u32) -> Option<IndirectProbe> {
        let position = self
            .indirect
            .iter()
            .position(|probe| probe.sequence == sequence)?;
        Some(self.indirect.swap_remove(position))
    }
}

impl Membership {
    /// Takes the step of the current probe that is due, or starts the next probe.
    pub(super) fn run_probes(&mut self, now: Micros) {
        if !self.continue_probe(now) && now >= self.prober.next_probe_at {
            self.start_probe(now);
        }
    }

    /// Returns whether a probe is still in progress.
    fn continue_probe(&mut self, now: Micros) -> bool {
        let Some(mut probe) = self.prober.current.take() else {
            return false;
        };
        match probe.next_step(now) {
            ProbeStep::Wait if now < probe.period_end() => {}
            ProbeStep::Wait => return false,
            ProbeStep::Retry => self.send_ping(now, probe.sequence, &probe.name, probe.address),
            ProbeStep::PingReq => self.send_ping_reqs(now, &mut probe),
            ProbeStep::Failed => {
                self.handle_failed_probe(now, &probe);
                return false;
            }
        }
        self.prober.current = Some(probe);
        true
    }

    fn send_ping_reqs(&mut self, now: Micros, probe: &mut Probe) {
        probe.helpers = self.prober.schedule.random_members(
            MembershipConfig::INDIRECT_PROBES,
            &[&probe.name],
            &mut self.rng,
        );
        for helper in &probe.helpers {
            let Some(destination) = self.address_of(helper) else {
                continue;
            };
            let ping_req = Body::PingReq {
                sequence: probe.sequence,
                name: probe.name.clone(),
                address: probe.address,
            };
            self.send(now, destination, ping_req, None);
        }
    }

    fn start_probe(&mut self, now: Micros) {
        let Some(name) = self.next_probe_target() else {
            self.prober.next_probe_at = now + self.config.probe_interval;
            return;
        };
        let period = if self.config.lifeguard.local_health {
            self.health.scale(self.config.probe_interval)
        } else {
            self.config.probe_interval
        };
        self.prober.next_probe_at = now + period;
        let Some(address) = self.address_of(&name) else {
            return;
        };
        let sequence = self.next_sequence();
        self.send_ping(now, sequence, &name, address);
        self.prober.current = Some(Probe::new(now, period, sequence, name, address));
    }

    fn next_probe_target(&mut self) -> Option<String> {
        while let Some(name) = self.prober.priority_targets.pop_front() {
            let is_active = self
                .members
                .get(&name)
                .is_some_and(|member| member.record.state.is_active());
            if is_active && name != self.local_name {
                return Some(name);
            }
        }
        self.prober.schedule.next_target(&mut self.rng)
    }

    fn handle_failed_probe(&mut self, now: Micros, probe: &Probe) {
        // Helpers that sent no nack were not reached, or their nacks were lost: the fault may be
        // local.
        let missing_nacks = probe.helpers.len().saturating_sub(probe.nacks) as u32;
        self.health.degrade(if probe.helpers.is_empty() {
            1
        } else {
            missing_nacks
        });
        let Some(member) = self.members.get(&probe.name) else {
            return;
        };
        if !member.record.state.is_active() {
            return;
        }
        let suspicion = Update {
            name: probe.name.clone(),
            record: Record {
                state: State::Suspect,
                ..member.record.clone()
            },
            suspected_by: Some(self.local_name.clone()),
            state_age_seconds: 0,
        };
        let cause = Cause::ProbeFailed(probe.helpers.clone());
        self.handle_suspicion(now, &suspicion, cause);
    }

    /// Starts an indirect probe for the member that sent a ping-req.
    pub(super) fn start_indirect_probe(
        &mut self,
        now: Micros,
        origin: ProbeOrigin,
        name: &str,
        address: SocketAddr,
    ) {
        if self.prober.indirect.len() < MAX_INDIRECT_PROBES {
            let sequence = self.next_sequence();
            self.prober.indirect.push(IndirectProbe::new(
                now,
                self.config.probe_interval,
                sequence,
                origin,
            ));
            self.send_ping(now, sequence, name, address);
        }
    }

    /// Sends the nacks that are due and removes expired indirect probes.
    pub(super) fn run_indirect_probes(&mut self, now: Micros) {
        let mut nacked = Vec::new();
        for probe in &mut self.prober.indirect {
            if !probe.is_nack_sent && probe.nack_at <= now {
                probe.is_nack_sent = true;
                nacked.push(probe.origin);
            }
        }
        self.prober.indirect.retain(|probe| probe.expires_at > now);
        for origin in nacked {
            let nack = Body::Nack {
                sequence: origin.sequence,
            };
            self.send(now, origin.address, nack, None);
        }
    }

    /// Handles an ack: of the current probe, an indirect probe, or a reconnect attempt.
    pub(super) fn handle_ack(&mut self, now: Micros, sequence: u32, sender: &str) {
        let is_current_probe = self.prober.is_current(sequence, sender);
        if is_current_probe || self.reconnector.last_sequence == Some(sequence) {
            self.members
                .annotate(sender, |member| member.last_ack = Some(now));
        }
        if let Some(probe) = self.prober.take_indirect(sequence) {
            let ack = Body::IndirectAck {
                sequence: probe.origin.sequence,
            };
            self.send(now, probe.origin.address, ack, None);
        } else if is_current_probe {
            self.acknowledge_probe();
        }
    }

    pub(super) fn handle_indirect_ack(&mut self, sequence: u32) {
        let mut current = self.prober.current.iter();
        if current.any(|probe| probe.sequence == sequence) {
            self.acknowledge_probe();
        }
    }

    pub(super) fn handle_nack(&mut self, sequence: u32) {
        if let Some(probe) = &mut self.prober.current {
            if probe.sequence == sequence {
                probe.nacks += 1;
            }
        }
    }

    fn acknowledge_probe(&mut self) {
        if let Some(probe) = &mut self.prober.current {
            if probe.acknowledge() {
                self.health.improve();
            }
        }
    }
}
