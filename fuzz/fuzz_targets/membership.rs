//! Arbitrary bytes and well-formed messages as input of the membership protocol. The protocol does
//! not panic, exceed its limit of members or remove the local member from its table.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::message::{encode_frame, Frame, FrameDecoder, Packet};
use pipitlever_membership::record::ServiceState;
use pipitlever_membership::sync::SyncSession;
use pipitlever_membership::Membership;

const FLEET: &str = "rota";
const MAX_MEMBERS: usize = 8;

fuzz_target!(|data: &[u8]| {
    let local = LocalMember::new(1, ([127, 0, 0, 1], 1).into(), "");
    let config = MembershipConfig {
        max_members: MAX_MEMBERS,
        ..MembershipConfig::default()
    };
    let mut membership = Membership::new(config, FLEET, "n1", local, 1, 0);
    membership.set_service_state(ServiceState::Serving, b"");
    let (kind, data) = data.split_first().unwrap_or((&0, &[]));
    let mut now = match kind % 3 {
        0 => receive_bytes(&mut membership, data),
        1 => receive_packets(&mut membership, data),
        _ => receive_frames(&mut membership, data),
    };
    assert!(membership.members().len() <= MAX_MEMBERS);
    assert!(membership.members().get("n1").is_some());
    for _ in 0..20 {
        now = membership.next_wakeup().max(now);
        membership.handle_wakeup(now);
        assert!(membership
            .take_datagrams()
            .iter()
            .all(|datagram| datagram.payload.len() <= 1500));
    }
    let wakeup = membership.next_wakeup();
    assert!(wakeup > now - 1 && wakeup < now + 60_000_000);
});

fn receive_bytes(membership: &mut Membership, data: &[u8]) -> i64 {
    let _ = membership.handle_datagram(0, data);
    let mut decoder = FrameDecoder::default();
    decoder.push(data);
    while let Ok(Some(_)) = decoder.next_frame(FLEET) {}
    0
}

fn receive_packets(membership: &mut Membership, data: &[u8]) -> i64 {
    let (mut rest, mut now) = (data, 0);
    while let Ok((packet, remaining)) = postcard::take_from_bytes::<Packet>(rest) {
        let _ = membership.handle_datagram(now, &packet.encode(FLEET));
        now += 300_000;
        membership.handle_wakeup(now);
        rest = remaining;
    }
    now
}

fn receive_frames(membership: &mut Membership, data: &[u8]) -> i64 {
    let mut session = SyncSession::respond();
    let (mut rest, mut now) = (data, 0);
    while let Ok((frame, remaining)) = postcard::take_from_bytes::<Frame>(rest) {
        let mut bytes = Vec::new();
        encode_frame(&mut bytes, FLEET, &frame);
        if session.handle_bytes(membership, now, &bytes).is_err() {
            break;
        }
        while session.next_chunk(membership, now).is_some() {}
        now += 1000;
        rest = remaining;
    }
    now
}
