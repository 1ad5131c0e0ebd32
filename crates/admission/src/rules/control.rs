//! The slow loop, and the way out.

use super::*;

impl Controller {
    pub(crate) fn leave(&mut self, left: Micros, out: &mut Vec<Action>) {
        let stop = self.now + (left - 2 * self.tick()).max(0);
        self.drain = Some(Drain {
            last_arrival: self.now + self.s.safety.drain_grace,
            stop,
        });
        for e in self.entries.values_mut() {
            e.due = e.due.min(stop);
        }
        out.push(Action::Health(false));
        if self.s.backpressure != BackpressureKind::Disabled {
            // The highest threshold, or no window and no share.
            out.push(Action::Backpressure(
                if self.s.backpressure == BackpressureKind::Threshold {
                    1.0
                } else {
                    0.0
                },
            ));
        }
    }

    /// The slow loop, a tenth of the shortest aim apart: thresholds, run limit, cut and level.
    pub(crate) fn control(&mut self, out: &mut Vec<Action>) {
        if self.now < self.next_control {
            return;
        }
        self.next_control = self.now + (0.1 * self.aim) as Micros;
        let (running, slot) = (self.on_cores(), self.run.slot);
        // Where nothing ends, runs wait for no disk: more of them would only be lost as well.
        let moves = (self.now - self.still.since) as f64 <= 3.0 * slot / running.max(1.0);
        let grows = moves && !self.held.is_empty();
        self.run.adjust(&self.s, self.now, self.core_use, grows);
        self.still.look(self.now, running, &self.s, slot, self.aim);
        let rates = [self.rate(), self.calls.rate(&self.s)];
        let age = self.now - self.born.unwrap_or(self.now);
        for (i, rate) in rates.into_iter().enumerate() {
            let count = self.line(i);
            let waiting = if i == 0 {
                self.held.len() as f64
            } else {
                count
            };
            self.gates[i].set(self.now, rate, self.aim, [count, waiting], age);
        }
        self.close_idle(out);
        let cut = if self.still.now {
            1.0
        } else {
            self.gates[0].cut
        };
        let level = match self.s.backpressure {
            BackpressureKind::Threshold => cut,
            BackpressureKind::Share => 1.0 - cut,
            BackpressureKind::Window => {
                (self.run.limit + self.gates[0].modes.onset) * (1.0 - cut) / self.s.callers.max(1.0)
            }
            BackpressureKind::Disabled => return,
        };
        // Small changes are not worth telling.
        if self.drain.is_none() && (level - self.told).abs() > 0.02 {
            self.told = level;
            out.push(Action::Backpressure(level));
        }
    }

    /// Idle connections fill the table, which takes of the cores and then shuts callers out. A
    /// caller back within half an aim is worth waiting for: connections beyond what that brings,
    /// and beyond four a core that do no harm, are of callers that aren't, and are closed sooner.
    /// With few callers none is closed.
    pub(crate) fn close_idle(&mut self, out: &mut Vec<Action>) {
        let useful = 0.5 * self.gates[0].arriving * self.aim / 1e6 + 4.0 * self.s.cores;
        let idle = if self.connections > useful {
            0.8 * self.idle
        } else {
            1.1 * self.idle
        };
        let idle = idle.max(0.5 * self.aim).min(self.s.max_keepalive as f64);
        if idle != self.idle {
            self.idle = idle;
            out.push(Action::CloseIdle(idle as Micros));
        }
    }
}
