//! Encoding and decoding of datagrams and frames, and limits on what is accepted.

mod common;

use common::{record, update};
use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::message::{
    encode_frame, Body, DecodeError, Frame, FrameDecoder, Packet,
};
use pipitlever_membership::record::{Record, Rival};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_damaged_or_truncated_datagram_is_rejected(
        record in record(),
        at in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let packet = Packet {
            sender: update(record.clone()),
            digest: 9,
            body: Body::Ping { sequence: 5, target: Some("n3".into()) },
            updates: vec![update(record)],
            piggyback: Vec::new(),
        };
        let bytes = packet.encode("rota");
        prop_assert_eq!(Packet::decode("rota", &bytes), Ok(packet));
        prop_assert_eq!(
            Packet::decode("other", &bytes),
            Err(DecodeError::WrongFleet("rota".into()))
        );
        let at = at.index(bytes.len());
        prop_assert!(Packet::decode("rota", &bytes[..at]).is_err(), "truncated");
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << bit;
        prop_assert!(Packet::decode("rota", &damaged).is_err(), "damaged");
        let mut longer = bytes;
        longer.resize(64 << 10, 0);
        prop_assert!(Packet::decode("rota", &longer).is_err(), "64 KiB");
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(Packet::decode("rota", &bytes).is_err());
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        prop_assert!(!matches!(decoder.next_frame("rota"), Ok(Some(_))));
    }

    #[test]
    fn frames_are_decoded_from_chunks_of_any_size(
        records in prop::collection::vec(record(), 1..6),
        chunk_size in 1usize..50,
    ) {
        let sent = [
            Frame::BucketDigests {
                sender: update(records[0].clone()),
                digests: vec![u64::MAX; 64],
            },
            Frame::Members(records.into_iter().map(update).collect()),
            Frame::End,
        ];
        let mut bytes = Vec::new();
        for frame in &sent {
            encode_frame(&mut bytes, "rota", frame);
        }
        let (mut decoder, mut received) = (FrameDecoder::default(), Vec::new());
        for chunk in bytes.chunks(chunk_size) {
            decoder.push(chunk);
            while let Some(frame) = decoder.next_frame("rota").unwrap() {
                received.push(frame);
            }
        }
        prop_assert_eq!(&received[..], &sent[..]);
    }
}

#[test]
fn another_protocol_version_and_records_beyond_limits_are_rejected() {
    let record = LocalMember::new(1, ([127, 0, 0, 1], 1).into(), "").record;
    let packet = |record| Packet {
        sender: update(record),
        digest: 0,
        body: Body::Gossip,
        updates: Vec::new(),
        piggyback: Vec::new(),
    };
    let mut newer = packet(record.clone()).encode("rota");
    newer[4] += 1;
    assert_eq!(
        Packet::decode("rota", &newer),
        Err(DecodeError::UnsupportedVersion(2))
    );
    let violations: [fn(&mut Record); 5] = [
        |record| record.details.zone = "z".repeat(65),
        |record| record.details.payload = vec![0; 65],
        |record| record.details.address = ([127, 0, 0, 1], 0).into(),
        // No higher incarnation is left with which a process could override the record.
        |record| record.incarnation = u64::MAX,
        |record| {
            let rival = Rival {
                token: 1,
                address: ([127, 0, 0, 1], 1).into(),
            };
            record.details.rivals = vec![rival; 5];
        },
    ];
    for violate in violations {
        let mut record = record.clone();
        violate(&mut record);
        assert_eq!(
            Packet::decode("rota", &packet(record).encode("rota")),
            Err(DecodeError::Malformed)
        );
    }
}
