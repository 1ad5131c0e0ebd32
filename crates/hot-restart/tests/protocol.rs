//! Messages in pieces, spoilt and foreign; the steps in every order.

use pipitlever_hot_restart::message::*;
use pipitlever_hot_restart::predecessor::{self, Predecessor};
use pipitlever_hot_restart::successor::{self, Lost, Successor};
use proptest::prelude::*;

fn all() -> Vec<Message> {
    let listening = vec![Listening {
        protocol: "json-rpc".into(),
        at: "127.0.0.1:5050".parse().unwrap(),
    }];
    let key = |state| {
        Message::Key(Key {
            key: "k".into(),
            payload: 7,
            until: -1,
            state,
        })
    };
    vec![
        Message::Welcome(Welcome {
            name: "n1".into(),
            listening,
            salt: [1, u64::MAX],
        }),
        Message::Freeze,
        key(State::Open),
        key(State::Served(vec![0; 5000])),
        key(State::Failed),
        key(State::Unknown),
        Message::Free("k".into()),
        Message::End {
            standby: true,
            share: 0.5,
        },
        Message::Taken,
        Message::Yielded {
            member: Some(vec![7; 40]),
        },
    ]
}

fn said(pieces: &[&[u8]]) -> Result<Vec<Message>, Broken> {
    let (mut reader, mut messages) = (Reader::default(), Vec::new());
    for piece in pieces {
        reader.feed(piece);
        while let Some(message) = reader.message()? {
            messages.push(message);
        }
    }
    Ok(messages)
}

#[test]
fn messages_come_as_they_went_in_whatever_pieces() {
    let mut bytes = greeting();
    all().iter().for_each(|m| write(m, &mut bytes));
    for size in [1, 3, 7, 64, bytes.len()] {
        assert_eq!(
            said(&bytes.chunks(size).collect::<Vec<_>>()),
            Ok(all()),
            "{size}"
        );
    }
}

#[test]
fn strangers_other_versions_and_nonsense_are_told_apart() {
    let frame = |bytes: &[u8]| {
        [
            greeting(),
            (bytes.len() as u32).to_le_bytes().to_vec(),
            bytes.to_vec(),
        ]
        .concat()
    };
    let message = |message: &Message| {
        let mut bytes = greeting();
        write(message, &mut bytes);
        bytes
    };
    let cases = [
        (b"GET / HTTP/1.1".to_vec(), Err(Broken::Stranger)),
        (b"x".to_vec(), Err(Broken::Stranger)),
        (b"plhand\x01\x00".to_vec(), Err(Broken::Version(1))),
        (b"plhan".to_vec(), Ok(vec![])),
        (frame(&[250]), Err(Broken::Malformed)),
        // A frame that is longer than its message, and one that is longer than any.
        (frame(&[1, 0]), Err(Broken::Malformed)),
        (
            [greeting(), u32::MAX.to_le_bytes().to_vec()].concat(),
            Err(Broken::Malformed),
        ),
        (
            message(&Message::End {
                standby: false,
                share: f64::NAN,
            }),
            Err(Broken::Malformed),
        ),
        (
            message(&Message::End {
                standby: false,
                share: 1.5,
            }),
            Err(Broken::Malformed),
        ),
        (
            message(&Message::Free("k".repeat(MOST_KEY + 1))),
            Err(Broken::Malformed),
        ),
    ];
    for (bytes, expected) in cases {
        assert_eq!(said(&[&bytes]), expected, "{bytes:?}");
    }
}

proptest! {
    #[test]
    fn no_bytes_are_more_than_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = said(&[&[greeting(), bytes].concat()]);
    }
}

#[test]
fn the_predecessor_yields_only_after_it_froze_and_resumes_only_after_it_yielded() {
    use predecessor::{Act, Stage};
    let mut p = Predecessor::default();
    assert_eq!(p.heard(&Message::Taken), Act::Drop);
    assert!(p.met());
    assert!(!p.met(), "one at a time");
    assert_eq!(
        p.heard(&Message::Taken),
        Act::Drop,
        "without the keys it serves nobody"
    );
    assert_eq!(p.lost(), [Act::Unshare]);
    p.met();
    assert_eq!(p.heard(&Message::Freeze), Act::Freeze);
    assert_eq!(p.heard(&Message::Freeze), Act::Drop);
    assert!(!p.awaits_death(), "it has not yielded");
    assert_eq!(p.lost(), [Act::Thaw, Act::Unshare]);
    p.met();
    p.heard(&Message::Freeze);
    assert_eq!(p.heard(&Message::Taken), Act::Yield);
    assert!(p.awaits_death(), "the other one may serve");
    assert_eq!(p.lost(), [Act::Resume, Act::Unshare]);
    assert_eq!(p.stage(), Stage::Alone);
    // Told to leave, with nobody in its place and with somebody.
    assert!(!p.leave() && !p.met());
    let mut p = Predecessor::default();
    p.met();
    p.heard(&Message::Freeze);
    p.heard(&Message::Taken);
    assert!(p.leave());
    assert_eq!(p.lost(), []);
    assert!(
        p.leave(),
        "the end of the successor on the way out brings nobody back"
    );
}

#[test]
fn the_successor_serves_only_with_all_keys_and_knows_what_a_loss_means() {
    use successor::Act;
    let [welcome, _, open, .., end, _, yielded] = &all()[..] else {
        panic!("as above")
    };
    let mut s = Successor::greeting();
    assert!(!s.ready(), "no sockets yet");
    assert!(matches!(s.heard(end.clone()), Act::GiveUp(_)));
    assert_eq!(s.lost(false), Lost::Nobody);
    let mut s = Successor::greeting();
    assert!(matches!(s.heard(welcome.clone()), Act::Sockets(_)));
    assert!(
        matches!(s.heard(end.clone()), Act::GiveUp(_)),
        "not asked for"
    );
    assert!(s.ready() && !s.ready(), "asked for once");
    assert!(matches!(s.heard(open.clone()), Act::Enter(_)));
    assert!(
        matches!(s.heard(yielded.clone()), Act::GiveUp(_)),
        "not all keys are here"
    );
    assert!(s.asks_for_death());
    assert_eq!(
        [{ s }.lost(true), { s }.lost(false)],
        [Lost::Doubtful, Lost::GiveUp]
    );
    assert_eq!(
        s.heard(end.clone()),
        Act::Take {
            standby: true,
            share: 0.5
        }
    );
    assert!(matches!(s.heard(open.clone()), Act::Enter(_)));
    assert!(matches!(s.heard(end.clone()), Act::GiveUp(_)));
    assert_eq!(
        [{ s }.lost(true), { s }.lost(false)],
        [Lost::Settled, Lost::GiveUp]
    );
    assert_eq!(s.heard(yielded.clone()), Act::Serve(Some(vec![7; 40])));
    assert!(matches!(s.heard(open.clone()), Act::Enter(_)));
    assert!(
        !s.asks_for_death(),
        "it serves, whatever becomes of the other one"
    );
    assert_eq!(s.lost(false), Lost::Settled);
    assert_eq!(s.lost(true), Lost::Nobody);
}
