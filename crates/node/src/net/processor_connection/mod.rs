//! Command queue of the processor connection, and the tracking of which commands the processor has
//! read.

mod command;
mod run_activity;
mod runs_in_doubt;
#[cfg(test)]
mod tests;

pub use command::ProcessorCommand;

use crate::log::log;
use crate::net::notify::Notify;
use command::QueuedCommand;
use pipitlever_admission::Micros;
use pipitlever_core::{Core, Reference};
use pipitlever_wire::processor;
use run_activity::RunActivity;
use runs_in_doubt::{ProcessorSnapshot, RunsInDoubt};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection is regarded as alive for this time after a reply, in microseconds.
const ALIVE_WINDOW: Micros = 2000;
/// Maximum number of commands in a batch.
const MAX_BATCH: usize = 64;

/// The commands to the processor, and the state of its connection.
///
/// A connection that breaks may lose the last bytes that were written to it. Commands are therefore
/// written in batches, each followed by a gauge query. The next batch is written only after the
/// reply, so that at most one batch can be lost, and it is known which. Commands in the queue have
/// not been read.
#[derive(Debug)]
pub struct ProcessorConnection {
    /// Notified when a batch may be ready to be written, or the connection is to be closed.
    pub changed: Notify,
    /// The processor's address, if there is a processor.
    pub address: Option<SocketAddr>,
    /// Notified when the address changes. The current connection is then closed once all commands
    /// written to it are read.
    pub address_changed: Notify,
    /// Whether the current connection is to be closed, as the address has changed.
    is_closing: bool,
    /// Whether the processor has sent its hello on this connection.
    is_up: bool,
    /// Commands that are not written yet, in order.
    queue: VecDeque<QueuedCommand>,
    /// Commands that are written and not confirmed to be read.
    unconfirmed: Vec<QueuedCommand>,
    /// Unconfirmed starts and interrupts of connections that broke, until the current connection
    /// has delivered all notices that the old ones left unread.
    in_doubt: Vec<QueuedCommand>,
    /// Runs whose last command was unconfirmed when its connection broke, and may not simply be
    /// sent again.
    runs_in_doubt: RunsInDoubt,
    /// Notified when a run comes into doubt.
    pub run_in_doubt: Notify,
    /// Number of runs that have come into doubt.
    runs_in_doubt_count: u64,
    /// Runs whose start was lost and whose requests are answered.
    lost_runs: Vec<Reference>,
    /// What the runs at the processor are known to be doing.
    activity: RunActivity,
    /// Whether notices of old connections may still arrive on the current one.
    is_catching_up: bool,
    /// Number of the last query.
    last_query: u64,
    /// When the last query was written.
    last_query_at: Micros,
    /// Whether the reply to the last query has arrived.
    is_query_answered: bool,
    /// When the last reply arrived.
    last_reply: Micros,
    /// Whether a query is to be sent, for the gauges or to confirm that commands are read.
    is_query_due: bool,
}

impl ProcessorConnection {
    /// Creates an empty queue without a connection or an address.
    pub fn new() -> ProcessorConnection {
        ProcessorConnection {
            changed: Notify::new(),
            address: None,
            address_changed: Notify::new(),
            is_closing: false,
            is_up: false,
            queue: VecDeque::new(),
            unconfirmed: Vec::new(),
            in_doubt: Vec::new(),
            runs_in_doubt: RunsInDoubt::default(),
            run_in_doubt: Notify::new(),
            runs_in_doubt_count: 0,
            lost_runs: Vec::new(),
            activity: RunActivity::default(),
            is_catching_up: false,
            last_query: 0,
            last_query_at: 0,
            is_query_answered: true,
            // Halved, so that the subtraction from the current time does not overflow.
            last_reply: Micros::MIN / 2,
            is_query_due: false,
        }
    }

    /// Queues a command.
    pub fn send(&mut self, command: ProcessorCommand, body: Rc<[u8]>) {
        self.queue.push_back(QueuedCommand { command, body });
        self.changed.notify();
    }

    /// Schedules a gauge query.
    pub fn query_gauges(&mut self) {
        self.is_query_due = true;
        self.changed.notify();
    }

    /// Writes the next batch of commands and a query. Returns false if there is nothing to write
    /// yet.
    pub fn write_batch(&mut self, now: Micros, out: &mut Vec<u8>) -> bool {
        let has_work = self.is_query_due || !self.queue.is_empty();
        if !self.is_up || !self.is_query_answered || self.is_closing || !has_work {
            return false;
        }
        if self.may_write_commands(now) {
            while let Some(command) = self.queue.pop_front() {
                self.unconfirmed.push(command);
                if self.unconfirmed.len() >= MAX_BATCH {
                    break;
                }
            }
        }
        self.is_query_due = false;
        self.is_query_answered = false;
        self.last_query += 1;
        self.last_query_at = now;
        for command in &self.unconfirmed {
            command.write(out);
            if let Some(run) = command.working_run() {
                self.activity.begin_work(now, run);
            }
        }
        processor::write_gauge_query(out, self.last_query);
        true
    }

    /// Whether queued commands may be written; otherwise a query alone has to be answered first.
    /// The start of a run that is not idempotent is never written to a connection that may have
    /// broken since its last reply: a lost start cannot be sent again, as it may have been read.
    fn may_write_commands(&self, now: Micros) -> bool {
        let starts_unrepeatable_run = self.queue.iter().any(|queued| {
            matches!(
                queued.command,
                ProcessorCommand::Start {
                    is_idempotent: false,
                    ..
                }
            )
        });
        let is_alive = now - self.last_reply <= ALIVE_WINDOW;
        !self.is_catching_up && (!starts_unrepeatable_run || is_alive)
    }

    /// Handles the reply to a query. The reply to the last query confirms that the processor has
    /// read all commands that were written before it. `runnable` is the reported number of runs
    /// that use or wait for a core.
    pub fn handle_gauge_reply(
        &mut self,
        now: Micros,
        query: Option<u64>,
        runnable: Option<f64>,
        core: &mut Core,
    ) {
        if query != Some(self.last_query) {
            return;
        }
        self.is_query_answered = true;
        self.last_reply = now;
        self.unconfirmed.clear();
        if std::mem::take(&mut self.is_catching_up) {
            self.requeue_in_doubt(now, core);
        }
        self.conclude_doubts(runnable, core);
        self.changed.notify();
    }

    /// Queues those starts and interrupts in doubt that may be sent again, ahead of all others. The
    /// runs of the other starts stay in doubt. Called once the new connection has delivered all
    /// notices of the old ones.
    fn requeue_in_doubt(&mut self, now: Micros, core: &Core) {
        for command in std::mem::take(&mut self.in_doubt).into_iter().rev() {
            if command.may_resend(core) {
                self.queue.push_front(command);
                continue;
            }
            let run = command.working_run().filter(|run| core.is_running(*run));
            if let Some(run) = run {
                self.add_run_in_doubt(now, run, command);
            }
        }
    }

    fn add_run_in_doubt(&mut self, now: Micros, run: Reference, command: QueuedCommand) {
        self.runs_in_doubt.add(now, run, command);
        self.runs_in_doubt_count += 1;
        self.run_in_doubt.notify();
    }

    /// Handles the runs that have not read their last command: a reply is queued again, ahead of
    /// all other commands. A start is not, since the proof is not certain enough for a second run;
    /// its run ends once its request is answered.
    fn conclude_doubts(&mut self, runnable: Option<f64>, core: &mut Core) {
        if self.runs_in_doubt.is_empty() {
            return;
        }
        let snapshot = ProcessorSnapshot {
            queried_at: self.last_query_at,
            runnable,
        };
        let silent = self
            .runs_in_doubt
            .take_silent(snapshot, &self.activity, |in_doubt| {
                in_doubt.command.is_reply() || !core.is_unanswered(in_doubt.run)
            });
        for in_doubt in silent {
            let (run, silent_ms) = (in_doubt.run, in_doubt.silence(snapshot) / 1000);
            if !in_doubt.command.is_reply() {
                log(&format!(
                    "processor: start lost ref={run:016x} silent_ms={silent_ms}"
                ));
                self.lost_runs.push(run);
            } else if core.may_resend_reply(run) {
                log(&format!(
                    "processor: reply sent again ref={run:016x} silent_ms={silent_ms}"
                ));
                self.queue.push_front(in_doubt.command);
            }
        }
    }

    /// Takes the runs whose start was lost and whose requests are answered, so that they can be
    /// ended.
    pub fn take_lost_runs(&mut self) -> Vec<Reference> {
        std::mem::take(&mut self.lost_runs)
    }

    /// Number of runs of which it is not known whether the processor has read their last command.
    /// Gauges are needed to find out.
    pub fn runs_in_doubt(&self) -> usize {
        self.runs_in_doubt.len()
    }

    /// Whether any run has been in doubt since the start.
    pub fn has_had_doubts(&self) -> bool {
        self.runs_in_doubt_count > 0
    }

    /// Handles a notice that a run has requested a call or has ended. It has read its start and
    /// waits for no earlier reply, so neither may be sent to it any more. Called before the notice
    /// is passed to the core.
    pub fn handle_work_ended(&mut self, now: Micros, run: Reference) {
        self.activity.end_work(now, run);
        self.forget_commands(run);
    }

    /// Handles the rejection of a start or a reply: the run does not wait for either.
    pub fn handle_command_rejected(&mut self, run: Reference) {
        self.activity.forget(run);
        self.forget_commands(run);
    }

    /// Removes the start of a run and replies to it, wherever they are.
    fn forget_commands(&mut self, run: Reference) {
        let is_other = |queued: &QueuedCommand| queued.working_run() != Some(run);
        self.queue.retain(is_other);
        self.unconfirmed.retain(is_other);
        self.in_doubt.retain(is_other);
        self.runs_in_doubt.remove(run);
    }

    /// Whether the connection can be closed: the processor's address has changed, and the processor
    /// has read all commands that were written to this connection.
    pub fn is_finished(&self) -> bool {
        self.is_closing && (self.is_query_answered || !self.is_up)
    }

    /// Handles the end of the connection.
    pub fn handle_disconnect(&mut self) {
        self.is_up = false;
        self.is_closing = false;
    }

    /// Handles the processor's hello on a new connection. A query is written before any command:
    /// its reply follows all notices that the old connection left unread. An unanswered query of
    /// the old connection is no longer waited for: the processor repeats only numbered notices, and
    /// gauge replies have no number.
    pub fn handle_hello(&mut self, now: Micros) {
        self.is_up = true;
        self.is_query_due = true;
        self.is_query_answered = true;
        for command in std::mem::take(&mut self.unconfirmed) {
            self.add_in_doubt(now, command);
        }
        self.is_catching_up = true;
        self.changed.notify();
    }

    /// Adds a command that was written to a broken connection and not confirmed.
    fn add_in_doubt(&mut self, now: Micros, command: QueuedCommand) {
        if let Some(run) = command.working_run() {
            self.activity.forget(run);
        }
        match command.command {
            ProcessorCommand::CallReply(run) => self.add_run_in_doubt(now, run, command),
            _ => self.in_doubt.push(command),
        }
    }

    /// Sets the processor's address.
    pub fn set_address(&mut self, address: Option<SocketAddr>) {
        let previous = std::mem::replace(&mut self.address, address);
        if previous.is_some() && previous != address {
            self.is_closing = true;
            self.address_changed.notify();
            self.changed.notify();
        }
    }
}
