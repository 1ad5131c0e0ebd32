//! Opens the idempotency store at startup, and loads its keys into the core.

use crate::config::operator::{OnDamage, StoreSettings};
use crate::config::platform::Config;
use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::net::idempotency_store;
use crate::supervision::{Subsystem, Supervisor};
use pipitlever_admission::{Class, Micros};
use pipitlever_core::RunStore;
use pipitlever_idempotency_store::class_windows::ClassWindows;
use pipitlever_idempotency_store::commit_queue::{CommitQueue, CommitQueueConfig};
use pipitlever_idempotency_store::disk::{BatchWriter, StoreDirectory};
use pipitlever_idempotency_store::log::{Limits, Log, OpenReport};
use pipitlever_idempotency_store::record::Salt;
use std::rc::Rc;
use std::time::Instant;

/// A store that was opened and read, and whose writer is not started yet.
pub struct OpenedStore {
    settings: StoreSettings,
    log: Log<StoreDirectory>,
    report: OpenReport,
    window: Micros,
    class_windows: ClassWindows,
}

/// Opens the configured store, if there is one.
pub fn open_configured(config: &Config) -> Result<Option<OpenedStore>, String> {
    let Some(settings) = config.store.clone() else {
        return Ok(None);
    };
    let classes = &config.request_settings.admission.classes;
    let longest = |time: fn(&Class) -> Micros| classes.iter().map(time).max().unwrap_or(0);
    // A retry that arrives within its window may be read later, by up to its deadline.
    let window = longest(|c| c.idempotency_window) + longest(|c| c.deadline);
    let names = config.request_settings.classes.iter();
    let class_windows = names
        .zip(classes)
        .map(|(name, class)| (name.clone(), class.idempotency_window))
        .collect();
    open(settings, window, class_windows).map(Some)
}

/// Opens a store and logs its contents and damage. `window` is the longest idempotency window plus
/// the longest deadline, `class_windows` the windows by class.
fn open(
    settings: StoreSettings,
    window: Micros,
    class_windows: ClassWindows,
) -> Result<OpenedStore, String> {
    let folder = settings.folder.display().to_string();
    let started = Instant::now();
    let directory =
        StoreDirectory::open(&settings.folder).map_err(|e| format!("store: {folder}: {e}"))?;
    let (log, report) = Log::open_with_windows(
        directory,
        Limits::for_capacity(settings.capacity_bytes),
        window,
        class_windows.clone(),
    )
    .map_err(|e| format!("store: {folder}: {e}"))?;
    for damage in &report.damage {
        self::log(&format!("store: damage: {folder}/{damage}"));
    }
    if !report.damage.is_empty() && settings.on_damage == OnDamage::Stop {
        return Err(format!(
            "store: {folder}: the store is damaged, and on_damage = \"stop\""
        ));
    }
    let (keys, ms) = (report.keys.len(), started.elapsed().as_millis());
    let ended = report.keys.iter().filter(|k| k.outcome.is_some()).count();
    let used = log.used_bytes();
    self::log(&format!(
        "store: open: folder={folder} keys={keys} ended={ended} used={used} torn={} ms={ms}",
        report.torn_bytes
    ));
    Ok(OpenedStore {
        settings,
        log,
        report,
        window,
        class_windows,
    })
}

impl OpenedStore {
    /// Starts the writer and loads the keys into the core, before its first event. Damage may hide
    /// any key: keyed requests are rejected until the longest window has passed since the start.
    pub fn start(
        mut self,
        supervisor: &Rc<Supervisor>,
        state: &SharedState,
        max_result: usize,
    ) -> Result<(), String> {
        let clocks = self.log.clocks();
        let salt = self.log.salt();
        let limits = Limits::for_capacity(self.settings.capacity_bytes);
        let queue_config = CommitQueueConfig {
            capacity: self.settings.capacity_bytes,
            // Compaction begins two segments, and copies the live records of an old one before it
            // removes that one.
            compaction_reserve: limits.segment_size,
            max_result_bytes: max_result,
            sync_each_record: self.settings.sync_each_record,
        };
        let used = self.log.used_bytes();
        // A random number, so that the ids differ from those of earlier processes.
        let Salt([first_id, _]) = Salt::random().map_err(|e| format!("store: {e}"))?;
        let (sender, results) = async_channel::bounded(1);
        let sentinel = supervisor.thread_sentinel(Subsystem::Store);
        let writer = BatchWriter::start(self.log, move |result| {
            sentinel.panic_point();
            // Fails if the receiver is gone: the process may end without joining this thread.
            let _ = sender.send_blocking(result);
        })
        .map_err(|e| format!("store: cannot start its thread: {e}"))?;
        {
            let mut state = state.borrow_mut();
            let now = state.clock.now();
            let damaged_until = (!self.report.damage.is_empty())
                .then(|| now + self.report.longest_window.max(self.window));
            let commit_queue = CommitQueue::new(queue_config, used, damaged_until, first_id);
            let answer_when_durable = self.settings.answer_when_durable;
            let run_store = RunStore::new(
                commit_queue,
                self.class_windows,
                clocks.since_boot - now,
                answer_when_durable,
                damaged_until,
            );
            for key in &mut self.report.keys {
                key.window_end = state.clock.unix_to_clock(key.window_end);
            }
            state.attach_store(run_store, self.report.keys, salt);
        }
        let driver = idempotency_store::run(state.clone(), writer, results);
        supervisor.spawn(Subsystem::Store, driver).detach();
        Ok(())
    }
}
