use super::*;
use crate::table::MergeOutcome;

const S: Micros = 1_000_000;

fn pool(workers: &[&str]) -> Pool {
    let server = |n: &&str| WorkerSettings {
        name: (*n).into(),
        weight: 1.0,
        accepts_sessions: true,
        is_draining: false,
    };
    let workers = workers.iter().map(server).collect();
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers,
        idle_timeout_seconds: 3600,
        failure_grace: 5 * S,
        drain_grace: 0,
    }
}

fn node(workers: &[&str]) -> SessionDirectory {
    SessionDirectory::new(
        "n0",
        DirectorySettings {
            lookup_timeout: 60_000,
            max_sessions: 100,
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
            is_bootstrapped: filled,
        })
        .to_vec()
}

fn said(node: &mut SessionDirectory) -> Vec<(String, Message)> {
    node.take_messages()
        .into_iter()
        .filter_map(|(to, bytes)| Some((to, Message::decode(&bytes)?)))
        .collect()
}

#[test]
fn one_that_knows_nobody_places_nothing() {
    let mut node = node(&["a", "b"]);
    assert_eq!(
        node.resolve(0, 0, SessionKey::Session(1), 1),
        Resolution::Unavailable
    );
    // Nor while its view has not come to rest; and not for ever.
    node.handle_membership_change(0, Vec::new(), false);
    assert_eq!(
        node.resolve(S, 0, SessionKey::Session(1), 1),
        Resolution::Unavailable
    );
    node.handle_wakeup(15 * S);
    assert!(matches!(
        node.resolve(15 * S, 0, SessionKey::Session(1), 1),
        Resolution::Worker(_)
    ));
}

#[test]
fn a_newcomer_is_a_home_once_each_home_has_told_it_all() {
    let mut node = node(&["a", "b"]);
    node.handle_membership_change(0, peers(true), true);
    let asked = said(&mut node);
    assert!(
        asked.len() == 2
            && asked
                .iter()
                .all(|(_, m)| *m == Message::TransferRequest { token: 7 }),
        "{asked:?}"
    );
    node.handle_message(0, "n1", &Message::TransferComplete { token: 7 });
    node.handle_message(0, "n2", &Message::TransferComplete { token: 6 });
    assert!(!node.is_bootstrapped(), "that was for the start before");
    // It asks again whoever has said nothing.
    node.handle_wakeup(S);
    assert_eq!(
        said(&mut node)
            .iter()
            .map(|(to, _)| &to[..])
            .collect::<Vec<_>>(),
        ["n2"]
    );
    node.handle_message(S, "n2", &Message::TransferComplete { token: 7 });
    assert!(node.is_bootstrapped());
}

#[test]
fn who_has_the_newer_placement_hears_of_the_older_one() {
    let mut node = node(&["a", "b"]);
    node.handle_membership_change(0, Vec::new(), true);
    let Resolution::Worker(worker) = node.resolve(0, 0, SessionKey::Session(1), 1) else {
        panic!("it is alone")
    };
    let ours = node.placement(0, 0, SessionKey::Session(1)).unwrap();
    let theirs = Placement {
        created: Timestamp {
            seconds: 900,
            node: 1,
        },
        ..ours
    };
    let (session, _) = SessionKey::Session(1).id(node.pools[0].id);
    said(&mut node);
    node.handle_message(
        0,
        "n1",
        &Message::Update {
            time: 100,
            entries: vec![(session, theirs, 0)],
            ack_requested: false,
        },
    );
    assert_eq!(
        node.resolve(0, 0, SessionKey::Session(1), 1),
        Resolution::Worker(worker)
    );
    let told = said(&mut node);
    let older = |(to, m): &(String, Message)| {
        to == "n1"
            && matches!(m, Message::Update { entries, .. } if entries[..] == [(session, ours, 0)])
    };
    assert!(told.iter().any(older), "{told:?}");
}

#[test]
fn a_worker_of_a_later_version_is_waited_for() {
    let mut node = node(&["a", "b"]);
    node.handle_membership_change(0, Vec::new(), true);
    let mut later = self::node(&["a", "b", "c"]);
    later.set_pools(0, 1, vec![pool(&["a", "b", "c"])]);
    let worker = later.pools[0].id(2).unwrap();
    let (session, _) = SessionKey::Session(1).id(node.pools[0].id);
    let placement = Placement {
        worker,
        created: Timestamp {
            seconds: 50,
            node: 1,
        },
        moves: 0,
        version: 1,
    };
    assert_eq!(
        node.table.merge(0, session, placement, 0),
        MergeOutcome::Applied
    );
    // It has not been removed: this node has not heard of it yet.
    assert_eq!(
        node.resolve(0, 0, SessionKey::Session(1), 1),
        Resolution::Unavailable
    );
    assert_eq!(
        node.placement(0, 0, SessionKey::Session(1)),
        Some(placement)
    );
    // Where the version doesn't come, as in a part that is cut off, its side goes on and tells
    // nobody.
    assert!(
        matches!(node.resolve(6 * S, 0, SessionKey::Session(1), 1), Resolution::Worker(w) if w != worker)
    );
    assert_eq!(
        node.placement(6 * S, 0, SessionKey::Session(1)),
        Some(placement)
    );
    node.set_pools(7 * S, 1, vec![pool(&["a", "b", "c"])]);
    assert_eq!(
        node.resolve(7 * S, 0, SessionKey::Session(1), 1),
        Resolution::Worker(worker)
    );
    // And a version in which it is gone moves it.
    node.set_pools(8 * S, 2, vec![pool(&["a", "b"])]);
    assert!(
        matches!(node.resolve(8 * S, 0, SessionKey::Session(1), 1), Resolution::Worker(w) if w != worker)
    );
    assert_eq!(node.pools[0].moves.removed, 1);
}

#[test]
fn what_is_recalled_is_known_here_or_nothing() {
    let mut node = node(&["a", "b"]);
    node.handle_membership_change(0, Vec::new(), true);
    let Resolution::Worker(worker) = node.resolve(0, 0, SessionKey::Session(1), 1) else {
        panic!("it is alone")
    };
    assert_eq!(
        node.resolve_locally(0, 0, SessionKey::Session(1)),
        Resolution::Worker(worker)
    );
    assert_eq!(
        node.resolve_locally(0, 0, SessionKey::Session(2)),
        Resolution::Unavailable,
        "another process knows it, or will"
    );
    // A key that comes for the first time goes with its session.
    assert_eq!(
        node.resolve_locally(0, 0, SessionKey::IdempotencyKey(5, worker)),
        Resolution::Worker(worker)
    );
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
        node.resolve_locally(0, 0, SessionKey::Session(1)),
        Resolution::Unavailable,
        "and it moves none"
    );
    assert_eq!(
        node.resolve_locally(0, 3, SessionKey::Session(1)),
        Resolution::Unavailable
    );
}

#[test]
fn those_who_are_filled_later_are_not_waited_for() {
    let mut node = node(&["a", "b"]);
    let some = |names: &[&str]| {
        names
            .iter()
            .map(|n| Peer {
                name: (*n).into(),
                is_bootstrapped: true,
            })
            .collect()
    };
    node.handle_membership_change(0, some(&["n1"]), true);
    node.handle_membership_change(0, some(&["n1", "n2", "n3"]), true);
    assert_eq!(said(&mut node).len(), 1);
    // One that is gone meanwhile isn't either.
    node.handle_membership_change(0, some(&["n2", "n3"]), true);
    assert!(node.is_bootstrapped());
}
