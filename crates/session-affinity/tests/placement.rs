//! Placements of one session form a join semilattice.

use pipitlever_session_affinity::placement::Placement;
use pipitlever_session_affinity::timestamp::Timestamp;
use proptest::prelude::*;

/// Generates placements from few values, so that two of them often agree in part.
fn placement() -> impl Strategy<Value = Placement> {
    (0u32..3, 0u32..3, 0u16..2, 0u8..3, 0u16..3).prop_map(
        |(worker, seconds, node, moves, version)| Placement {
            worker,
            created: Timestamp { seconds, node },
            moves,
            version,
        },
    )
}

fn merged(a: Placement, b: Placement) -> Placement {
    if b.takes_precedence_over(&a) {
        b
    } else {
        a
    }
}

proptest! {
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in placement(),
        b in placement(),
        c in placement(),
    ) {
        prop_assert_eq!(merged(a, b), merged(b, a));
        prop_assert_eq!(merged(a, merged(b, c)), merged(merged(a, b), c));
        prop_assert_eq!(merged(a, a), a);
        // A move takes precedence over the placement before it, and over no older one.
        prop_assert!(a.moved(7, 0).takes_precedence_over(&a));
        if b.created < a.created {
            prop_assert!(!a.moved(7, 0).takes_precedence_over(&b));
        }
    }
}
