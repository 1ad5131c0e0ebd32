//! Messages, worker selections and replicas of session affinity, compared with fixtures written by
//! the build of commit 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-session-affinity --test
//! compatibility`): nodes of both builds have to place each session alike.

use pipitlever_session_affinity::message::{DirectoryEntry, Message};
use pipitlever_session_affinity::mix;
use pipitlever_session_affinity::placement::Placement;
use pipitlever_session_affinity::replicas::{ReplicaSet, LOOKUP_FANOUT};
use pipitlever_session_affinity::timestamp::Timestamp;
use pipitlever_session_affinity::worker_selection::{select_worker, Worker};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");
/// Sessions whose placement is compared.
const SESSIONS: u64 = 64;

fn placement() -> Placement {
    Placement {
        worker: 70_000,
        created: Timestamp {
            seconds: 1_700_000_000,
            node: 515,
        },
        moves: 3,
        version: 260,
    }
}

const SESSION: u64 = 0x0102_0304_0506_0708;

fn lookup_reply(time: u32, lookup_id: u32, placement: Option<Placement>) -> Message {
    Message::LookupReply {
        time,
        lookup_id,
        session: SESSION,
        placement,
    }
}

fn update() -> Message {
    let entry = DirectoryEntry {
        session: SESSION,
        placement: placement(),
        idle_seconds: 90_000,
    };
    Message::Update {
        time: 100_004,
        entries: vec![entry],
        ack_requested: true,
    }
}

/// Returns a message of each variant, with its name in the fixtures.
fn messages() -> Vec<(&'static str, Message)> {
    let lookup_request = Message::LookupRequest {
        time: 100_001,
        lookup_id: 200,
        session: SESSION,
    };
    let update_ack = Message::UpdateAck {
        sessions: vec![SESSION, 9],
    };
    let transfer_request = Message::TransferRequest {
        token: 0x1112_1314_1516_1718,
    };
    let transfer_complete = Message::TransferComplete {
        token: 0x2122_2324_2526_2728,
    };
    vec![
        ("ask", lookup_request),
        ("answer", lookup_reply(100_002, 201, Some(placement()))),
        ("answer-unknown", lookup_reply(100_003, 202, None)),
        ("tell", update()),
        ("have", update_ack),
        ("fill", transfer_request),
        ("filled", transfer_complete),
    ]
}

/// Returns the worker of each session, as bytes.
fn selected_workers() -> Vec<u8> {
    let weights = [1.0, 0.5, 2.0, 4.0, 1.0];
    let worker = |(i, weight): (usize, &f64)| Worker {
        id: 100 + i as u32,
        weight: *weight,
        accepts_sessions: i != 4,
        retains_sessions: i != 3,
    };
    let workers: Vec<Worker> = weights.iter().enumerate().map(worker).collect();
    let select = |session| select_worker(mix(session, 1), &workers, |id| id == 101).unwrap() as u8;
    (0..SESSIONS).map(select).collect()
}

/// Returns the nodes that a lookup of each session queries, as text.
fn replica_nodes() -> Vec<u8> {
    let names = ["n1", "n2", "n3", "n4", "n5", "n6"];
    let replicas = ReplicaSet::new(names.into_iter());
    let ranked = |session| replicas.ranked(mix(session, 2), LOOKUP_FANOUT).concat();
    (0..SESSIONS)
        .map(ranked)
        .collect::<Vec<_>>()
        .join(" ")
        .into_bytes()
}

#[test]
fn messages_and_selections_match_the_earlier_build() {
    let mut samples = Vec::new();
    for (name, message) in messages() {
        let bytes = message.encode();
        assert_eq!(Message::decode(&bytes), Some(message), "{name}");
        samples.push((name, bytes));
    }
    samples.push(("mix", mix(1, 2).to_be_bytes().to_vec()));
    samples.push(("chosen-workers", selected_workers()));
    samples.push(("replica-nodes", replica_nodes()));
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}
