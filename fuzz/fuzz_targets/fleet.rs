//! Whatever a stranger sends to the fleet's port: bytes as they are, and messages that pass the
//! checksum. A node neither panics, nor grows beyond its bound, nor loses those who were there.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_membership::message::{encode_frame, Frame, FrameDecoder, Packet};
use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::record::ServiceState;
use pipitlever_membership::config::MembershipConfig;
use pipitlever_membership::sync::SyncSession;
use pipitlever_membership::Membership;

const MOST: usize = 8;

fuzz_target!(|data: &[u8]| {
    let own = LocalMember::new(1, ([127, 0, 0, 1], 1).into(), "");
    let rules = MembershipConfig { max_members: MOST, ..MembershipConfig::default() };
    let mut fleet = Membership::new(rules, "rota", "n1", own, 1, 0);
    fleet.set_service_state(ServiceState::Serving, b"");
    let (kind, data) = data.split_first().unwrap_or((&0, &[]));
    let mut now = 0;
    match kind % 3 {
        0 => {
            let _ = fleet.handle_datagram(now, data);
            let mut frames = FrameDecoder::default();
            frames.push(data);
            while let Ok(Some(_)) = frames.next_frame("rota") {}
        }
        1 => {
            let mut rest = data;
            while let Ok((packet, behind)) = postcard::take_from_bytes::<Packet>(rest) {
                let _ = fleet.handle_datagram(now, &packet.encode("rota"));
                now += 300_000;
                fleet.handle_wakeup(now);
                rest = behind;
            }
        }
        _ => {
            let mut session = SyncSession::respond();
            let mut rest = data;
            while let Ok((said, behind)) = postcard::take_from_bytes::<Frame>(rest) {
                let mut bytes = Vec::new();
                encode_frame(&mut bytes, "rota", &said);
                if session.handle_bytes(&mut fleet, now, &bytes).is_err() {
                    break;
                }
                while session.next_chunk(&fleet, now).is_some() {}
                now += 1000;
                rest = behind;
            }
        }
    }
    assert!(fleet.members().len() <= MOST && fleet.members().get("n1").is_some());
    for _ in 0..20 {
        now = fleet.next_wakeup().max(now);
        fleet.handle_wakeup(now);
        assert!(fleet.take_datagrams().iter().all(|datagram| datagram.payload.len() <= 1500));
    }
    assert!(fleet.next_wakeup() > now - 1 && fleet.next_wakeup() < now + 60_000_000);
});
