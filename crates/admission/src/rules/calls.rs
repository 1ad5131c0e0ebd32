//! How many calls may be in the hands of the layer below.

use super::*;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Calls {
    pub(crate) placed: f64,
    pub(crate) lingering: VecDeque<Micros>,
    /// Seconds of calls in hand that may still be spent; below nought after a slow call.
    pub(crate) credit: f64,
    pub(crate) at: Micros,
    pub(crate) limit: f64,
    pub(crate) latency: Timing,
}

impl Calls {
    /// The least and the most that the bound may be. What a shared layer survives is some times
    /// what it does well; a fifth of the share keeps it busy. A tier tells no share: there it lies
    /// from a call a core to as many calls as there may be runs.
    pub(crate) fn bounds(s: &Settings) -> [f64; 2] {
        match s.downstream {
            Downstream::Tier => [
                s.cores.max(1.0),
                (0.65 * s.safety.max_concurrency_per_core * s.cores).max(s.cores.max(1.0)),
            ],
            _ => [0.3 * s.call_share, 0.45 * s.call_share],
        }
    }

    /// Credit comes in at the bound and is spent by calls in hand, so the mean in hand is the bound
    /// however slow calls are, also where it is far below one call at a time. A fifth of the rule's
    /// span is saved up.
    pub(crate) fn advance(&mut self, s: &Settings, now: Micros) {
        while self.lingering.front().is_some_and(|&until| until <= now) {
            self.lingering.pop_front();
        }
        let gained = (self.limit - self.in_hand()) * (now - self.at) as f64;
        self.credit = (self.credit + gained).min(0.2 * self.limit * s.call_window as f64);
        self.at = now;
    }

    pub(crate) fn in_hand(&self) -> f64 {
        self.placed + self.lingering.len() as f64
    }

    /// A chance bunch, which the fleet as a whole evens out, may pass the bound twice over, or be
    /// one call: larger ones would crowd a layer that is already slow.
    pub(crate) fn bunch(&self) -> f64 {
        (2.0 * self.limit).max(1.0)
    }

    pub(crate) fn room(&self, s: &Settings, ceiling: f64) -> bool {
        let hands = self.in_hand() + 1.0;
        if s.downstream != Downstream::Shared {
            return hands <= self.limit.min(ceiling);
        }
        hands <= self.bunch() && self.credit > 0.0
    }

    /// When a call is given up: all servers may find themselves with a slow call at once. What the
    /// bound and the saved credit leave of nine tenths of the share over the rule's span is what
    /// calls may overspend, lingering included.
    pub(crate) fn patience(&self, s: &Settings) -> Micros {
        if s.downstream != Downstream::Shared {
            return Micros::MAX;
        }
        let spare = (0.9 * s.call_share - 1.2 * self.limit) / self.bunch();
        let spare = (spare * s.call_window as f64) as Micros;
        spare - s.call_linger.min(spare / 2)
    }

    /// Calls a second that the bound allows. A tier's share is not told, and what its window lets
    /// through is no promise: there the whole line is to be one that hurts nobody.
    pub(crate) fn rate(&self, s: &Settings) -> f64 {
        if self.latency.mean == 0.0 {
            return f64::INFINITY;
        }
        let share = if s.downstream == Downstream::Tier {
            SHORT / LONG
        } else {
            1.0
        };
        share * self.limit / self.latency.mean * 1e6
    }

    pub(crate) fn ended(&mut self, s: &Settings, now: Micros, took: f64, outcome: Outcome) {
        self.placed -= 1.0;
        if outcome == Outcome::Rejected || outcome == Outcome::Unreachable {
            self.credit -= self.latency.mean;
        }
        if outcome == Outcome::TimedOut || outcome == Outcome::Cancelled {
            self.lingering.push_back(now + s.call_linger);
        }
        if outcome == Outcome::Success || outcome == Outcome::TimedOut {
            self.latency.learn(took);
        }
        // Latency well over the best means that calls wait in line below: fewer at a time do as
        // much.
        if outcome != Outcome::Success || self.latency.mean > 1.5 * self.latency.best {
            self.limit *= 0.95;
        } else if s.downstream == Downstream::Tier
            || self.credit < 0.5 * 0.2 * self.limit * s.call_window as f64
        {
            self.limit += 0.05 * self.limit;
        }
        let [least, most] = Calls::bounds(s);
        self.limit = self.limit.clamp(least, most);
    }
}
