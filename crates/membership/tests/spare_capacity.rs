//! Estimate of the spare capacity of other members.

use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::members::Members;
use pipitlever_membership::record::LoadReading;
use pipitlever_membership::spare_capacity::{SpareCapacity, MAX_MEMBERS};
use pipitlever_membership::Micros;

/// Age in microseconds up to which a load reading counts.
const MAX_READING_AGE: Micros = 4_000_000;

fn members(cutoffs: &[u8], now: Micros) -> Members {
    let mut members = Members::default();
    for (i, cutoff) in cutoffs.iter().enumerate() {
        let mut record = LocalMember::new(1, ([127, 0, 0, 1], 1).into(), "").record;
        record.load = LoadReading {
            sequence: 1,
            priority_cutoff: *cutoff,
        };
        members.insert(&format!("n{i}"), record, now, "n0");
    }
    members
}

#[test]
fn bands_rejected_by_most_members_are_exhausted_while_readings_are_fresh() {
    let mut capacity = SpareCapacity::default();
    let mut cutoffs = [128; 21];
    capacity.update(0, "n0", &members(&cutoffs, 0), false);
    assert!(capacity.is_exhausted(0.3) && !capacity.is_exhausted(0.7));
    // One of the twenty other members admits the request: a retry is not worthwhile.
    cutoffs[1] = 0;
    capacity.update(0, "n0", &members(&cutoffs, 0), false);
    assert!(capacity.is_exhausted(0.3));
    cutoffs[2..5].fill(0);
    capacity.update(0, "n0", &members(&cutoffs, 0), false);
    assert!(
        capacity.is_exhausted(0.3),
        "a fraction between the thresholds changes nothing"
    );
    cutoffs[5..9].fill(0);
    capacity.update(0, "n0", &members(&cutoffs, 0), false);
    assert!(!capacity.is_exhausted(0.3));
    cutoffs[6..9].fill(255);
    capacity.update(0, "n0", &members(&cutoffs, 0), false);
    assert!(
        !capacity.is_exhausted(0.3),
        "a fraction between the thresholds does not exhaust the band again"
    );
    let all = [255; 21];
    capacity.update(0, "n0", &members(&all, 0), false);
    assert!(capacity.is_exhausted(0.99));
    capacity.update(MAX_READING_AGE, "n0", &members(&all, 0), false);
    assert!(
        capacity.is_exhausted(0.99),
        "a reading of the maximum age counts"
    );
    capacity.update(MAX_READING_AGE + 1, "n0", &members(&all, 0), false);
    assert!(!capacity.is_exhausted(0.0), "old readings are ignored");
    capacity.update(0, "n0", &members(&all, 0), true);
    assert!(!capacity.is_exhausted(0.0), "disabled while partitioned");
    capacity.update(0, "n0", &members(&[255], 0), false);
    assert!(
        !capacity.is_exhausted(0.0),
        "disabled without other members"
    );
    capacity.update(0, "n0", &members(&[255; MAX_MEMBERS + 1], 0), false);
    assert!(
        !capacity.is_exhausted(0.0),
        "disabled in a cluster too large for fresh readings"
    );
}
