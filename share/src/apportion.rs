//! Whole units by weights: the method of largest remainders (Hamilton), with ties by a number that all nodes share.

/// Divides so many units by these weights. Nobody gets fewer than `least` while that leaves nobody short, nor more than his
/// `most`; whoever is at his most leaves the rest to the others. The sum is `total`, or that of `most` if it is less.
pub fn apportion(total: usize, weights: &[f64], least: usize, most: usize, ties: &[u64]) -> Vec<usize> {
    let count = weights.len();
    let total = total.min(count * most);
    let least = if least * count <= total { least.min(most) } else { 0 };
    let mut parts = vec![least; count];
    // Who is bounded from above or below is set apart, and the others share what is left, until nobody more is.
    let mut free: Vec<usize> = (0..count).collect();
    let mut left = total;
    loop {
        let sum: f64 = free.iter().map(|&i| weights[i]).sum();
        let ideal = |i: usize| {
            if sum > 0.0 {
                left as f64 * weights[i] / sum
            } else {
                left as f64 / free.len() as f64
            }
        };
        let over: Vec<usize> = free.iter().copied().filter(|&i| ideal(i) >= most as f64).collect();
        let (bounded, bound) = match over.is_empty() {
            false => (over, most),
            true => (free.iter().copied().filter(|&i| ideal(i) < least as f64).collect(), least),
        };
        if bounded.is_empty() || free.is_empty() {
            let whole: Vec<usize> = free.iter().map(|&i| ideal(i) as usize).collect();
            let mut rest: Vec<(f64, u64, usize)> =
                free.iter().zip(&whole).map(|(&i, &w)| (ideal(i) - w as f64, ties[i], i)).collect();
            rest.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
            free.iter().zip(&whole).for_each(|(&i, &w)| parts[i] = w);
            let missing = left - whole.iter().sum::<usize>().min(left);
            rest.iter().take(missing).for_each(|&(_, _, i)| parts[i] += 1);
            return parts;
        }
        // One bounded from below takes from what the others share, one from above leaves them more.
        for &i in &bounded {
            parts[i] = bound.min(left);
            left -= parts[i];
        }
        free.retain(|i| !bounded.contains(i));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn shares_follow_weights_to_within_one() {
        assert_eq!(apportion(10, &[1.0, 1.0, 1.0], 0, 10, &[3, 2, 1]), [4, 3, 3]);
        assert_eq!(apportion(10, &[1.0, 3.0], 0, 10, &[0, 0]), [3, 7]);
        assert_eq!(apportion(10, &[1.0, 99.0], 0, 6, &[0, 0]), [4, 6]);
        assert_eq!(apportion(10, &[1.0, 99.0], 2, 10, &[0, 0]), [2, 8]);
        assert_eq!(apportion(2, &[1.0, 1.0, 1.0], 1, 9, &[1, 3, 2]), [0, 1, 1]);
        assert_eq!(apportion(5, &[0.0, 0.0], 0, 9, &[1, 0]), [3, 2]);
        assert!(apportion(5, &[], 0, 9, &[]).is_empty());
    }

    proptest! {
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
