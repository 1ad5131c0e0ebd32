//! The core's state and its entry points, one module per concern.

mod actions;
mod answers;
mod calls;
mod configuration;
mod duplicates;
mod durability;
mod hot_restart;
mod intake;
mod resend;
mod runs;
mod shutdown;
mod status;
mod wakeups;

pub use intake::OVERLOAD_RETRY_AFTER;
pub use status::TableSizes;

use crate::admission::Admission;
use crate::availability::Availability;
use crate::class_table::ClassTable;
use crate::counters::Counters;
use crate::effect::Effect;
use crate::gauges::GaugeSource;
use crate::idempotency_table::IdempotencyTable;
use crate::key_transfer::KeyTransfer;
use crate::memory_limits::MemoryLimits;
use crate::request_table::RequestTable;
use crate::run_store::RunStore;
use crate::timers::TimerQueue;
use pipitlever_admission::{Micros, Settings};
use pipitlever_capture::recorder::Recorder;
use shutdown::ShutdownNotice;
use std::rc::Rc;

/// Lower limit of the configured interval between two calls of one request.
const MIN_CALL_INTERVAL: Micros = 1000;

/// The state of a node in memory.
pub struct Core {
    /// The latest time passed in. The controller requires a monotonic clock.
    now: Micros,
    settings: Settings,
    admission: Admission,
    requests: RequestTable,
    keys: IdempotencyTable,
    key_transfer: KeyTransfer,
    /// Persists keyed runs over a restart; `None` if the node has no store.
    store: Option<Box<RunStore>>,
    timers: TimerQueue,
    gauges: GaugeSource,
    availability: Availability,
    /// The shutdown notice, if it was received.
    shutdown: Option<ShutdownNotice>,
    /// Effects that the drivers have not taken yet, in order.
    effects: Vec<Effect>,
    /// The shortest interval between two calls of one request.
    call_interval: Micros,
    /// Whether gateways mark every retry.
    pub retries_are_marked: bool,
    /// Counters since the start.
    pub counters: Counters,
    /// The request classes.
    pub classes: ClassTable,
}

impl Core {
    /// Creates the core of a node whose controller is not started.
    ///
    /// `class_names` are the names of the classes of the settings. `call_interval` is the shortest
    /// interval between two calls of one request, in microseconds, and `max_result_bytes` the limit
    /// on a result.
    pub fn new(
        settings: Settings,
        class_names: &[Rc<str>],
        seed: u64,
        call_interval: Micros,
        max_result_bytes: usize,
        limits: MemoryLimits,
    ) -> Core {
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(0);
        Core {
            now: 0,
            availability: Availability::new(settings.max_keepalive),
            settings,
            admission: Admission::new(seed),
            requests: RequestTable::new(limits.requests),
            // A request is read before its caller stops waiting, so the longest deadline bounds the
            // time from arrival to reading.
            keys: IdempotencyTable::new(limits.keys, max_result_bytes, longest_deadline),
            key_transfer: KeyTransfer::default(),
            store: None,
            timers: TimerQueue::default(),
            gauges: GaugeSource::processor(),
            shutdown: None,
            effects: Vec::new(),
            call_interval: call_interval.max(MIN_CALL_INTERVAL),
            retries_are_marked: false,
            counters: Counters::default(),
            classes: ClassTable::new(class_names),
        }
    }

    /// Swaps the pending effects, in order, for an empty list, whose capacity is reused.
    pub fn take_effects(&mut self, list: &mut Vec<Effect>) {
        debug_assert!(
            list.is_empty(),
            "effects of an earlier call were not carried out"
        );
        std::mem::swap(&mut self.effects, list);
    }

    /// Starts a capture of all events, actions and answers, or ends it.
    pub fn set_capture(&mut self, capture: Option<Recorder>) {
        self.admission.set_capture(capture);
    }

    /// Advances the clock. Earlier times have no effect.
    fn advance_to(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }
}
