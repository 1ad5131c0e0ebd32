//! Whatever members say about sessions, in any order: a node neither panics nor grows beyond its
//! bound, goes on to place a session, and says nothing that is longer than a datagram.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_session_affinity::message::Message;
use pipitlever_session_affinity::directory::{Resolution, SessionDirectory, Peer, Pool, WorkerSettings, DirectorySettings, SessionKey};

const MOST: usize = 8;

fuzz_target!(|data: &[u8]| {
    let server = |name: &str| WorkerSettings { name: name.into(), weight: 1.0, accepts_sessions: true, is_draining: false };
    let workers = vec![server("a"), server("b")];
    let pool = Pool { name: "p".into(), previous_names: vec![], workers, idle_timeout_seconds: 60, failure_grace: 0, drain_grace: 0 };
    let mut node = SessionDirectory::new("n0", DirectorySettings { lookup_timeout: 60_000, max_sessions: MOST }, vec![pool], 7, 1, 0);
    let peers = ["n1", "n2"].map(|n| Peer { name: n.into(), is_bootstrapped: true });
    node.handle_membership_change(0, peers.to_vec(), true);
    let _ = Message::decode(data);
    let (mut rest, mut now) = (data, 0);
    while let Ok((message, behind)) = postcard::take_from_bytes::<Message>(rest) {
        // As it would be read: what is too long is not.
        if let Some(message) = Message::decode(&message.encode()) {
            node.handle_message(now, ["n1", "n2"][now as usize / 1000 % 2], &message);
        }
        now += 1000;
        node.handle_wakeup(now);
        rest = behind;
    }
    assert!(node.table().len() <= MOST);
    let mut found = node.resolve(now, 0, SessionKey::Session(3), 1);
    while found == Resolution::Pending {
        now = node.next_wakeup().max(now + 1);
        node.handle_wakeup(now);
        assert!(node.take_messages().iter().all(|message| message.payload.len() <= 900));
        found = node.take_resolutions().first().map_or(Resolution::Pending, |resolved| resolved.resolution);
    }
    assert!(matches!(found, Resolution::Worker(_)), "{found:?}");
});
