//! Distribution of keys over the hash ring.

use pipitlever_load_balancing::consistent_hash::{HashRing, RingMember};

fn ring(name_hashes: impl Iterator<Item = u64>) -> HashRing {
    HashRing::new(name_hashes.enumerate().map(|(id, name_hash)| RingMember {
        id: id as u32,
        name_hash,
        weight: 1.0,
    }))
}

#[test]
fn only_the_keys_of_a_removed_member_move() {
    const REMOVED: u32 = 17;
    let all = ring(0..64);
    let remaining = ring((0..64).filter(|name| *name != u64::from(REMOVED)));
    let id_in_all = |id: u32| if id < REMOVED { id } else { id + 1 };
    let moved = (0..10_000).filter(|key| {
        let before = all.preference_order(*key).next().unwrap();
        let after = remaining.preference_order(*key).next().unwrap();
        before != REMOVED && before != id_in_all(after)
    });
    assert_eq!(moved.count(), 0);
}

#[test]
fn keys_are_distributed_by_weight() {
    let weights = [1.0, 1.0, 2.0, 4.0];
    let members = weights
        .into_iter()
        .enumerate()
        .map(|(i, weight)| RingMember {
            id: i as u32,
            name_hash: i as u64,
            weight,
        });
    let ring = HashRing::new(members);
    let mut counts = [0; 4];
    (0..40_000).for_each(|key| counts[ring.preference_order(key).next().unwrap() as usize] += 1);
    for (count, share) in counts.into_iter().zip([5_000, 5_000, 10_000, 20_000]) {
        assert!(
            (share * 7 / 10..share * 13 / 10).contains(&count),
            "{counts:?}"
        );
    }
}
