//! One suspicion: who had no answer, and how long the suspect has to say otherwise.

use crate::config::MembershipConfig;
use crate::Micros;

/// A member that is suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    start: Micros,
    /// Who had no answer, the first one first. No more than can shorten its time.
    by: Vec<String>,
    /// Under which end of its time it is listed.
    pub(crate) listed: Micros,
}

impl Suspicion {
    /// Somebody had no answer.
    pub fn new(now: Micros, by: &str) -> Suspicion {
        Suspicion {
            start: now,
            by: vec![by.to_owned()],
            listed: now,
        }
    }

    /// Somebody says so too; whether that is new, and shortens its time.
    pub fn confirm(&mut self, by: &str) -> bool {
        let new = self.by.len() <= MembershipConfig::SUSPICION_CONFIRMATIONS
            && !self.by.iter().any(|b| b == by);
        if new {
            self.by.push(by.to_owned());
        }
        new
    }

    /// This node was not there for so long: the suspect's answer may be waiting to be read.
    pub fn extend(&mut self, time: Micros) {
        self.start += time;
    }

    /// When its time is over, in a fleet of this size.
    pub fn deadline(&self, rules: &MembershipConfig, members: usize) -> Micros {
        self.start + rules.suspicion_timeout(members, self.by.len() - 1)
    }

    /// Who had no answer.
    pub fn reporters(&self) -> &[String] {
        &self.by
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn time_shrinks_with_each_one_who_confirms_and_not_with_one_who_repeats() {
        let rules = MembershipConfig::default();
        let mut suspicion = Suspicion::new(0, "n1");
        let mut last = suspicion.deadline(&rules, 100);
        assert_eq!(last, 6 * rules.min_suspicion_timeout(100));
        for by in ["n2", "n3", "n4"] {
            assert!(suspicion.confirm(by));
            assert!(!suspicion.confirm(by) && !suspicion.confirm("n1"));
            let next = suspicion.deadline(&rules, 100);
            assert!(next < last, "{by}");
            last = next;
        }
        assert_eq!(last, rules.min_suspicion_timeout(100));
        assert!(
            !suspicion.confirm("n5"),
            "nobody counts beyond the shortest time"
        );
        suspicion.extend(1000);
        assert_eq!(suspicion.deadline(&rules, 100), last + 1000);
        // With two alone nobody could confirm.
        assert_eq!(
            Suspicion::new(0, "n1").deadline(&rules, 2),
            2 * rules.min_suspicion_timeout(2)
        );
    }
}
