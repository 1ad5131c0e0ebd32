//! What homes were told of sessions and have not said that they have: a word may be lost, and a
//! placement that nobody else knows would be made anew by the next node.

use crate::{Micros, Session};
use std::collections::BTreeMap;

/// A home is told again after so long, in microseconds, and twice as long each time.
const FIRST: Micros = 10_000;
/// So often at the most: by then it is gone, and the view says so.
const TIMES: u32 = 7;
/// Sessions at one time: beyond that they are told once.
const MOST: usize = 16_384;

#[derive(Clone, Debug)]
struct PendingUpdate {
    to: Vec<String>,
    next: Micros,
    times: u32,
}

/// The sessions whose homes have not all answered.
#[derive(Clone, Debug, Default)]
pub struct UnacknowledgedUpdates {
    all: BTreeMap<Session, PendingUpdate>,
    due: BTreeMap<(Micros, Session), ()>,
}

impl UnacknowledgedUpdates {
    /// These were told.
    pub fn track(&mut self, now: Micros, session: Session, to: Vec<String>) {
        let before = self
            .all
            .get(&session)
            .map_or(Vec::new(), |debt| debt.to.clone());
        let to: Vec<String> = before
            .into_iter()
            .filter(|n| !to.contains(n))
            .chain(to.clone())
            .collect();
        self.forget(session);
        if !to.is_empty() && self.all.len() < MOST {
            self.all.insert(
                session,
                PendingUpdate {
                    to,
                    next: now + FIRST,
                    times: 1,
                },
            );
            self.due.insert((now + FIRST, session), ());
        }
    }

    fn forget(&mut self, session: Session) {
        if let Some(debt) = self.all.remove(&session) {
            self.due.remove(&(debt.next, session));
        }
    }

    /// One has it.
    pub fn acknowledge(&mut self, session: Session, from: &str) {
        if let Some(debt) = self.all.get_mut(&session) {
            debt.to.retain(|n| n != from);
            if debt.to.is_empty() {
                self.forget(session);
            }
        }
    }

    /// Those that are told again by now, and whom.
    pub fn take_retransmissions(&mut self, now: Micros) -> Vec<(Session, Vec<String>)> {
        let mut again = Vec::new();
        while let Some((&(at, session), ())) =
            self.due.first_key_value().filter(|((at, _), _)| *at <= now)
        {
            self.due.remove(&(at, session));
            let Some(debt) = self.all.get_mut(&session) else {
                continue;
            };
            if debt.times >= TIMES {
                self.all.remove(&session);
                continue;
            }
            debt.next = now + (FIRST << debt.times);
            debt.times += 1;
            self.due.insert((debt.next, session), ());
            again.push((session, debt.to.clone()));
        }
        again
    }

    /// When there is something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.due.first_key_value().map(|((at, _), ())| *at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn homes_are_told_until_they_have_it_and_not_for_ever() {
        let mut owed = UnacknowledgedUpdates::default();
        owed.track(0, 5, vec!["a".into(), "b".into()]);
        assert!(owed.take_retransmissions(FIRST - 1).is_empty());
        owed.acknowledge(5, "a");
        assert_eq!(
            owed.take_retransmissions(FIRST),
            [(5, vec!["b".to_owned()])]
        );
        owed.acknowledge(5, "b");
        assert_eq!(
            (owed.next_deadline(), owed.take_retransmissions(1 << 40)),
            (None, vec![])
        );
        owed.track(0, 6, vec!["a".into()]);
        let mut times = 0;
        while let Some(at) = owed.next_deadline() {
            times += owed.take_retransmissions(at).len();
        }
        assert_eq!(times, TIMES as usize - 1);
        (0..MOST as u64 + 9).for_each(|s| owed.track(0, s, vec!["a".into()]));
        assert_eq!(owed.all.len(), MOST);
    }
}
