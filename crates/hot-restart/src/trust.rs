//! Whether a key that a process doesn't know may be run there.

use crate::Micros;

/// What becomes of a try whose key nobody here knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is a request like any other.
    Take,
    /// It is refused: it is a first try, so its key has run nowhere.
    Refuse,
    /// It fails: an earlier try may have run where this process can't look.
    Fail,
}

/// What a process may think of keys that it doesn't know. One process is the authority; in the
/// other, and after one has died with what it knew, such a key may have been run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    /// The other process is the authority.
    elsewhere: bool,
    /// What died with the other process is behind all windows then.
    until: Option<Micros>,
}

impl Trust {
    /// The other process is the authority from now on, or this one again.
    pub fn elsewhere(&mut self, elsewhere: bool) {
        self.elsewhere = elsewhere;
    }

    /// The other process has died with keys that this one doesn't know. No try of theirs is a
    /// repeat after `until`.
    pub fn lost(&mut self, until: Micros) {
        self.elsewhere = false;
        self.until = self.until.max(Some(until));
    }

    /// Whether unknown keys are doubted, at this time.
    pub fn doubts(&self, now: Micros) -> bool {
        self.elsewhere || self.until.is_some_and(|until| now <= until)
    }

    /// What becomes of a try whose key is not known here. Gateways mark each further try; where
    /// they don't (`marked`), any try may be one.
    pub fn unknown(&self, now: Micros, retry: bool, marked: bool) -> Verdict {
        match self.doubts(now) {
            false => Verdict::Take,
            true if retry || !marked => Verdict::Fail,
            true => Verdict::Refuse,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_keys_are_run_by_the_authority_alone() {
        let mut trust = Trust::default();
        assert_eq!(trust.unknown(0, true, true), Verdict::Take);
        trust.elsewhere(true);
        let cases = [
            (false, true, Verdict::Refuse),
            (true, true, Verdict::Fail),
            (false, false, Verdict::Fail),
            (true, false, Verdict::Fail),
        ];
        for (retry, marked, verdict) in cases {
            assert_eq!(
                trust.unknown(i64::MAX, retry, marked),
                verdict,
                "retry {retry} marked {marked}"
            );
        }
        trust.elsewhere(false);
        assert_eq!(trust.unknown(0, false, true), Verdict::Take);
    }

    #[test]
    fn what_died_with_the_other_is_doubted_until_its_windows_end() {
        let mut trust = Trust::default();
        trust.elsewhere(true);
        trust.lost(100);
        // A second loss doesn't shorten the first.
        trust.lost(50);
        assert_eq!(trust.unknown(100, false, true), Verdict::Refuse);
        assert_eq!(trust.unknown(101, false, true), Verdict::Take);
    }
}
