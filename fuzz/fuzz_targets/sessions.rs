//! Arbitrary messages to the session directory, in any order. The directory does not panic or
//! exceed its limit of sessions, resolves a session afterwards, and sends no message that is too
//! large for a datagram.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, Pool, Resolution, SessionDirectory, SessionKey, WorkerSettings,
};
use pipitlever_session_affinity::message::Message;

const MAX_SESSIONS: usize = 8;
const PEERS: [&str; 2] = ["n1", "n2"];

fn directory() -> SessionDirectory {
    let worker = |name: &str| WorkerSettings {
        name: name.into(),
        weight: 1.0,
        accepts_sessions: true,
        is_draining: false,
    };
    let pool = Pool {
        name: "p".into(),
        previous_names: vec![],
        workers: vec![worker("a"), worker("b")],
        idle_timeout_seconds: 60,
        failure_grace: 0,
        drain_grace: 0,
    };
    let settings = DirectorySettings {
        lookup_timeout: 60_000,
        max_sessions: MAX_SESSIONS,
    };
    let mut directory = SessionDirectory::new("n0", settings, vec![pool], 7, 1, 0);
    let peers = PEERS.map(|name| Peer {
        name: name.into(),
        is_bootstrapped: true,
    });
    directory.handle_membership_change(0, peers.to_vec(), true);
    directory
}

fuzz_target!(|data: &[u8]| {
    let mut directory = directory();
    let _ = Message::decode(data);
    let (mut rest, mut now) = (data, 0);
    while let Ok((message, remaining)) = postcard::take_from_bytes::<Message>(rest) {
        // Encoded and decoded again, so that messages beyond the limits are rejected.
        if let Some(message) = Message::decode(&message.encode()) {
            directory.handle_message(now, PEERS[now as usize / 1000 % 2], &message);
        }
        now += 1000;
        directory.handle_wakeup(now);
        rest = remaining;
    }
    assert!(directory.table().len() <= MAX_SESSIONS);
    let mut resolution = directory.resolve(now, 0, SessionKey::Session(3), 1);
    while resolution == Resolution::Pending {
        now = directory.next_wakeup().max(now + 1);
        directory.handle_wakeup(now);
        assert!(directory
            .take_messages()
            .iter()
            .all(|message| message.payload.len() <= 900));
        let resolved = directory.take_resolutions();
        resolution = resolved
            .first()
            .map_or(Resolution::Pending, |resolved| resolved.resolution);
    }
    assert!(
        matches!(resolution, Resolution::Worker(_)),
        "{resolution:?}"
    );
});
