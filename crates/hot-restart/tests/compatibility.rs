//! Messages of a hot restart, compared with fixtures written by the build of commit 5f02f56
//! (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-hot-restart --test compatibility`): a
//! process of either build replaces one of the other.

use pipitlever_hot_restart::message::{
    greeting, write, Key, Listening, Message, Reader, State, Welcome,
};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");

fn key(state: State) -> Message {
    let (payload, until) = (0x0102_0304_0506_0708, 1_700_000_000_123_456);
    Message::Key(Key {
        key: "key one".into(),
        payload,
        until,
        state,
    })
}

fn messages() -> Vec<(&'static str, Message)> {
    let listening = Listening {
        protocol: "rpc".into(),
        at: "127.0.0.2:1002".parse().unwrap(),
    };
    let welcome = Welcome {
        name: "n1".into(),
        listening: vec![listening],
        salt: [600, 700],
    };
    vec![
        ("welcome", Message::Welcome(welcome)),
        ("freeze", Message::Freeze),
        ("key-open", key(State::Open)),
        ("key-served", key(State::Served(vec![1, 2, 3]))),
        ("key-failed", key(State::Failed)),
        ("key-unknown", key(State::Unknown)),
        ("free", Message::Free("key two".into())),
        (
            "end",
            Message::End {
                standby: true,
                share: 0.375,
            },
        ),
        ("taken", Message::Taken),
        (
            "yielded",
            Message::Yielded {
                member: Some(vec![4, 5, 6]),
            },
        ),
        ("yielded-alone", Message::Yielded { member: None }),
    ]
}

#[test]
fn messages_are_those_of_the_earlier_build() {
    let mut samples = vec![("greeting", greeting())];
    for (name, message) in messages() {
        let mut bytes = Vec::new();
        write(&message, &mut bytes);
        let mut reader = Reader::default();
        reader.feed(&greeting());
        reader.feed(&bytes);
        assert_eq!(reader.message(), Ok(Some(message)), "{name}");
        samples.push((name, bytes));
    }
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}
