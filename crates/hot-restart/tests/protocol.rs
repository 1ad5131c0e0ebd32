//! Decoding of split and malformed input and of other protocols; both state machines in all
//! phases.

use pipitlever_hot_restart::message::{
    encode, greeting, DecodeError, Decoder, KeyEntry, KeyState, ListeningSocket, Message, Welcome,
    WindowOrigin, MAX_CLASS_BYTES, MAX_KEY_BYTES, VERSION,
};
use pipitlever_hot_restart::predecessor::{self, Predecessor};
use pipitlever_hot_restart::successor::{self, ConnectionLoss, Successor, UnexpectedMessage};
use proptest::prelude::{any, proptest};

fn key(state: KeyState) -> Message {
    Message::Key(KeyEntry {
        key: "k".into(),
        payload_digest: 7,
        window_end: -1,
        state,
    })
}

/// One message of each kind.
fn all_messages() -> Vec<Message> {
    let sockets = vec![ListeningSocket {
        protocol: "json-rpc".into(),
        address: "127.0.0.1:5050".parse().unwrap(),
    }];
    vec![
        Message::Welcome(Welcome {
            node_name: "n1".into(),
            sockets,
            salt: [1, u64::MAX],
        }),
        Message::Freeze,
        key(KeyState::InProgress),
        key(KeyState::Served(vec![0; 5000])),
        key(KeyState::Failed),
        key(KeyState::Unknown),
        Message::KeyReleased("k".into()),
        Message::SnapshotComplete {
            is_standby: true,
            memory_share: 0.5,
        },
        Message::SnapshotReceived,
        Message::Yielded {
            membership: Some(vec![7; 40]),
        },
        key_with_origin("swap".into()),
    ]
}

/// A key with the origin of its window, in a class of this name.
fn key_with_origin(class: String) -> Message {
    let Message::Key(entry) = key(KeyState::Failed) else {
        unreachable!("a key");
    };
    Message::KeyWithOrigin(entry, WindowOrigin { class, start: -2 })
}

/// Decodes the messages of `chunks`, which arrive one by one.
fn decode(chunks: &[&[u8]]) -> Result<Vec<Message>, DecodeError> {
    let (mut decoder, mut messages) = (Decoder::default(), Vec::new());
    for chunk in chunks {
        decoder.feed(chunk);
        while let Some(message) = decoder.next_message()? {
            messages.push(message);
        }
    }
    Ok(messages)
}

fn greeting_and_frame(frame: &[u8]) -> Vec<u8> {
    let length = (frame.len() as u32).to_le_bytes();
    [&greeting(VERSION)[..], &length, frame].concat()
}

fn greeting_and_message(message: &Message) -> Vec<u8> {
    let mut bytes = greeting(VERSION);
    encode(message, &mut bytes);
    bytes
}

#[test]
fn messages_are_decoded_from_chunks_of_any_size() {
    let mut bytes = greeting(VERSION);
    for message in &all_messages() {
        encode(message, &mut bytes);
    }
    for size in [1, 3, 7, 64, bytes.len()] {
        let chunks: Vec<_> = bytes.chunks(size).collect();
        assert_eq!(decode(&chunks), Ok(all_messages()), "{size}");
    }
}

#[test]
fn other_protocols_other_versions_and_malformed_frames_are_distinguished() {
    let cases = [
        (
            b"GET / HTTP/1.1".to_vec(),
            Err(DecodeError::UnknownProtocol),
        ),
        (b"x".to_vec(), Err(DecodeError::UnknownProtocol)),
        (
            b"plhand\x01\x00".to_vec(),
            Err(DecodeError::UnsupportedVersion(1)),
        ),
        (b"plhan".to_vec(), Ok(vec![])),
        (greeting_and_frame(&[250]), Err(DecodeError::Malformed)),
        // A frame with trailing bytes, and one beyond the limit.
        (greeting_and_frame(&[1, 0]), Err(DecodeError::Malformed)),
        (
            [greeting(VERSION), u32::MAX.to_le_bytes().to_vec()].concat(),
            Err(DecodeError::Malformed),
        ),
        (
            greeting_and_message(&Message::SnapshotComplete {
                is_standby: false,
                memory_share: f64::NAN,
            }),
            Err(DecodeError::Malformed),
        ),
        (
            greeting_and_message(&Message::SnapshotComplete {
                is_standby: false,
                memory_share: 1.5,
            }),
            Err(DecodeError::Malformed),
        ),
        (
            greeting_and_message(&Message::KeyReleased("k".repeat(MAX_KEY_BYTES + 1))),
            Err(DecodeError::Malformed),
        ),
        (
            greeting_and_message(&key_with_origin("c".repeat(MAX_CLASS_BYTES + 1))),
            Err(DecodeError::Malformed),
        ),
        (
            greeting(VERSION + 1),
            Err(DecodeError::UnsupportedVersion(VERSION + 1)),
        ),
    ];
    for (bytes, expected) in cases {
        assert_eq!(decode(&[&bytes]), expected, "{bytes:?}");
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&[&[greeting(VERSION), bytes].concat()]);
    }
}

#[test]
fn predecessor_yields_only_after_freeze_and_resumes_only_after_yielding() {
    use predecessor::{Action, Phase};
    let mut predecessor = Predecessor::default();
    assert_eq!(
        predecessor.handle_message(&Message::SnapshotReceived),
        Action::Disconnect
    );
    assert!(predecessor.handle_connect());
    assert!(!predecessor.handle_connect(), "one successor at a time");
    assert_eq!(
        predecessor.handle_message(&Message::SnapshotReceived),
        Action::Disconnect,
        "a successor without the keys can't serve"
    );
    assert_eq!(predecessor.handle_disconnect(), [Action::RestoreLimits]);
    predecessor.handle_connect();
    assert_eq!(
        predecessor.handle_message(&Message::Freeze),
        Action::FreezeKeys
    );
    assert_eq!(
        predecessor.handle_message(&Message::Freeze),
        Action::Disconnect
    );
    assert!(!predecessor.has_yielded());
    assert_eq!(
        predecessor.handle_disconnect(),
        [Action::UnfreezeKeys, Action::RestoreLimits]
    );
    predecessor.handle_connect();
    predecessor.handle_message(&Message::Freeze);
    assert_eq!(
        predecessor.handle_message(&Message::SnapshotReceived),
        Action::Yield
    );
    assert_eq!(predecessor.phase(), Phase::Mirror);
    assert!(predecessor.has_yielded(), "the successor may serve");
    assert_eq!(
        predecessor.handle_disconnect(),
        [Action::Resume, Action::RestoreLimits]
    );
    assert_eq!(predecessor.phase(), Phase::Standalone);
}

#[test]
fn predecessor_that_shuts_down_accepts_no_successor_and_does_not_resume() {
    use predecessor::Phase;
    let mut predecessor = Predecessor::default();
    assert!(!predecessor.begin_shutdown() && !predecessor.handle_connect());
    let mut predecessor = Predecessor::default();
    predecessor.handle_connect();
    predecessor.handle_message(&Message::Freeze);
    predecessor.handle_message(&Message::SnapshotReceived);
    assert!(predecessor.begin_shutdown());
    assert_eq!(predecessor.phase(), Phase::Retire);
    assert_eq!(predecessor.handle_disconnect(), []);
    assert!(predecessor.has_yielded());
    assert!(
        predecessor.begin_shutdown(),
        "this process does not resume if the successor exits during the shutdown"
    );
}

/// A successor that has received the predecessor's messages up to `phase`.
fn successor_in(phase: successor::Phase) -> Successor {
    let mut successor = Successor::connecting();
    for message in all_messages() {
        if successor.phase() == successor::Phase::Prepare && phase != successor::Phase::Prepare {
            successor.handle_ready();
        }
        if successor.phase() == phase {
            break;
        }
        // `all_messages` contains messages of other phases and of the successor, which are
        // rejected.
        let _ = successor.handle_message(message);
    }
    assert_eq!(successor.phase(), phase);
    successor
}

fn snapshot_complete() -> Message {
    Message::SnapshotComplete {
        is_standby: true,
        memory_share: 0.5,
    }
}

fn yielded() -> Message {
    Message::Yielded {
        membership: Some(vec![7; 40]),
    }
}

#[test]
fn successor_serves_only_with_all_keys() {
    use successor::{Action, Phase};
    let mut successor = Successor::connecting();
    assert!(!successor.handle_ready(), "no sockets yet");
    assert_eq!(
        successor.handle_message(snapshot_complete()),
        Err(UnexpectedMessage(Phase::Connect))
    );
    let welcome = all_messages().swap_remove(0);
    assert!(matches!(
        successor.handle_message(welcome),
        Ok(Action::AdoptSockets(_))
    ));
    assert_eq!(
        successor.handle_message(snapshot_complete()),
        Err(UnexpectedMessage(Phase::Prepare)),
        "the keys were not requested"
    );
    assert!(
        successor.handle_ready() && !successor.handle_ready(),
        "requested once"
    );
    assert_eq!(
        successor.handle_message(yielded()),
        Err(UnexpectedMessage(Phase::Freeze)),
        "not all keys were received"
    );
    assert_eq!(
        successor.handle_message(snapshot_complete()),
        Ok(Action::ConfirmSnapshot {
            is_standby: true,
            memory_share: 0.5
        })
    );
    assert_eq!(
        successor.handle_message(snapshot_complete()),
        Err(UnexpectedMessage(Phase::Transfer))
    );
    assert_eq!(
        successor.handle_message(yielded()),
        Ok(Action::Serve {
            membership: Some(vec![7; 40])
        })
    );
    assert_eq!(successor.phase(), Phase::Mirror);
}

#[test]
fn successor_applies_key_changes_from_freeze_on() {
    use successor::{Action, Phase};
    for phase in [Phase::Freeze, Phase::Transfer, Phase::Mirror] {
        let mut successor = successor_in(phase);
        assert!(matches!(
            successor.handle_message(key(KeyState::InProgress)),
            Ok(Action::ApplyKey(_, None))
        ));
        assert!(matches!(
            successor.handle_message(key_with_origin("swap".into())),
            Ok(Action::ApplyKey(_, Some(_)))
        ));
        assert_eq!(successor.phase(), phase);
    }
}

#[test]
fn successor_classifies_the_loss_of_its_predecessor_by_phase() {
    use successor::Phase;
    use ConnectionLoss::{Abort, KeysComplete, KeysIncomplete, NoPredecessor};
    let cases = [
        (Phase::Connect, false, [NoPredecessor, NoPredecessor]),
        (Phase::Prepare, true, [KeysIncomplete, Abort]),
        (Phase::Freeze, true, [KeysIncomplete, Abort]),
        (Phase::Transfer, true, [KeysComplete, Abort]),
        // The successor serves, whether or not the predecessor is still running.
        (Phase::Mirror, false, [KeysComplete, KeysComplete]),
    ];
    for (phase, must_check_exit, [exited, alive]) in cases {
        let mut successor = successor_in(phase);
        assert_eq!(successor.must_check_exit(), must_check_exit, "{phase:?}");
        assert_eq!({ successor }.handle_disconnect(false), alive, "{phase:?}");
        assert_eq!(successor.handle_disconnect(true), exited, "{phase:?}");
        assert_eq!(successor.phase(), Phase::Standalone);
        assert_eq!(successor.handle_disconnect(true), NoPredecessor);
    }
}
