//! One process of the model, with the effects carried out for it.

use crate::common::{core, incoming, take_effects};
use pipitlever_admission::Micros;
use pipitlever_core::{Answer, Core, Effect, IncomingRequest, Reference, RunOutcome};
use std::rc::Rc;

/// Index of the keyed class.
const KEYED_CLASS: usize = 1;
/// The result of a run.
pub const RESULT: &[u8] = b"result";

/// An attempt that a process has read, with its answers.
pub struct Attempt {
    pub reference: Reference,
    pub answers: Vec<Answer>,
}

/// One process, with its started runs and the attempts that it has read.
pub struct Process {
    pub core: Core,
    pub is_alive: bool,
    pub running: Vec<Reference>,
    pub attempts: Vec<Attempt>,
    pub abandoned: Vec<Reference>,
}

impl Process {
    pub fn new() -> Process {
        let mut core = core();
        core.retries_are_marked = true;
        Process {
            core,
            is_alive: true,
            running: Vec::new(),
            attempts: Vec::new(),
            abandoned: Vec::new(),
        }
    }

    pub fn arrive(&mut self, now: Micros, reference: Reference) {
        self.attempts.push(Attempt {
            reference,
            answers: Vec::new(),
        });
        let request = IncomingRequest {
            is_retry: reference > 1,
            ..incoming(reference, now, Some("k"))
        };
        self.core.handle_request(now, request);
    }

    pub fn complete_oldest_run(&mut self, now: Micros) {
        let reference = self.running.remove(0);
        let outcome = RunOutcome::Completed;
        self.core
            .handle_run_finished(now, reference, outcome, 10, Rc::from(RESULT));
    }

    /// Carries out the core's effects, and returns the number of keyed runs started.
    pub fn carry_out_effects(&mut self) -> u64 {
        let mut started = 0;
        for effect in take_effects(&mut self.core) {
            match effect {
                Effect::StartRun {
                    reference,
                    class: KEYED_CLASS,
                    ..
                } => {
                    started += 1;
                    self.running.push(reference);
                }
                Effect::Answer { origin, answer } => {
                    let attempts = &mut self.attempts;
                    let mut attempts = attempts.iter_mut();
                    if let Some(attempt) =
                        attempts.find(|attempt| attempt.reference == origin.request_number)
                    {
                        attempt.answers.push(answer);
                    }
                }
                _ => {}
            }
        }
        started
    }
}
