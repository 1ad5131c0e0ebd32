//! Whole units divided in proportion to weights.

use pipitlever_subsetting::apportionment::{apportion, fractional_shares, whole_units};
use proptest::prelude::*;

#[test]
fn units_follow_weights_to_within_one() {
    assert_eq!(
        apportion(10, &[1.0, 1.0, 1.0], 0, 10, &[3, 2, 1]),
        [4, 3, 3]
    );
    assert_eq!(apportion(10, &[1.0, 3.0], 0, 10, &[0, 0]), [3, 7]);
    assert_eq!(apportion(10, &[1.0, 99.0], 0, 6, &[0, 0]), [4, 6]);
    assert_eq!(apportion(10, &[1.0, 99.0], 2, 10, &[0, 0]), [2, 8]);
    assert_eq!(apportion(2, &[1.0, 1.0, 1.0], 1, 9, &[1, 3, 2]), [0, 1, 1]);
    assert_eq!(apportion(5, &[0.0, 0.0], 0, 9, &[1, 0]), [3, 2]);
    assert!(apportion(5, &[], 0, 9, &[]).is_empty());
}

proptest! {
    #[test]
    fn raising_a_weight_raises_no_other_share_and_units_are_shares_rounded(
        total in 1usize..200,
        weights in prop::collection::vec(0.1f64..9.0, 2..8),
        added in 0.0f64..20.0,
        min in 0usize..3,
    ) {
        let before = fractional_shares(total, &weights, min, total);
        let mut raised = weights.clone();
        raised[0] += added;
        let after = fractional_shares(total, &raised, min, total);
        prop_assert!(after[0] >= before[0] - 1e-6, "{:?} {:?}", before, after);
        let grows_no_other = after[1..]
            .iter()
            .zip(&before[1..])
            .all(|(after, before)| *after <= before + 1e-6);
        prop_assert!(grows_no_other, "{:?} {:?}", before, after);
        let tie_breakers: Vec<u64> = (0..weights.len() as u64).collect();
        let units = apportion(total, &weights, min, total, &tie_breakers);
        let are_rounded = units
            .iter()
            .zip(&before)
            .all(|(units, share)| *units >= whole_units(*share));
        prop_assert!(are_rounded);
    }

    #[test]
    fn all_units_are_divided_within_the_bounds(
        total in 0usize..200,
        weights in prop::collection::vec(0.0f64..9.0, 1..12),
        max in 1usize..40,
        min in 0usize..3,
    ) {
        let tie_breakers: Vec<u64> = (0..weights.len() as u64).collect();
        let units = apportion(total, &weights, min, max, &tie_breakers);
        prop_assert_eq!(units.iter().sum::<usize>(), total.min(max * weights.len()));
        prop_assert!(units.iter().all(|&units| units <= max));
        if min * weights.len() <= total {
            prop_assert!(units.iter().all(|&units| units >= min.min(max)));
        }
    }
}
