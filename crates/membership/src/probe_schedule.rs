//! Probe schedule: SWIM's randomized round-robin over the members, which bounds the time to the
//! first probe of each member and lets nodes probe in different orders.

use fastrand::Rng;

/// The active members other than this node, and the position within the current round.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    names: Vec<String>,
    next: usize,
}

impl ProbeSchedule {
    /// Inserts a member at a random position: members that join together are then probed at
    /// different times by different nodes.
    pub fn insert(&mut self, name: &str, rng: &mut Rng) {
        if self.names.iter().any(|known| known == name) {
            return;
        }
        let position = rng.usize(..=self.names.len());
        self.names.insert(position, name.to_owned());
        self.next += usize::from(position < self.next);
    }

    /// Removes a member.
    pub fn remove(&mut self, name: &str) {
        if let Some(position) = self.names.iter().position(|known| known == name) {
            self.names.remove(position);
            self.next -= usize::from(position < self.next);
        }
    }

    /// Returns the next probe target. The order is shuffled again after each round.
    pub fn next_target(&mut self, rng: &mut Rng) -> Option<String> {
        if self.next >= self.names.len() {
            rng.shuffle(&mut self.names);
            self.next = 0;
        }
        let name = self.names.get(self.next)?.clone();
        self.next += 1;
        Some(name)
    }

    /// Returns up to `count` random members that are not in `excluded`.
    pub fn random_members(&self, count: usize, excluded: &[&str], rng: &mut Rng) -> Vec<String> {
        let mut picked = Vec::new();
        if self.names.len() <= 4 * (count + excluded.len()) {
            let candidates = self
                .names
                .iter()
                .filter(|name| !excluded.contains(&name.as_str()));
            picked.extend(candidates.cloned());
            rng.shuffle(&mut picked);
            picked.truncate(count);
        } else {
            while picked.len() < count {
                let name = &self.names[rng.usize(..self.names.len())];
                if !excluded.contains(&name.as_str()) && !picked.contains(name) {
                    picked.push(name.clone());
                }
            }
        }
        picked
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
