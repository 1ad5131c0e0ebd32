//! Timers: when the state machine has to run, and what is due then.

use crate::config::MembershipConfig;
use crate::event::Event;
use crate::membership::Membership;
use crate::Micros;

/// Interval between removals of expired members, in protocol periods. It is short, since views
/// differ until the last node has removed a member.
const EXPIRY_INTERVAL_PERIODS: Micros = 2;

impl Membership {
    /// Returns when [`Membership::handle_wakeup`] has to be called. Call this after each change:
    /// the delay detector compares the last returned time with the time of the next run.
    pub fn next_wakeup(&mut self) -> Micros {
        let wakeup = self.earliest_timer();
        self.delay_detector.set_expected_run(wakeup);
        wakeup
    }

    fn earliest_timer(&self) -> Micros {
        let has_gossip = !self.dissemination.is_empty() && !self.prober.schedule.is_empty();
        let timers = [
            self.prober.next_nack_at(),
            has_gossip.then_some(self.next_gossip_at),
            self.suspicion_deadlines.first().map(|deadline| deadline.at),
            Some(self.reconnector.next_attempt_at()),
            Some(self.next_expiry_at),
        ];
        timers
            .into_iter()
            .flatten()
            .fold(self.prober.next_step_at(), Micros::min)
    }

    /// Runs the timers that are due.
    pub fn handle_wakeup(&mut self, now: Micros) {
        self.detect_delay(now);
        self.run_probes(now);
        self.run_indirect_probes(now);
        self.expire_suspicions(now);
        self.run_reconnects(now);
        self.run_gossip(now);
        self.remove_expired_members(now);
        self.report_partition_change();
    }

    /// Detects that this process did not run when it should have. After a delay of more than half
    /// a period the local health degrades; after more than a period the current probe is repeated
    /// and suspicions are extended, since acks and refutations may be among unread datagrams.
    pub(super) fn detect_delay(&mut self, now: Micros) {
        let period = self.config.probe_interval;
        let Some(delay) = self.delay_detector.record_run(now, period / 2) else {
            return;
        };
        if self.config.lifeguard.local_health {
            self.health.degrade(1);
        }
        if delay <= period {
            return;
        }
        self.events.push(Event::LocalDelay(delay));
        self.prober.restart(now + period / 2);
        self.extend_suspicions(delay);
        self.convergence.invalidate();
    }

    /// Gossips the updates that are still queued because no other message has carried them.
    fn run_gossip(&mut self, now: Micros) {
        if self.dissemination.is_empty() || now < self.next_gossip_at {
            return;
        }
        self.next_gossip_at = now + self.config.gossip_interval();
        let recipients = self.prober.schedule.random_members(
            MembershipConfig::INDIRECT_PROBES,
            &[],
            &mut self.rng,
        );
        for name in recipients {
            if self.dissemination.is_empty() {
                return;
            }
            self.send_gossip(now, &name);
        }
    }

    /// Turns members whose retention has expired into tombstones, and removes expired tombstones.
    fn remove_expired_members(&mut self, now: Micros) {
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now + EXPIRY_INTERVAL_PERIODS * self.config.probe_interval;
        let expired = self.members.expired(now, self.config.retention);
        for name in expired.to_tombstone {
            self.members
                .update(&name, |member| member.is_tombstone = true);
            self.dissemination.remove(&name);
            self.convergence.invalidate();
            self.events.push(Event::Removed {
                name,
                evicted: false,
            });
        }
        for name in expired.to_remove {
            self.members.remove(&name);
        }
    }
}
