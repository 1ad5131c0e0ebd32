//! Handles notices from the processor.

use super::NodeState;
use pipitlever_admission::Micros;
use pipitlever_core::{Gauges, RejectedCommand, RunOutcome};
use pipitlever_wire::processor::{self, CommandKind, GaugeValues, Notice};

/// Converts milliseconds of the processor's protocol to microseconds.
fn micros(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

impl NodeState {
    /// Counts a new connection to the processor.
    pub fn count_processor_connection(&mut self) {
        self.core.counters.processor_connections += 1;
    }

    /// Handles a notice from the processor.
    pub fn handle_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Hello { is_cold, uptime_ms } => {
                self.processor.handle_hello(self.clock.now());
                self.with_core(|core, now| core.start(now, now - micros(uptime_ms), is_cold));
            }
            Notice::RunEnded {
                reference,
                outcome,
                duration_ms,
                result,
            } => {
                let outcome = run_outcome(outcome);
                let duration = micros(duration_ms);
                self.processor
                    .handle_work_ended(self.clock.now(), reference);
                self.with_core(|core, now| {
                    core.handle_run_finished(now, reference, outcome, duration, result);
                });
            }
            Notice::CallRequested { reference, body } => {
                self.processor
                    .handle_work_ended(self.clock.now(), reference);
                self.with_core(|core, now| core.handle_call_requested(now, reference, body));
            }
            Notice::Gauges { query, values } => self.handle_gauges(query, &values),
            Notice::CommandRejected { command, reference } => {
                let command = match command {
                    CommandKind::Start => RejectedCommand::Start,
                    CommandKind::Interrupt => RejectedCommand::Stop,
                    CommandKind::Other => RejectedCommand::Other,
                };
                if command != RejectedCommand::Stop {
                    self.processor.handle_command_rejected(reference);
                }
                self.with_core(|core, now| core.handle_command_rejected(now, reference, command));
            }
        }
    }

    /// Updates the gauges, and passes the reply to the processor connection, for which it confirms
    /// that earlier commands were read.
    fn handle_gauges(&mut self, query: Option<u64>, values: &GaugeValues) {
        let gauge = |name: &str| {
            let index = self.gauge_names.iter().position(|known| known == name)?;
            values.get(index).filter(|value| value.is_finite())
        };
        let gauges = Gauges {
            cpu_utilization: gauge("core_use"),
            runnable: gauge("on_cores"),
            memory_utilization: gauge("heap_share"),
            connections: gauge("links"),
        };
        self.with_core(|core, now| core.update_gauges(now, gauges));
        let now = self.clock.now();
        self.processor
            .handle_gauge_reply(now, query, gauges.runnable, &mut self.core);
        for run in self.processor.take_lost_runs() {
            self.with_core(|core, now| core.end_lost_run(now, run));
        }
    }
}

/// Converts an outcome of the processor's protocol to one of the core.
fn run_outcome(outcome: processor::RunOutcome) -> RunOutcome {
    match outcome {
        processor::RunOutcome::Succeeded => RunOutcome::Completed,
        processor::RunOutcome::Failed => RunOutcome::Failed,
        processor::RunOutcome::Interrupted => RunOutcome::Aborted,
        processor::RunOutcome::NotStarted => RunOutcome::NotStarted,
    }
}
