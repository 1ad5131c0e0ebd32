//! Suspicion of one member: which members reported it, and when it times out.

use crate::config::MembershipConfig;
use crate::Micros;

/// A suspicion that is neither refuted nor timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    started: Micros,
    /// Members that reported a failed probe, in order of arrival; bounded, since further reports
    /// do not shorten the timeout.
    reporters: Vec<String>,
    /// Deadline under which the suspicion is scheduled.
    pub(crate) scheduled_deadline: Micros,
}

impl Suspicion {
    /// Starts a suspicion reported by `reporter`.
    pub fn new(now: Micros, reporter: &str) -> Suspicion {
        Suspicion {
            started: now,
            reporters: vec![reporter.to_owned()],
            scheduled_deadline: now,
        }
    }

    /// Adds an independent confirmation. Returns whether it shortens the timeout.
    pub fn confirm(&mut self, reporter: &str) -> bool {
        let is_new = self.reporters.len() <= MembershipConfig::SUSPICION_CONFIRMATIONS
            && !self.reporters.iter().any(|known| known == reporter);
        if is_new {
            self.reporters.push(reporter.to_owned());
        }
        is_new
    }

    /// Extends the deadline by the time for which this process did not run: a refutation may be
    /// among its unread datagrams.
    pub fn extend(&mut self, delay: Micros) {
        self.started += delay;
    }

    /// Returns the time at which the suspicion times out in a cluster of `members` active members.
    pub fn deadline(&self, config: &MembershipConfig, members: usize) -> Micros {
        self.started + config.suspicion_timeout(members, self.reporters.len() - 1)
    }

    /// Returns the members that reported the suspicion, the first reporter first.
    pub fn reporters(&self) -> &[String] {
        &self.reporters
    }
}
