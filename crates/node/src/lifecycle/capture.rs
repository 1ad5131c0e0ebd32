//! Switches the capture on and off: at the start, on SIGHUP, at the end.

use crate::config::operator::CaptureSettings;
use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::supervision::{Subsystem, Supervisor};
use pipitlever_capture::disk::{start_writer, CaptureDirectory, WriterThread};
use pipitlever_capture::recorder::{record_queue, RunInfo, DEFAULT_QUEUE_BYTES};
use pipitlever_capture::writer::{CaptureWriter, Limits, WriterEvent};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long the end of the process waits for the last records. A disk that hangs costs them, not
/// the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The capture as it runs now, if it does.
pub struct CaptureController {
    supervisor: Rc<Supervisor>,
    node: String,
    seed: u64,
    /// Bytes of the queue to the writer.
    queue_bytes: usize,
    active: Option<(CaptureSettings, WriterThread)>,
}

/// Bytes of the queue, for a process of so much memory: its writer takes as much again while it is
/// behind.
fn queue_bytes(process_memory: usize) -> usize {
    DEFAULT_QUEUE_BYTES.min(process_memory / 64)
}

/// What a capture takes of the process's memory at the most, beside one copy of the module's state.
pub fn max_memory(process_memory: usize) -> usize {
    3 * queue_bytes(process_memory)
}

impl CaptureController {
    /// Nothing is captured yet.
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

    /// Captures as this says from now on.
    pub fn configure(&mut self, state: &SharedState, settings: Option<CaptureSettings>) {
        if self.active.as_ref().map(|n| &n.0) == settings.as_ref() {
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
            Err(error) => log(&format!("capture: stopped: no thread: {error}")),
        }
    }

    /// Captures nothing more, as the writer's thread has panicked. The next reload begins anew.
    pub fn handle_failure(&mut self, state: &SharedState) {
        if self.active.take().is_some() {
            state.borrow_mut().core.set_capture(None);
            log("capture: stopped: its thread has panicked; SIGHUP starts it again");
        }
    }

    /// Captures nothing more, and gives the writer a moment for the rest.
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
