//! Hysteretic overload control of one queue: three modes on its length, and a priority cutoff.
//!
//! The modes and their transitions are those of Gaidamaka et al., "Analysis of an M|G|1|R queue
//! with batch arrivals and two hysteretic overload control policies", section 2:
//!
//! | mode | admits | ends at length |
//! | --- | --- | --- |
//! | normal | all requests | H, the onset threshold: overload |
//! | overload | priorities from the cutoff on | L-1: normal; R: discard |
//! | discard | none | H: overload |
//!
//! L is the abatement threshold and R the discard threshold, with 0 < L < H < R.
//!
//! The mode is evaluated at every change of the length, as in the paper's policy P1. The paper's
//! thresholds are fixed, and so is the type of a customer, of which overload admits only type 1;
//! here the thresholds and the priority cutoff follow the measured completion rate.

use super::latency::{MICROS_PER_SECOND, MIN_RATE};
use crate::interface::{Micros, Mode};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The share of the latency objective that requests can be queued without harm; determines L.
pub(crate) const HARMLESS_WAIT: f64 = 0.1;
/// The share that leaves most of the latency objective to reading, runs and calls; determines H.
const ACCEPTABLE_WAIT: f64 = 0.2;
/// The share beyond which the last request of the queue is unlikely to meet its objective;
/// determines R.
pub(crate) const LONGEST_WAIT: f64 = 0.4;

/// The admitted rate over the completion rate in overload at length L, and how much less it is at
/// length R.
const ADMITTED_SHARE: f64 = 1.2;
const ADMITTED_SHARE_DROP: f64 = 0.6;
/// A decaying cutoff below this value becomes 0.
const NEGLIGIBLE_CUTOFF: f64 = 0.02;
/// The factor by which the cutoff decays per control interval in normal mode. The decay lets
/// callers that reduced their traffic at the advertised backpressure level return gradually.
const CUTOFF_DECAY: f64 = 0.97;
/// The share of the distance by which the cutoff falls towards a lower target per control interval.
const CUTOFF_FALL: f64 = 0.1;
/// Arrivals are observed over this multiple of the latency objective: some dozens of requests.
pub(crate) const OBSERVATION_OBJECTIVES: f64 = 2.0;

/// The mode and its thresholds. `abatement`, `onset` and `discard` are the paper's L, H and R, with
/// 0 < L < H < R. The `rename` attributes here and below are the names in captures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hysteresis {
    pub(crate) mode: Mode,
    #[serde(rename = "abate")]
    pub(crate) abatement: f64,
    pub(crate) onset: f64,
    pub(crate) discard: f64,
}

impl Hysteresis {
    /// Sets each threshold to the number of requests that `completion_rate` (per second) serves in
    /// a share of the latency objective (microseconds). Slow servers, expensive requests and failed
    /// runs lower the rate and with it the thresholds.
    fn set_thresholds(&mut self, completion_rate: f64, objective: f64) {
        let served = completion_rate * objective / MICROS_PER_SECOND;
        // Random variation alone exceeds small counts, so one standard deviation of a Poisson
        // distributed count is added.
        let with_variation = |share: f64| (share * served + (share * served).sqrt()).floor();
        self.abatement = with_variation(HARMLESS_WAIT).max(1.0);
        self.onset = with_variation(ACCEPTABLE_WAIT).max(self.abatement + 1.0);
        self.discard = (LONGEST_WAIT * served).floor().max(self.onset + 2.0);
    }

    /// Applies the mode transitions at this queue length.
    pub(crate) fn update_mode(&mut self, length: f64) {
        self.mode = match self.mode {
            _ if length >= self.discard => Mode::Discard,
            Mode::Normal if length >= self.onset => Mode::Overload,
            Mode::Discard if length <= self.onset => Mode::Overload,
            mode => mode,
        };
        if self.mode == Mode::Overload && length < self.abatement {
            self.mode = Mode::Normal;
        }
    }
}

/// The measurements of a queue by the control loop.
pub(crate) struct QueueObservation {
    /// Requests per second that leave the queue successfully.
    pub(crate) completion_rate: f64,
    /// The length that determines the mode.
    pub(crate) length: f64,
    /// The part of the length that lowers the admitted rate. For the start queue, these are the
    /// queued requests; requests that have not been read do not count.
    pub(crate) waiting: f64,
    /// The time since the controller's first step.
    pub(crate) uptime: Micros,
}

/// The controller of one queue: the modes, and the cutoff that separates high from low priorities.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HysteresisController {
    #[serde(rename = "modes")]
    pub(crate) hysteresis: Hysteresis,
    /// Time and effective priority of recent arrivals.
    #[serde(rename = "recent")]
    pub(crate) recent_arrivals: VecDeque<(Micros, f64)>,
    /// Arrivals per second.
    #[serde(rename = "arriving")]
    pub(crate) arrival_rate: f64,
    /// The lowest priority that is admitted in overload.
    #[serde(rename = "cut")]
    pub(crate) cutoff: f64,
}

impl HysteresisController {
    /// Creates a controller in normal mode, for a queue with this completion rate (per second) and
    /// latency objective (microseconds).
    pub(crate) fn new(completion_rate: f64, objective: f64) -> HysteresisController {
        let mut hysteresis = Hysteresis {
            mode: Mode::Normal,
            abatement: 1.0,
            onset: 2.0,
            discard: 4.0,
        };
        hysteresis.set_thresholds(completion_rate, objective);
        HysteresisController {
            hysteresis,
            recent_arrivals: VecDeque::new(),
            arrival_rate: 0.0,
            cutoff: 0.0,
        }
    }

    /// Whether a request of this effective priority is admitted.
    pub(crate) fn admits(&self, priority: f64) -> bool {
        match self.hysteresis.mode {
            Mode::Normal => true,
            Mode::Overload => priority >= self.cutoff,
            Mode::Discard => false,
        }
    }

    /// Adjusts thresholds, mode and cutoff to the latest observation.
    pub(crate) fn adjust(&mut self, now: Micros, objective: f64, observed: &QueueObservation) {
        self.hysteresis
            .set_thresholds(observed.completion_rate, objective);
        self.hysteresis.update_mode(observed.length);
        self.measure_arrivals(now, objective, observed.uptime);
        let admitted_share = self.admitted_share(observed);
        if self.hysteresis.mode == Mode::Normal || admitted_share >= 1.0 {
            self.decay_cutoff();
        } else {
            self.move_cutoff_towards(self.priority_quantile(1.0 - admitted_share));
        }
    }

    fn measure_arrivals(&mut self, now: Micros, objective: f64, uptime: Micros) {
        let window = OBSERVATION_OBJECTIVES * objective;
        while self
            .recent_arrivals
            .front()
            .is_some_and(|(at, _)| (now - at) as f64 > window)
        {
            self.recent_arrivals.pop_front();
        }
        self.arrival_rate = self.recent_arrivals.len() as f64 / window.min(uptime.max(1) as f64)
            * MICROS_PER_SECOND;
    }

    /// The share of arrivals that can be served; falls as the queue grows from L to R.
    fn admitted_share(&self, observed: &QueueObservation) -> f64 {
        let Hysteresis {
            abatement, discard, ..
        } = self.hysteresis;
        let fill = (observed.waiting - abatement) / (discard - abatement);
        observed.completion_rate * (ADMITTED_SHARE - ADMITTED_SHARE_DROP * fill.clamp(0.0, 1.0))
            / self.arrival_rate.max(MIN_RATE)
    }

    fn decay_cutoff(&mut self) {
        self.cutoff = if self.cutoff < NEGLIGIBLE_CUTOFF {
            0.0
        } else {
            CUTOFF_DECAY * self.cutoff
        };
    }

    /// The priority below which this share of the recent arrivals lies.
    fn priority_quantile(&self, share: f64) -> f64 {
        let mut priorities: Vec<f64> = self.recent_arrivals.iter().map(|(_, p)| *p).collect();
        priorities.sort_by(f64::total_cmp);
        let position = (share * priorities.len() as f64) as usize;
        priorities.get(position).copied().unwrap_or(0.0)
    }

    /// Raises the cutoff immediately, or lowers it gradually.
    fn move_cutoff_towards(&mut self, target: f64) {
        self.cutoff = if target > self.cutoff {
            target
        } else {
            self.cutoff + CUTOFF_FALL * (target - self.cutoff)
        };
    }
}
