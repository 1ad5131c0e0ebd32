//! Whole units by weights: the method of largest remainders (Hamilton), with ties by a number that
//! all nodes share.

/// What each would have if units could be cut: in proportion to the weights, but nobody fewer than
/// `least` while that leaves nobody short, nor more than `most`; whoever is at his most leaves the
/// rest to the others. More weight of one never gives him less, nor another more.
pub fn shares(total: usize, weights: &[f64], least: usize, most: usize) -> Vec<f64> {
    let count = weights.len();
    let total = total.min(count * most);
    let least = if least * count <= total {
        least.min(most)
    } else {
        0
    };
    let mut shares = vec![0.0; count];
    // Who is bounded from above or below is set apart, and the others share what is left, until
    // nobody more is.
    let mut free: Vec<usize> = (0..count).collect();
    let mut left = total as f64;
    while !free.is_empty() {
        let sum: f64 = free.iter().map(|&i| weights[i]).sum();
        let even = left / free.len() as f64;
        let ideal = |i: usize| {
            if sum > 0.0 {
                left * weights[i] / sum
            } else {
                even
            }
        };
        let over: Vec<usize> = free
            .iter()
            .copied()
            .filter(|&i| ideal(i) > most as f64)
            .collect();
        let under: Vec<usize> = free
            .iter()
            .copied()
            .filter(|&i| ideal(i) < least as f64)
            .collect();
        // Those who get more than their part take from the others, those who get less leave them
        // more: first whichever is the larger sum.
        let gains: f64 = under.iter().map(|&i| least as f64 - ideal(i)).sum();
        let losses: f64 = over.iter().map(|&i| ideal(i) - most as f64).sum();
        let (bounded, bound) = if losses >= gains {
            (over, most)
        } else {
            (under, least)
        };
        if bounded.is_empty() {
            free.iter().for_each(|&i| shares[i] = ideal(i));
            break;
        }
        for &i in &bounded {
            shares[i] = bound as f64;
            left -= bound as f64;
        }
        free.retain(|i| !bounded.contains(i));
    }
    shares
}

/// Divides so many units by these weights: what each would have, rounded by largest remainders. The
/// sum is `total`, or that of `most` if it is less.
pub fn apportion(
    total: usize,
    weights: &[f64],
    least: usize,
    most: usize,
    ties: &[u64],
) -> Vec<usize> {
    let shares = shares(total, weights, least, most);
    let mut parts: Vec<usize> = shares.iter().map(|s| whole(*s)).collect();
    let missing = total.min(weights.len() * most) - parts.iter().sum::<usize>().min(total);
    let rest = |i: usize| (shares[i] - parts[i] as f64, ties[i]);
    let mut order: Vec<usize> = (0..parts.len()).filter(|&i| parts[i] < most).collect();
    order.sort_by(|&a, &b| {
        rest(b)
            .0
            .total_cmp(&rest(a).0)
            .then(rest(b).1.cmp(&rest(a).1))
    });
    order.into_iter().take(missing).for_each(|i| parts[i] += 1);
    parts
}

/// A share without its fraction; what is short of a whole one by rounding alone is one.
pub fn whole(share: f64) -> usize {
    (share + 1e-9) as usize
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn shares_follow_weights_to_within_one() {
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
        fn more_of_one_is_less_of_no_other_and_whole_parts_stay_within(
            total in 1usize..200, weights in prop::collection::vec(0.1f64..9.0, 2..8), more in 0.0f64..20.0, least in 0usize..3,
        ) {
            let before = shares(total, &weights, least, total);
            let mut grown = weights.clone();
            grown[0] += more;
            let after = shares(total, &grown, least, total);
            prop_assert!(after[0] >= before[0] - 1e-6, "{:?} {:?}", before, after);
            prop_assert!(after[1..].iter().zip(&before[1..]).all(|(a, b)| *a <= b + 1e-6), "{:?} {:?}", before, after);
            let ties: Vec<u64> = (0..weights.len() as u64).collect();
            let parts = apportion(total, &weights, least, total, &ties);
            prop_assert!(parts.iter().zip(&before).all(|(p, s)| *p >= whole(*s)));
        }

        #[test]
        fn nothing_is_lost(total in 0usize..200, weights in prop::collection::vec(0.0f64..9.0, 1..12), most in 1usize..40, least in 0usize..3) {
            let ties: Vec<u64> = (0..weights.len() as u64).collect();
            let parts = apportion(total, &weights, least, most, &ties);
            prop_assert_eq!(parts.iter().sum::<usize>(), total.min(most * weights.len()));
            prop_assert!(parts.iter().all(|&p| p <= most));
            if least * weights.len() <= total {
                prop_assert!(parts.iter().all(|&p| p >= least.min(most)));
            }
        }
    }
}
