//! What is due at a time: the module's timers, answers, calls and gauges.

use super::*;

impl Core {
    /// When [`Core::handle_wakeup`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let own = self.wakes.first().map(|w| w.0);
        [own, self.store_next()].into_iter().flatten().min()
    }

    /// Does what is due by now.
    pub fn handle_wakeup(&mut self, now: Micros) {
        self.keys.expire(now);
        self.store_wake(now);
        while let Some(&(at, wake)) = self.wakes.first().filter(|w| w.0 <= now) {
            self.wakes.pop_first();
            match wake {
                Wake::Gauges => self.effects.push(Effect::QueryGauges),
                Wake::Timer(tag) => {
                    let known = now - self.gauges.0 <= GAUGE_AGE;
                    let g = match known {
                        _ if self.counted => self.counted_gauges(),
                        true => self.gauges.1,
                        false => Gauges::default(),
                    };
                    let Gauges {
                        core_use,
                        on_cores,
                        memory_use,
                        connections,
                    } = g;
                    self.tell(
                        now,
                        Event::Timer {
                            tag,
                            cpu_utilization: core_use,
                            runnable: on_cores,
                            memory_utilization: memory_use,
                            connections,
                        },
                    );
                }
                Wake::Due(id) => self.due(now, id),
                Wake::TurnedAway(id) => self.turned_away(now, id),
                Wake::Call(id) => {
                    let Some(a) = self.attempts.get(&id) else {
                        continue;
                    };
                    let Stage::Running {
                        call: Some(call), ..
                    } = &a.stage
                    else {
                        continue;
                    };
                    if call.placed.is_some() {
                        let reference = a.incoming.reference;
                        self.effects.push(Effect::CancelCall { reference });
                        self.handle_call_finished(
                            at.max(now),
                            reference,
                            Outcome::TimedOut,
                            Rc::from([]),
                        );
                    }
                }
            }
        }
    }

    /// Each worker serves one request at a time, so the runs in their hands are the cores in use.
    pub(super) fn counted_gauges(&self) -> Gauges {
        let runs = self.table_sizes().running as f64;
        let core_use = Some((runs / self.settings.cores.max(1.0)).min(1.0));
        Gauges {
            core_use,
            on_cores: Some(runs),
            ..Gauges::default()
        }
    }

    /// The processor's gauges.
    pub fn update_gauges(&mut self, now: Micros, gauges: Gauges) {
        self.gauges = (now, gauges);
    }

    /// The module answers what is due; should it ever not, the request still gets its answer.
    pub(super) fn due(&mut self, now: Micros, id: RequestId) {
        if self.attempts.get(&id).is_none_or(|a| a.origin.is_none()) {
            return;
        }
        self.step(now, &[]);
        self.pump(now);
        let Some(attempt) = self.attempts.get(&id).filter(|a| a.origin.is_some()) else {
            return;
        };
        let held = matches!(attempt.stage, Stage::Held);
        self.answer(id, Answer::Failed { timed_out: true }, By::Overdue);
        if held {
            self.close(id);
        }
        self.tell(now, Event::Abandoned(id));
    }
}
