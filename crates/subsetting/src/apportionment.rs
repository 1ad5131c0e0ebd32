//! Divides whole units in proportion to weights: the largest remainder method (Hamilton 1792), with
//! ties broken by numbers that are the same on all nodes.

/// Tolerance for rounding errors of sums that should be whole.
const ROUNDING_ERROR: f64 = 1e-9;

/// Returns the fractional share of each weight.
///
/// Shares are proportional to the weights and lie between `min` and `max`. A share at a bound
/// leaves the remaining units to the others. `min` is taken as 0 if there are too few units.
/// Raising a weight neither lowers its own share nor raises another one.
pub fn fractional_shares(total: usize, weights: &[f64], min: usize, max: usize) -> Vec<f64> {
    let count = weights.len();
    let total = total.min(count * max);
    let min = if min * count <= total {
        min.min(max)
    } else {
        0
    };
    let mut shares = vec![0.0; count];
    // Fixes shares at their bounds, and divides the rest among the others, until no further share
    // violates a bound.
    let mut free: Vec<usize> = (0..count).collect();
    let mut remaining = total as f64;
    while !free.is_empty() {
        let sum: f64 = free.iter().map(|&i| weights[i]).sum();
        let even = remaining / free.len() as f64;
        let ideal = |i: usize| {
            if sum > 0.0 {
                remaining * weights[i] / sum
            } else {
                even
            }
        };
        let violates_max = |&i: &usize| ideal(i) > max as f64;
        let violates_min = |&i: &usize| ideal(i) < min as f64;
        let above: Vec<usize> = free.iter().copied().filter(violates_max).collect();
        let below: Vec<usize> = free.iter().copied().filter(violates_min).collect();
        // Raising shares to the minimum takes units from the others, lowering shares to the maximum
        // gives units to them: the larger sum is fixed first.
        let raised: f64 = below.iter().map(|&i| min as f64 - ideal(i)).sum();
        let lowered: f64 = above.iter().map(|&i| ideal(i) - max as f64).sum();
        let (bounded, bound) = if lowered >= raised {
            (above, max)
        } else {
            (below, min)
        };
        if bounded.is_empty() {
            free.iter().for_each(|&i| shares[i] = ideal(i));
            break;
        }
        for &i in &bounded {
            shares[i] = bound as f64;
            remaining -= bound as f64;
        }
        free.retain(|i| !bounded.contains(i));
    }
    shares
}

/// Divides units in proportion to weights, rounded by largest remainders.
///
/// The result adds up to `total`, or to `max` per weight if that is less. Equal remainders are
/// rounded up in the order of `tie_breakers`, highest first.
pub fn apportion(
    total: usize,
    weights: &[f64],
    min: usize,
    max: usize,
    tie_breakers: &[u64],
) -> Vec<usize> {
    let shares = fractional_shares(total, weights, min, max);
    let mut units: Vec<usize> = shares.iter().map(|share| whole_units(*share)).collect();
    let missing = total.min(weights.len() * max) - units.iter().sum::<usize>().min(total);
    let remainder = |i: usize| shares[i] - units[i] as f64;
    let mut order: Vec<usize> = (0..units.len()).filter(|&i| units[i] < max).collect();
    order.sort_by(|&a, &b| {
        remainder(b)
            .total_cmp(&remainder(a))
            .then(tie_breakers[b].cmp(&tie_breakers[a]))
    });
    order.into_iter().take(missing).for_each(|i| units[i] += 1);
    units
}

/// Rounds a share down to whole units. A share that is below a whole number only by a rounding error
/// counts as that number.
pub fn whole_units(share: f64) -> usize {
    (share + ROUNDING_ERROR) as usize
}
