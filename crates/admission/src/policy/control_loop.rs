//! The periodic control loop, and graceful shutdown.
//!
//! The loop measures the server and adjusts the concurrency limit, the stall detector, the
//! thresholds and cutoffs of the queues, the idle timeout, and the advertised backpressure level.

use super::controller::{Controller, Queue, Shutdown};
use super::hysteresis::QueueObservation;
use super::latency::MICROS_PER_SECOND;
use crate::interface::{Action, BackpressureKind, Micros};

/// The interval of the loop as a share of the shortest latency objective.
const CONTROL_INTERVAL_SHARE: f64 = 0.1;
/// Runs are considered to progress if one made progress within this multiple of the mean interval
/// between ends of runs.
const PROGRESS_INTERVALS: f64 = 3.0;
/// Smaller changes of the backpressure level are not advertised.
const MIN_LEVEL_CHANGE: f64 = 0.02;

/// An idle connection is useful if its caller sends the next request within this share of the
/// latency objective.
const USEFUL_IDLE: f64 = 0.5;
/// The number of open connections per core that are accepted in addition to the useful ones.
const HARMLESS_CONNECTIONS: f64 = 4.0;
/// The factors by which the idle timeout changes per control interval.
const IDLE_SHRINK: f64 = 0.8;
const IDLE_GROWTH: f64 = 1.1;

impl Controller {
    /// Runs the control loop if it is due.
    pub(super) fn run_control_loop(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_control {
            return;
        }
        self.next_control = self.now + (CONTROL_INTERVAL_SHARE * self.objective) as Micros;
        self.adjust_concurrency();
        self.adjust_queues();
        self.adjust_idle_timeout(actions);
        self.advertise_level(actions);
    }

    fn adjust_concurrency(&mut self) {
        let running = self.running();
        let mean_core_time = self.concurrency.mean_core_time;
        // Idle cores suggest that runs wait for a disk, but not if no run ends: then additional
        // runs would stall as well.
        let since_progress = (self.now - self.stall.last_progress) as f64;
        let is_progressing =
            since_progress <= PROGRESS_INTERVALS * mean_core_time / running.max(1.0);
        let can_grow = is_progressing && !self.queued.is_empty();
        self.concurrency
            .adjust(&self.settings, self.now, self.cpu_utilization, can_grow);
        self.stall.update(
            &self.settings,
            self.now,
            running,
            mean_core_time,
            self.objective,
        );
    }

    fn adjust_queues(&mut self) {
        let start_rate = self.completion_rate();
        let call_rate = self.calls.completion_rate(&self.settings);
        let uptime = self.now - self.started_at.unwrap_or(self.now);
        for queue in Queue::ALL {
            let length = self.queue_length(queue);
            let (completion_rate, waiting) = match queue {
                Queue::Start => (start_rate, self.queued.len() as f64),
                Queue::Call => (call_rate, length),
            };
            let observed = QueueObservation {
                completion_rate,
                length,
                waiting,
                uptime,
            };
            self.queue_controls[queue as usize].adjust(self.now, self.objective, &observed);
        }
    }

    /// Limits idle connections, which use CPU time and occupy connection slots until new callers
    /// cannot connect. The timeout shrinks while more connections are open than can be reused soon
    /// ([`USEFUL_IDLE`]) plus the number that is harmless ([`HARMLESS_CONNECTIONS`]).
    fn adjust_idle_timeout(&mut self, actions: &mut Vec<Action>) {
        let arrival_rate = self.queue_control(Queue::Start).arrival_rate;
        let acceptable = USEFUL_IDLE * arrival_rate * self.objective / MICROS_PER_SECOND
            + HARMLESS_CONNECTIONS * self.settings.cores;
        let timeout = if self.connections > acceptable {
            IDLE_SHRINK * self.idle_timeout
        } else {
            IDLE_GROWTH * self.idle_timeout
        };
        let timeout = timeout
            .max(USEFUL_IDLE * self.objective)
            .min(self.settings.max_keepalive as f64);
        if timeout != self.idle_timeout {
            self.idle_timeout = timeout;
            actions.push(Action::CloseIdle(timeout as Micros));
        }
    }

    fn advertise_level(&mut self, actions: &mut Vec<Action>) {
        let Some(level) = self.backpressure_level() else {
            return;
        };
        if self.shutdown.is_none() && (level - self.advertised_level).abs() > MIN_LEVEL_CHANGE {
            self.advertised_level = level;
            actions.push(Action::Backpressure(level));
        }
    }

    /// The backpressure level that corresponds to the priority cutoff of the start queue.
    fn backpressure_level(&self) -> Option<f64> {
        let start = self.queue_control(Queue::Start);
        let cutoff = if self.stall.is_stalled {
            1.0
        } else {
            start.cutoff
        };
        match self.settings.backpressure {
            BackpressureKind::Threshold => Some(cutoff),
            BackpressureKind::Share => Some(1.0 - cutoff),
            BackpressureKind::Window => {
                let capacity = self.concurrency.limit + start.hysteresis.onset;
                Some(capacity * (1.0 - cutoff) / self.settings.callers.max(1.0))
            }
            BackpressureKind::Disabled => None,
        }
    }

    /// Begins a graceful shutdown of a process that stops after this time. All deadlines move to
    /// before the stop.
    pub(super) fn begin_shutdown(&mut self, remaining: Micros, actions: &mut Vec<Action>) {
        let stop_at = self.now + (remaining - 2 * self.tick()).max(0);
        self.shutdown = Some(Shutdown {
            last_arrival: self.now + self.settings.safety.drain_grace,
            stop_at,
        });
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(stop_at);
        }
        actions.push(Action::Health(false));
        match self.settings.backpressure {
            BackpressureKind::Disabled => {}
            // The highest threshold.
            BackpressureKind::Threshold => actions.push(Action::Backpressure(1.0)),
            // An empty window or share.
            BackpressureKind::Window | BackpressureKind::Share => {
                actions.push(Action::Backpressure(0.0));
            }
        }
    }
}
