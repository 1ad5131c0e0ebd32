//! Starts and stops the capture at startup, on SIGHUP and at shutdown.

use crate::config::operator::CaptureSettings;
use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::supervision::{Subsystem, Supervisor};
use pipitlever_capture::disk::{start_writer, CaptureDirectory, WriterThread};
use pipitlever_capture::recorder::{record_queue, RunInfo, DEFAULT_QUEUE_BYTES};
use pipitlever_capture::writer::{CaptureWriter, Limits, WriterEvent};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long the shutdown waits for the last records to be written. If the disk hangs, these are
/// lost and the process ends in time.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The running capture, if there is one.
pub struct CaptureController {
    supervisor: Rc<Supervisor>,
    node: String,
    seed: u64,
    /// Size of the queue to the writer thread.
    queue_bytes: usize,
    active: Option<(CaptureSettings, WriterThread)>,
}

/// Size of the queue in a process with this memory limit, in bytes. The writer drains the queue
/// into a buffer, which may become as large.
fn queue_bytes(process_memory: usize) -> usize {
    DEFAULT_QUEUE_BYTES.min(process_memory / 64)
}

/// The most memory that a capture uses, in bytes, beside one copy of the admission controller's
/// state.
pub fn max_memory(process_memory: usize) -> usize {
    3 * queue_bytes(process_memory)
}

impl CaptureController {
    /// Creates a controller; no capture runs yet.
    pub fn new(
        supervisor: Rc<Supervisor>,
        node: &str,
        seed: u64,
        process_memory: usize,
    ) -> CaptureController {
        CaptureController {
            supervisor,
            node: node.to_owned(),
            seed,
            queue_bytes: queue_bytes(process_memory),
            active: None,
        }
    }

    /// Stops the running capture and starts one with these settings, unless they are unchanged.
    pub fn configure(&mut self, state: &SharedState, settings: Option<CaptureSettings>) {
        if self.active.as_ref().map(|active| &active.0) == settings.as_ref() {
            return;
        }
        self.stop(state);
        let Some(settings) = settings else { return };
        let mut state = state.borrow_mut();
        let run = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let run_info = RunInfo {
            build: env!("CARGO_PKG_VERSION").into(),
            node: self.node.clone(),
            run,
            classes: state.class_names(),
            seed: self.seed,
            is_initial: state.core.is_starting(),
        };
        let (recorder, receiver) = record_queue(run_info, self.queue_bytes);
        let limits = Limits {
            segment_bytes: settings.segment_bytes,
            total_bytes: settings.max_bytes,
        };
        let directory = CaptureDirectory::new(&settings.folder);
        let writer = CaptureWriter::new(directory, limits, &self.node);
        let sentinel = self.supervisor.thread_sentinel(Subsystem::Capture);
        let log_event = move |event: &WriterEvent| {
            sentinel.panic_point();
            log(&event.to_string());
        };
        match start_writer(writer, receiver, log_event) {
            Ok(thread) => {
                state.core.set_capture(Some(recorder));
                self.active = Some((settings, thread));
            }
            Err(error) => log(&format!(
                "capture: stopped: cannot start its thread: {error}"
            )),
        }
    }

    /// Stops capturing after a panic of the writer thread. The next reload starts it again.
    pub fn handle_failure(&mut self, state: &SharedState) {
        if self.active.take().is_some() {
            state.borrow_mut().core.set_capture(None);
            log("capture: stopped: its thread has panicked; SIGHUP starts it again");
        }
    }

    /// Stops capturing, and waits up to `FLUSH_TIMEOUT` for the writer to finish.
    pub fn stop(&mut self, state: &SharedState) {
        let Some((_, thread)) = self.active.take() else {
            return;
        };
        state.borrow_mut().core.set_capture(None);
        if !thread.wait(FLUSH_TIMEOUT) {
            log("capture: stopped: the last records are not on the disk yet");
        }
    }
}
