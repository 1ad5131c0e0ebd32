//! What a session costs a request: finding one that is known here, placing a new one alone, and
//! what a home and a newcomer do, with so many sessions remembered. `cargo run --release -p
//! pipitlever-session-affinity --example cost`

use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, Pool, Resolution, SessionDirectory, SessionKey, WorkerSettings,
};
use std::time::Instant;

fn pool(workers: usize) -> Pool {
    let server = |i| WorkerSettings {
        name: format!("w{i}"),
        weight: 1.0,
        accepts_sessions: true,
        is_draining: false,
    };
    let workers = (0..workers).map(server).collect();
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers,
        idle_timeout_seconds: 3600,
        failure_grace: 0,
        drain_grace: 0,
    }
}

fn main() {
    println!("sessions  nodes  known, ns  placed, ns  MB  homes change, piece, sweep, ms");
    for (sessions, nodes) in [
        (1_000u64, 10),
        (1_000_000, 10),
        (1_000, 1_000),
        (1_000_000, 1_000),
    ] {
        let settings = DirectorySettings {
            lookup_timeout: 60_000,
            max_sessions: 2_000_000,
        };
        let mut node = SessionDirectory::new("n0", settings, vec![pool(12)], 0, 1, 0);
        node.handle_membership_change(0, Vec::new(), true);
        let start = Instant::now();
        (0..sessions).for_each(|s| {
            assert!(matches!(
                node.resolve(0, 0, SessionKey::Session(s), s),
                Resolution::Worker(_)
            ))
        });
        let placed = start.elapsed().as_nanos() as f64 / sessions as f64;
        let looks = 1_000_000;
        let start = Instant::now();
        for look in 0..looks {
            // In an order that no cache foresees.
            let session = look * 7_919 % sessions;
            let found = node.resolve(0, 0, SessionKey::Session(session), look);
            assert!(matches!(found, Resolution::Worker(_) | Resolution::Pending));
        }
        node.take_messages();
        let known = start.elapsed().as_nanos() as f64 / looks as f64;
        let peers = |count: usize| {
            (1..count)
                .map(|i| Peer {
                    name: format!("n{i}"),
                    is_bootstrapped: true,
                })
                .collect()
        };
        let start = Instant::now();
        node.handle_membership_change(0, peers(nodes), true);
        let change = start.elapsed().as_secs_f64() * 1e3;
        // The longest of what is done at one time: pieces of what others are to hear, and of what
        // may be forgotten.
        let mut piece = 0.0f64;
        for t in 1..2_000 {
            let start = Instant::now();
            node.handle_wakeup(t * 5_000);
            piece = piece.max(start.elapsed().as_secs_f64() * 1e3);
            node.take_messages();
        }
        let mut sweep = 0.0f64;
        for t in 0..70 {
            let start = Instant::now();
            node.handle_wakeup((100 + t) * 1_000_000);
            sweep = sweep.max(start.elapsed().as_secs_f64() * 1e3);
            node.take_messages();
        }
        let mb = node.table().bytes() as f64 / 1048576.0;
        println!("{sessions:>9}  {nodes:>5}  {known:>9.0}  {placed:>10.0}  {mb:>4.1}  {change:>6.1} {piece:>6.1} {sweep:>6.1}");
    }
}
