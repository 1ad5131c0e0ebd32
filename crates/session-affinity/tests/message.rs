//! Size and decoding of messages.

use pipitlever_session_affinity::message::{DirectoryEntry, Message, MAX_ENTRIES};
use pipitlever_session_affinity::placement::Placement;
use pipitlever_session_affinity::timestamp::Timestamp;
use proptest::prelude::*;

/// First byte of each message.
const MARKER: u8 = 0xa5;

fn longest_entry() -> DirectoryEntry {
    DirectoryEntry {
        session: u64::MAX,
        placement: Placement {
            worker: u32::MAX,
            created: Timestamp {
                seconds: u32::MAX,
                node: u16::MAX,
            },
            moves: 255,
            version: u16::MAX,
        },
        idle_seconds: u32::MAX,
    }
}

#[test]
fn the_longest_message_fits_into_a_datagram_and_longer_ones_are_rejected() {
    let message = Message::Update {
        time: u32::MAX,
        entries: vec![longest_entry(); MAX_ENTRIES],
        ack_requested: true,
    };
    let bytes = message.encode();
    assert!(bytes.len() < 800, "{}", bytes.len());
    assert_eq!(Message::decode(&bytes), Some(message));
    let longer = Message::Update {
        time: 0,
        entries: vec![
            DirectoryEntry {
                session: 0,
                idle_seconds: 0,
                ..longest_entry()
            };
            MAX_ENTRIES + 1
        ],
        ack_requested: false,
    };
    assert_eq!(Message::decode(&longer.encode()), None);
    let longer = Message::UpdateAck {
        sessions: vec![0; MAX_ENTRIES + 1],
    };
    assert_eq!(Message::decode(&longer.encode()), None);
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let _ = Message::decode(&bytes);
        let _ = Message::decode(&[&[MARKER][..], &bytes].concat());
    }
}
