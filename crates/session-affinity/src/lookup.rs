//! Asking a session's homes where it lives, and for how long: whoever wants it waits no longer than
//! that.

use crate::placement::Placement;
use crate::replicas::LOOKUP_FANOUT;
use crate::{Micros, Session, WorkerId};
use std::collections::BTreeMap;

/// Questions at one time: whoever comes beyond that has its session placed by what is known here.
const MOST: usize = 4_096;

/// One question.
#[derive(Clone, Debug)]
struct Lookup {
    session: Session,
    /// The pool of the session, by number.
    pool: usize,
    /// Those that were asked and have not answered.
    open: Vec<String>,
    /// The homes among those that were asked. The others may have what was so before.
    homes: Vec<String>,
    /// What holds of what was said.
    best: Option<Placement>,
    /// Where it is to be if nobody knows.
    at: Option<WorkerId>,
    until: Micros,
    /// When those are asked again: a word may be lost.
    again: Micros,
    /// Requests that wait for it.
    waiting: Vec<u64>,
}

/// Those who have not answered are asked again so often, in microseconds.
pub const RETRY_INTERVAL: Micros = 8_000;

/// What has come of a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupResult {
    /// The session.
    pub session: Session,
    /// Its pool.
    pub pool: usize,
    /// Who waits.
    pub waiting: Vec<u64>,
    /// Where it lives, if anybody knows.
    pub placement: Option<Placement>,
    /// Where it is to be if nobody does.
    pub at: Option<WorkerId>,
}

/// The questions that are open.
#[derive(Clone, Debug, Default)]
pub struct PendingLookups {
    all: BTreeMap<u32, Lookup>,
    by_session: BTreeMap<Session, u32>,
    last: u32,
}

impl PendingLookups {
    /// A request waits for a session that is being asked for; whether there is such a question.
    pub fn add_waiter(&mut self, session: Session, waiting: u64) -> bool {
        let question = self
            .by_session
            .get(&session)
            .and_then(|ticket| self.all.get_mut(ticket));
        question.map(|q| q.waiting.push(waiting)).is_some()
    }

    /// A question to these, the first ones of which are homes, on behalf of a request. Its number;
    /// nothing if there are too many.
    pub fn start(
        &mut self,
        pool: usize,
        (session, at): (Session, Option<WorkerId>),
        homes: &[&str],
        first: usize,
        [now, until]: [Micros; 2],
        waiting: u64,
    ) -> Option<u32> {
        if self.all.len() >= MOST {
            return None;
        }
        debug_assert!(homes.len() <= LOOKUP_FANOUT);
        self.last = self.last.wrapping_add(1);
        let open: Vec<String> = homes.iter().map(|h| (*h).to_owned()).collect();
        let homes = open.iter().take(first).cloned().collect();
        let again = now + RETRY_INTERVAL;
        self.all.insert(
            self.last,
            Lookup {
                session,
                pool,
                open,
                homes,
                best: None,
                at,
                until,
                again,
                waiting: vec![waiting],
            },
        );
        self.by_session.insert(session, self.last);
        Some(self.last)
    }

    /// One has answered. The first home that knows settles it; if none does, the last that was
    /// asked.
    pub fn handle_reply(
        &mut self,
        ticket: u32,
        from: &str,
        session: Session,
        placement: Option<Placement>,
    ) -> Option<LookupResult> {
        let question = self.all.get_mut(&ticket).filter(|q| q.session == session)?;
        // What was not asked of it is nothing that it can settle.
        let at = question.open.iter().position(|h| h == from)?;
        question.open.remove(at);
        if let Some(said) = placement {
            let holds = question.best.is_none_or(|best| said.supersedes(&best));
            question.best = if holds { Some(said) } else { question.best };
        }
        let home = placement.is_some() && question.homes.iter().any(|h| h == from);
        (home || question.open.is_empty()).then(|| self.end(ticket))?
    }

    fn end(&mut self, ticket: u32) -> Option<LookupResult> {
        let Lookup {
            session,
            pool,
            waiting,
            best,
            at,
            ..
        } = self.all.remove(&ticket)?;
        self.by_session.remove(&session);
        Some(LookupResult {
            session,
            pool,
            waiting,
            placement: best,
            at,
        })
    }

    /// Somebody has told of a session that is being asked for.
    pub fn resolve(&mut self, session: Session, placement: Placement) -> Option<LookupResult> {
        let ticket = *self.by_session.get(&session)?;
        self.all.get_mut(&ticket)?.best = Some(placement);
        self.end(ticket)
    }

    /// Those that are asked once more by now, with who has not answered.
    pub fn take_retries(&mut self, now: Micros) -> Vec<(u32, Session, Vec<String>)> {
        let due = self.all.iter_mut().filter(|(_, q)| q.again <= now);
        due.map(|(ticket, q)| {
            q.again = now + RETRY_INTERVAL;
            (*ticket, q.session, q.open.clone())
        })
        .collect()
    }

    /// Those whose time is over.
    pub fn take_expired(&mut self, now: Micros) -> Vec<LookupResult> {
        let late: Vec<u32> = self
            .all
            .iter()
            .filter(|(_, q)| q.until <= now)
            .map(|(t, _)| *t)
            .collect();
        late.into_iter()
            .filter_map(|ticket| self.end(ticket))
            .collect()
    }

    /// When there is something to do about one.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.all.values().map(|q| q.until.min(q.again)).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::timestamp::Timestamp;

    #[test]
    fn the_first_that_knows_settles_it_and_nobody_waits_for_longer() {
        let at = Placement {
            worker: 1,
            created: Timestamp {
                seconds: 1,
                node: 1,
            },
            moves: 0,
            version: 0,
        };
        let mut questions = PendingLookups::default();
        let ticket = questions
            .start(0, (7, None), &["a", "b", "c"], 2, [0, 100], 1)
            .unwrap();
        assert!(questions.add_waiter(7, 2) && !questions.add_waiter(8, 3));
        assert_eq!(questions.handle_reply(ticket, "a", 7, None), None);
        assert_eq!(
            questions.handle_reply(ticket, "a", 7, Some(at)),
            None,
            "one answer of each"
        );
        assert_eq!(
            questions.handle_reply(ticket, "x", 7, Some(at)),
            None,
            "nobody asked it"
        );
        assert_eq!(
            questions.handle_reply(ticket, "b", 8, Some(at)),
            None,
            "that was not the question"
        );
        let settled = questions.handle_reply(ticket, "b", 7, Some(at)).unwrap();
        assert_eq!((settled.waiting, settled.placement), (vec![1, 2], Some(at)));
        let ticket = questions
            .start(0, (7, None), &["a", "b"], 2, [0, 100], 1)
            .unwrap();
        assert_eq!(questions.handle_reply(ticket, "a", 7, None), None);
        assert_eq!(
            questions
                .handle_reply(ticket, "b", 7, None)
                .unwrap()
                .placement,
            None
        );
        // One that is no home settles nothing while a home may know better.
        let ticket = questions
            .start(0, (7, None), &["a", "b", "c"], 2, [0, 100], 1)
            .unwrap();
        assert_eq!(questions.handle_reply(ticket, "c", 7, Some(at)), None);
        let later = at.moved(2, 0);
        assert_eq!(
            questions
                .handle_reply(ticket, "a", 7, Some(later))
                .unwrap()
                .placement,
            Some(later)
        );
        let ticket = questions
            .start(0, (7, None), &["a", "b", "c"], 2, [0, 100], 1)
            .unwrap();
        assert_eq!(questions.handle_reply(ticket, "c", 7, Some(at)), None);
        assert_eq!(questions.take_expired(100)[0].placement, Some(at));
        questions.start(0, (9, None), &["a"], 1, [0, 100], 4);
        assert!(questions.take_expired(99).is_empty() && questions.next_deadline() == Some(100));
        assert_eq!(
            questions.take_retries(RETRY_INTERVAL),
            [(5, 9, vec!["a".to_owned()])]
        );
        assert!(questions.take_retries(RETRY_INTERVAL).is_empty());
        assert_eq!(questions.take_expired(100)[0].waiting, [4]);
        assert_eq!(questions.next_deadline(), None);
        questions.start(0, (9, None), &["a"], 1, [0, 100], 4);
        assert_eq!(questions.resolve(9, at).unwrap().placement, Some(at));
    }
}
