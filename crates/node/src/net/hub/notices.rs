//! What the processor says.

use super::*;

impl Hub {
    /// A link to the processor was set up.
    pub fn linked(&mut self) {
        self.core.counters.processor_connections += 1;
    }

    /// The processor said something.
    pub fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Hello { is_cold, uptime_ms } => {
                self.link.hi();
                self.tell(|core, now| core.start(now, now - (uptime_ms * 1e3) as Micros, is_cold));
            }
            Notice::RunEnded {
                reference,
                outcome,
                duration_ms,
                result,
            } => {
                let end = match outcome {
                    processor::RunOutcome::Succeeded => RunOutcome::Completed,
                    processor::RunOutcome::Failed => RunOutcome::Failed,
                    processor::RunOutcome::Interrupted => RunOutcome::Aborted,
                    processor::RunOutcome::NotStarted => RunOutcome::NotStarted,
                };
                let took = (duration_ms * 1e3) as Micros;
                self.tell(|core, now| core.handle_run_finished(now, reference, end, took, result));
            }
            Notice::CallRequested { reference, body } => {
                self.tell(|core, now| core.handle_call_requested(now, reference, body))
            }
            Notice::Gauges { query, values } => {
                let named = |name: &str| {
                    let at = self.gauge_names.iter().position(|n| n == name)?;
                    values.get(at).filter(|v| v.is_finite())
                };
                let gauges = Gauges {
                    core_use: named("core_use"),
                    on_cores: named("on_cores"),
                    memory_use: named("heap_share"),
                    connections: named("links"),
                };
                self.tell(|core, now| core.update_gauges(now, gauges));
                self.link.answered(self.clock.now(), query, &mut self.core);
            }
            Notice::CommandRejected { command, reference } => {
                let command = match command {
                    CommandKind::Start => RejectedCommand::Start,
                    CommandKind::Interrupt => RejectedCommand::Stop,
                    CommandKind::Other => RejectedCommand::Other,
                };
                self.tell(|core, now| core.handle_command_rejected(now, reference, command));
            }
        }
    }
}
