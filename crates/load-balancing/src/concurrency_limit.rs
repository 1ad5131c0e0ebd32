//! How many runs a member may have at once, by what its latency says: it grows while it is used to
//! the full and quick, and falls where runs take far longer than they do when there is room. Judged
//! by means of some runs: single ones differ by more than any crowd makes them.

use crate::Micros;

/// What the limit keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimitConfig {
    /// It starts here.
    pub initial: f64,
    /// It never falls below.
    pub min: f64,
    /// Runs that take so many times as long as at rest, in the mean, say that there are too many.
    pub latency_tolerance: f64,
    /// What that leaves of the limit.
    pub decrease_factor: f64,
    /// A mean is of so many runs, or of as many as the limit allows at once, if that is more.
    pub min_window_runs: u32,
}

impl Default for ConcurrencyLimitConfig {
    fn default() -> ConcurrencyLimitConfig {
        ConcurrencyLimitConfig {
            initial: 16.0,
            min: 4.0,
            latency_tolerance: 2.5,
            decrease_factor: 0.8,
            min_window_runs: 30,
        }
    }
}

/// Runs that are judged together.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    sum: f64,
    count: u32,
    /// The most runs that were under way with one of them.
    crowd: usize,
}

/// One member's limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    rules: ConcurrencyLimitConfig,
    most: f64,
    limit: f64,
    /// What a run takes at rest, in microseconds.
    rest: Option<f64>,
    window: Window,
    /// Runs that began before say nothing of the present limit.
    from: Micros,
    /// It has once been too high; before that it grows faster.
    found: bool,
}

impl ConcurrencyLimit {
    /// A limit that never exceeds `most`.
    pub fn new(rules: ConcurrencyLimitConfig, most: usize) -> ConcurrencyLimit {
        let most = most.max(1) as f64;
        let (limit, window) = (rules.initial, Window::default());
        ConcurrencyLimit {
            rules,
            most,
            limit,
            rest: None,
            window,
            from: Micros::MIN,
            found: false,
        }
    }

    /// What was learned, within the bound.
    fn limit(&self) -> f64 {
        self.limit.min(self.most)
    }

    /// Runs that there may be.
    pub fn allowed_runs(&self) -> usize {
        self.limit().max(1.0) as usize
    }

    /// Another bound holds from now on. What was learned stays: a bound that falls for a moment
    /// says nothing of the server.
    pub fn set_upper_bound(&mut self, most: usize) {
        self.most = most.max(1) as f64;
    }

    /// A run that began at `since` went well; with it, so many were under way.
    pub fn record_success(&mut self, now: Micros, since: Micros, in_flight: usize) {
        if since < self.from {
            return;
        }
        let limit = self.limit();
        self.window.sum += (now - since).max(1) as f64;
        self.window.count += 1;
        self.window.crowd = self.window.crowd.max(in_flight);
        if f64::from(self.window.count) < limit.max(f64::from(self.rules.min_window_runs)) {
            return;
        }
        let Window { sum, count, crowd } = std::mem::take(&mut self.window);
        let (mean, crowd) = (sum / f64::from(count), crowd as f64);
        // A server that has become slower for good shows that in runs that have room: those of a
        // full one would make any crowd look like rest.
        let room = crowd <= 1.0 || crowd * 2.0 <= limit;
        let at_least = limit <= self.rules.min.min(self.most);
        let rest = self.rest.unwrap_or(mean);
        let part = match mean < rest {
            true => 0.2,
            false if room || at_least => 0.1,
            false => 0.0,
        };
        let rest = rest + (mean - rest) * part;
        self.rest = Some(rest);
        if mean > rest * self.rules.latency_tolerance {
            self.limit = (limit * self.rules.decrease_factor).max(self.rules.min.min(self.most));
            (self.from, self.found) = (now, true);
        } else if crowd + 1.0 >= limit && limit < self.most {
            let more = if self.found { 1.0 } else { limit / 2.0 };
            self.limit = (limit + more).min(self.most);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A server with so many cores, which takes longer the more runs it has beyond them. Each run
    /// has a length of its own.
    fn play(
        limit: &mut ConcurrencyLimit,
        cores: f64,
        alone: f64,
        now: &mut Micros,
        rounds: u64,
    ) -> usize {
        for round in 0..rounds {
            let runs = limit.allowed_runs();
            let took = alone * (runs as f64 / cores).max(1.0);
            *now += took as Micros * 8;
            for i in 0..runs {
                let draw = (crate::consistent_hash::splitmix64(round * 1000 + i as u64) % 1000 + 1)
                    as f64
                    / 1001.0;
                limit.record_success(*now, *now - (took * -draw.ln()) as Micros, runs);
            }
        }
        limit.allowed_runs()
    }

    #[test]
    fn it_settles_where_the_server_is_full_and_not_far_beyond() {
        for (cores, least, most) in [(8.0, 8, 40), (32.0, 28, 110), (128.0, 100, 450)] {
            let runs = play(
                &mut ConcurrencyLimit::new(ConcurrencyLimitConfig::default(), 1000),
                cores,
                10_000.0,
                &mut 0,
                4000,
            );
            assert!((least..=most).contains(&runs), "{cores} cores: {runs}");
        }
        assert_eq!(
            play(
                &mut ConcurrencyLimit::new(ConcurrencyLimitConfig::default(), 20),
                128.0,
                10_000.0,
                &mut 0,
                1000
            ),
            20
        );
    }

    /// At rest it takes ten times as long from now on: the limit falls, and comes back.
    #[test]
    fn a_server_that_stays_slower_is_not_held_down_for_ever() {
        let (mut limit, mut now) = (
            ConcurrencyLimit::new(ConcurrencyLimitConfig::default(), 64),
            0,
        );
        let before = play(&mut limit, 16.0, 10_000.0, &mut now, 2000);
        let fallen = play(&mut limit, 16.0, 100_000.0, &mut now, 60);
        let after = play(&mut limit, 16.0, 100_000.0, &mut now, 4000);
        assert!(
            before >= 16 && fallen < before && after >= 12,
            "{before} {fallen} {after}"
        );
    }

    #[test]
    fn a_bound_that_falls_and_comes_back_leaves_what_was_learned() {
        let mut limit = ConcurrencyLimit::new(ConcurrencyLimitConfig::default(), 64);
        let before = play(&mut limit, 64.0, 10_000.0, &mut 0, 2000);
        limit.set_upper_bound(1);
        assert_eq!(limit.allowed_runs(), 1);
        (0..100).for_each(|i| limit.record_success(i * 10_000, i * 10_000 - 5_000, 1));
        limit.set_upper_bound(64);
        assert_eq!(limit.allowed_runs(), before);
    }

    #[test]
    fn it_grows_only_where_it_is_used() {
        let mut limit = ConcurrencyLimit::new(ConcurrencyLimitConfig::default(), 1000);
        (0..1000).for_each(|i| limit.record_success(i * 10_000, i * 10_000 - 5_000, 2));
        assert_eq!(limit.allowed_runs(), 16);
    }
}
