//! Hot restart messages are compared with fixtures written by the build of commit 5f02f56
//! (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-hot-restart --test compatibility`), so
//! that a process of either build can replace one of the other.

use pipitlever_hot_restart::message::{
    encode, greeting, Decoder, KeyEntry, KeyState, ListeningSocket, Message, Welcome, WindowOrigin,
    OLDEST_VERSION, VERSION,
};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");

const FIXTURES_VERSION_4: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages-4.txt");

fn key(state: KeyState) -> Message {
    Message::Key(KeyEntry {
        key: "key one".into(),
        payload_digest: 0x0102_0304_0506_0708,
        window_end: 1_700_000_000_123_456,
        state,
    })
}

fn messages() -> Vec<(&'static str, Message)> {
    let socket = ListeningSocket {
        protocol: "rpc".into(),
        address: "127.0.0.2:1002".parse().unwrap(),
    };
    let welcome = Welcome {
        node_name: "n1".into(),
        sockets: vec![socket],
        salt: [600, 700],
    };
    vec![
        ("welcome", Message::Welcome(welcome)),
        ("freeze", Message::Freeze),
        ("key-open", key(KeyState::InProgress)),
        ("key-served", key(KeyState::Served(vec![1, 2, 3]))),
        ("key-failed", key(KeyState::Failed)),
        ("key-unknown", key(KeyState::Unknown)),
        ("free", Message::KeyReleased("key two".into())),
        (
            "end",
            Message::SnapshotComplete {
                is_standby: true,
                memory_share: 0.375,
            },
        ),
        ("taken", Message::SnapshotReceived),
        (
            "yielded",
            Message::Yielded {
                membership: Some(vec![4, 5, 6]),
            },
        ),
        ("yielded-alone", Message::Yielded { membership: None }),
    ]
}

#[test]
fn messages_match_those_of_the_earlier_build() {
    let mut samples = vec![("greeting", greeting(OLDEST_VERSION))];
    for (name, message) in messages() {
        let mut bytes = Vec::new();
        encode(&message, &mut bytes);
        let mut decoder = Decoder::default();
        decoder.feed(&greeting(VERSION));
        decoder.feed(&bytes);
        assert_eq!(decoder.next_message(), Ok(Some(message)), "{name}");
        samples.push((name, bytes));
    }
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}

/// What version 4 has added, as its first build wrote it.
#[test]
fn messages_of_version_4_stay_as_they_are() {
    let Message::Key(entry) = key(KeyState::Served(vec![1, 2, 3])) else {
        unreachable!("a key");
    };
    let origin = WindowOrigin {
        class: "swap-confirm".into(),
        start: 1_700_000_000_000_000,
    };
    let message = Message::KeyWithOrigin(entry.clone(), origin);
    let mut bytes = Vec::new();
    encode(&message, &mut bytes);
    let samples = [("greeting", greeting(4)), ("key-with-origin", bytes)];
    pipitlever_test_fixtures::assert_bytes(FIXTURES_VERSION_4, &samples);
    assert_eq!(message.clone().for_version(4), message);
    assert_eq!(message.for_version(3), Message::Key(entry));
}
