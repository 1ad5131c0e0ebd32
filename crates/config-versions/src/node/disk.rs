//! What waits for the disk.

use super::*;

impl Node {
    // The disk.

    /// What is to be written, if there is anything new and nothing is being written; to be told of
    /// with `written`.
    pub fn take_write(&mut self) -> Option<(Kept, u64)> {
        let (kept, write) = self.elector.as_ref()?.kept();
        if write <= self.writing || self.writing > self.synced {
            return None;
        }
        self.writing = write;
        Some((kept.clone(), write))
    }

    /// A write is on the disk, synced, or has failed: then it is due again, and what rests on it
    /// stays unsaid.
    pub fn written(&mut self, now: Micros, write: u64, done: bool) {
        match done {
            true => self.synced = self.synced.max(write),
            false => self.writing = self.synced,
        }
        let (due, held): (Vec<Said>, Vec<Said>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|s| s.after <= self.synced);
        self.held = held;
        due.into_iter().for_each(|s| self.say(s));
        self.own_words(now);
    }

    /// Says something, now or behind its write.
    pub(super) fn say(&mut self, said: Said) {
        if said.after <= self.synced {
            self.out.push((said.to, said.message));
        } else if self.held.len() < MOST_HELD {
            // More than that is asked for again.
            self.held.push(said);
        }
    }
}
