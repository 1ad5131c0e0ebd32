//! Measures the cost of sessions for a node, by number of sessions and nodes: the resolution of a
//! known and of a new session, and the longest pauses for scans and sweeps. Run with `cargo run
//! --release -p pipitlever-session-affinity --example cost`.

use pipitlever_session_affinity::directory::{
    DirectorySettings, Peer, Pool, Resolution, SessionDirectory, SessionKey, WorkerSettings,
};
use std::time::{Duration, Instant};

const WORKERS: usize = 12;
const RESOLUTIONS: u64 = 1_000_000;
/// Stride through the sessions that defeats the CPU's caches.
const STRIDE: u64 = 7_919;

/// Durations of the operations, for one number of sessions and nodes.
struct Costs {
    new_session: Duration,
    known_session: Duration,
    membership_change: Duration,
    longest_chunk: Duration,
    longest_sweep: Duration,
    table_bytes: usize,
}

fn pool() -> Pool {
    let workers = (0..WORKERS).map(|i| WorkerSettings {
        name: format!("w{i}"),
        weight: 1.0,
        accepts_sessions: true,
        is_draining: false,
    });
    Pool {
        name: "p".into(),
        previous_names: Vec::new(),
        workers: workers.collect(),
        idle_timeout_seconds: 3600,
        failure_grace: 0,
        drain_grace: 0,
    }
}

fn peers(nodes: usize) -> Vec<Peer> {
    (1..nodes)
        .map(|i| Peer {
            name: format!("n{i}"),
            is_bootstrapped: true,
        })
        .collect()
}

fn create_sessions(directory: &mut SessionDirectory, sessions: u64) -> Duration {
    let start = Instant::now();
    for session in 0..sessions {
        let resolution = directory.resolve(0, 0, SessionKey::Session(session), session);
        assert!(matches!(resolution, Resolution::Worker(_)));
    }
    start.elapsed() / sessions as u32
}

fn resolve_sessions(directory: &mut SessionDirectory, sessions: u64) -> Duration {
    let start = Instant::now();
    for i in 0..RESOLUTIONS {
        let key = SessionKey::Session(i * STRIDE % sessions);
        let resolution = directory.resolve(0, 0, key, i);
        assert!(matches!(
            resolution,
            Resolution::Worker(_) | Resolution::Pending
        ));
    }
    directory.take_messages();
    start.elapsed() / RESOLUTIONS as u32
}

/// Returns the longest duration of a wakeup at these times.
fn longest_wakeup(directory: &mut SessionDirectory, times: impl Iterator<Item = i64>) -> Duration {
    let mut longest = Duration::ZERO;
    for now in times {
        let start = Instant::now();
        directory.handle_wakeup(now);
        longest = longest.max(start.elapsed());
        directory.take_messages();
    }
    longest
}

fn measure(sessions: u64, nodes: usize) -> Costs {
    let settings = DirectorySettings {
        lookup_timeout: 60_000,
        max_sessions: 2_000_000,
    };
    let mut directory = SessionDirectory::new("n0", settings, vec![pool()], 0, 1, 0);
    directory.handle_membership_change(0, Vec::new(), true);
    let new_session = create_sessions(&mut directory, sessions);
    let known_session = resolve_sessions(&mut directory, sessions);
    let peers = peers(nodes);
    let start = Instant::now();
    directory.handle_membership_change(0, peers, true);
    let membership_change = start.elapsed();
    let chunks = (1..2_000).map(|i| i * 5_000);
    let longest_chunk = longest_wakeup(&mut directory, chunks);
    let sweeps = (100..170).map(|second| second * 1_000_000);
    let longest_sweep = longest_wakeup(&mut directory, sweeps);
    Costs {
        new_session,
        known_session,
        membership_change,
        longest_chunk,
        longest_sweep,
        table_bytes: directory.table().bytes(),
    }
}

fn main() {
    println!("sessions  nodes  known, ns  new, ns  table, MB  membership change, chunk, sweep, ms");
    for (sessions, nodes) in [
        (1_000, 10),
        (1_000_000, 10),
        (1_000, 1_000),
        (1_000_000, 1_000),
    ] {
        let costs = measure(sessions, nodes);
        println!(
            "{sessions:>8}  {nodes:>5}  {:>9}  {:>7}  {:>9.1}  {:>17.1}, {:.1}, {:.1}",
            costs.known_session.as_nanos(),
            costs.new_session.as_nanos(),
            costs.table_bytes as f64 / f64::from(1 << 20),
            costs.membership_change.as_secs_f64() * 1e3,
            costs.longest_chunk.as_secs_f64() * 1e3,
            costs.longest_sweep.as_secs_f64() * 1e3,
        );
    }
}
