//! Transfer of idempotency keys between two processes of a node, and the limits that they share.
//!
//! `docs/hot-restart.md` describes the phases.

use crate::core::Core;
use crate::effect::Answer;
use crate::idempotency_table::{CachedOutcome, RestoredKey, WindowOrigin};
use pipitlever_admission::Micros;
use pipitlever_hot_restart::key_authority::UnknownKeyDecision;
use pipitlever_hot_restart::message::{self, KeyEntry, KeyState, Message, MAX_RESULT_BYTES};
use std::rc::Rc;

/// The largest share of its memory that the controller reserves, as in its memory budget.
const RESERVABLE_SHARE: f64 = 0.9;
/// The smallest share of the processor's memory that a process keeps while another one runs.
const MIN_MEMORY_SHARE: f64 = 0.5;

impl Core {
    /// Starts the transfer of keys to the successor, and passes the authority over unknown keys to
    /// it.
    pub fn freeze_keys(&mut self) {
        self.key_transfer.authority.set_remote(true);
        self.keys.record_updates(true);
    }

    /// Cancels the transfer after the successor has exited without serving requests.
    pub fn unfreeze_keys(&mut self) {
        self.key_transfer.authority.set_remote(false);
        self.keys.record_updates(false);
    }

    /// Handles the exit of the other process before all of its keys were transferred. Until the
    /// windows of the lost keys end, an unknown key may already have been run there.
    pub fn handle_keys_lost(&mut self, now: Micros) {
        self.keys.record_updates(false);
        let until = now + self.longest_key_lifetime();
        self.key_transfer.authority.handle_keys_lost(until);
        self.key_transfer.keys_lost_at = Some(now);
    }

    /// Extends the time in which lost keys are expected, after a new configuration has made a window
    /// longer.
    pub(super) fn extend_lost_keys(&mut self) {
        let Some(lost_at) = self.key_transfer.keys_lost_at else {
            return;
        };
        let until = lost_at + self.longest_key_lifetime();
        self.key_transfer.authority.extend_uncertainty(until);
    }

    /// The longest time after a run within which a duplicate of it may be read.
    fn longest_key_lifetime(&self) -> Micros {
        let windows = self.settings.classes.iter().map(|c| c.idempotency_window);
        let longest_window = windows.max().unwrap_or(0);
        // A duplicate that arrived within the window may be read until its caller stops waiting.
        longest_window + self.keys.read_delay()
    }

    /// Whether this process accepts requests with unknown keys.
    pub fn has_key_authority(&self, now: Micros) -> bool {
        !self.key_transfer.authority.is_uncertain(now)
    }

    /// The answer to a request with an unknown key; `None` if the request is handled as a new one.
    pub(super) fn check_unknown_key(&self, now: Micros, is_retry: bool) -> Option<Answer> {
        let authority = &self.key_transfer.authority;
        match authority.decide(now, is_retry, self.retries_are_marked) {
            UnknownKeyDecision::Accept => None,
            UnknownKeyDecision::Reject => Some(Answer::rejected(0)),
            UnknownKeyDecision::Fail => Some(Answer::Failed { timed_out: false }),
        }
    }

    /// The next key update for the successor, if there is one. `to_unix` is the offset from the
    /// node's clock to Unix time, in microseconds.
    pub fn next_key_update(&mut self, to_unix: Micros) -> Option<Message> {
        let (key, entry) = self.keys.next_update()?;
        let Some(entry) = entry else {
            return Some(Message::KeyReleased(key.to_string()));
        };
        let state = match &entry.outcome {
            None => KeyState::InProgress,
            Some(CachedOutcome::Served(result)) if result.len() <= MAX_RESULT_BYTES => {
                KeyState::Served(result.to_vec())
            }
            // A larger result does not fit into a message. Duplicates then fail at the successor,
            // and the key is not run again.
            Some(CachedOutcome::Served(_) | CachedOutcome::Failed) => KeyState::Failed,
            Some(CachedOutcome::Unknown { .. }) => KeyState::Unknown,
        };
        let transferred = KeyEntry {
            key: key.to_string(),
            payload_digest: entry.payload_digest,
            window_end: entry.window_end.saturating_add(to_unix),
            state,
        };
        Some(match &entry.window_origin {
            Some(origin) => {
                let class = origin.class.to_string();
                let start = origin.start.saturating_add(to_unix);
                Message::KeyWithOrigin(transferred, message::WindowOrigin { class, start })
            }
            None => Message::Key(transferred),
        })
    }

    /// Whether there are key updates that have not been sent to the successor.
    pub fn has_key_updates(&self) -> bool {
        self.keys.has_updates()
    }

    /// Applies a key update from the predecessor. `to_unix` is as in [`Core::next_key_update`], for
    /// this process's clock. The key's window ends when it does at the predecessor, or later if the
    /// window in force in this process is longer.
    pub fn apply_transferred_key(
        &mut self,
        now: Micros,
        entry: KeyEntry,
        origin: Option<message::WindowOrigin>,
        to_unix: Micros,
    ) {
        let key: Rc<str> = Rc::from(&*entry.key);
        let window_origin = origin.map(|origin| WindowOrigin {
            class: Rc::from(origin.class),
            start: origin.start.saturating_sub(to_unix),
        });
        let window_end = self.window_end_in_force(
            window_origin.as_ref(),
            entry.window_end.saturating_sub(to_unix),
        );
        self.keys.extend_window(&key, window_end);
        let outcome = match entry.state {
            KeyState::InProgress => None,
            KeyState::Served(result) if result.len() <= self.keys.max_result_bytes() => {
                Some(CachedOutcome::Served(Rc::from(result)))
            }
            // A result beyond the limit can be neither returned nor cached.
            KeyState::Served(_) | KeyState::Failed => Some(CachedOutcome::Failed),
            KeyState::Unknown => Some(CachedOutcome::Unknown { window_end }),
        };
        if self.key_transfer.in_progress.contains(&key) {
            if let Some(outcome) = outcome {
                self.finish_transferred_key(now, &key, &outcome);
            }
            return;
        }
        // Entries of this process and entries with an outcome are not replaced.
        if self.keys.window_end(&key).is_some() {
            return;
        }
        if outcome.is_none() {
            self.key_transfer.in_progress.insert(key.clone());
        }
        let owner = self.requests.allocate_id();
        self.keys.restore(RestoredKey {
            key: &key,
            owner,
            payload_digest: entry.payload_digest,
            window_end,
            window_origin,
            outcome,
        });
    }

    /// Handles a key that the predecessor released without a run. Its waiting duplicates become
    /// requests of their own.
    pub fn release_transferred_key(&mut self, now: Micros, key: &str) {
        let Some(key) = self.key_transfer.in_progress.take(key) else {
            return;
        };
        self.advance_to(now);
        let entry = self.keys.remove(&key);
        let waiting = entry.map(|entry| entry.waiting).unwrap_or_default();
        self.release_waiting(waiting, None);
        self.process_pending(now);
    }

    /// Handles the exit of the predecessor. Keys that were still in progress there get an unknown
    /// outcome.
    pub fn resolve_orphaned_keys(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.key_transfer.in_progress) {
            let window_end = self.keys.window_end(&key).unwrap_or(now);
            self.finish_transferred_key(now, &key, &CachedOutcome::Unknown { window_end });
        }
    }

    /// The share of the processor's memory that this process needs while another one runs: half, or
    /// more if it already uses more.
    pub fn required_memory_share(&self) -> f64 {
        let controller = self.admission.controller();
        let used_kb = controller.map_or(0.0, |controller| controller.status().memory_kb);
        (used_kb / RESERVABLE_SHARE / self.settings.memory_kb).clamp(MIN_MEMORY_SHARE, 1.0)
    }

    /// Whether a keyed run is in progress.
    pub fn has_keyed_runs(&self) -> bool {
        self.requests
            .iter()
            .any(|request| request.incoming.idempotency_key.is_some() && request.is_running())
    }

    fn finish_transferred_key(&mut self, now: Micros, key: &Rc<str>, outcome: &CachedOutcome) {
        self.key_transfer.in_progress.remove(key);
        self.advance_to(now);
        if self.keys.window_end(key).is_none() {
            return;
        }
        self.cache_and_answer_waiting(key, outcome);
        self.process_pending(now);
    }
}
