use super::*;
use crate::message::{DirectoryEntry, Message};
use crate::table::MergeOutcome;
use crate::timestamp::Timestamp;

const SECOND: Micros = 1_000_000;
const SESSION: SessionKey = SessionKey::Session(1);

fn pool(workers: &[&str]) -> Pool {
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers: workers
            .iter()
            .map(|name| WorkerSettings {
                name: (*name).into(),
                weight: 1.0,
                accepts_sessions: true,
                is_draining: false,
            })
            .collect(),
        idle_timeout_seconds: 3600,
        failure_grace: 5 * SECOND,
        drain_grace: 0,
    }
}

fn directory(workers: &[&str]) -> SessionDirectory {
    let settings = DirectorySettings {
        lookup_timeout: 60_000,
        max_sessions: 100,
    };
    SessionDirectory::new("n0", settings, vec![pool(workers)], 100, 7, 0)
}

/// Returns the directory of a node without peers.
fn single_node(workers: &[&str]) -> SessionDirectory {
    let mut directory = directory(workers);
    directory.handle_membership_change(0, Vec::new(), true);
    directory
}

fn bootstrapped_peers(names: &[&str]) -> Vec<Peer> {
    names
        .iter()
        .map(|name| Peer {
            name: (*name).into(),
            is_bootstrapped: true,
        })
        .collect()
}

fn take_messages(directory: &mut SessionDirectory) -> Vec<(String, Message)> {
    directory
        .take_messages()
        .into_iter()
        .filter_map(|message| Some((message.recipient, Message::decode(&message.payload)?)))
        .collect()
}

fn resolve_to_worker(directory: &mut SessionDirectory) -> WorkerId {
    match directory.resolve(0, 0, SESSION, 1) {
        Resolution::Worker(worker) => worker,
        other => panic!("a single node resolves at once: {other:?}"),
    }
}

#[test]
fn sessions_are_unavailable_until_the_view_converges_or_a_timeout() {
    let mut directory = directory(&["a", "b"]);
    assert_eq!(directory.resolve(0, 0, SESSION, 1), Resolution::Unavailable);
    directory.handle_membership_change(0, Vec::new(), false);
    assert_eq!(
        directory.resolve(SECOND, 0, SESSION, 1),
        Resolution::Unavailable
    );
    directory.handle_wakeup(15 * SECOND);
    assert!(matches!(
        directory.resolve(15 * SECOND, 0, SESSION, 1),
        Resolution::Worker(_)
    ));
}

#[test]
fn a_joining_node_is_bootstrapped_once_every_replica_has_sent_its_entries() {
    let mut directory = directory(&["a", "b"]);
    directory.handle_membership_change(0, bootstrapped_peers(&["n1", "n2"]), true);
    let requests = take_messages(&mut directory);
    assert!(
        requests.len() == 2
            && requests
                .iter()
                .all(|(_, message)| *message == Message::TransferRequest { token: 7 }),
        "{requests:?}"
    );
    directory.handle_message(0, "n1", &Message::TransferComplete { token: 7 });
    directory.handle_message(0, "n2", &Message::TransferComplete { token: 6 });
    assert!(
        !directory.is_bootstrapped(),
        "the token is of an earlier start"
    );
    // The request is repeated to the node that has not completed.
    directory.handle_wakeup(SECOND);
    assert_eq!(
        take_messages(&mut directory)
            .iter()
            .map(|(recipient, _)| &recipient[..])
            .collect::<Vec<_>>(),
        ["n2"]
    );
    directory.handle_message(SECOND, "n2", &Message::TransferComplete { token: 7 });
    assert!(directory.is_bootstrapped());
}

#[test]
fn a_node_with_an_outdated_placement_receives_the_current_one() {
    let mut directory = single_node(&["a", "b"]);
    let worker = resolve_to_worker(&mut directory);
    let current = directory.placement(0, 0, SESSION).unwrap();
    let later = Placement {
        created: Timestamp {
            seconds: 900,
            node: 1,
        },
        ..current
    };
    let session = SESSION.in_pool(directory.pools[0].id).session;
    let entry = |placement| DirectoryEntry {
        session,
        placement,
        idle_seconds: 0,
    };
    take_messages(&mut directory);
    directory.handle_message(
        0,
        "n1",
        &Message::Update {
            time: 100,
            entries: vec![entry(later)],
            ack_requested: false,
        },
    );
    assert_eq!(
        directory.resolve(0, 0, SESSION, 1),
        Resolution::Worker(worker)
    );
    let sent = take_messages(&mut directory);
    let is_correction = |(recipient, message): &(String, Message)| {
        recipient == "n1"
            && matches!(message, Message::Update { entries, .. } if entries[..] == [entry(current)])
    };
    assert!(sent.iter().any(is_correction), "{sent:?}");
}

#[test]
fn a_session_on_a_worker_of_a_later_version_waits_for_that_version() {
    let mut directory = single_node(&["a", "b"]);
    let mut newer = self::directory(&["a", "b", "c"]);
    newer.set_pools(0, 1, vec![pool(&["a", "b", "c"])]);
    let worker = newer.pools[0].worker_id_at(2).unwrap();
    let session = SESSION.in_pool(directory.pools[0].id).session;
    let placement = Placement {
        worker,
        created: Timestamp {
            seconds: 50,
            node: 1,
        },
        moves: 0,
        version: 1,
    };
    let entry = DirectoryEntry {
        session,
        placement,
        idle_seconds: 0,
    };
    assert_eq!(directory.table.merge(0, entry), MergeOutcome::Applied);
    // The worker was not removed: this node has not received the version that adds the worker.
    assert_eq!(directory.resolve(0, 0, SESSION, 1), Resolution::Unavailable);
    assert_eq!(directory.placement(0, 0, SESSION), Some(placement));
    // If the version does not arrive, as in a partition, the node selects another worker without
    // moving the session.
    assert!(matches!(
        directory.resolve(6 * SECOND, 0, SESSION, 1),
        Resolution::Worker(other) if other != worker
    ));
    assert_eq!(directory.placement(6 * SECOND, 0, SESSION), Some(placement));
    directory.set_pools(7 * SECOND, 1, vec![pool(&["a", "b", "c"])]);
    assert_eq!(
        directory.resolve(7 * SECOND, 0, SESSION, 1),
        Resolution::Worker(worker)
    );
    // A version that removes the worker moves the session.
    directory.set_pools(8 * SECOND, 2, vec![pool(&["a", "b"])]);
    assert!(matches!(
        directory.resolve(8 * SECOND, 0, SESSION, 1),
        Resolution::Worker(other) if other != worker
    ));
    assert_eq!(directory.pools[0].counters.removed, 1);
}

#[test]
fn local_resolution_neither_creates_nor_moves_placements() {
    let mut directory = single_node(&["a", "b"]);
    let worker = resolve_to_worker(&mut directory);
    assert_eq!(
        directory.resolve_locally(0, 0, SESSION),
        Resolution::Worker(worker)
    );
    assert_eq!(
        directory.resolve_locally(0, 0, SessionKey::Session(2)),
        Resolution::Unavailable,
        "an unknown session is left to the successor"
    );
    // A new idempotency key goes to the worker of its session.
    assert_eq!(
        directory.resolve_locally(0, 0, SessionKey::IdempotencyKey(5, worker)),
        Resolution::Worker(worker)
    );
    let other = directory.pools[0]
        .workers
        .iter()
        .find(|candidate| candidate.id != worker)
        .unwrap()
        .id;
    let remaining = if directory.pools[0].worker_id_at(0) == Some(other) {
        "a"
    } else {
        "b"
    };
    directory.set_pools(0, 1, vec![pool(&[remaining])]);
    assert_eq!(
        directory.resolve_locally(0, 0, SESSION),
        Resolution::Unavailable,
        "the session is not moved"
    );
    assert_eq!(
        directory.resolve_locally(0, 3, SESSION),
        Resolution::Unavailable
    );
}

#[test]
fn nodes_bootstrapped_later_are_not_transfer_sources() {
    let mut directory = directory(&["a", "b"]);
    directory.handle_membership_change(0, bootstrapped_peers(&["n1"]), true);
    directory.handle_membership_change(0, bootstrapped_peers(&["n1", "n2", "n3"]), true);
    assert_eq!(take_messages(&mut directory).len(), 1);
    // The node does not wait for a source that has left.
    directory.handle_membership_change(0, bootstrapped_peers(&["n2", "n3"]), true);
    assert!(directory.is_bootstrapped());
}

/// Returns a directory with four bootstrapped peers, and a session of which its node is not a
/// replica.
fn directory_and_key_without_local_replica() -> (SessionDirectory, SessionKey) {
    let mut directory = directory(&["a", "b"]);
    directory.handle_membership_change(0, bootstrapped_peers(&["n1", "n2", "n3", "n4"]), true);
    let pool_id = directory.pools[0].id;
    let is_not_local = |key: &SessionKey| {
        let session = key.in_pool(pool_id).session;
        !directory.replicas.is_replica(session, "n0")
    };
    let key = (0..).map(SessionKey::Session).find(is_not_local);
    (
        directory,
        key.expect("some session has no replica at this node"),
    )
}

/// Guards against a session that is placed again, on another worker, because its replicas replied
/// after the deadline of the lookup.
#[test]
fn a_session_that_no_replica_answered_for_is_not_placed() {
    let (mut directory, key) = directory_and_key_without_local_replica();
    assert_eq!(directory.resolve(0, 0, key, 1), Resolution::Pending);
    directory.handle_wakeup(60_000);
    let resolved = directory.take_resolutions();
    assert_eq!(resolved.len(), 1);
    assert_eq!(resolved[0].resolution, Resolution::Unavailable);
    assert_eq!(directory.placement(60_000, 0, key), None);
    assert_eq!(directory.pools[0].counters.unanswered, 1);
}

#[test]
fn a_session_that_a_replica_does_not_know_is_placed_when_the_lookup_ends() {
    let (mut directory, key) = directory_and_key_without_local_replica();
    assert_eq!(directory.resolve(0, 0, key, 1), Resolution::Pending);
    let session = key.in_pool(directory.pools[0].id).session;
    let replica = directory.replicas.ranked(session, 1)[0].to_owned();
    let lookup_id = take_messages(&mut directory)
        .into_iter()
        .find_map(|(_, message)| match message {
            Message::LookupRequest { lookup_id, .. } => Some(lookup_id),
            _ => None,
        })
        .expect("a lookup request is sent to the replicas");
    let reply = Message::LookupReply {
        time: 100,
        lookup_id,
        session,
        placement: None,
    };
    directory.handle_message(0, &replica, &reply);
    assert!(directory.take_resolutions().is_empty());
    directory.handle_wakeup(60_000);
    let resolved = directory.take_resolutions();
    assert!(
        matches!(
            resolved[..],
            [ResolvedRequest {
                resolution: Resolution::Worker(_),
                ..
            }]
        ),
        "{resolved:?}"
    );
}
