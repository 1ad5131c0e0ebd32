//! Command queue of the processor connection, and the tracking of which commands the processor has
//! read.

use crate::net::notify::Notify;
use pipitlever_admission::Micros;
use pipitlever_core::{Core, Reference};
use pipitlever_wire::processor;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection is regarded as alive for this time after a reply, in microseconds.
const ALIVE_WINDOW: Micros = 2000;
/// Maximum number of commands in a batch.
const MAX_BATCH: usize = 64;

/// A command to the processor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessorCommand {
    /// Starts a run.
    Start {
        /// Reference of the request.
        reference: Reference,
        /// Whether the run must not happen twice.
        is_keyed: bool,
        /// Name of the request's class.
        class: Rc<str>,
    },
    /// The reply to a request's ledger call.
    CallReply(Reference),
    /// Stops a run.
    Interrupt(Reference),
}

#[derive(Clone, Debug)]
struct QueuedCommand {
    command: ProcessorCommand,
    body: Rc<[u8]>,
}

impl QueuedCommand {
    fn write(&self, out: &mut Vec<u8>) {
        match &self.command {
            ProcessorCommand::Start {
                reference, class, ..
            } => processor::write_start(out, *reference, class, &self.body),
            ProcessorCommand::CallReply(reference) => {
                processor::write_call_reply(out, *reference, &self.body);
            }
            ProcessorCommand::Interrupt(reference) => processor::write_interrupt(out, *reference),
        }
    }

    /// Whether the command may be sent again if the processor may have read it already. The start
    /// of a keyed run may not be sent again: the run may have ended.
    fn may_resend(&self, core: &mut Core) -> bool {
        match &self.command {
            ProcessorCommand::Start {
                reference,
                is_keyed,
                ..
            } => !is_keyed && core.may_resend_start(*reference),
            ProcessorCommand::CallReply(reference) => core.may_resend_reply(*reference),
            ProcessorCommand::Interrupt(reference) => core.may_resend_stop(*reference),
        }
    }
}

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
    /// Unconfirmed commands of connections that broke, until the current connection has delivered
    /// all notices that the old ones left unread.
    in_doubt: Vec<QueuedCommand>,
    /// Whether notices of old connections may still arrive on the current one.
    is_catching_up: bool,
    /// Number of the last query.
    last_query: u64,
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
            is_catching_up: false,
            last_query: 0,
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
        for command in &self.unconfirmed {
            command.write(out);
        }
        processor::write_gauge_query(out, self.last_query);
        true
    }

    /// Whether queued commands may be written; otherwise a query alone has to be answered first.
    /// The start of a keyed run is never written to a connection that may have broken since its
    /// last reply: a lost start cannot be distinguished from one that was read, and cannot be sent
    /// again.
    fn may_write_commands(&self, now: Micros) -> bool {
        let starts_keyed_run = self.queue.iter().any(|queued| {
            matches!(
                queued.command,
                ProcessorCommand::Start { is_keyed: true, .. }
            )
        });
        let is_alive = now - self.last_reply <= ALIVE_WINDOW;
        !self.is_catching_up && (!starts_keyed_run || is_alive)
    }

    /// Handles the reply to a query. The reply to the last query confirms that the processor has
    /// read all commands that were written before it.
    pub fn handle_gauge_reply(&mut self, now: Micros, query: Option<u64>, core: &mut Core) {
        if query != Some(self.last_query) {
            return;
        }
        self.is_query_answered = true;
        self.last_reply = now;
        self.unconfirmed.clear();
        if std::mem::take(&mut self.is_catching_up) {
            self.requeue_in_doubt(core);
        }
        self.changed.notify();
    }

    /// Queues those commands in doubt that may be sent again, ahead of all others. Called once the
    /// new connection has delivered all notices of the old ones.
    fn requeue_in_doubt(&mut self, core: &mut Core) {
        for command in std::mem::take(&mut self.in_doubt).into_iter().rev() {
            if command.may_resend(core) {
                self.queue.push_front(command);
            }
        }
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
    pub fn handle_hello(&mut self) {
        self.is_up = true;
        self.is_query_due = true;
        self.is_query_answered = true;
        self.in_doubt.append(&mut self.unconfirmed);
        self.is_catching_up = true;
        self.changed.notify();
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
