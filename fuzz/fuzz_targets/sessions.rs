//! Whatever members say about sessions, in any order: a node neither panics nor grows beyond its
//! bound, goes on to place a session, and says nothing that is longer than a datagram.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_session_affinity::message::Message;
use pipitlever_session_affinity::node::{Found, Node, Peer, Pool, Server, Settings, What};

const MOST: usize = 8;

fuzz_target!(|data: &[u8]| {
    let server = |name: &str| Server { name: name.into(), weight: 1.0, takes: true, drains: false };
    let workers = vec![server("a"), server("b")];
    let pool = Pool { name: "p".into(), was: vec![], workers, idle: 60, patience: 0, linger: 0 };
    let mut node = Node::new("n0", Settings { wait: 60_000, most: MOST }, vec![pool], 7, 1, 0);
    let peers = ["n1", "n2"].map(|n| Peer { name: n.into(), filled: true });
    node.view(0, peers.to_vec(), true);
    let _ = Message::read(data);
    let (mut rest, mut now) = (data, 0);
    while let Ok((message, behind)) = postcard::take_from_bytes::<Message>(rest) {
        // As it would be read: what is too long is not.
        if let Some(message) = Message::read(&message.write()) {
            node.heard(now, ["n1", "n2"][now as usize / 1000 % 2], &message);
        }
        now += 1000;
        node.tick(now);
        rest = behind;
    }
    assert!(node.table().len() <= MOST);
    let mut found = node.want(now, 0, What::Session(3), 1);
    while found == Found::Asked {
        now = node.due().max(now + 1);
        node.tick(now);
        assert!(node.take_out().iter().all(|(_, bytes)| bytes.len() <= 900));
        found = node.take_found().first().map_or(Found::Asked, |f| f.1);
    }
    assert!(matches!(found, Found::At(_)), "{found:?}");
});
