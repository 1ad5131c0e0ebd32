//! Invariants of the model: at any time, and once no further step is possible.

use super::{Step, World};
use crate::common::SECOND;
use crate::process::{Attempt, Process, RESULT};
use pipitlever_core::Answer;
use pipitlever_hot_restart::predecessor::Phase;

impl World {
    /// Checks the invariants that hold at any time.
    pub fn check(&self) {
        assert!(self.runs <= 1, "the key was run {} times", self.runs);
        for attempt in self.old.attempts.iter().chain(&self.new.attempts) {
            let Attempt { reference, answers } = attempt;
            assert!(answers.len() <= 1, "{reference} was answered {answers:?}");
            match answers.first() {
                Some(Answer::Served(result)) => assert!(self.runs == 1 && **result == *RESULT),
                Some(Answer::Rejected { .. }) => assert!(
                    !self.late_attempts.contains(reference),
                    "{reference} was rejected after the run"
                ),
                _ => {}
            }
        }
    }

    /// Executes all steps that are possible without a further attempt, disconnection or crash, and
    /// checks the invariants of the final state.
    pub fn settle(mut self) {
        let ending_steps = [
            Step::PredecessorReceives,
            Step::SuccessorReceives,
            Step::Send,
            Step::CompleteAtPredecessor,
            Step::CompleteAtSuccessor,
        ];
        while let Some(step) = ending_steps.into_iter().find(|s| self.is_possible(*s)) {
            self.execute(step);
            self.check();
        }
        self.check_settled();
        for _ in 0..8 {
            self.now += SECOND;
            self.old.core.handle_wakeup(self.now);
            self.new.core.handle_wakeup(self.now);
            self.carry_out_effects();
        }
        self.check();
        let alive = [&self.old, &self.new]
            .into_iter()
            .filter(|process| process.is_alive);
        for process in alive {
            for Attempt { reference, answers } in &process.attempts {
                let expected = usize::from(!process.abandoned.contains(reference));
                assert!(answers.len() >= expected, "{reference} has no answer");
            }
        }
    }

    fn check_settled(&self) {
        let has_authority =
            |process: &Process| process.is_alive && process.core.has_key_authority(self.now);
        assert!(
            !(has_authority(&self.old) && has_authority(&self.new) && self.is_successor_serving()),
            "both processes have the authority over unknown keys"
        );
        let is_abandoned = |attempt: &Attempt| self.old.abandoned.contains(&attempt.reference);
        let is_unused_at_predecessor = self.old.attempts.iter().all(is_abandoned);
        if self.is_connected() && is_unused_at_predecessor && !self.new.attempts.is_empty() {
            assert_eq!(
                self.runs, 1,
                "an attempt waits, but no process has run the key"
            );
        }
        if self.is_connected() && self.runs == 1 {
            let unanswered = self.new.attempts.iter().find(|a| a.answers.is_empty());
            let reference = unanswered.map(|attempt| attempt.reference);
            assert!(
                reference.is_none(),
                "{reference:?} did not get the outcome of the run"
            );
        }
        let is_standalone = self.predecessor.phase() == Phase::Standalone;
        if self.old.is_alive && !self.new.is_alive && is_standalone && !self.has_yielded {
            assert!(
                self.old.core.has_key_authority(self.now),
                "the successor has not served, but the predecessor rejects unknown keys"
            );
        }
    }
}
