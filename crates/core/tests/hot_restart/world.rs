//! Model of two processes of one node and the connection between them.

mod checks;

use crate::common::{fill_cores, SECOND};
use crate::process::Process;
use pipitlever_admission::Micros;
use pipitlever_core::Reference;
use pipitlever_hot_restart::message::{Message, Welcome};
use pipitlever_hot_restart::predecessor::{self, Predecessor};
use pipitlever_hot_restart::successor::{self, ConnectionLoss, Successor};
use std::collections::VecDeque;

/// Attempts of the key, one after the other; the first one is not marked as a retry.
const MAX_ATTEMPTS: u64 = 3;
const STEP_TIME: Micros = 1000;

/// One step of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The next attempt arrives at the predecessor.
    ArriveAtPredecessor,
    /// The next attempt arrives at the successor.
    ArriveAtSuccessor,
    /// The predecessor's oldest run completes.
    CompleteAtPredecessor,
    /// The successor's oldest run completes.
    CompleteAtSuccessor,
    /// The caller of the predecessor's oldest attempt disconnects.
    Abandon,
    /// The successor is ready and requests the keys.
    Ready,
    /// The predecessor sends its next key update, or the end of the snapshot.
    Send,
    /// The predecessor receives a message, or the end of the connection.
    PredecessorReceives,
    /// The successor receives a message, or the end of the connection.
    SuccessorReceives,
    /// The predecessor crashes.
    PredecessorCrashes,
    /// The successor crashes.
    SuccessorCrashes,
    /// The predecessor closes the connection, and both processes keep running.
    PredecessorDisconnects,
    /// The successor closes the connection, and both processes keep running.
    SuccessorDisconnects,
}

/// All steps.
pub const ALL_STEPS: [Step; 13] = [
    Step::ArriveAtPredecessor,
    Step::ArriveAtSuccessor,
    Step::CompleteAtPredecessor,
    Step::CompleteAtSuccessor,
    Step::Abandon,
    Step::Ready,
    Step::Send,
    Step::PredecessorReceives,
    Step::SuccessorReceives,
    Step::PredecessorCrashes,
    Step::SuccessorCrashes,
    Step::PredecessorDisconnects,
    Step::SuccessorDisconnects,
];

/// The processes, their state machines, and the connection.
pub struct World {
    now: Micros,
    old: Process,
    new: Process,
    predecessor: Predecessor,
    successor: Successor,
    to_predecessor: VecDeque<Message>,
    to_successor: VecDeque<Message>,
    /// The predecessor has sent all keys.
    is_snapshot_sent: bool,
    /// The predecessor has handled the end of the connection.
    has_predecessor_handled_disconnect: bool,
    /// The successor has handled the end of the connection.
    has_successor_handled_disconnect: bool,
    has_yielded: bool,
    /// The step that closed the connection.
    disconnected_by: Option<Step>,
    attempts: u64,
    runs: u64,
    /// Attempts that arrived after the run had started.
    late_attempts: Vec<Reference>,
}

impl World {
    /// The state once the successor is connected. With `is_queued`, the predecessor's cores are
    /// busy, so that attempts are queued there.
    pub fn new(is_queued: bool) -> World {
        let mut old = Process::new();
        if is_queued {
            fill_cores(&mut old.core);
        }
        let (mut predecessor, mut successor) = (Predecessor::default(), Successor::connecting());
        assert!(predecessor.handle_connect());
        let welcome = Welcome {
            node_name: "n".into(),
            sockets: vec![],
            salt: [0; 2],
        };
        successor
            .handle_message(Message::Welcome(welcome))
            .expect("the first message");
        let mut world = World {
            now: SECOND,
            old,
            new: Process::new(),
            predecessor,
            successor,
            to_predecessor: VecDeque::new(),
            to_successor: VecDeque::new(),
            is_snapshot_sent: false,
            has_predecessor_handled_disconnect: false,
            has_successor_handled_disconnect: false,
            has_yielded: false,
            disconnected_by: None,
            attempts: 0,
            runs: 0,
            late_attempts: Vec::new(),
        };
        world.carry_out_effects();
        world
    }

    fn is_successor_serving(&self) -> bool {
        matches!(
            self.successor.phase(),
            successor::Phase::Mirror | successor::Phase::Standalone
        )
    }

    fn is_connected(&self) -> bool {
        self.old.is_alive && self.new.is_alive && self.disconnected_by.is_none()
    }

    /// Whether a step can happen now.
    pub fn is_possible(&self, step: Step) -> bool {
        let both_alive = self.old.is_alive && self.new.is_alive;
        let has_attempts_left = self.attempts < MAX_ATTEMPTS;
        match step {
            Step::ArriveAtPredecessor => self.old.is_alive && has_attempts_left,
            Step::ArriveAtSuccessor => {
                self.new.is_alive && self.is_successor_serving() && has_attempts_left
            }
            Step::CompleteAtPredecessor => self.old.is_alive && !self.old.running.is_empty(),
            Step::CompleteAtSuccessor => self.new.is_alive && !self.new.running.is_empty(),
            Step::Abandon => {
                self.old.is_alive && self.old.abandoned.is_empty() && !self.old.attempts.is_empty()
            }
            Step::Ready => {
                self.new.is_alive
                    && !self.has_successor_handled_disconnect
                    && self.successor.phase() == successor::Phase::Prepare
            }
            Step::Send => self.can_send(),
            Step::PredecessorReceives => self.can_predecessor_receive(),
            Step::SuccessorReceives => self.can_successor_receive(),
            // At most one process crashes, since there is no third one to serve the node.
            Step::PredecessorCrashes | Step::SuccessorCrashes => both_alive,
            Step::PredecessorDisconnects => self.is_connected(),
            // The successor closes the connection only once it serves; before, it exits instead.
            Step::SuccessorDisconnects => {
                self.is_connected() && self.successor.phase() == successor::Phase::Mirror
            }
        }
    }

    fn can_send(&self) -> bool {
        let is_requested = matches!(
            self.predecessor.phase(),
            predecessor::Phase::Freeze | predecessor::Phase::Mirror
        );
        let has_message = self.old.core.has_key_updates() || !self.is_snapshot_sent;
        self.is_connected() && is_requested && has_message
    }

    /// Messages sent before a crash are still received after it, followed by the end of the
    /// connection.
    fn can_predecessor_receive(&self) -> bool {
        let has_message = self.disconnected_by != Some(Step::PredecessorDisconnects)
            && !self.to_predecessor.is_empty();
        // After it has yielded, the predecessor waits for the exit of the successor.
        let is_disconnected = self.disconnected_by.is_some() && !self.predecessor.has_yielded();
        let is_connection_closed = !self.new.is_alive || is_disconnected;
        self.old.is_alive
            && !self.has_predecessor_handled_disconnect
            && (has_message || is_connection_closed)
    }

    fn can_successor_receive(&self) -> bool {
        let has_message = self.disconnected_by != Some(Step::SuccessorDisconnects)
            && !self.to_successor.is_empty();
        let is_connection_closed = !self.old.is_alive || self.disconnected_by.is_some();
        self.new.is_alive
            && !self.has_successor_handled_disconnect
            && (has_message || is_connection_closed)
    }

    /// Executes a step, which has to be possible.
    pub fn execute(&mut self, step: Step) {
        self.now += STEP_TIME;
        let now = self.now;
        match step {
            Step::ArriveAtPredecessor | Step::ArriveAtSuccessor => self.arrive(step),
            Step::CompleteAtPredecessor => self.old.complete_oldest_run(now),
            Step::CompleteAtSuccessor => self.new.complete_oldest_run(now),
            Step::Abandon => {
                let reference = self.old.attempts[0].reference;
                self.old.abandoned.push(reference);
                self.old.core.handle_abandoned(now, reference);
            }
            Step::Ready => {
                assert!(self.successor.handle_ready());
                self.to_predecessor.push_back(Message::Freeze);
            }
            Step::Send => self.send(),
            Step::PredecessorReceives => self.predecessor_receives(),
            Step::SuccessorReceives => self.successor_receives(),
            Step::PredecessorCrashes => self.old.is_alive = false,
            Step::SuccessorCrashes => self.new.is_alive = false,
            Step::PredecessorDisconnects | Step::SuccessorDisconnects => {
                self.disconnected_by = Some(step);
            }
        }
        self.carry_out_effects();
    }

    fn arrive(&mut self, step: Step) {
        self.attempts += 1;
        let reference = self.attempts;
        if self.runs > 0 {
            self.late_attempts.push(reference);
        }
        let process = if step == Step::ArriveAtPredecessor {
            &mut self.old
        } else {
            &mut self.new
        };
        process.arrive(self.now, reference);
    }

    fn send(&mut self) {
        let message = self.old.core.next_key_update(0).unwrap_or_else(|| {
            self.is_snapshot_sent = true;
            Message::SnapshotComplete {
                is_standby: false,
                memory_share: 0.5,
            }
        });
        self.to_successor.push_back(message);
    }

    fn predecessor_receives(&mut self) {
        let is_closed = self.disconnected_by == Some(Step::PredecessorDisconnects);
        let message = self.to_predecessor.pop_front().filter(|_| !is_closed);
        let Some(message) = message else {
            return self.predecessor_disconnects();
        };
        match self.predecessor.handle_message(&message) {
            predecessor::Action::FreezeKeys => self.old.core.freeze_keys(),
            action => {
                assert_eq!(action, predecessor::Action::Yield);
                self.has_yielded = true;
                self.to_successor
                    .push_back(Message::Yielded { membership: None });
            }
        }
    }

    fn predecessor_disconnects(&mut self) {
        self.has_predecessor_handled_disconnect = true;
        for action in self.predecessor.handle_disconnect() {
            match action {
                predecessor::Action::UnfreezeKeys => self.old.core.unfreeze_keys(),
                predecessor::Action::Resume => {
                    assert!(
                        !self.new.is_alive,
                        "the predecessor resumes while the successor runs"
                    );
                    self.old.core.handle_keys_lost(self.now);
                }
                _ => {}
            }
        }
    }

    fn successor_receives(&mut self) {
        let is_closed = self.disconnected_by == Some(Step::SuccessorDisconnects);
        let message = self.to_successor.pop_front().filter(|_| !is_closed);
        let Some(message) = message else {
            return self.successor_disconnects();
        };
        let now = self.now;
        match self
            .successor
            .handle_message(message)
            .expect("a message that the phase allows")
        {
            successor::Action::ApplyKey(entry, origin) => {
                self.new.core.apply_transferred_key(now, entry, origin, 0);
            }
            successor::Action::ReleaseKey(key) => {
                self.new.core.release_transferred_key(now, &key);
            }
            successor::Action::ConfirmSnapshot { .. } => {
                self.to_predecessor.push_back(Message::SnapshotReceived);
            }
            action => assert_eq!(action, successor::Action::Serve { membership: None }),
        }
    }

    fn successor_disconnects(&mut self) {
        self.has_successor_handled_disconnect = true;
        match self.successor.handle_disconnect(!self.old.is_alive) {
            ConnectionLoss::Abort => self.new.is_alive = false,
            loss => {
                if loss != ConnectionLoss::KeysComplete {
                    self.new.core.handle_keys_lost(self.now);
                }
                self.new.core.resolve_orphaned_keys(self.now);
            }
        }
    }

    fn carry_out_effects(&mut self) {
        self.runs += self.old.carry_out_effects() + self.new.carry_out_effects();
    }
}
