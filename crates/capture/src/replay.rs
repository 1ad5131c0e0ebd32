//! Feeds a capture to this build's controller and compares what it says.

use crate::record::{Opening, Record};
use crate::segment;
use pipitlever_admission::{Action, Cause, Controller, ControllerStatus, Event, Micros, RequestId};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The first place where this build decides otherwise.
#[derive(Clone, Debug)]
pub struct Difference {
    /// The step, counted from the start of the run.
    pub step: u64,
    /// The controller's clock.
    pub now: Micros,
    /// What it was told.
    pub events: Vec<Event>,
    /// What it went by before that.
    pub before: ControllerStatus,
    /// What the capture has.
    pub recorded: Vec<Action>,
    /// What this build says.
    pub replayed: Vec<Action>,
    /// Its reasons.
    pub why: Vec<(RequestId, Cause)>,
}

impl Difference {
    /// The first pair of actions that differ; nothing where a list has ended.
    pub fn first(&self) -> (Option<&Action>, Option<&Action>) {
        let same = self
            .recorded
            .iter()
            .zip(&self.replayed)
            .take_while(|(a, b)| a == b)
            .count();
        (self.recorded.get(same), self.replayed.get(same))
    }
}

/// One step, played.
#[derive(Clone, Copy, Debug)]
pub struct Played {
    /// What the controller went by before it.
    pub before: ControllerStatus,
    /// Whether this build said the same.
    pub same: bool,
}

/// A controller that is being fed a capture.
#[derive(Debug)]
pub struct Replay {
    controller: Controller,
    now: Micros,
    step: u64,
    actions: Vec<Action>,
}

impl Replay {
    /// Goes on from a segment's state.
    pub fn new(controller: Controller, opening: &Opening) -> Replay {
        Replay {
            controller,
            now: opening.now,
            step: opening.steps,
            actions: Vec::new(),
        }
    }

    /// The controller.
    pub fn controller(&self) -> &Controller {
        &self.controller
    }

    /// What the last step said.
    pub fn actions(&self) -> &[Action] {
        &self.actions
    }

    /// The clock of the last record.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Steps so far, from the start of the run.
    pub fn steps(&self) -> u64 {
        self.step
    }

    /// Takes in a record; a step is played. The error says that the controller can't take the step,
    /// which only a capture can bring about that no node wrote.
    pub fn feed(&mut self, record: &Record) -> Result<Option<Played>, String> {
        let (after, events, recorded) = match record {
            Record::Named(_) => return Ok(None),
            Record::Answer { after, .. } => {
                self.now = self.now.wrapping_add(*after);
                return Ok(None);
            }
            Record::Step {
                after,
                events,
                actions,
            } => (after, events, actions),
        };
        let before = self.controller.status();
        self.now = self.now.wrapping_add(*after);
        self.step += 1;
        self.actions.clear();
        let (now, actions, controller) = (self.now, &mut self.actions, &mut self.controller);
        catch_unwind(AssertUnwindSafe(|| controller.step(now, events, actions))).map_err(
            |panic| {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text
                    .or(panic.downcast_ref::<&str>().copied())
                    .unwrap_or("a panic");
                format!(
                    "step {} is none that this build's controller can take: {text}",
                    self.step
                )
            },
        )?;
        Ok(Some(Played {
            before,
            same: **recorded == *self.actions,
        }))
    }

    /// How the step that was just played differs; nothing if it doesn't, or the record is no step.
    pub fn difference(&self, record: &Record, played: Option<&Played>) -> Option<Difference> {
        let (
            Record::Step {
                events, actions, ..
            },
            Some(Played {
                before,
                same: false,
            }),
        ) = (record, played)
        else {
            return None;
        };
        Some(Difference {
            step: self.step,
            now: self.now,
            events: events.to_vec(),
            before: *before,
            recorded: actions.to_vec(),
            replayed: self.actions.clone(),
            why: self.controller.causes().to_vec(),
        })
    }

    /// Takes in a record, and says where this build decides otherwise, if it does.
    pub fn compare(&mut self, record: &Record) -> Result<Option<Difference>, String> {
        let played = self.feed(record)?;
        Ok(self.difference(record, played.as_ref()))
    }

    /// Goes on into the next segment. Whether its state, if this build can read it, is the one that
    /// the replay has come to.
    pub fn go_on(&mut self, opening: &Opening, recorded: Option<&Controller>) -> bool {
        (self.now, self.step) = (opening.now, opening.steps);
        // Both as this build writes them: an older one may not have had every field.
        recorded.is_none_or(|r| segment::state(&self.controller) == segment::state(r))
    }
}

/// A controller as the opening says it was at the start of the run.
pub fn from_start(opening: &Opening) -> Controller {
    Controller::new(opening.settings.clone(), opening.seed)
}
