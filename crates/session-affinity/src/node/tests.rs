use super::*;
use crate::table::Joined;

const S: Micros = 1_000_000;

fn pool(workers: &[&str]) -> Pool {
    let server = |n: &&str| Server {
        name: (*n).into(),
        weight: 1.0,
        takes: true,
        drains: false,
    };
    let workers = workers.iter().map(server).collect();
    Pool {
        name: "p".into(),
        was: Vec::new(),
        workers,
        idle: 3600,
        patience: 5 * S,
        linger: 0,
    }
}

fn node(workers: &[&str]) -> Node {
    Node::new(
        "n0",
        Settings {
            wait: 60_000,
            most: 100,
        },
        vec![pool(workers)],
        100,
        7,
        0,
    )
}

fn peers(filled: bool) -> Vec<Peer> {
    ["n1", "n2"]
        .map(|n| Peer {
            name: n.into(),
            filled,
        })
        .to_vec()
}

fn said(node: &mut Node) -> Vec<(String, Message)> {
    node.take_out()
        .into_iter()
        .filter_map(|(to, bytes)| Some((to, Message::read(&bytes)?)))
        .collect()
}

#[test]
fn one_that_knows_nobody_places_nothing() {
    let mut node = node(&["a", "b"]);
    assert_eq!(node.want(0, 0, What::Session(1), 1), Found::Nowhere);
    // Nor while its view has not come to rest; and not for ever.
    node.view(0, Vec::new(), false);
    assert_eq!(node.want(S, 0, What::Session(1), 1), Found::Nowhere);
    node.tick(15 * S);
    assert!(matches!(
        node.want(15 * S, 0, What::Session(1), 1),
        Found::At(_)
    ));
}

#[test]
fn a_newcomer_is_a_home_once_each_home_has_told_it_all() {
    let mut node = node(&["a", "b"]);
    node.view(0, peers(true), true);
    let asked = said(&mut node);
    assert!(
        asked.len() == 2 && asked.iter().all(|(_, m)| *m == Message::Fill { token: 7 }),
        "{asked:?}"
    );
    node.heard(0, "n1", &Message::Filled { token: 7 });
    node.heard(0, "n2", &Message::Filled { token: 6 });
    assert!(!node.filled(), "that was for the start before");
    // It asks again whoever has said nothing.
    node.tick(S);
    assert_eq!(
        said(&mut node)
            .iter()
            .map(|(to, _)| &to[..])
            .collect::<Vec<_>>(),
        ["n2"]
    );
    node.heard(S, "n2", &Message::Filled { token: 7 });
    assert!(node.filled());
}

#[test]
fn who_has_the_newer_placement_hears_of_the_older_one() {
    let mut node = node(&["a", "b"]);
    node.view(0, Vec::new(), true);
    let Found::At(worker) = node.want(0, 0, What::Session(1), 1) else {
        panic!("it is alone")
    };
    let ours = node.placement(0, 0, What::Session(1)).unwrap();
    let theirs = Placement {
        birth: Birth {
            seconds: 900,
            by: 1,
        },
        ..ours
    };
    let (session, _) = What::Session(1).id(node.pools[0].id);
    said(&mut node);
    node.heard(
        0,
        "n1",
        &Message::Tell {
            time: 100,
            entries: vec![(session, theirs, 0)],
            owed: false,
        },
    );
    assert_eq!(node.want(0, 0, What::Session(1), 1), Found::At(worker));
    let told = said(&mut node);
    let older = |(to, m): &(String, Message)| {
        to == "n1"
            && matches!(m, Message::Tell { entries, .. } if entries[..] == [(session, ours, 0)])
    };
    assert!(told.iter().any(older), "{told:?}");
}

#[test]
fn a_worker_of_a_later_version_is_waited_for() {
    let mut node = node(&["a", "b"]);
    node.view(0, Vec::new(), true);
    let mut later = self::node(&["a", "b", "c"]);
    later.set_pools(0, 1, vec![pool(&["a", "b", "c"])]);
    let worker = later.pools[0].id(2).unwrap();
    let (session, _) = What::Session(1).id(node.pools[0].id);
    let placement = Placement {
        worker,
        birth: Birth { seconds: 50, by: 1 },
        moves: 0,
        version: 1,
    };
    assert_eq!(node.table.join(0, session, placement, 0), Joined::New);
    // It has not been removed: this node has not heard of it yet.
    assert_eq!(node.want(0, 0, What::Session(1), 1), Found::Nowhere);
    assert_eq!(node.placement(0, 0, What::Session(1)), Some(placement));
    // Where the version doesn't come, as in a part that is cut off, its side goes on and tells
    // nobody.
    assert!(matches!(node.want(6 * S, 0, What::Session(1), 1), Found::At(w) if w != worker));
    assert_eq!(node.placement(6 * S, 0, What::Session(1)), Some(placement));
    node.set_pools(7 * S, 1, vec![pool(&["a", "b", "c"])]);
    assert_eq!(node.want(7 * S, 0, What::Session(1), 1), Found::At(worker));
    // And a version in which it is gone moves it.
    node.set_pools(8 * S, 2, vec![pool(&["a", "b"])]);
    assert!(matches!(node.want(8 * S, 0, What::Session(1), 1), Found::At(w) if w != worker));
    assert_eq!(node.pools[0].moves.removed, 1);
}

#[test]
fn what_is_recalled_is_known_here_or_nothing() {
    let mut node = node(&["a", "b"]);
    node.view(0, Vec::new(), true);
    let Found::At(worker) = node.want(0, 0, What::Session(1), 1) else {
        panic!("it is alone")
    };
    assert_eq!(node.recall(0, 0, What::Session(1)), Found::At(worker));
    assert_eq!(
        node.recall(0, 0, What::Session(2)),
        Found::Nowhere,
        "another process knows it, or will"
    );
    // A key that comes for the first time goes with its session.
    assert_eq!(node.recall(0, 0, What::Key(5, worker)), Found::At(worker));
    let other = node.pools[0]
        .workers
        .iter()
        .find(|w| w.id != worker)
        .unwrap()
        .id;
    node.set_pools(
        0,
        1,
        vec![pool(if node.pools[0].id(0) == Some(other) {
            &["a"]
        } else {
            &["b"]
        })],
    );
    assert_eq!(
        node.recall(0, 0, What::Session(1)),
        Found::Nowhere,
        "and it moves none"
    );
    assert_eq!(node.recall(0, 3, What::Session(1)), Found::Nowhere);
}

#[test]
fn those_who_are_filled_later_are_not_waited_for() {
    let mut node = node(&["a", "b"]);
    let some = |names: &[&str]| {
        names
            .iter()
            .map(|n| Peer {
                name: (*n).into(),
                filled: true,
            })
            .collect()
    };
    node.view(0, some(&["n1"]), true);
    node.view(0, some(&["n1", "n2", "n3"]), true);
    assert_eq!(said(&mut node).len(), 1);
    // One that is gone meanwhile isn't either.
    node.view(0, some(&["n2", "n3"]), true);
    assert!(node.filled());
}
