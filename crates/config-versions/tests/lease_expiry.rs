//! When a lease on a version begins, is renewed, and expires.

use pipitlever_config_versions::lease::{ClockDrift, ClockReading, Leases};
use pipitlever_config_versions::message::Heartbeat;
use pipitlever_config_versions::version::Version;

const DRIFT: ClockDrift = ClockDrift { ppm: 10_000 };
const LEASE: i64 = 10_000_000;

fn newest() -> Version {
    Version::genesis(&["a".to_owned(), "b".to_owned(), "c".to_owned()])
}

fn heartbeat(acceptor: &str, clock: i64, minimum_version: u64) -> Heartbeat {
    Heartbeat {
        acceptor: acceptor.into(),
        incarnation: 1,
        clock,
        minimum_version,
        acceptors_since: 0,
    }
}

fn reading(incarnation: u64, remote: i64, requested_at: i64) -> ClockReading {
    ClockReading {
        incarnation,
        remote,
        requested_at,
    }
}

#[test]
fn drift_bounds_a_duration_from_both_sides() {
    for duration in [0, 1, 1000, 10_000_000, 3_600_000_000] {
        for (fast, slow) in [(1.01, 0.99), (0.99, 1.01), (1.0, 1.0)] {
            // The time that passes on a clock with the first rate while the duration passes on a
            // clock with the second rate.
            let elapsed = duration as f64 * fast / slow;
            assert!(
                DRIFT.min_elapsed(duration) as f64 <= elapsed + 1.0,
                "{duration} {fast}"
            );
            assert!(
                DRIFT.max_elapsed(duration) as f64 + 1.0 >= elapsed,
                "{duration} {fast}"
            );
        }
    }
}

#[test]
fn a_lease_begins_with_the_clock_request_and_lasts_while_a_quorum_sends_heartbeats() {
    let (mut leases, newest) = (Leases::default(), newest());
    let acceptors = newest.acceptors.clone();
    for acceptor in ["a", "b"] {
        assert!(leases.record_heartbeat(&heartbeat(acceptor, 5_000_000_000, 0), &acceptors));
    }
    // Heartbeats of acceptors with an unknown clock don't count.
    assert_eq!(leases.expires_at(1, &newest, LEASE, DRIFT), None);
    leases.record_clock("a", reading(1, 5_000_000_000, 100), &acceptors);
    assert_eq!(leases.expires_at(1, &newest, LEASE, DRIFT), None);
    leases.record_clock("b", reading(1, 5_000_000_000, 200), &acceptors);
    // Counted from the earliest request among the quorum.
    assert_eq!(
        leases.expires_at(1, &newest, LEASE, DRIFT),
        Some(100 + LEASE)
    );
    leases.record_heartbeat(&heartbeat("a", 5_001_000_000, 0), &acceptors);
    assert_eq!(
        leases.expires_at(1, &newest, LEASE, DRIFT),
        Some(200 + LEASE)
    );
    // A late or duplicate heartbeat changes nothing, nor does one of a member that is no acceptor.
    assert!(!leases.record_heartbeat(&heartbeat("a", 5_000_500_000, 0), &acceptors));
    assert!(!leases.record_heartbeat(&heartbeat("z", 5_000_500_000, 0), &acceptors));
    leases.record_heartbeat(&heartbeat("b", 5_001_000_000, 0), &acceptors);
    let expires_at = leases.expires_at(1, &newest, LEASE, DRIFT).unwrap();
    assert!(
        (100 + 980_000 + LEASE..=100 + 1_000_000 + LEASE).contains(&expires_at),
        "{expires_at}"
    );
    // A quorum has retired the version, or reports newer acceptors than this node has.
    leases.record_heartbeat(&heartbeat("b", 5_002_000_000, 2), &acceptors);
    assert_eq!(leases.expires_at(1, &newest, LEASE, DRIFT), None);
    assert!(leases.expires_at(2, &newest, LEASE, DRIFT).is_some());
    let with_newer_acceptors = Heartbeat {
        acceptors_since: 3,
        ..heartbeat("b", 5_003_000_000, 0)
    };
    leases.record_heartbeat(&with_newer_acceptors, &acceptors);
    assert_eq!(leases.expires_at(1, &newest, LEASE, DRIFT), None);
}

#[test]
fn after_a_restart_heartbeats_count_once_the_clock_was_read_again() {
    let (mut leases, newest) = (Leases::default(), newest());
    let acceptors = newest.acceptors.clone();
    for acceptor in ["a", "b"] {
        leases.record_heartbeat(&heartbeat(acceptor, 1000, 0), &acceptors);
        leases.record_clock(acceptor, reading(1, 1000, 0), &acceptors);
        assert!(!leases.needs_clock(acceptor, 0, LEASE, DRIFT));
    }
    assert!(leases.needs_clock("c", 0, LEASE, DRIFT));
    // The clock may restart from zero, on another machine: heartbeats of both processes must not be
    // confused.
    let restarted = Heartbeat {
        incarnation: 2,
        ..heartbeat("a", 5, 0)
    };
    assert!(leases.record_heartbeat(&restarted, &acceptors));
    assert_eq!(leases.expires_at(1, &newest, LEASE, DRIFT), None);
    assert!(leases.needs_clock("a", 0, LEASE, DRIFT));
    leases.record_clock("a", reading(2, 5, 50), &acceptors);
    assert_eq!(leases.expires_at(1, &newest, LEASE, DRIFT), Some(LEASE));
    assert!(!leases.record_heartbeat(&heartbeat("a", 9000, 0), &acceptors));
    // Drift makes a reading less exact over time.
    assert!(!leases.needs_clock("a", 60_000_000, LEASE, DRIFT));
    assert!(leases.needs_clock("a", 3_600_000_000, LEASE, DRIFT));
}
