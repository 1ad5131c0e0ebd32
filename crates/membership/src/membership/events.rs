//! Bounded queue of events that the caller has not taken yet.

use crate::event::{Event, EventBatch};
use std::collections::VecDeque;

/// Maximum number of queued events; older ones are dropped and counted.
const MAX_EVENTS: usize = 4096;

#[derive(Default)]
pub(super) struct EventQueue {
    events: VecDeque<Event>,
    lost: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
            self.lost += 1;
        }
        self.events.push_back(event);
    }

    pub(super) fn take(&mut self) -> EventBatch {
        EventBatch {
            events: self.events.drain(..).collect(),
            lost: std::mem::take(&mut self.lost),
        }
    }
}
