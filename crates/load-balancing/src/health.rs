//! A member's health, by what happens to its runs: nobody is asked for it.
//!
//! A member is taken out after some failures in a row, a high share of failures, or a latency far
//! above its pool's median; each time for longer. It comes back on trial: one run that may happen
//! twice goes first, and then it gets its share little by little. How many may be out at once is
//! the pool's affair.

use crate::{Micros, SECOND};
use std::fmt;

/// What health keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// So many failures in a row take a member out.
    pub in_a_row: u32,
    /// So high a share of failures does, among the last runs.
    pub share: f64,
    /// Fewer runs than this make no share, and no latency.
    pub least_runs: f64,
    /// A latency of so many times the pool's median does.
    pub slower: f64,
    /// It is out for so long, in microseconds; twice as long each time.
    pub out: Micros,
    /// But no longer than this, in microseconds.
    pub longest: Micros,
    /// After so long without being taken out it begins anew, in microseconds.
    pub forgiven: Micros,
    /// After its return its share grows for so long, in microseconds.
    pub warm: Micros,
    /// Where no run may happen twice, one that may not is its trial after so long, in microseconds.
    pub trial: Micros,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            in_a_row: 5,
            share: 0.5,
            least_runs: 10.0,
            slower: 4.0,
            out: 2 * SECOND,
            longest: 60 * SECOND,
            forgiven: 60 * SECOND,
            warm: 5 * SECOND,
            trial: 2 * SECOND,
        }
    }
}

/// Why a member is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// So many failures in a row.
    InARow(u32),
    /// This share of failures.
    Share(f64),
    /// So many times the pool's median latency.
    Slow(f64),
    /// Its run on trial failed.
    Trial,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Why::InARow(count) => write!(f, "{count} failures in a row"),
            Why::Share(share) => write!(f, "{:.0}% failures", share * 100.0),
            Why::Slow(times) => write!(f, "{times:.1} times slower than its pool"),
            Why::Trial => write!(f, "failed on trial"),
        }
    }
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It gets its share.
    Up,
    /// It gets nothing until then.
    Out {
        /// Until then.
        until: Micros,
        /// For this.
        why: Why,
    },
    /// One run at a time, until one goes well.
    Trial {
        /// Since then.
        since: Micros,
    },
    /// It gets a part of its share, which grows.
    Warming {
        /// Since then.
        since: Micros,
    },
}

/// One member's health.
#[derive(Clone, Debug)]
pub struct Health {
    rules: Rules,
    state: State,
    /// When it came to this state.
    pub since: Micros,
    in_a_row: u32,
    /// Failures and runs, the older ones counting less.
    failures: f64,
    runs: f64,
    times: u32,
    last_out: Micros,
    /// Others may try it before this one does; once each time that it is out.
    waited: bool,
    /// It was taken out since its runs failed, and not since they were slow.
    failing: bool,
}

/// What each run leaves of those before it.
const FADE: f64 = 0.95;

impl Health {
    /// A member that is up.
    pub fn new(rules: Rules, now: Micros) -> Health {
        Health {
            rules,
            state: State::Up,
            since: now,
            in_a_row: 0,
            failures: 0.0,
            runs: 0.0,
            times: 0,
            last_out: Micros::MIN / 2,
            waited: false,
            failing: false,
        }
    }

    /// A newcomer to a pool that has been running: it starts slowly.
    pub fn newcomer(rules: Rules, now: Micros) -> Health {
        Health {
            state: State::Warming { since: now },
            ..Health::new(rules, now)
        }
    }

    /// How it stands.
    pub fn state(&self) -> State {
        self.state
    }

    fn enter(&mut self, now: Micros, state: State) {
        (self.state, self.since) = (state, now);
    }

    /// Whether it is out, or on trial after that, as its runs failed: one that is only slow does
    /// what it is given.
    pub fn failing(&self) -> bool {
        self.failing && matches!(self.state, State::Out { .. } | State::Trial { .. })
    }

    /// Another one is to try it first: it stays out as long again, once, in case that one doesn't.
    /// Whether it does.
    pub fn put_off(&mut self, now: Micros) -> bool {
        match self.state {
            State::Out { until, why } if now >= until && !self.waited => {
                self.waited = true;
                self.state = State::Out {
                    until: now + (until - self.since).clamp(0, self.rules.longest),
                    why,
                };
                true
            }
            _ => false,
        }
    }

    /// Somebody else has found it well: half of what is left of its time is enough. Whether it is
    /// out.
    pub fn sooner(&mut self, now: Micros) -> bool {
        match self.state {
            State::Out { until, why } => {
                self.state = State::Out {
                    until: now + (until - now).max(0) / 2,
                    why,
                };
                // Nobody is waited for any more.
                self.waited = true;
                true
            }
            _ => false,
        }
    }

    /// Time passes. Whether it came on trial or is wholly back.
    pub fn tick(&mut self, now: Micros) -> bool {
        match self.state {
            State::Out { until, .. } if now >= until => {
                self.enter(now, State::Trial { since: now })
            }
            State::Warming { since } if now >= since + self.rules.warm => {
                self.enter(now, State::Up)
            }
            _ => return false,
        }
        true
    }

    /// The part of its share that it gets; none while it is out.
    pub fn part(&self, now: Micros) -> f64 {
        match self.state {
            State::Up => 1.0,
            State::Out { .. } => 0.0,
            State::Trial { .. } => 0.0,
            State::Warming { since } => {
                ((now - since).max(0) as f64 / self.rules.warm.max(1) as f64).clamp(0.1, 1.0)
            }
        }
    }

    /// Whether its trial may be a run like this: one alone, and one that may happen twice, unless
    /// none came for long.
    pub fn may_try(&self, now: Micros, safe: bool, in_flight: usize) -> bool {
        match self.state {
            State::Trial { since } => in_flight == 0 && (safe || now >= since + self.rules.trial),
            _ => false,
        }
    }

    /// A run went well. Whether that brought it back.
    pub fn went_well(&mut self, now: Micros) -> bool {
        self.count(false);
        if matches!(self.state, State::Trial { .. }) {
            (self.failures, self.runs) = (0.0, 0.0);
            self.enter(now, State::Warming { since: now });
            return true;
        }
        false
    }

    fn count(&mut self, failed: bool) {
        self.runs = self.runs * FADE + 1.0;
        self.failures = self.failures * FADE + f64::from(u8::from(failed));
        self.in_a_row = if failed { self.in_a_row + 1 } else { 0 };
    }

    /// A run failed. Why it should be out for that, if it should.
    pub fn failed(&mut self) -> Option<Why> {
        self.count(true);
        match self.state {
            State::Out { .. } => None,
            State::Trial { .. } => Some(Why::Trial),
            State::Up | State::Warming { .. } => {
                let share = self.failures / self.runs;
                if self.in_a_row >= self.rules.in_a_row {
                    Some(Why::InARow(self.in_a_row))
                } else {
                    (self.runs >= self.rules.least_runs && share >= self.rules.share)
                        .then_some(Why::Share(share))
                }
            }
        }
    }

    /// Why it should be out for its latency, if it should: its own and the pool's median, in
    /// microseconds.
    pub fn slow(&self, latency: f64, median: f64) -> Option<Why> {
        let times = latency / median.max(1.0);
        let counts = self.state == State::Up && self.runs >= self.rules.least_runs;
        (counts && times >= self.rules.slower).then_some(Why::Slow(times))
    }

    /// It is out from now on.
    pub fn take_out(&mut self, now: Micros, why: Why) {
        if now - self.last_out > self.rules.forgiven + self.rules.longest {
            self.times = 0;
        }
        let out = self
            .rules
            .out
            .saturating_mul(1 << self.times.min(20))
            .min(self.rules.longest);
        self.times += 1;
        self.last_out = now;
        self.waited = false;
        self.failing = match why {
            Why::InARow(_) | Why::Share(_) => true,
            Why::Slow(_) => false,
            Why::Trial => self.failing,
        };
        (self.in_a_row, self.failures, self.runs) = (0, 0.0, 0.0);
        self.enter(
            now,
            State::Out {
                until: now + out,
                why,
            },
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whose_turn_is_later_waits_as_long_again_and_a_word_halves_it() {
        let mut health = health();
        health.take_out(0, Why::InARow(5));
        let out = Rules::default().out;
        assert!(
            !health.put_off(out - 1) && health.put_off(out),
            "at the end of its time"
        );
        assert!(
            !health.tick(out) && !health.put_off(2 * out) && health.tick(2 * out),
            "once"
        );
        health.take_out(10 * out, Why::Trial);
        assert!(health.sooner(10 * out));
        assert!(!health.tick(11 * out - 1) && !health.put_off(11 * out) && health.tick(11 * out));
        assert!(!health.sooner(11 * out));
    }

    fn health() -> Health {
        Health::new(Rules::default(), 0)
    }

    #[test]
    fn one_that_is_slow_does_not_fail() {
        let mut health = health();
        health.take_out(0, Why::Slow(5.0));
        assert!(!health.failing());
        health.take_out(0, Why::Trial);
        assert!(!health.failing());
        health.take_out(0, Why::InARow(5));
        health.take_out(0, Why::Trial);
        assert!(health.failing() && health.tick(1 << 40) && health.failing());
        assert!(health.went_well(1 << 40) && !health.failing());
    }

    #[test]
    fn failures_in_a_row_or_in_a_share_take_it_out() {
        let mut health = health();
        assert_eq!((0..4).find_map(|_| health.failed()), None);
        assert_eq!(health.failed(), Some(Why::InARow(5)));
        let mut health = self::health();
        let pattern = [true, true, false].into_iter().cycle().take(60);
        let found = pattern.enumerate().find_map(|(i, failed)| match failed {
            true => health.failed().map(|why| (i, why)),
            false => (health.went_well(0)).then_some((i, Why::Trial)),
        });
        let Some((i, Why::Share(share))) = found else {
            panic!("{found:?}")
        };
        assert!(i >= 9 && share >= 0.5);
        let mut health = self::health();
        // One in ten is no reason.
        for i in 0..200 {
            if i % 10 == 0 {
                assert_eq!(health.failed(), None);
            } else {
                health.went_well(0);
            }
        }
    }

    #[test]
    fn it_is_out_for_longer_each_time_and_comes_back_slowly() {
        let mut health = health();
        let (mut now, mut outs) = (0, Vec::new());
        for _ in 0..8 {
            health.take_out(now, Why::Trial);
            let State::Out { until, .. } = health.state() else {
                panic!("out")
            };
            outs.push((until - now) / SECOND);
            assert!(!health.tick(until - 1) && health.part(until - 1) == 0.0);
            assert!(health.tick(until));
            now = until;
            // One run that may happen twice, alone.
            assert!(health.may_try(now, true, 0) && !health.may_try(now, true, 1));
            assert!(!health.may_try(now, false, 0) && health.may_try(now + 2 * SECOND, false, 0));
            assert_eq!(health.failed(), Some(Why::Trial));
        }
        assert_eq!(outs, [2, 4, 8, 16, 32, 60, 60, 60]);
        assert!(health.went_well(now));
        assert!(health.part(now) < 0.2 && health.part(now + 4 * SECOND) > 0.7);
        assert!(health.tick(now + 5 * SECOND) && health.state() == State::Up);
        // Forgiven after a while.
        now += 500 * SECOND;
        health.take_out(now, Why::Trial);
        assert!(matches!(health.state(), State::Out { until, .. } if until == now + 2 * SECOND));
    }

    #[test]
    fn slow_is_judged_by_the_pool() {
        let mut health = health();
        assert_eq!(health.slow(1e6, 1e3), None);
        (0..20).for_each(|_| assert!(!health.went_well(0)));
        assert_eq!(health.slow(4e3, 1e3), Some(Why::Slow(4.0)));
        assert_eq!(health.slow(3e3, 1e3), None);
    }
}
