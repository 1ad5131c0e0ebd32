//! The operators' door as it is kept in memory: who calls, and who has to go when there are too
//! many.

use crate::net::membership::Part;
use crate::net::notify::Nudge;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Callers at one time, each with a descriptor that the fronts leave alone.
pub const MOST_CALLERS: usize = 24;
/// A caller this new is not sent away for another one: its call may be on its way.
const NEW: Duration = Duration::from_millis(25);

/// The callers that have a place, by the order in which they came.
#[derive(Default)]
pub struct Callers {
    all: BTreeMap<u64, (Instant, Nudge)>,
    last: u64,
    /// Callers sent away for others.
    pub sent_away: u64,
    /// What they may ask of the fleet, where this node is in one.
    pub fleet: Option<Rc<Part>>,
    /// Callers that have their answer and are read for a moment.
    leaving: usize,
}

impl Callers {
    /// One came: its number, and what tells it to go.
    pub fn add(&mut self, now: Instant) -> (u64, Nudge) {
        self.last += 1;
        let go = Nudge::new();
        self.all.insert(self.last, (now, go.clone()));
        (self.last, go)
    }

    /// Whether one that has its answer may be read for a moment; if so it keeps a descriptor until
    /// [`Callers::left`].
    pub fn may_linger(&mut self) -> bool {
        let may = self.leaving < MOST_CALLERS;
        self.leaving += usize::from(may);
        may
    }

    /// It was.
    pub fn left(&mut self) {
        self.leaving -= 1;
    }

    /// It left, or has its answer and so no more claim to stay.
    pub fn remove(&mut self, id: u64) {
        self.all.remove(&id);
    }

    /// Whether there is a place for one more. If not, the one that came first is told to go, unless
    /// all are new; then when to look again.
    pub fn room(&mut self, now: Instant) -> Result<(), Instant> {
        if self.all.len() < MOST_CALLERS {
            return Ok(());
        }
        match self.all.first_entry() {
            Some(first) if first.get().0 + NEW <= now => {
                first.remove().1.give();
                self.sent_away += 1;
                Ok(())
            }
            Some(first) => Err(first.get().0 + NEW),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_of_too_many_callers_goes_but_none_that_has_just_come() {
        let start = Instant::now();
        let mut callers = Callers::default();
        for i in 0..MOST_CALLERS as u32 {
            assert_eq!(callers.room(start), Ok(()));
            callers.add(start + i * NEW);
        }
        let first = callers.all[&1].1.clone();
        // All places are taken, and the first caller's call may be on its way.
        assert_eq!(callers.room(start), Err(start + NEW));
        assert_eq!((callers.all.len(), callers.sent_away), (MOST_CALLERS, 0));
        assert_eq!(callers.room(start + NEW), Ok(()));
        assert_eq!(
            (callers.all.len(), callers.sent_away),
            (MOST_CALLERS - 1, 1)
        );
        pipitlever_reactor::block_on(first.wait());
        assert!(!callers.all.contains_key(&1));
    }
}
