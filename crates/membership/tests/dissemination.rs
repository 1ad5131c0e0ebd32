//! Dissemination queue: number and order of transmissions.

use pipitlever_membership::dissemination::DisseminationQueue;
use std::collections::BTreeMap;

#[test]
fn each_update_is_transmitted_a_fixed_number_of_times_newest_first() {
    let mut queue = DisseminationQueue::default();
    (0..6).for_each(|i| queue.enqueue(&format!("n{i}")));
    let mut transmissions: BTreeMap<String, u32> = BTreeMap::new();
    let mut order = Vec::new();
    while !queue.is_empty() {
        let mut available = 4;
        queue.take_batch(3, |name| {
            if available == 0 {
                return false;
            }
            available -= 1;
            order.push(name.to_owned());
            *transmissions.entry(name.into()).or_default() += 1;
            true
        });
    }
    assert_eq!(order[..6], ["n5", "n4", "n3", "n2", "n1", "n0"]);
    assert!(
        transmissions.len() == 6 && transmissions.values().all(|count| *count == 3),
        "{transmissions:?}"
    );
    queue.enqueue("a");
    queue.enqueue("a");
    assert_eq!(queue.len(), 1);
    queue.remove("a");
    assert!(queue.is_empty());
}
