use super::*;

const S: Micros = 1_000_000;
const TIMES: Times = Times {
    hold: S,
    reserve: 10 * S,
};

fn pool(most_runs: usize) -> Pool {
    let worker = |i| Worker {
        name: format!("w{i}"),
        zone: String::new(),
        weight: 1.0,
        tier: 0,
        most_runs,
    };
    Pool {
        name: "p".into(),
        subset: 20,
        workers: (0..3).map(worker).collect(),
    }
}

fn member(name: &str, level: u8) -> Member {
    let told = Told {
        loads: vec![(short(&["p"]), level)],
        out: Vec::new(),
    };
    Member {
        name: name.into(),
        zone: String::new(),
        told: Some(told),
        down: None,
    }
}

fn most(node: &mut Node, now: Micros) -> usize {
    node.uses(now, 0)[0].most_runs
}

#[test]
fn a_newcomer_has_the_least_until_others_have_let_go() {
    let mut node = Node::new("a", TIMES, vec![pool(60)], 0);
    node.view(
        0,
        vec![member("a", 0), member("b", 0), member("c", 0)],
        false,
    );
    assert_eq!((most(&mut node, S), most(&mut node, S + 1)), (1, 20));
    // It lets go at once of what is another's.
    node.view(
        2 * S,
        vec![
            member("a", 0),
            member("b", 0),
            member("c", 0),
            member("d", 0),
        ],
        false,
    );
    assert_eq!(most(&mut node, 2 * S), 15);
    // And has more of what an idle one leaves only once that one has let go.
    node.view(3 * S, vec![member("a", 0), member("b", 0)], false);
    assert_eq!(
        (most(&mut node, 4 * S), most(&mut node, 4 * S + 1)),
        (15, 30)
    );
}

#[test]
fn what_a_dead_node_had_is_nobodys_for_a_while() {
    let mut node = Node::new("a", TIMES, vec![pool(60)], 0);
    node.view(
        0,
        vec![member("a", 0), member("b", 0), member("c", 0)],
        false,
    );
    let mut dead = member("c", 0);
    dead.down = Some(5 * S);
    node.view(5 * S, vec![member("a", 0), member("b", 0), dead], false);
    for t in 5..15 {
        node.tick(t * S);
        assert_eq!(most(&mut node, t * S), 20, "{t}");
    }
    node.tick(15 * S);
    assert_eq!(
        (most(&mut node, 16 * S), most(&mut node, 16 * S + 1)),
        (20, 30)
    );
    // A node that is cut off, so that others have its part by then, keeps to the least.
    node.view(17 * S, vec![member("a", 0)], true);
    assert_eq!(most(&mut node, 30 * S), 1);
}

#[test]
fn its_load_is_told_and_counts() {
    let mut node = Node::new("a", TIMES, vec![pool(64)], 0);
    node.view(0, vec![member("a", 0), member("b", 0)], false);
    for t in 1..40 {
        node.count(0, 100);
        node.tick(t * S / 10);
    }
    assert!(node.told().level(short(&["p"])) > 15, "{:?}", node.told());
    assert!(
        most(&mut node, 6 * S) > 60,
        "the other one has next to nothing to do"
    );
    assert!(node.part(0) > 0.9);
}

#[test]
fn turns_pass_on() {
    let mut a = Node::new("a", TIMES, vec![pool(60)], 0);
    let mut b = Node::new("b", TIMES, vec![pool(60)], 0);
    a.left_out(0, &[1]);
    b.left_out(0, &[1]);
    let told = |a: &Node, b: &Node| {
        let [mut x, mut y] = [member("a", 0), member("b", 0)];
        (x.told, y.told) = (Some(a.told().clone()), Some(b.told().clone()));
        vec![x, y]
    };
    let view = told(&a, &b);
    a.view(0, view.clone(), false);
    b.view(0, view, false);
    let turns = [a.turn(0, 1), b.turn(0, 1)];
    assert!(turns.contains(&Turn::Mine) && turns.contains(&Turn::Behind));
    // The one whose turn it was finds it well: the other hears of that, and it is its own turn.
    let (first, second) = if turns[0] == Turn::Mine {
        (&mut a, &mut b)
    } else {
        (&mut b, &mut a)
    };
    first.left_out(0, &[]);
    let mut view = told(first, second);
    if second.name == "a" {
        view = told(second, first);
    }
    second.view(S, view, false);
    assert_eq!(
        (second.found_well(), second.turn(0, 1)),
        (vec![(0, 1)], Turn::Mine)
    );
    assert!(second.found_well().is_empty());
}

#[test]
fn nobody_tells_two_things_within_the_time_that_news_takes() {
    let mut node = Node::new("a", TIMES, vec![pool(60)], 0);
    node.view(0, vec![member("a", 0), member("b", 0)], false);
    let mut told = Vec::new();
    for t in 1..100 {
        node.count(0, t as u64 * t as u64);
        let before = node.told().clone();
        node.tick(t * S / 10);
        if *node.told() != before {
            told.push(t);
        }
    }
    assert!(
        told.len() > 2 && told.windows(2).all(|w| w[1] - w[0] > 10),
        "{told:?}"
    );
}

#[test]
fn a_file_that_changes_takes_back_what_was_left_out() {
    let mut node = Node::new("a", TIMES, vec![pool(60)], 0);
    node.left_out(0, &[1]);
    assert_eq!(node.told().out.len(), 1);
    node.set_pools(S, vec![pool(60)]);
    node.left_out(0, &[]);
    assert!(
        node.told().out.is_empty(),
        "others would wait for this one's turn for ever"
    );
}

#[test]
fn a_part_lapses_though_nobody_looked_for_long() {
    let mut node = Node::new("a", TIMES, vec![pool(60)], 0);
    let mut dead = member("b", 0);
    dead.down = Some(0);
    node.view(0, vec![member("a", 0), dead], false);
    node.tick(100 * S);
    assert_eq!(
        (most(&mut node, 100 * S), most(&mut node, 102 * S)),
        (30, 60)
    );
}
