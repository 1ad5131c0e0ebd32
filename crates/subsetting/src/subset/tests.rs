use super::*;
use proptest::prelude::*;

fn names(letter: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{letter}{i}")).collect()
}

fn peers<'a>(names: &'a [String], zones: &[&'a str], pairs: usize) -> Vec<Peer<'a>> {
    let peer = |(i, name): (usize, &'a String)| Peer {
        name,
        zone: zones[i % zones.len()],
        pairs,
    };
    names.iter().enumerate().map(peer).collect()
}

fn workers<'a>(
    names: &'a [String],
    zones: &[&'a str],
    weight: impl Fn(usize) -> f64,
) -> Vec<Worker<'a>> {
    let worker = |(i, name): (usize, &'a String)| Worker {
        name,
        zone: zones[i % zones.len()],
        weight: weight(i),
    };
    names.iter().enumerate().map(worker).collect()
}

fn borne(uses: &[Vec<usize>], workers: usize) -> Vec<usize> {
    let mut borne = vec![0; workers];
    uses.iter().flatten().for_each(|&i| borne[i] += 1);
    borne
}

fn moved(before: &[Vec<usize>], after: &[Vec<usize>]) -> usize {
    let gone = |(b, a): (&Vec<usize>, &Vec<usize>)| b.iter().filter(|i| !a.contains(i)).count();
    before.iter().zip(after).map(gone).sum()
}

#[test]
fn a_join_or_a_leave_moves_few_pairs() {
    for (nodes, count, d) in [(10, 8, 4), (100, 40, 10), (300, 100, 20)] {
        let (p, w) = (names("n", nodes + 1), names("w", count + 1));
        let (ps, ws) = (peers(&p, &[""], d), workers(&w, &[""], |_| 1.0));
        let before = assign(&ps[..nodes], &ws[..count]);
        // What the newcomer uses has to come from those that use it now, no more.
        let joined = assign(&ps, &ws[..count]);
        let pairs = moved(&before, &joined);
        assert!(
            pairs <= 2 * d + 4,
            "{nodes}/{count}: {pairs} moved for a node that came"
        );
        let added = assign(&ps[..nodes], &ws);
        let (pairs, fewest) = (moved(&before, &added), nodes * d / (count + 1));
        assert!(
            pairs <= 3 * fewest + 6,
            "{nodes}/{count}: {pairs} moved for a worker that came, {fewest} have to"
        );
    }
}

#[test]
fn zones_are_left_only_as_far_as_they_can_not_bear_it() {
    let (p, w) = (names("n", 30), names("w", 12));
    // As many nodes as workers bear, in each zone.
    let uses = assign(
        &peers(&p, &["a", "b", "c"], 4),
        &workers(&w, &["a", "b", "c"], |_| 1.0),
    );
    assert!(
        uses.iter()
            .enumerate()
            .all(|(j, u)| u.iter().all(|i| i % 3 == j % 3)),
        "{uses:?}"
    );
    // All nodes in one zone that has a third of the workers: they bear their third, and no more.
    let uses = assign(
        &peers(&p, &["a"], 4),
        &workers(&w, &["a", "b", "c"], |_| 1.0),
    );
    let near: usize = uses.iter().flatten().filter(|i| *i % 3 == 0).count();
    assert_eq!(near, 40);
    assert!(borne(&uses, 12).iter().all(|&b| b == 10));
}

#[test]
fn a_zone_without_workers_is_borne_by_the_others() {
    let (p, w) = (names("n", 30), names("w", 12));
    let nodes = peers(&p, &["a", "b", "c"], 4);
    let left: Vec<Worker> = workers(&w, &["a", "b", "c"], |_| 1.0)
        .into_iter()
        .filter(|w| w.zone != "a")
        .collect();
    let uses = assign(&nodes, &left);
    assert!(
        uses.iter().all(|u| u.len() == 4) && borne(&uses, 8).iter().all(|&b| b == 15),
        "{uses:?}"
    );
    // Those that have workers of their own keep to them as far as these have room.
    let away = |zone: &str| -> usize {
        let of = nodes.iter().zip(&uses).filter(|(n, _)| n.zone == zone);
        of.map(|(_, u)| u.iter().filter(|i| left[**i].zone != zone).count())
            .sum()
    };
    assert_eq!((away("a"), away("b"), away("c")), (40, 0, 0));
}

proptest! {
    #[test]
    fn all_bear_their_part_and_nobody_is_left_out(
        nodes in 1usize..40, count in 1usize..30, d in 1usize..12, zones in 1usize..4, seed: u64,
    ) {
        let (p, w) = (names("n", nodes), names(&format!("w{seed}-"), count));
        let all = ["a", "b", "c"];
        let d = d.max(count.div_ceil(nodes));
        let uses = assign(&peers(&p, &all[..zones], d), &workers(&w, &all, |_| 1.0));
        prop_assert!(uses.iter().all(|u| u.len() == d.min(count)), "{:?}", uses);
        let borne = borne(&uses, count);
        let (least, most) = (borne.iter().min().unwrap(), borne.iter().max().unwrap());
        prop_assert!(most - least <= 1 && *least > 0, "{:?}", borne);
    }

    #[test]
    fn heavier_workers_have_more_nodes(nodes in 8usize..40, d in 2usize..6) {
        let (p, w) = (names("n", nodes), names("w", 12));
        let uses = assign(&peers(&p, &[""], d), &workers(&w, &[""], |i| if i < 4 { 2.0 } else { 1.0 }));
        let borne = borne(&uses, 12);
        let ideal = |i: usize| (nodes * d) as f64 * if i < 4 { 2.0 } else { 1.0 } / 16.0;
        let bounded = ideal(0) >= nodes as f64;
        prop_assert!(bounded || borne.iter().enumerate().all(|(i, &b)| (b as f64 - ideal(i)).abs() <= 1.0), "{:?}", borne);
    }
}
