use super::*;

const MAX_PROPAGATION: Micros = 10;

#[test]
fn released_capacity_is_used_after_the_propagation_time() {
    let levels = |b: u8| LoadLevels::from([("a".to_owned(), 4), ("b".to_owned(), b)]);
    let share = |history: &mut LoadHistory, now| {
        history.expire(now, MAX_PROPAGATION);
        history.share("a", 10, |_| 0)
    };
    let mut history = LoadHistory::new(0);
    history.record(0, levels(4));
    assert_eq!(
        (share(&mut history, 10), share(&mut history, 11)),
        (1, 5),
        "the node has just joined"
    );
    history.record(20, levels(0));
    assert_eq!((share(&mut history, 30), share(&mut history, 31)), (5, 8));
    // A higher load of another node counts at once.
    history.record(40, levels(8));
    assert_eq!(share(&mut history, 40), 2);
}

#[test]
fn a_smaller_share_takes_effect_at_once_and_a_larger_one_after_the_propagation_time() {
    let mut lease = ShareLease::new(1, 0);
    lease.set(0, 8);
    assert_eq!(
        (
            lease.get(10, MAX_PROPAGATION),
            lease.get(11, MAX_PROPAGATION)
        ),
        (1, 8)
    );
    lease.set(20, 3);
    assert_eq!(lease.get(20, MAX_PROPAGATION), 3);
    lease.set(22, 9);
    lease.set(24, 5);
    assert_eq!(
        (
            lease.get(32, MAX_PROPAGATION),
            lease.get(33, MAX_PROPAGATION)
        ),
        (3, 5)
    );
}

#[test]
fn a_share_that_grows_back_also_waits_for_the_propagation_time() {
    let mut lease = ShareLease::new(4, 0);
    lease.set(0, 4);
    lease.set(1, 2);
    lease.set(2, 4);
    assert_eq!(
        (
            lease.get(12, MAX_PROPAGATION),
            lease.get(13, MAX_PROPAGATION)
        ),
        (2, 4)
    );
    (0..1_000).for_each(|t| lease.set(20 + t, 4 + t as usize % 2));
    assert!(lease.entries.len() <= 3, "{lease:?}");
}
