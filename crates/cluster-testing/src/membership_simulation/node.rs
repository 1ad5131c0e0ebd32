//! A simulated node: a process with a clock of its own, which may be paused or slow.

use super::network::TrafficCounters;
use fastrand::Rng;
use pipitlever_membership::{Membership, Micros};

/// Datagrams that the socket of a paused process buffers; the system drops the others.
const MAX_BUFFERED_DATAGRAMS: usize = 256;
/// The clocks of nodes differ by up to this time.
const MAX_CLOCK_OFFSET: Micros = 3_600_000_000;
/// The rates of clocks differ by up to this fraction.
const CLOCK_RATE_SPREAD: f64 = 2e-4;

/// A clock that differs from the virtual clock in offset and rate.
struct Clock {
    offset: Micros,
    rate: f64,
}

impl Clock {
    /// Draws a clock; no two nodes' clocks agree.
    fn random(rng: &mut Rng) -> Clock {
        Clock {
            offset: rng.i64(0..MAX_CLOCK_OFFSET),
            rate: 1.0 + (rng.f64() - 0.5) * CLOCK_RATE_SPREAD,
        }
    }
}

/// The scheduling of a slow process: it runs in turns, and events of the meantime wait for the next
/// turn.
struct Scheduler {
    max_delay: Micros,
    turn_started_at: Micros,
    busy_until: Micros,
}

/// A simulated node.
pub(super) struct Node {
    pub(super) name: String,
    /// The membership of the process; `None` while no process runs.
    pub(super) membership: Option<Membership>,
    pub(super) is_paused: bool,
    /// The virtual time of the scheduled wakeup.
    pub(super) wakeup: Option<Micros>,
    /// Counts the processes that were started on this node.
    pub(super) process: u64,
    pub(super) traffic: TrafficCounters,
    receive_buffer: Vec<Vec<u8>>,
    clock: Clock,
    scheduler: Scheduler,
}

impl Node {
    /// Creates a node without a process.
    pub(super) fn new(name: String, rng: &mut Rng) -> Node {
        Node {
            name,
            membership: None,
            is_paused: false,
            wakeup: None,
            process: 0,
            traffic: TrafficCounters::default(),
            receive_buffer: Vec::new(),
            clock: Clock::random(rng),
            scheduler: Scheduler {
                max_delay: 0,
                turn_started_at: -1,
                busy_until: 0,
            },
        }
    }

    /// Starts a process with this name and membership.
    pub(super) fn start(&mut self, name: &str, membership: Membership) {
        self.process += 1;
        self.name = name.to_owned();
        self.membership = Some(membership);
        self.is_paused = false;
        self.wakeup = None;
        self.receive_buffer.clear();
    }

    /// Ends the process.
    pub(super) fn crash(&mut self) {
        self.membership = None;
        self.is_paused = false;
        self.wakeup = None;
    }

    /// Whether a process runs that is not paused.
    pub(super) fn is_responsive(&self) -> bool {
        self.membership.is_some() && !self.is_paused
    }

    /// Whether the scheduled wakeup is due.
    pub(super) fn is_wakeup_due(&self, now: Micros) -> bool {
        self.is_responsive() && self.wakeup.is_some_and(|at| at <= now)
    }

    /// Keeps a datagram that arrives while the process is paused.
    pub(super) fn buffer(&mut self, datagram: Vec<u8>) {
        if self.receive_buffer.len() < MAX_BUFFERED_DATAGRAMS {
            self.receive_buffer.push(datagram);
        }
    }

    /// Takes the datagrams that arrived while the process was paused.
    pub(super) fn take_buffered(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.receive_buffer)
    }

    /// Converts virtual time to this node's clock.
    pub(super) fn local_time(&self, now: Micros) -> Micros {
        self.clock.offset + (now as f64 * self.clock.rate) as Micros
    }

    /// Converts a time of this node's clock to virtual time; times that are past become `now`.
    pub(super) fn virtual_time(&self, local: Micros, now: Micros) -> Micros {
        let elapsed = (local - self.clock.offset) as f64 / self.clock.rate;
        (elapsed.ceil() as Micros).max(now)
    }

    /// Sets the maximum duration of a turn in microseconds; 0 for a process that runs at once.
    pub(super) fn set_max_scheduling_delay(&mut self, max_delay: Micros) {
        self.scheduler.max_delay = max_delay;
    }

    /// Starts a turn, or continues the one that started at `now`. Returns the start of the next turn
    /// if the process is busy with an earlier one.
    pub(super) fn take_turn(&mut self, now: Micros, rng: &mut Rng) -> Result<(), Micros> {
        let scheduler = &mut self.scheduler;
        if scheduler.max_delay == 0 || scheduler.turn_started_at == now {
            return Ok(());
        }
        if scheduler.busy_until > now {
            return Err(scheduler.busy_until);
        }
        scheduler.turn_started_at = now;
        scheduler.busy_until = now + rng.i64(0..=scheduler.max_delay);
        Ok(())
    }
}
