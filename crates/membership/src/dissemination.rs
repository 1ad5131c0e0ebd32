//! What travels with other messages: each piece of news so many times and no more, the least sent
//! first.

use std::collections::BTreeMap;

/// The names of those that there is news of.
#[derive(Clone, Debug, Default)]
pub struct DisseminationQueue {
    /// By how often it was sent; then the newest first.
    queue: BTreeMap<(u32, std::cmp::Reverse<u64>), String>,
    places: BTreeMap<String, (u32, std::cmp::Reverse<u64>)>,
    last: u64,
}

impl DisseminationQueue {
    /// There is news of a member, in the place of what there was.
    pub fn enqueue(&mut self, name: &str) {
        self.remove(name);
        self.last += 1;
        let place = (0, std::cmp::Reverse(self.last));
        self.queue.insert(place, name.to_owned());
        self.places.insert(name.to_owned(), place);
    }

    /// There is none any more.
    pub fn remove(&mut self, name: &str) {
        if let Some(place) = self.places.remove(name) {
            self.queue.remove(&place);
        }
    }

    /// Whether there is anything to tell.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// How many are to be told of.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Takes what goes with one message: `fits` says whether one more does. What was sent `most`
    /// times is done with.
    pub fn take_batch(&mut self, most: u32, mut fits: impl FnMut(&str) -> bool) {
        let mut sent = Vec::new();
        for (place, name) in &self.queue {
            if !fits(name) {
                break;
            }
            sent.push(*place);
        }
        for place in sent {
            let Some(name) = self.queue.remove(&place) else {
                continue;
            };
            let next = (place.0 + 1, place.1);
            if next.0 >= most {
                self.places.remove(&name);
                continue;
            }
            self.places.insert(name.clone(), next);
            self.queue.insert(next, name);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_goes_so_often_and_the_newest_first() {
        let mut spread = DisseminationQueue::default();
        (0..6).for_each(|i| spread.enqueue(&format!("n{i}")));
        let mut sent: BTreeMap<String, u32> = BTreeMap::new();
        let mut first = Vec::new();
        while !spread.is_empty() {
            let mut left = 4;
            spread.take_batch(3, |name| {
                if left == 0 {
                    return false;
                }
                left -= 1;
                first.push(name.to_owned());
                *sent.entry(name.into()).or_default() += 1;
                true
            });
        }
        assert_eq!(first[..6], ["n5", "n4", "n3", "n2", "n1", "n0"]);
        assert!(
            sent.len() == 6 && sent.values().all(|n| *n == 3),
            "{sent:?}"
        );
        spread.enqueue("a");
        spread.enqueue("a");
        assert_eq!(spread.len(), 1);
        spread.remove("a");
        assert!(spread.is_empty());
    }
}
