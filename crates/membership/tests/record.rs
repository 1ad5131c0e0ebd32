//! Records of one name form a join semilattice.

mod common;

use common::record;
use pipitlever_membership::record::Record;
use proptest::prelude::*;

fn merged(a: &Record, b: &Record) -> Record {
    let mut a = a.clone();
    a.merge(b);
    a
}

proptest! {
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in record(),
        b in record(),
        c in record(),
    ) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        let ab = merged(&a, &b);
        let mut repeated = ab.clone();
        prop_assert!(!repeated.merge(&a) && !repeated.merge(&b) && repeated == ab);
        // A merge never replaces a later value by an earlier one.
        prop_assert!((ab.incarnation, ab.token) >= (a.incarnation, a.token));
        let is_same = (ab.incarnation, ab.token) == (a.incarnation, a.token);
        prop_assert!(
            !is_same || (ab.state >= a.state && ab.details >= a.details && ab.load >= a.load)
        );
        // The return value is true exactly if the record changed.
        let mut changed = a.clone();
        prop_assert_eq!(changed.merge(&b), changed != a);
    }
}
