//! Events ordered by their virtual time; events of the same time keep the order in which they were
//! scheduled, so that a run depends on its seed alone.

use std::collections::BTreeMap;

/// Microseconds of virtual time.
type Micros = i64;

/// A queue of events.
pub(crate) struct EventQueue<E> {
    events: BTreeMap<(Micros, u64), E>,
    last_sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub(crate) fn schedule(&mut self, at: Micros, event: E) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// The time of the next event.
    pub(crate) fn next_time(&self) -> Option<Micros> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the next event that is not later than `until`.
    pub(crate) fn pop_until(&mut self, until: Micros) -> Option<(Micros, E)> {
        let entry = self.events.first_entry()?;
        let at = entry.key().0;
        (at <= until).then(|| (at, entry.remove()))
    }
}
