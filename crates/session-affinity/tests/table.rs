//! Table of placements: merge, idle entries, bounds and memory.

use pipitlever_session_affinity::message::DirectoryEntry;
use pipitlever_session_affinity::mix;
use pipitlever_session_affinity::placement::Placement;
use pipitlever_session_affinity::table::{KnownPlacement, MergeOutcome, PlacementTable};
use pipitlever_session_affinity::timestamp::Timestamp;

const SECOND: i64 = 1_000_000;

fn placement(worker: u32, seconds: u32) -> Placement {
    Placement {
        worker,
        created: Timestamp { seconds, node: 0 },
        moves: 0,
        version: 0,
    }
}

fn merge(table: &mut PlacementTable, session: u64, placement: Placement) -> MergeOutcome {
    let entry = DirectoryEntry {
        session,
        placement,
        idle_seconds: 0,
    };
    table.merge(0, entry)
}

#[test]
fn older_placements_take_precedence_and_idle_entries_are_swept() {
    let mut table = PlacementTable::new(10, 0);
    assert_eq!(merge(&mut table, 5, placement(1, 9)), MergeOutcome::Applied);
    assert_eq!(
        merge(&mut table, 5, placement(1, 9)),
        MergeOutcome::Unchanged
    );
    assert_eq!(
        merge(&mut table, 5, placement(2, 10)),
        MergeOutcome::Outdated(placement(1, 9))
    );
    assert_eq!(merge(&mut table, 5, placement(2, 8)), MergeOutcome::Applied);
    assert_eq!(
        table
            .sessions_by_worker()
            .iter()
            .map(|(worker, count)| (*worker, *count))
            .collect::<Vec<_>>(),
        [(2, 1)]
    );
    merge(&mut table, 6, placement(1, 1));
    table.touch(50 * SECOND, 5);
    table.sweep(60 * SECOND, |_, idle_seconds| idle_seconds < 30);
    assert_eq!((table.len(), table.get(60 * SECOND, 6)), (1, None));
    let known = |is_verified| {
        Some(KnownPlacement {
            placement: placement(2, 8),
            is_verified,
        })
    };
    assert_eq!(table.get(60 * SECOND, 5), known(false));
    table.mark_verified(60 * SECOND, 5);
    assert_eq!(table.get(60 * SECOND, 5), known(true));
}

#[test]
fn table_of_a_million_sessions_on_ten_nodes_fits_its_memory_and_its_bound() {
    // Two of ten nodes store each session.
    let mut table = PlacementTable::new(200_000, 0);
    for i in 0..250_000 {
        merge(&mut table, mix(i, 1), placement(1, 1));
    }
    assert_eq!((table.len(), table.rejected), (200_000, 50_000));
    assert!(table.bytes() * 10 <= 64 << 20, "{}", table.bytes());
    table.sweep(100 * SECOND, |_, _| false);
    assert!(table.is_empty() && table.sessions_by_worker().is_empty() && table.bytes() < 1 << 16);
}
