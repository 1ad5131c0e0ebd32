//! Encodings and hashes of the membership protocol, compared with fixtures written by the build of
//! commit 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-membership --test
//! compatibility`): nodes of both builds form one fleet.

use pipitlever_membership::message::{frame, Body, Frame, Frames, Packet, Update};
use pipitlever_membership::own::Passed;
use pipitlever_membership::record::{digest, Details, Record, Rival, Standing, State};

const FLEET: &str = "fleet-one";
const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");

fn record(state: State, standing: Standing) -> Record {
    let rival = Rival {
        token: 0x0102_0304_0506_0708,
        address: "127.0.0.9:1009".parse().unwrap(),
    };
    let details = Details {
        revision: 300,
        address: "127.0.0.2:1002".parse().unwrap(),
        zone: "east".into(),
        standing,
        payload: vec![7, 8, 9],
        rivals: vec![rival],
    };
    Record {
        incarnation: 500,
        token: 0x1112_1314_1516_1718,
        state,
        details,
        load: (70_000, 9),
    }
}

fn update(state: State, standing: Standing) -> Update {
    Update {
        name: "n1".into(),
        record: record(state, standing),
        by: Some("n2".into()),
        age_s: 4_000,
    }
}

fn packet(body: Body, hint: Vec<u8>) -> Packet {
    let news = vec![
        update(State::Suspect, Standing::Overloaded),
        update(State::Left, Standing::Draining),
    ];
    Packet {
        from: update(State::Alive, Standing::Serving),
        digest: 0xfeed_f00d,
        body,
        news,
        hint,
    }
}

fn packets() -> Vec<(&'static str, Packet)> {
    let plain = |body| packet(body, Vec::new());
    let ask = Body::Ask {
        seq: 7,
        name: "n3".into(),
        address: "[::1]:1003".parse().unwrap(),
    };
    vec![
        (
            "ping",
            plain(Body::Ping {
                seq: 3,
                to: Some("n3".into()),
            }),
        ),
        ("ping-anyone", plain(Body::Ping { seq: 4, to: None })),
        ("ack", plain(Body::Ack { seq: 5 })),
        ("ask", plain(ask)),
        ("vouch", plain(Body::Vouch { seq: 8 })),
        ("silence", plain(Body::Silence { seq: 9 })),
        ("news", plain(Body::News)),
        ("said", plain(Body::Said(vec![1, 2, 3]))),
        ("hint", packet(Body::News, vec![4, 5, 6])),
    ]
}

fn frames() -> Vec<(&'static str, Frame)> {
    let from = update(State::Down, Standing::Standby);
    vec![
        (
            "parts",
            Frame::Parts {
                from: from.clone(),
                digests: vec![1, u64::MAX],
            },
        ),
        (
            "differ",
            Frame::Differ {
                from: from.clone(),
                parts: 0b1011,
            },
        ),
        (
            "members",
            Frame::Members(vec![from, update(State::Alive, Standing::Starting)]),
        ),
        ("end", Frame::End),
    ]
}

#[test]
fn messages_and_hashes_are_those_of_the_earlier_build() {
    let mut samples = Vec::new();
    for (name, packet) in packets() {
        let bytes = packet.write(FLEET);
        assert_eq!(Packet::read(FLEET, &bytes), Ok(packet), "{name}");
        samples.push((name, bytes));
    }
    for (name, sent) in frames() {
        let mut bytes = Vec::new();
        frame(&mut bytes, FLEET, &sent);
        let mut frames = Frames::default();
        frames.feed(&bytes);
        assert_eq!(frames.next(FLEET), Ok(Some(sent)), "{name}");
        samples.push((name, bytes));
    }
    let contacts = vec![
        "127.0.0.4:1004".parse().unwrap(),
        "127.0.0.5:1005".parse().unwrap(),
    ];
    let passed = Passed {
        record: record(State::Alive, Standing::Serving),
        contacts,
    };
    assert_eq!(Passed::read(&passed.write()), Some(passed.clone()));
    samples.push(("passed", passed.write()));
    let hash = record(State::Suspect, Standing::Standby).hash("n1");
    samples.push(("record-hash", hash.to_be_bytes().to_vec()));
    samples.push(("name-digest", digest(b"n1").to_be_bytes().to_vec()));
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}
