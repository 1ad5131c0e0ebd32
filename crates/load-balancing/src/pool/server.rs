//! One member, with what is known of it.

use super::*;

#[derive(Debug)]
pub(super) struct Server<A> {
    pub(super) number: u32,
    pub(super) settings: Member<A>,
    pub(super) health: OutlierDetector,
    pub(super) limit: ConcurrencyLimit,
    /// Peak-sensitive: rises at once, fades. In microseconds, as of `seen`.
    pub(super) latency: Option<f64>,
    pub(super) seen: Micros,
    /// Runs under way, the oldest first.
    pub(super) runs: BTreeSet<(Micros, RunId)>,
    /// The operator has taken it out of the file: it finishes what it has.
    pub(super) gone: bool,
    /// It is out, and another node tries it before this one does.
    pub(super) behind: bool,
}

impl<A> Server<A> {
    pub(super) fn latency(&self, now: Micros, fade: Micros, typical: f64) -> f64 {
        let faded = |latency: f64| {
            latency * (-((now - self.seen).max(0) as f64) / fade.max(1) as f64).exp()
        };
        let known = self.latency.map_or(typical, faded);
        // One that hangs shows in what it has not answered.
        let waits = self.runs.first().map_or(0, |(since, _)| now - since) as f64;
        known.max(waits / 2.0).max(1.0)
    }

    pub(super) fn observe(&mut self, now: Micros, took: Micros, fade: Micros) {
        let took = took.max(1) as f64;
        let left = (-((now - self.seen).max(0) as f64) / fade.max(1) as f64).exp();
        self.latency = Some(match self.latency {
            Some(latency) if took < latency * left => {
                // A tenth each, or what the time has faded, whichever is more.
                (latency * left.min(0.9))
                    .max(latency * left * 0.9 + took * 0.1)
                    .max(took)
            }
            _ => took,
        });
        self.seen = now;
    }

    pub(super) fn enabled(&self) -> bool {
        !self.gone && self.settings.mode == MemberMode::Active
    }
}
