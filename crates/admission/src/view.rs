//! What can be read of a controller by those who show it. Nothing here decides, so it is no part of
//! `policy`.

use crate::rules::{Controller, Entry, Gate};
use crate::{Cause, LineView, Mode, RequestId, Stage, Standing, View};

impl Controller {
    /// The mode that the server is in.
    pub fn mode(&self) -> Mode {
        self.gates[0].modes.mode
    }

    /// Whether all cores are taken and nothing ends, for longer than chance explains.
    pub fn stands_still(&self) -> bool {
        self.still.now
    }

    /// Whether actions may still name this request; when not, a host can free what it keeps for it.
    pub fn knows(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Why requests were turned away or failed in the last step, in order.
    pub fn why(&self) -> &[(RequestId, Cause)] {
        &self.why
    }

    /// How a request stands, while actions may still name it.
    pub fn standing(&self, id: RequestId) -> Option<Standing> {
        let e = self.entries.get(&id)?;
        Some(Standing {
            stage: e.state,
            aim: e.aim,
            due: e.due,
            worth: e.worth,
        })
    }

    /// What it goes by at the moment.
    pub fn view(&self) -> View {
        let line = |i: usize| {
            let Gate {
                modes: m,
                cut,
                arriving,
                ..
            } = &self.gates[i];
            let thresholds = [m.abate, m.onset, m.discard];
            LineView {
                mode: m.mode,
                count: self.line(i),
                thresholds,
                cut: *cut,
                arriving: *arriving,
            }
        };
        let at_call = |e: &&Entry| matches!(e.state, Stage::Parked | Stage::Calling);
        View {
            lines: [line(0), line(1)],
            held: self.held.len(),
            running: self.on_cores() as usize,
            at_call: self.entries.values().filter(at_call).count(),
            run_limit: self.run.limit,
            reading: self.reading,
            in_hand: self.calls.in_hand(),
            call_limit: self.calls.limit,
            memory_kb: self.memory.used(&self.s),
            rate: self.rate(),
            leaving: self.drain.is_some(),
        }
    }
}
