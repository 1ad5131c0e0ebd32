//! The paper's control of one line: the modes on its length, and the cut on rank.

use super::*;

/// The share of the aim that a line may take without hurting anybody, and that beyond which nothing
/// joins it.
pub(crate) const SHORT: f64 = 0.1;
pub(crate) const LONG: f64 = 0.4;

/// The three modes on the count waiting to start, checked at every change of it (policy P1).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Modes {
    pub(crate) mode: Mode,
    pub(crate) abate: f64,
    pub(crate) onset: f64,
    pub(crate) discard: f64,
}

impl Modes {
    /// The paper's thresholds are fixed. Here each is the number that the measured rate of success
    /// works off in a share of the aim, so slow servers, heavy requests and runs that fail fast all
    /// lower them.
    pub(crate) fn set(&mut self, rate: f64, aim: f64) {
        // A tenth of the aim is a line too short to hurt; a fifth leaves most of the aim to be
        // read, to run and to call in; beyond four tenths what is read last is unlikely to be
        // answered within its aim.
        let drained = rate * aim / 1e6;
        // Where that is a handful chance alone passes it, so the spread of a chance count is added.
        let above = |share: f64| (share * drained + (share * drained).sqrt()).floor();
        self.abate = above(SHORT).max(1.0);
        self.onset = above(0.2).max(self.abate + 1.0);
        self.discard = (LONG * drained).floor().max(self.onset + 2.0);
    }

    pub(crate) fn check(&mut self, count: f64) {
        self.mode = match self.mode {
            _ if count >= self.discard => Mode::Discard,
            Mode::Normal if count >= self.onset => Mode::Overload,
            Mode::Discard if count <= self.onset => Mode::Overload,
            mode => mode,
        };
        if self.mode == Mode::Overload && count < self.abate {
            self.mode = Mode::Normal;
        }
    }
}

/// The paper's control of one line: the modes, and a cut on rank that says what ranks high. One
/// gate guards the line to start; a second one, an extension, guards the line of requests that
/// still need a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Gate {
    pub(crate) modes: Modes,
    pub(crate) recent: VecDeque<(Micros, f64)>,
    /// Arrivals a second.
    pub(crate) arriving: f64,
    pub(crate) cut: f64,
}

impl Gate {
    pub(crate) fn new(rate: f64, aim: f64) -> Gate {
        let mut modes = Modes {
            mode: Mode::Normal,
            abate: 1.0,
            onset: 2.0,
            discard: 4.0,
        };
        modes.set(rate, aim);
        Gate {
            modes,
            recent: VecDeque::new(),
            arriving: 0.0,
            cut: 0.0,
        }
    }

    pub(crate) fn takes(&self, worth: f64) -> bool {
        match self.modes.mode {
            Mode::Normal => true,
            Mode::Overload => worth >= self.cut,
            Mode::Discard => false,
        }
    }

    /// Sets the thresholds, and puts the cut where the share of arrivals above it is what can be
    /// worked off, less as the line grows. Arrivals are counted over two aims: some dozens of
    /// requests.
    pub(crate) fn set(
        &mut self,
        now: Micros,
        rate: f64,
        aim: f64,
        [count, waiting]: [f64; 2],
        age: Micros,
    ) {
        self.modes.set(rate, aim);
        self.modes.check(count);
        let span = 2.0 * aim;
        while self
            .recent
            .front()
            .is_some_and(|x| (now - x.0) as f64 > span)
        {
            self.recent.pop_front();
        }
        self.arriving = self.recent.len() as f64 / span.min(age.max(1) as f64) * 1e6;
        let line = (waiting - self.modes.abate) / (self.modes.discard - self.modes.abate);
        let keep = rate * (1.2 - 0.6 * line.clamp(0.0, 1.0)) / self.arriving.max(1e-9);
        if self.modes.mode == Mode::Normal || keep >= 1.0 {
            // Callers held back by the level come back bit by bit.
            self.cut = if self.cut < 0.02 {
                0.0
            } else {
                0.97 * self.cut
            };
            return;
        }
        let mut worths: Vec<f64> = self.recent.iter().map(|x| x.1).collect();
        worths.sort_by(f64::total_cmp);
        let at = ((1.0 - keep) * worths.len() as f64) as usize;
        let target = worths.get(at).copied().unwrap_or(0.0);
        self.cut = if target > self.cut {
            target
        } else {
            self.cut + 0.1 * (target - self.cut)
        };
    }
}
