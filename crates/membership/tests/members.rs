//! Table of members: digests, counts and eviction.

use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::members::Members;
use pipitlever_membership::record::{LoadReading, Record, State};

fn record(state: State, incarnation: u64) -> Record {
    Record {
        incarnation,
        state,
        ..LocalMember::new(1, ([127, 0, 0, 1], 1).into(), "").record
    }
}

#[test]
fn digest_depends_on_the_content_and_not_on_its_history() {
    let (mut a, mut b) = (Members::default(), Members::default());
    a.insert("n1", record(State::Alive, 1), 0, "n1");
    a.insert("n2", record(State::Alive, 1), 0, "n1");
    b.insert("n2", record(State::Down, 7), 5, "n3");
    b.insert("n3", record(State::Alive, 7), 5, "n3");
    assert_ne!(a.digest(), b.digest());
    b.update("n2", |member| member.record = record(State::Alive, 1));
    b.remove("n3");
    b.insert("n1", record(State::Alive, 1), 9, "n4");
    assert_eq!(
        (a.digest(), a.active_count(), a.known_count()),
        (b.digest(), 2, 2)
    );
    // The digest covers the state and not the load.
    b.update("n1", |member| {
        member.record.load = LoadReading {
            sequence: 9,
            priority_cutoff: 9,
        };
    });
    assert_eq!(a.digest(), b.digest());
    b.update("n1", |member| member.record.state = State::Left);
    assert_ne!(a.digest(), b.digest());
    assert_eq!((b.active_count(), b.known_count()), (1, 1));
    b.update("n1", |member| member.is_tombstone = true);
    a.remove("n1");
    assert_eq!(
        a.digest(),
        b.digest(),
        "a tombstone is not part of the view"
    );
}

#[test]
fn eviction_prefers_inactive_members_and_excludes_verified_ones() {
    let mut members = Members::default();
    members.insert("local", record(State::Alive, 1), 0, "local");
    members.insert("verified", record(State::Alive, 1), 0, "local");
    members.annotate("verified", |member| member.last_ack = Some(1));
    members.insert("unverified-old", record(State::Alive, 1), 10, "x");
    members.insert("unverified", record(State::Alive, 1), 20, "x");
    members.insert("down", record(State::Down, 1), 30, "x");
    members.insert("down-long", record(State::Down, 1), 5, "x");
    for (is_self_announced, evicted) in [
        (false, Some("down-long")),
        (true, Some("down")),
        (false, None),
        (true, Some("unverified")),
        (true, Some("unverified-old")),
        (true, None),
    ] {
        let candidate = members.eviction_candidate("local", is_self_announced);
        assert_eq!(candidate.as_deref(), evicted);
        if let Some(name) = candidate {
            members.remove(&name);
        }
    }
    assert_eq!(members.len(), 2);
}
