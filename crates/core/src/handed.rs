//! Keys that pass from one process of the node to the next one, and the room that the two share
//! meanwhile.

use super::keys::Kept;
use super::{Answer, Core, MemoryLimits};
use pipitlever_admission::{Micros, Settings};
use pipitlever_hot_restart::key_authority::{KeyAuthority, UnknownKeyDecision};
use pipitlever_hot_restart::message::{KeyEntry, KeyState, Message, MAX_RESULT_BYTES};
use std::collections::BTreeSet;
use std::rc::Rc;

/// What another process of this node means for this one.
#[derive(Debug, Default)]
pub struct Handed {
    /// What may be thought of keys that are not known here.
    authority: KeyAuthority,
    /// Keys that are held or run in the process before this one.
    open: BTreeSet<Rc<str>>,
    /// The other process is there: the share of the processor's memory that this one may take.
    share: Option<f64>,
    /// The node goes on in another process: this one's end is not the node's.
    superseded: bool,
}

impl Core {
    /// Another process asks for the keys: those that are not known here are its own from now on.
    pub fn freeze_keys(&mut self) {
        self.handed.authority.set_remote(true);
        self.keys.tell(true);
    }

    /// It is gone without having served.
    pub fn unfreeze_keys(&mut self) {
        self.handed.authority.set_remote(false);
        self.keys.tell(false);
    }

    /// It is gone, and keys that it has run are not known here.
    pub fn distrust_unknown_keys(&mut self, now: Micros) {
        self.keys.tell(false);
        let window = self
            .settings
            .classes
            .iter()
            .map(|c| c.idempotency_window)
            .max()
            .unwrap_or(0);
        // A repeat that came within a window may be read as late as its caller waits.
        self.handed
            .authority
            .handle_keys_lost(now + window + self.keys.reading());
    }

    /// Why a try with a key that is not known here is not taken, if it isn't.
    pub(super) fn doubts(&self, now: Micros, retry: bool) -> Option<Answer> {
        match self
            .handed
            .authority
            .decide(now, retry, self.retries_are_marked)
        {
            UnknownKeyDecision::Accept => None,
            UnknownKeyDecision::Reject => Some(Answer::Rejected {
                retry_after: 0,
                no_retry: false,
            }),
            UnknownKeyDecision::Fail => Some(Answer::Failed { timed_out: false }),
        }
    }

    /// The next thing that the process that takes over is to hear of the keys, with times moved on
    /// to Unix time by this.
    pub fn next_key_update(&mut self, to_unix: Micros) -> Option<Message> {
        let (key, entry) = self.keys.next_news()?;
        let Some(entry) = entry else {
            return Some(Message::KeyReleased(key.to_string()));
        };
        let state = match &entry.kept {
            None => KeyState::InProgress,
            Some(Kept::Served(result)) if result.len() <= MAX_RESULT_BYTES => {
                KeyState::Served(result.to_vec())
            }
            // Its repeats fail at the other process; never does it run again.
            Some(Kept::Served(_)) => KeyState::Failed,
            Some(Kept::Failed) => KeyState::Failed,
            Some(Kept::Unknown(_)) => KeyState::Unknown,
        };
        let until = entry.until.saturating_add(to_unix);
        Some(Message::Key(KeyEntry {
            key: key.to_string(),
            payload_digest: entry.payload,
            window_end: until,
            state,
        }))
    }

    /// Whether the process that takes over has not heard all.
    pub fn has_key_updates(&self) -> bool {
        self.keys.has_news()
    }

    /// The process before this one says how a key stands; `until` is on this node's clock.
    pub fn apply_transferred_key(&mut self, now: Micros, key: KeyEntry, until: Micros) {
        let name: Rc<str> = Rc::from(&*key.key);
        let kept = match key.state {
            KeyState::InProgress => None,
            // A result too long to be passed on can't be kept either.
            KeyState::Served(result) if result.len() <= self.most_result => {
                Some(Kept::Served(Rc::from(result)))
            }
            KeyState::Served(_) | KeyState::Failed => Some(Kept::Failed),
            KeyState::Unknown => Some(Kept::Unknown(until)),
        };
        let open = self.handed.open.contains(&name);
        match (open, kept) {
            (true, None) => {}
            (true, Some(kept)) => self.settle_handed(now, &name, kept),
            // What is known here otherwise is this process's own, or at its end.
            (false, _) if self.keys.repeated(&name, Micros::MIN).is_some() => {}
            (false, kept) => {
                self.next_id += 1;
                if kept.is_none() {
                    self.handed.open.insert(name.clone());
                }
                self.keys
                    .recover(&name, self.next_id, key.payload_digest, until, kept);
            }
        }
    }

    /// No run of a key began in the process before this one, and none will: its repeats are
    /// requests of their own.
    pub fn release_transferred_key(&mut self, now: Micros, key: &str) {
        if let Some(key) = self.handed.open.take(key) {
            self.now = self.now.max(now);
            let waiting = self
                .keys
                .remove(&key)
                .map(|e| e.waiting)
                .unwrap_or_default();
            self.release(waiting, None);
            self.pump(now);
        }
    }

    /// The process before this one has ended: how its open keys came out is not known to anybody.
    pub fn resolve_orphaned_keys(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.handed.open) {
            let until = self
                .keys
                .repeated(&key, Micros::MIN)
                .map_or(now, |e| e.until);
            self.settle_handed(now, &key, Kept::Unknown(until));
        }
    }

    fn settle_handed(&mut self, now: Micros, key: &Rc<str>, kept: Kept) {
        self.handed.open.remove(key);
        self.now = self.now.max(now);
        let Some(waiting) = self.keys.waiting(key) else {
            return;
        };
        self.keys.ended(key, kept.clone());
        for id in waiting {
            self.share(id, &kept);
        }
        self.pump(now);
    }

    /// Another process of this node is there, and this one may take so much of the processor's
    /// memory, and half of the runs that its cores survive; or it is alone again.
    pub fn set_memory_share(&mut self, share: Option<f64>, bounds: MemoryLimits) {
        self.handed.share = share;
        self.most_taken = bounds.requests;
        self.keys.bound(bounds.keys);
        let settings = self.shared(&self.settings);
        if let Some(module) = &mut self.module {
            let in_force: Vec<_> = self
                .classes
                .active()
                .into_iter()
                .map(|at| (at, Some(at)))
                .collect();
            module.reconfigure(settings, &in_force);
        }
    }

    /// The settings as far as they are this process's while there is another one.
    pub(super) fn shared(&self, settings: &Settings) -> Settings {
        let mut settings = settings.clone();
        // On sockets no call can be skipped: a module that thought so would leave its run standing
        // at the call.
        settings
            .classes
            .iter_mut()
            .for_each(|c| c.skip_call_weight = 0.0);
        if let Some(share) = self.handed.share {
            settings.memory_kb *= share;
            settings.safety.max_concurrency_per_core =
                (settings.safety.max_concurrency_per_core / 2.0).max(1.0);
        }
        settings
    }

    /// The share of the processor's memory that this process needs beside another one: half, or
    /// what it has already taken.
    pub fn required_memory_share(&self) -> f64 {
        let used = self.module.as_ref().map_or(0.0, |m| m.status().memory_kb);
        // The module leaves a tenth of what it may take.
        (used / 0.9 / self.settings.memory_kb).clamp(0.5, 1.0)
    }

    /// The notice to leave, while the node goes on in another process: what the node tells its
    /// callers, its health and its level, is that one's now.
    pub fn begin_superseded_shutdown(&mut self, now: Micros, left: Micros) {
        let told = (self.level, self.healthy);
        self.handed.superseded = true;
        self.begin_shutdown(now, left);
        (self.level, self.healthy) = told;
    }

    /// How long a refused caller should keep away. From a process whose node goes on in another one
    /// it need not.
    pub(super) fn keep_away(&self, cooldown: Micros) -> Micros {
        if self.handed.superseded {
            0
        } else {
            cooldown
        }
    }

    /// Whether a keyed run goes on whose outcome is not known yet.
    pub fn has_keyed_runs(&self) -> bool {
        let runs = |a: &super::Attempt| matches!(a.stage, super::Stage::Running { .. });
        self.attempts
            .values()
            .any(|a| a.incoming.idempotency_key.is_some() && runs(a))
    }
}
