//! Whom to probe next: each in turn over a shuffled list, so that the longest time to a first probe
//! is bounded, and two nodes don't go the same way.

use fastrand::Rng;

/// The members to be probed, and where this node is on its way through them.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    names: Vec<String>,
    next: usize,
}

impl ProbeSchedule {
    /// A member is to be probed from now on: at a random place, or all newcomers would be probed at
    /// once.
    pub fn insert(&mut self, name: &str, rng: &mut Rng) {
        if self.names.iter().any(|n| n == name) {
            return;
        }
        let at = rng.usize(..=self.names.len());
        self.names.insert(at, name.to_owned());
        self.next += usize::from(at < self.next);
    }

    /// It is not any more.
    pub fn remove(&mut self, name: &str) {
        if let Some(at) = self.names.iter().position(|n| n == name) {
            self.names.remove(at);
            self.next -= usize::from(at < self.next);
        }
    }

    /// The next one. After the last all are shuffled.
    pub fn next_target(&mut self, rng: &mut Rng) -> Option<String> {
        if self.next >= self.names.len() {
            rng.shuffle(&mut self.names);
            self.next = 0;
        }
        let name = self.names.get(self.next)?.clone();
        self.next += 1;
        Some(name)
    }

    /// Some others, at random, but not these.
    pub fn random_members(&self, count: usize, not: &[&str], rng: &mut Rng) -> Vec<String> {
        let mut picked = Vec::new();
        if self.names.len() <= 4 * (count + not.len()) {
            let others = self.names.iter().filter(|n| !not.contains(&n.as_str()));
            picked.extend(others.cloned());
            rng.shuffle(&mut picked);
            picked.truncate(count);
        } else {
            while picked.len() < count {
                let name = &self.names[rng.usize(..self.names.len())];
                if !not.contains(&name.as_str()) && !picked.contains(name) {
                    picked.push(name.clone());
                }
            }
        }
        picked
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is nobody.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_has_its_turn_once_a_round_whoever_comes_and_goes() {
        let mut rng = Rng::with_seed(1);
        let mut ring = ProbeSchedule::default();
        assert_eq!(ring.next_target(&mut rng), None);
        (0..20).for_each(|i| ring.insert(&format!("n{i}"), &mut rng));
        ring.insert("n3", &mut rng);
        assert_eq!(ring.len(), 20);
        for round in 0..5 {
            let mut seen: Vec<_> = (0..20).filter_map(|_| ring.next_target(&mut rng)).collect();
            seen.sort();
            seen.dedup();
            assert_eq!(seen.len(), 20, "round {round}");
        }
        // One that goes on the way takes nobody's turn with it.
        let mut seen: Vec<_> = (0..10).filter_map(|_| ring.next_target(&mut rng)).collect();
        let (gone, first) = (seen[0].clone(), seen.len());
        ring.remove(&gone);
        seen.extend((first..20).filter_map(|_| ring.next_target(&mut rng)));
        seen.sort();
        seen.dedup();
        assert_eq!(seen.len(), 20);
        let some = ring.random_members(3, &["n1"], &mut rng);
        assert!(some.len() == 3 && !some.contains(&"n1".to_owned()) && !some.contains(&gone));
        assert_eq!(
            ring.random_members(50, &["n1"], &mut rng).len(),
            if gone == "n1" { 19 } else { 18 }
        );
    }
}
