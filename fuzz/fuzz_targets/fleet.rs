//! Whatever a stranger sends to the fleet's port: bytes as they are, and messages that pass the
//! checksum. A node neither panics, nor grows beyond its bound, nor loses those who were there.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_membership::message::{frame, Frame, Frames, Packet};
use pipitlever_membership::own::Own;
use pipitlever_membership::record::Standing;
use pipitlever_membership::rules::Rules;
use pipitlever_membership::sync::Session;
use pipitlever_membership::Fleet;

const MOST: usize = 8;

fuzz_target!(|data: &[u8]| {
    let own = Own::new(1, ([127, 0, 0, 1], 1).into(), "");
    let rules = Rules { most_members: MOST, ..Rules::default() };
    let mut fleet = Fleet::new(rules, "rota", "n1", own, 1, 0);
    fleet.say(Standing::Serving, b"");
    let (kind, data) = data.split_first().unwrap_or((&0, &[]));
    let mut now = 0;
    match kind % 3 {
        0 => {
            let _ = fleet.datagram(now, data);
            let mut frames = Frames::default();
            frames.feed(data);
            while let Ok(Some(_)) = frames.next("rota") {}
        }
        1 => {
            let mut rest = data;
            while let Ok((packet, behind)) = postcard::take_from_bytes::<Packet>(rest) {
                let _ = fleet.datagram(now, &packet.write("rota"));
                now += 300_000;
                fleet.wake(now);
                rest = behind;
            }
        }
        _ => {
            let mut session = Session::answer();
            let mut rest = data;
            while let Ok((said, behind)) = postcard::take_from_bytes::<Frame>(rest) {
                let mut bytes = Vec::new();
                frame(&mut bytes, "rota", &said);
                if session.feed(&mut fleet, now, &bytes).is_err() {
                    break;
                }
                while session.piece(&fleet, now).is_some() {}
                now += 1000;
                rest = behind;
            }
        }
    }
    assert!(fleet.members().len() <= MOST && fleet.members().get("n1").is_some());
    for _ in 0..20 {
        now = fleet.next_wake().max(now);
        fleet.wake(now);
        assert!(fleet.take_out().iter().all(|(_, bytes)| bytes.len() <= 1500));
    }
    assert!(fleet.next_wake() > now - 1 && fleet.next_wake() < now + 60_000_000);
});
