//! Probe schedule: fairness of rounds under joins and removals, and random choice of members.

use fastrand::Rng;
use pipitlever_membership::probe_schedule::ProbeSchedule;

#[test]
fn every_member_is_probed_once_a_round_despite_joins_and_removals() {
    let mut rng = Rng::with_seed(1);
    let mut schedule = ProbeSchedule::default();
    assert_eq!(schedule.next_target(&mut rng), None);
    (0..20).for_each(|i| schedule.insert(&format!("n{i}"), &mut rng));
    schedule.insert("n3", &mut rng);
    assert_eq!(schedule.len(), 20);
    for round in 0..5 {
        let mut probed: Vec<_> = (0..20)
            .filter_map(|_| schedule.next_target(&mut rng))
            .collect();
        probed.sort();
        probed.dedup();
        assert_eq!(probed.len(), 20, "round {round}");
    }
    // The removal of a member in the middle of a round skips no other member.
    let mut probed: Vec<_> = (0..10)
        .filter_map(|_| schedule.next_target(&mut rng))
        .collect();
    let (removed, half) = (probed[0].clone(), probed.len());
    schedule.remove(&removed);
    probed.extend((half..20).filter_map(|_| schedule.next_target(&mut rng)));
    probed.sort();
    probed.dedup();
    assert_eq!(probed.len(), 20);
    let picked = schedule.random_members(3, &["n1"], &mut rng);
    assert!(picked.len() == 3 && !picked.contains(&"n1".to_owned()) && !picked.contains(&removed));
    assert_eq!(
        schedule.random_members(50, &["n1"], &mut rng).len(),
        if removed == "n1" { 19 } else { 18 }
    );
}
