//! Records of one name are a join semilattice, and what is read from others is bounded.

use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::message::{
    encode_frame, Body, DecodeError, Frame, FrameDecoder, Packet, Update,
};
use pipitlever_membership::record::{Details, Record, Rival, ServiceState, State};
use proptest::prelude::*;

fn details() -> impl Strategy<Value = Details> {
    let rivals = prop::collection::vec(1u64..3, 0..2);
    (1u64..4, 1u16..3, 0usize..3, rivals).prop_map(|(revision, port, standing, rivals)| Details {
        revision,
        address: ([127, 0, 0, 1], port).into(),
        zone: String::new(),
        service_state: [
            ServiceState::Serving,
            ServiceState::Overloaded,
            ServiceState::Draining,
        ][standing],
        payload: Vec::new(),
        rivals: rivals
            .into_iter()
            .map(|t| Rival {
                token: t,
                address: ([127, 0, 0, 2], 9).into(),
            })
            .collect(),
    })
}

/// Few values, so that they often agree in part.
fn record() -> impl Strategy<Value = Record> {
    let state = prop::sample::select(vec![State::Alive, State::Suspect, State::Down, State::Left]);
    (1u64..3, 1u64..3, state, details(), (0u32..3, 0u8..2)).prop_map(
        |(incarnation, token, state, details, load)| Record {
            incarnation,
            token,
            state,
            details,
            load,
        },
    )
}

fn joined(a: &Record, b: &Record) -> Record {
    let mut a = a.clone();
    a.merge(b);
    a
}

fn update(record: Record) -> Update {
    Update {
        name: "n1".into(),
        record,
        suspected_by: Some("n2".into()),
        state_age_seconds: 7,
    }
}

proptest! {
    #[test]
    fn order_repetition_and_loss_do_not_matter(a in record(), b in record(), c in record()) {
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
        let ab = joined(&a, &b);
        let mut again = ab.clone();
        // Nothing that was taken in before is new.
        prop_assert!(!again.merge(&a) && !again.merge(&b) && again == ab);
        // What is held never gets worse known: a later word is never exchanged for an earlier one.
        prop_assert!((ab.incarnation, ab.token) >= (a.incarnation, a.token));
        let same = (ab.incarnation, ab.token) == (a.incarnation, a.token);
        prop_assert!(!same || (ab.state >= a.state && ab.details >= a.details && ab.load >= a.load));
        // It says whether it brought anything new.
        let mut x = a.clone();
        prop_assert_eq!(x.merge(&b), x != a);
    }

    #[test]
    fn a_datagram_is_read_as_it_was_or_not_at_all(record in record(), at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let ping = Body::Ping { sequence: 5, target: Some("n3".into()) };
        let from = update(record.clone());
        let packet = Packet { sender: from, digest: 9, body: ping, updates: vec![update(record)], piggyback: Vec::new() };
        let bytes = packet.encode("rota");
        prop_assert_eq!(Packet::decode("rota", &bytes), Ok(packet));
        prop_assert_eq!(Packet::decode("other", &bytes), Err(DecodeError::WrongFleet("rota".into())));
        let at = at.index(bytes.len());
        prop_assert!(Packet::decode("rota", &bytes[..at]).is_err(), "cut");
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 1 << bit;
        prop_assert!(Packet::decode("rota", &spoilt).is_err(), "spoilt");
        let mut longer = bytes;
        longer.resize(64 << 10, 0);
        prop_assert!(Packet::decode("rota", &longer).is_err(), "64 KiB");
    }

    #[test]
    fn what_is_no_message_is_none(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(Packet::decode("rota", &bytes).is_err());
        let mut frames = FrameDecoder::default();
        frames.push(&bytes);
        prop_assert!(!matches!(frames.next_frame("rota"), Ok(Some(_))));
    }

    #[test]
    fn frames_come_whole_however_they_are_cut(records in prop::collection::vec(record(), 1..6), cut in 1usize..50) {
        let said = [
            Frame::BucketDigests { sender: update(records[0].clone()), digests: vec![u64::MAX; 64] },
            Frame::Members(records.into_iter().map(update).collect()),
            Frame::End,
        ];
        let mut bytes = Vec::new();
        said.iter().for_each(|f| encode_frame(&mut bytes, "rota", f));
        let (mut frames, mut heard) = (FrameDecoder::default(), Vec::new());
        for piece in bytes.chunks(cut) {
            frames.push(piece);
            while let Some(next) = frames.next_frame("rota").unwrap() {
                heard.push(next);
            }
        }
        prop_assert_eq!(&heard[..], &said[..]);
    }
}

#[test]
fn another_version_is_named_and_a_record_out_of_bounds_is_not_held() {
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
    let wrong: [fn(&mut Record); 5] = [
        |r| r.details.zone = "z".repeat(65),
        |r| r.details.payload = vec![0; 65],
        |r| r.details.address = ([127, 0, 0, 1], 0).into(),
        // It could never be out-bid.
        |r| r.incarnation = u64::MAX,
        |r| {
            r.details.rivals = vec![
                Rival {
                    token: 1,
                    address: ([127, 0, 0, 1], 1).into()
                };
                5
            ]
        },
    ];
    for wrong in wrong {
        let mut record = record.clone();
        wrong(&mut record);
        assert_eq!(
            Packet::decode("rota", &packet(record).encode("rota")),
            Err(DecodeError::Malformed)
        );
    }
}
