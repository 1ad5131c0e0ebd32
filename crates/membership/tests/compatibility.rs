//! Encodings and hashes of the membership protocol, compared with fixtures written by the build of
//! commit 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-membership --test
//! compatibility`): nodes of both builds form one fleet.

use pipitlever_membership::local_member::ResumeState;
use pipitlever_membership::message::{encode_frame, Body, Frame, FrameDecoder, Packet, Update};
use pipitlever_membership::record::{
    digest, Details, LoadReading, Record, Rival, ServiceState, State,
};

const FLEET: &str = "fleet-one";
/// The encoded samples, under the names that the earlier build gave them.
const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");

fn record(state: State, service_state: ServiceState) -> Record {
    let rival = Rival {
        token: 0x0102_0304_0506_0708,
        address: "127.0.0.9:1009".parse().unwrap(),
    };
    let details = Details {
        revision: 300,
        address: "127.0.0.2:1002".parse().unwrap(),
        zone: "east".into(),
        service_state,
        payload: vec![7, 8, 9],
        rivals: vec![rival],
    };
    Record {
        incarnation: 500,
        token: 0x1112_1314_1516_1718,
        state,
        details,
        load: LoadReading {
            sequence: 70_000,
            priority_cutoff: 9,
        },
    }
}

fn update(state: State, service_state: ServiceState) -> Update {
    Update {
        name: "n1".into(),
        record: record(state, service_state),
        suspected_by: Some("n2".into()),
        state_age_seconds: 4_000,
    }
}

fn packet(body: Body, piggyback: Vec<u8>) -> Packet {
    let updates = vec![
        update(State::Suspect, ServiceState::Overloaded),
        update(State::Left, ServiceState::Draining),
    ];
    Packet {
        sender: update(State::Alive, ServiceState::Serving),
        digest: 0xfeed_f00d,
        body,
        updates,
        piggyback,
    }
}

fn packets() -> Vec<(&'static str, Packet)> {
    let plain = |body| packet(body, Vec::new());
    let ping_req = Body::PingReq {
        sequence: 7,
        name: "n3".into(),
        address: "[::1]:1003".parse().unwrap(),
    };
    vec![
        (
            "ping",
            plain(Body::Ping {
                sequence: 3,
                target: Some("n3".into()),
            }),
        ),
        (
            "ping-anyone",
            plain(Body::Ping {
                sequence: 4,
                target: None,
            }),
        ),
        ("ack", plain(Body::Ack { sequence: 5 })),
        ("ask", plain(ping_req)),
        ("vouch", plain(Body::IndirectAck { sequence: 8 })),
        ("silence", plain(Body::Nack { sequence: 9 })),
        ("news", plain(Body::Gossip)),
        ("said", plain(Body::Application(vec![1, 2, 3]))),
        ("hint", packet(Body::Gossip, vec![4, 5, 6])),
    ]
}

fn frames() -> Vec<(&'static str, Frame)> {
    let sender = update(State::Down, ServiceState::Standby);
    vec![
        (
            "parts",
            Frame::BucketDigests {
                sender: sender.clone(),
                digests: vec![1, u64::MAX],
            },
        ),
        (
            "differ",
            Frame::DifferingBuckets {
                sender: sender.clone(),
                buckets: 0b1011,
            },
        ),
        (
            "members",
            Frame::Members(vec![sender, update(State::Alive, ServiceState::Starting)]),
        ),
        ("end", Frame::End),
    ]
}

#[test]
fn messages_and_hashes_match_the_earlier_build() {
    let mut samples = Vec::new();
    for (name, packet) in packets() {
        let bytes = packet.encode(FLEET);
        assert_eq!(Packet::decode(FLEET, &bytes), Ok(packet), "{name}");
        samples.push((name, bytes));
    }
    for (name, frame) in frames() {
        let mut bytes = Vec::new();
        encode_frame(&mut bytes, FLEET, &frame);
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        assert_eq!(decoder.next_frame(FLEET), Ok(Some(frame)), "{name}");
        samples.push((name, bytes));
    }
    let contacts = vec![
        "127.0.0.4:1004".parse().unwrap(),
        "127.0.0.5:1005".parse().unwrap(),
    ];
    let resume_state = ResumeState {
        record: record(State::Alive, ServiceState::Serving),
        contacts,
    };
    assert_eq!(
        ResumeState::decode(&resume_state.encode()),
        Some(resume_state.clone())
    );
    samples.push(("passed", resume_state.encode()));
    let hash = record(State::Suspect, ServiceState::Standby).content_hash("n1");
    samples.push(("record-hash", hash.to_be_bytes().to_vec()));
    samples.push(("name-digest", digest(b"n1").to_be_bytes().to_vec()));
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}
