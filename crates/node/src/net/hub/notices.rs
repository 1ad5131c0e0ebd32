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
            Notice::Hi { cold, ms } => {
                self.link.hi();
                self.tell(|core, now| core.start(now, now - (ms * 1e3) as Micros, cold));
            }
            Notice::Complete {
                id,
                end,
                ms,
                result,
            } => {
                let end = match end {
                    RunEnd::Fine => RunOutcome::Completed,
                    RunEnd::Fault => RunOutcome::Failed,
                    RunEnd::BrokenOff => RunOutcome::Aborted,
                    RunEnd::Late => RunOutcome::NotStarted,
                };
                let took = (ms * 1e3) as Micros;
                self.tell(|core, now| core.handle_run_finished(now, id, end, took, result));
            }
            Notice::Ask { id, body } => {
                self.tell(|core, now| core.handle_call_requested(now, id, body))
            }
            Notice::Used { question, gauges } => {
                let named = |name: &str| {
                    let at = self.gauge_names.iter().position(|n| n == name)?;
                    gauges.get(at).filter(|v| v.is_finite())
                };
                let gauges = Gauges {
                    core_use: named("core_use"),
                    on_cores: named("on_cores"),
                    memory_use: named("heap_share"),
                    connections: named("links"),
                };
                self.tell(|core, now| core.update_gauges(now, gauges));
                self.link
                    .answered(self.clock.now(), question, &mut self.core);
            }
            Notice::Reject { command, id } => {
                let command = match command {
                    Command::Begin => RejectedCommand::Start,
                    Command::Interrupt => RejectedCommand::Stop,
                    Command::Other => RejectedCommand::Other,
                };
                self.tell(|core, now| core.handle_command_rejected(now, id, command));
            }
        }
    }
}
