//! Opens the store at the start, and has the core take over what it holds.

use crate::config::operator::{OnDamage, Store};
use crate::config::platform::Config;
use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::net::idempotency_store;
use crate::supervision::{Subsystem, Supervisor};
use pipitlever_admission::{Class, Micros};
use pipitlever_core::RunStore;
use pipitlever_idempotency_store::commit_queue::{CommitQueue, CommitQueueConfig};
use pipitlever_idempotency_store::disk::{BatchWriter, StoreDirectory};
use pipitlever_idempotency_store::log::{Limits, Log, OpenReport};
use pipitlever_idempotency_store::record::Salt;
use std::rc::Rc;
use std::time::Instant;

/// A store that was opened and read, and is not in use yet.
pub struct Opened {
    settings: Store,
    log: Log<StoreDirectory>,
    found: OpenReport,
    window: Micros,
}

/// Opens the store that a configuration names, if it names one.
pub fn open_configured(config: &Config) -> Result<Option<Opened>, String> {
    let Some(settings) = config.store.clone() else {
        return Ok(None);
    };
    let classes = &config.tuning.admission.classes;
    let longest = |time: fn(&Class) -> Micros| classes.iter().map(time).max().unwrap_or(0);
    // A retry that arrived within its window may be read as late as its caller waits.
    let window = longest(|c| c.idempotency_window) + longest(|c| c.deadline);
    open(settings, window).map(Some)
}

/// Opens it, for a node whose longest window is this, with the time in which its repeats are read.
/// What it finds is told.
fn open(settings: Store, window: Micros) -> Result<Opened, String> {
    let place = settings.folder.display().to_string();
    let start = Instant::now();
    let disk =
        StoreDirectory::open(&settings.folder).map_err(|e| format!("store: {place}: {e}"))?;
    let (log, found) = Log::open(disk, Limits::for_capacity(settings.most), window)
        .map_err(|e| format!("store: {place}: {e}"))?;
    for damage in &found.damage {
        self::log(&format!("store: damage: {place}/{damage}"));
    }
    if !found.damage.is_empty() && settings.on_damage == OnDamage::Stop {
        return Err(format!("store: {place}: damaged, and on_damage = \"stop\""));
    }
    let (keys, ms) = (found.keys.len(), start.elapsed().as_millis());
    let ended = found.keys.iter().filter(|k| k.outcome.is_some()).count();
    let used = log.used_bytes();
    self::log(&format!(
        "store: open: folder={place} keys={keys} ended={ended} used={used} torn={} ms={ms}",
        found.torn_bytes
    ));
    Ok(Opened {
        settings,
        log,
        found,
        window,
    })
}

impl Opened {
    /// The core takes over, before it is told anything else. Damage may hide any key: until the
    /// longest window has passed since the start, keyed requests are refused.
    pub fn begin(
        mut self,
        supervisor: &Rc<Supervisor>,
        state: &SharedState,
        most_result: usize,
    ) -> Result<(), String> {
        let machine = self.log.clocks();
        let salt = self.log.salt();
        let limits = Limits::for_capacity(self.settings.most);
        let rules = CommitQueueConfig {
            capacity: self.settings.most,
            // Cleaning writes what is left of one segment before it takes it away, and begins two.
            compaction_reserve: limits.segment_size,
            max_result_bytes: most_result,
            sync_each_record: self.settings.each,
        };
        let used = self.log.used_bytes();
        let Salt([first, _]) = Salt::random().map_err(|e| format!("store: {e}"))?;
        let (sender, done) = async_channel::bounded(1);
        let sentinel = supervisor.thread_sentinel(Subsystem::Store);
        let writer = BatchWriter::start(self.log, move |result| {
            sentinel.panic_point();
            // The node ends by leaving this thread behind, with nobody to listen.
            let _ = sender.send_blocking(result);
        })
        .map_err(|e| format!("store: no thread: {e}"))?;
        {
            let mut state = state.borrow_mut();
            let now = state.clock.now();
            let suspect = (!self.found.damage.is_empty())
                .then(|| now + self.found.longest_window.max(self.window));
            let gate = CommitQueue::new(rules, used, suspect, first);
            let wait = self.settings.wait;
            let durable = RunStore::new(gate, machine.since_boot - now, wait, suspect);
            for key in &mut self.found.keys {
                key.window_end = state.clock.unix_to_clock(key.window_end);
            }
            state.attach_store(durable, self.found.keys, salt);
        }
        let passing = idempotency_store::run(state.clone(), writer, done);
        supervisor.spawn(Subsystem::Store, passing).detach();
        Ok(())
    }
}
