//! Who is left out, and who comes back.

use super::*;

impl<A: Clone + PartialEq + Hash> Pool<A> {
    /// Does what is due by now.
    pub fn tick(&mut self, now: Micros) {
        if now >= self.next_tick {
            for server in &mut self.servers {
                let address = || server.settings.address.clone();
                if server.behind && server.health.defer_probation(now) {
                    continue;
                }
                if server.health.tick(now)
                    && matches!(server.health.state(), MemberState::Probation { .. })
                {
                    self.notes.push(PoolEvent::ProbationStarted(address()));
                }
            }
            if self.distrusted.is_some_and(|until| now >= until) {
                self.distrusted = None;
                self.notes.push(PoolEvent::PanicEnded);
            }
            self.arrange(now);
        }
        if now >= self.judged + SECOND {
            self.judged = now;
            self.judge(now);
        }
    }

    /// Holds latencies against the pool's median.
    pub(super) fn judge(&mut self, now: Micros) {
        let (fade, typical) = (self.rules.latency_decay, self.typical);
        let mut all: Vec<f64> = self
            .usable
            .iter()
            .map(|&i| self.servers[i].latency(now, fade, typical))
            .collect();
        if all.len() < 3 {
            return;
        }
        all.sort_by(f64::total_cmp);
        let median = all[(all.len() - 1) / 2];
        for i in self.usable.clone() {
            let server = &self.servers[i];
            if let Some(why) = server
                .health
                .latency_outlier(server.latency(now, fade, typical), median)
            {
                self.take_out(now, i, why);
            }
        }
    }

    /// Takes a member out, unless too many would be.
    pub(super) fn take_out(&mut self, now: Micros, i: usize, why: EjectionReason) {
        if self.distrusted.is_some() {
            return;
        }
        let main = || {
            self.servers
                .iter()
                .filter(|s| s.enabled() && !s.settings.is_standby)
        };
        let (enabled, out) = (
            main().count(),
            main()
                .filter(|s| s.health.traffic_share(now) == 0.0)
                .count(),
        );
        // Spares that can bear a good part of the load are there for this.
        let weight = |s: &Server<A>| s.settings.weight;
        let spares = self
            .servers
            .iter()
            .filter(|s| s.enabled() && s.settings.is_standby);
        let spare: f64 = spares
            .filter(|s| s.health.traffic_share(now) > 0.0)
            .map(weight)
            .sum();
        let relieved =
            spare >= self.rules.max_ejected_ratio * main().map(weight).sum::<f64>() && spare > 0.0;
        let on_trial = matches!(
            self.servers[i].health.state(),
            MemberState::Probation { .. }
        );
        // Of a lone member nobody is better off without it.
        if !on_trial
            && !relieved
            && (out + 1) as f64 > self.rules.max_ejected_ratio * enabled as f64
        {
            self.distrusted = Some(now + self.rules.panic_duration);
            self.notes.push(PoolEvent::PanicStarted);
            return self.arrange(now);
        }
        let server = &mut self.servers[i];
        server.health.eject(now, why);
        if let MemberState::Ejected { until, .. } = server.health.state() {
            self.notes.push(PoolEvent::Ejected(
                server.settings.address.clone(),
                why,
                until - now,
            ));
        }
        self.arrange(now);
    }

    /// Members that are left out, or on trial.
    pub fn ejected_members(&self) -> impl Iterator<Item = &A> {
        let out = |s: &&Server<A>| {
            matches!(
                s.health.state(),
                MemberState::Ejected { .. } | MemberState::Probation { .. }
            )
        };
        self.servers
            .iter()
            .filter(|s| !s.gone)
            .filter(out)
            .map(|s| &s.settings.address)
    }

    /// Members that are left out, or on trial, as their runs failed.
    pub fn failing_members(&self) -> impl Iterator<Item = &A> {
        self.servers
            .iter()
            .filter(|s| !s.gone && s.health.is_ejected_for_failures())
            .map(|s| &s.settings.address)
    }

    /// Whether another node tries a member first that is left out.
    pub fn set_probe_deferred(&mut self, address: &A, behind: bool) {
        self.servers
            .iter_mut()
            .filter(|s| s.settings.address == *address)
            .for_each(|s| s.behind = behind);
    }

    /// Another node has found a member to be well: it is tried sooner here.
    pub fn hasten_probation(&mut self, now: Micros, address: &A) {
        let server = self
            .servers
            .iter_mut()
            .find(|s| s.settings.address == *address);
        if server.is_some_and(|s| s.health.shorten_ejection(now)) {
            self.arrange(now);
        }
    }
}
