//! Messages and files of the config version protocol, compared with fixtures written by the build
//! of commit 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-config-versions --test
//! compatibility`): nodes of both builds form one fleet, and either build reads the other's files.

use pipitlever_config_versions::acceptor::AcceptorState;
use pipitlever_config_versions::envelope::Envelope;
use pipitlever_config_versions::file_format;
use pipitlever_config_versions::message::{
    AcceptedVersion, Ballot, DiskStamp, GossipPayload, Heartbeat, Message,
};
use pipitlever_config_versions::minimum_version::StoredVersion;
use pipitlever_config_versions::version::{Digest, Version};
use std::collections::BTreeMap;

/// The encoded samples, under the names that the earlier build gave them.
const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt");

fn version(number: u64) -> Version {
    Version {
        number,
        digest: Digest::of(b"content"),
        length: 7,
        acceptors: vec!["e1".into(), "e2".into(), "e3".into()],
        acceptors_since: number - 3,
        reverts: Some(number - 5),
        nonce: 0x0102_0304_0506_0708,
        proposer: "e2".into(),
        proposed_at_ms: 1_700_000_000_123,
        reason: "new routes".into(),
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        proposer: "e1".into(),
        incarnation: 400 + round,
    }
}

fn accepted(round: u64, number: u64) -> AcceptedVersion {
    AcceptedVersion {
        ballot: ballot(round),
        version: version(number),
    }
}

fn disk(count: u64) -> DiskStamp {
    DiskStamp {
        disk_id: 0x1112_1314_1516_1718,
        vote_count: count,
    }
}

fn gossip() -> GossipPayload {
    let heartbeat = Heartbeat {
        acceptor: "e3".into(),
        incarnation: 11,
        clock: -12_345,
        minimum_version: 600,
        acceptors_since: 601,
    };
    GossipPayload {
        newest: 700,
        heartbeats: vec![heartbeat],
    }
}

fn consensus_messages() -> Vec<(&'static str, Message)> {
    let accepted = Some(accepted(3, 21));
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
                minimum_version: 18,
                disk: disk(31),
            },
        ),
        (
            "promise-empty",
            Message::Promise {
                ballot: ballot(2),
                accepted: None,
                minimum_version: 18,
                disk: disk(31),
            },
        ),
        (
            "accept",
            Message::Accept {
                ballot: ballot(4),
                base: version(20),
                version: version(21),
                minimum_version: 19,
            },
        ),
        (
            "accepted",
            Message::Accepted {
                ballot: ballot(5),
                minimum_version: 20,
                disk: disk(32),
            },
        ),
        (
            "refused",
            Message::Rejected {
                ballot: ballot(6),
                promised: ballot(7),
            },
        ),
        ("decided", Message::Decided(version(22))),
    ]
}

fn other_messages() -> Vec<(&'static str, Message)> {
    vec![
        ("which", Message::NewestRequest),
        (
            "close",
            Message::Retire {
                minimum_version: 21,
                newest: version(23),
            },
        ),
        (
            "closed",
            Message::Retired {
                minimum_version: 22,
                pending: Some(version(24)),
                disk: disk(33),
            },
        ),
        ("known", Message::DiskCheckRequest { disk: disk(34) }),
        (
            "remembered",
            Message::DiskCheckResponse {
                recorded: disk(35),
                newest: version(25),
            },
        ),
        ("sealed", Message::DiskUpdated(disk(36))),
        (
            "clock",
            Message::ClockRequest {
                requested_at: 5_000_000,
            },
        ),
        (
            "clock-is",
            Message::ClockResponse {
                requested_at: 6_000_000,
                incarnation: 12,
                clock: 7_000_000,
            },
        ),
        (
            "floor",
            Message::MinimumVersionRequest {
                nonce: 0x2122_2324_2526_2728,
            },
        ),
        (
            "floor-is",
            Message::MinimumVersionResponse {
                nonce: 0x3132_3334_3536_3738,
                newest: version(26),
                highest: 27,
            },
        ),
    ]
}

fn envelopes() -> Vec<(&'static str, Envelope)> {
    let digest = Digest::of(b"content");
    vec![
        (
            "word-register",
            Envelope::protocol_message(&Message::NewestRequest),
        ),
        (
            "word-want",
            Envelope::ChunkRequest {
                digest,
                offset: 1_024,
            },
        ),
        (
            "word-piece",
            Envelope::Chunk {
                digest,
                offset: 2_048,
                content_length: Some(4_096),
                bytes: vec![1, 2, 3],
            },
        ),
        (
            "word-piece-absent",
            Envelope::Chunk {
                digest,
                offset: 0,
                content_length: None,
                bytes: Vec::new(),
            },
        ),
    ]
}

fn acceptor_file() -> AcceptorState {
    AcceptorState {
        disk: disk(37),
        incarnation: 13,
        promised: ballot(8),
        accepted: Some(accepted(9, 28)),
        newest: version(27),
        minimum_version: 26,
        peer_disks: BTreeMap::from([("e2".into(), disk(38)), ("e3".into(), disk(39))]),
    }
}

#[test]
fn messages_and_files_match_the_earlier_build() {
    let mut samples = Vec::new();
    for (name, message) in consensus_messages().into_iter().chain(other_messages()) {
        let bytes = message.encode();
        assert_eq!(Message::decode(&bytes), Some(message), "{name}");
        samples.push((name, bytes));
    }
    assert_eq!(GossipPayload::decode(&gossip().encode()), Some(gossip()));
    samples.push(("hint", gossip().encode()));
    for (name, envelope) in envelopes() {
        let bytes = envelope.encode();
        assert_eq!(Envelope::decode(&bytes), Some(envelope), "{name}");
        samples.push((name, bytes));
    }
    let acceptor = file_format::encode(&acceptor_file());
    assert_eq!(
        file_format::decode::<AcceptorState>(&acceptor),
        Ok(acceptor_file())
    );
    samples.push(("file-acceptor", acceptor));
    let node = StoredVersion {
        minimum_version: 27,
        version: Some(version(28)),
        content: b"content".to_vec(),
    };
    let node_file = file_format::encode(&node);
    assert_eq!(file_format::decode::<StoredVersion>(&node_file), Ok(node));
    samples.push(("file-node", node_file));
    pipitlever_test_fixtures::assert_bytes(FIXTURES, &samples);
}
