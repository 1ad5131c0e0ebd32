//! Messages and files of the config version protocol, compared with fixtures written by the build
//! of commit 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-config-versions --test
//! compatibility`): nodes of both builds form one fleet, and either build reads the other's files.

use pipitlever_config_versions::elector::Kept;
use pipitlever_config_versions::floor::Saved;
use pipitlever_config_versions::message::{Ballot, Beat, Hint, Message, Seal};
use pipitlever_config_versions::saved;
use pipitlever_config_versions::version::{Digest, Version};
use pipitlever_config_versions::word::Word;
use std::collections::BTreeMap;

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");

fn version(number: u64) -> Version {
    Version {
        number,
        digest: Digest::of(b"content"),
        length: 7,
        electors: vec!["e1".into(), "e2".into(), "e3".into()],
        electors_since: number - 3,
        withdraws: Some(number - 5),
        nonce: 0x0102_0304_0506_0708,
        by: "e2".into(),
        at_ms: 1_700_000_000_123,
        why: "new routes".into(),
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        by: "e1".into(),
        start: 400 + round,
    }
}

fn seal(count: u64) -> Seal {
    Seal {
        token: 0x1112_1314_1516_1718,
        count,
    }
}

fn hint() -> Hint {
    let beat = Beat {
        by: "e3".into(),
        start: 11,
        at: -12_345,
        floor: 600,
        config: 601,
    };
    Hint {
        newest: 700,
        beats: vec![beat],
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let accepted = Some((ballot(3), version(21)));
    vec![
        (
            "prepare",
            Message::Prepare {
                ballot: ballot(1),
                base: version(20),
            },
        ),
        (
            "promise",
            Message::Promise {
                ballot: ballot(2),
                accepted,
                floor: 18,
                seal: seal(31),
            },
        ),
        (
            "promise-empty",
            Message::Promise {
                ballot: ballot(2),
                accepted: None,
                floor: 18,
                seal: seal(31),
            },
        ),
        (
            "accept",
            Message::Accept {
                ballot: ballot(4),
                base: version(20),
                version: version(21),
                floor: 19,
            },
        ),
        (
            "accepted",
            Message::Accepted {
                ballot: ballot(5),
                floor: 20,
                seal: seal(32),
            },
        ),
        (
            "refused",
            Message::Refused {
                ballot: ballot(6),
                promised: ballot(7),
            },
        ),
        ("decided", Message::Decided(version(22))),
        ("which", Message::Which),
        (
            "close",
            Message::Close {
                floor: 21,
                newest: version(23),
            },
        ),
        (
            "closed",
            Message::Closed {
                floor: 22,
                pending: Some(version(24)),
                seal: seal(33),
            },
        ),
        ("known", Message::Known { seal: seal(34) }),
        (
            "remembered",
            Message::Remembered {
                of: seal(35),
                newest: version(25),
            },
        ),
        ("sealed", Message::Sealed(seal(36))),
        ("clock", Message::Clock { asked: 5_000_000 }),
        (
            "clock-is",
            Message::ClockIs {
                asked: 6_000_000,
                start: 12,
                at: 7_000_000,
            },
        ),
        (
            "floor",
            Message::Floor {
                nonce: 0x2122_2324_2526_2728,
            },
        ),
        (
            "floor-is",
            Message::FloorIs {
                nonce: 0x3132_3334_3536_3738,
                newest: version(26),
                highest: 27,
            },
        ),
    ]
}

fn words() -> Vec<(&'static str, Word)> {
    let digest = Digest::of(b"content");
    vec![
        ("word-register", Word::register(&Message::Which)),
        ("word-want", Word::Want { digest, at: 1_024 }),
        (
            "word-piece",
            Word::Piece {
                digest,
                at: 2_048,
                all: Some(4_096),
                bytes: vec![1, 2, 3],
            },
        ),
        (
            "word-piece-absent",
            Word::Piece {
                digest,
                at: 0,
                all: None,
                bytes: Vec::new(),
            },
        ),
    ]
}

fn acceptor_file() -> Kept {
    Kept {
        seal: seal(37),
        start: 13,
        promised: ballot(8),
        accepted: Some((ballot(9), version(28))),
        newest: version(27),
        floor: 26,
        others: BTreeMap::from([("e2".into(), seal(38)), ("e3".into(), seal(39))]),
    }
}

#[test]
fn messages_and_files_are_those_of_the_earlier_build() {
    let mut samples = Vec::new();
    for (name, message) in messages() {
        let bytes = message.write();
        assert_eq!(Message::read(&bytes), Some(message), "{name}");
        samples.push((name, bytes));
    }
    assert_eq!(Hint::read(&hint().write()), Some(hint()));
    samples.push(("hint", hint().write()));
    for (name, word) in words() {
        let bytes = word.write();
        assert_eq!(Word::read(&bytes), Some(word), "{name}");
        samples.push((name, bytes));
    }
    let acceptor = saved::write(&acceptor_file());
    assert_eq!(saved::read::<Kept>(&acceptor), Ok(acceptor_file()));
    samples.push(("file-acceptor", acceptor));
    let node = Saved {
        floor: 27,
        version: Some(version(28)),
        content: b"content".to_vec(),
    };
    let node_file = saved::write(&node);
    assert_eq!(saved::read::<Saved>(&node_file), Ok(node));
    samples.push(("file-node", node_file));
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}
