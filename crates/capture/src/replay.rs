//! Passes a capture to this build's controller and compares the actions.

use crate::record::{Record, SegmentHeader};
use crate::segment::serialize_controller;
use pipitlever_admission::{Action, Cause, Controller, ControllerStatus, Event, Micros, RequestId};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// This build's controller panicked in a step. No capture written by a node causes this.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("step {step}: this build's controller panicked: {panic}")]
pub struct ReplayError {
    /// The number of the step in the run, from 1.
    pub step: u64,
    /// The message of the controller's panic.
    pub panic: String,
}

/// A step in which this build's actions differ from the recorded ones.
#[derive(Clone, Debug)]
pub struct Difference {
    /// The number of the step in the run, from 1.
    pub step: u64,
    /// The controller's clock, in Unix microseconds.
    pub now: Micros,
    /// The controller's input.
    pub events: Vec<Event>,
    /// The controller's status before the step.
    pub status_before: ControllerStatus,
    /// The recorded actions.
    pub recorded: Vec<Action>,
    /// The actions of this build.
    pub replayed: Vec<Action>,
    /// The causes of rejections and failures in this build.
    pub causes: Vec<(RequestId, Cause)>,
}

/// The first pair of actions of a step that differ. `None` if a list ends there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActionMismatch<'a> {
    /// The recorded action.
    pub recorded: Option<&'a Action>,
    /// The action of this build.
    pub replayed: Option<&'a Action>,
}

impl Difference {
    /// The first pair of actions that differ.
    pub fn first_mismatch(&self) -> ActionMismatch<'_> {
        let pairs = self.recorded.iter().zip(&self.replayed);
        let equal = pairs
            .take_while(|(recorded, replayed)| recorded == replayed)
            .count();
        ActionMismatch {
            recorded: self.recorded.get(equal),
            replayed: self.replayed.get(equal),
        }
    }
}

/// The result of replaying one step.
#[derive(Clone, Copy, Debug)]
pub struct ReplayedStep {
    /// The controller's status before the step.
    pub status_before: ControllerStatus,
    /// Whether the actions equal the recorded ones.
    pub is_identical: bool,
}

/// A controller that takes the steps of a capture.
#[derive(Debug)]
pub struct Replay {
    controller: Controller,
    now: Micros,
    steps: u64,
    actions: Vec<Action>,
}

impl Replay {
    /// Creates a replay that starts at a segment, from the controller's state there.
    pub fn new(controller: Controller, header: &SegmentHeader) -> Replay {
        Replay {
            controller,
            now: header.now,
            steps: header.steps,
            actions: Vec::new(),
        }
    }

    /// The controller.
    pub fn controller(&self) -> &Controller {
        &self.controller
    }

    /// The actions of the last step.
    pub fn actions(&self) -> &[Action] {
        &self.actions
    }

    /// The clock of the last record, in Unix microseconds.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The number of steps so far, from the start of the run.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Applies a record. Returns the result if the record is a step.
    ///
    /// # Errors
    ///
    /// If the controller panics in the step.
    pub fn apply(&mut self, record: &Record) -> Result<Option<ReplayedStep>, ReplayError> {
        match record {
            Record::Identity(_) => Ok(None),
            Record::Answer { clock_delta, .. } => {
                self.now = self.now.wrapping_add(*clock_delta);
                Ok(None)
            }
            Record::Step {
                clock_delta,
                events,
                actions,
            } => {
                let status_before = self.controller.status();
                self.now = self.now.wrapping_add(*clock_delta);
                self.steps += 1;
                self.step(events)?;
                Ok(Some(ReplayedStep {
                    status_before,
                    is_identical: **actions == *self.actions,
                }))
            }
        }
    }

    /// Executes a step of the controller.
    fn step(&mut self, events: &[Event]) -> Result<(), ReplayError> {
        self.actions.clear();
        let (now, actions, controller) = (self.now, &mut self.actions, &mut self.controller);
        catch_unwind(AssertUnwindSafe(|| controller.step(now, events, actions))).map_err(|panic| {
            ReplayError {
                step: self.steps,
                panic: panic_message(&*panic),
            }
        })
    }

    /// How the step just applied differs from the record; `None` if it is identical, or the record
    /// is not a step.
    pub fn difference(&self, record: &Record, step: Option<&ReplayedStep>) -> Option<Difference> {
        let Record::Step {
            events, actions, ..
        } = record
        else {
            return None;
        };
        let step = step.filter(|step| !step.is_identical)?;
        Some(Difference {
            step: self.steps,
            now: self.now,
            events: events.to_vec(),
            status_before: step.status_before,
            recorded: actions.to_vec(),
            replayed: self.actions.clone(),
            causes: self.controller.causes().to_vec(),
        })
    }

    /// Applies a record and returns how this build's actions differ from it, if they do.
    ///
    /// # Errors
    ///
    /// If the controller panics in the step.
    pub fn compare(&mut self, record: &Record) -> Result<Option<Difference>, ReplayError> {
        let step = self.apply(record)?;
        Ok(self.difference(record, step.as_ref()))
    }

    /// Continues with the next segment. Returns whether the replayed state equals the recorded
    /// state at the start of that segment; true if this build can't read the recorded state.
    pub fn enter_segment(&mut self, header: &SegmentHeader, recorded: Option<&Controller>) -> bool {
        self.now = header.now;
        self.steps = header.steps;
        // Both states are compared as serialized by this build: an earlier build may have written
        // fewer fields.
        recorded.is_none_or(|recorded| {
            serialize_controller(&self.controller) == serialize_controller(recorded)
        })
    }
}

/// The controller at the start of a run, created from the header's settings and seed.
pub fn initial_controller(header: &SegmentHeader) -> Controller {
    Controller::new(header.settings.clone(), header.seed)
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied());
    text.unwrap_or("a panic").to_owned()
}
