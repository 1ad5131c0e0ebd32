//! How often each of a node's workers is to get a run, so that all workers together bear what their
//! weights say, though nodes have loads that differ and use different workers: iterative
//! proportional fitting (Deming and Stephan 1940) of the pairs.

/// Rounds of fitting: the last ones change little.
const ROUNDS: usize = 12;
/// A worker's factor stays between these, beside its weight.
const BOUNDS: [f64; 2] = [0.05, 20.0];

/// For each worker what all nodes weigh it by. A node with this load sends to each worker that it
/// uses in proportion to that.
pub fn fit(loads: &[f64], weights: &[f64], uses: &[Vec<usize>]) -> Vec<f64> {
    let used: Vec<bool> = (0..weights.len())
        .map(|i| uses.iter().any(|u| u.contains(&i)))
        .collect();
    let weight = |i: usize| if used[i] { weights[i] } else { 0.0 };
    let (load, sum) = (
        loads.iter().sum::<f64>(),
        (0..weights.len()).map(weight).sum::<f64>(),
    );
    let mut factors = vec![1.0; weights.len()];
    if load <= 0.0 || sum <= 0.0 {
        return weights.to_vec();
    }
    for _ in 0..ROUNDS {
        let borne = bear(loads, &product(weights, &factors), uses);
        for i in (0..weights.len()).filter(|&i| used[i] && borne[i] > 0.0) {
            factors[i] =
                (factors[i] * load * weights[i] / sum / borne[i]).clamp(BOUNDS[0], BOUNDS[1]);
        }
    }
    product(weights, &factors)
}

fn product(a: &[f64], b: &[f64]) -> Vec<f64> {
    a.iter().zip(b).map(|(a, b)| a * b).collect()
}

/// What each worker bears of these loads where nodes weigh workers so.
pub fn bear(loads: &[f64], weighed: &[f64], uses: &[Vec<usize>]) -> Vec<f64> {
    let mut borne = vec![0.0; weighed.len()];
    for (load, used) in loads.iter().zip(uses) {
        let sum: f64 = used.iter().map(|&i| weighed[i]).sum();
        used.iter().for_each(|&i| {
            borne[i] += if sum > 0.0 {
                load * weighed[i] / sum
            } else {
                0.0
            }
        });
    }
    borne
}

/// Jain's index of fairness of what workers bear beside their weights: 1 where all are alike, 1/n
/// where one bears all.
pub fn fairness(borne: &[f64], weights: &[f64]) -> f64 {
    let each: Vec<f64> = borne.iter().zip(weights).map(|(b, w)| b / w).collect();
    let (sum, squares) = (
        each.iter().sum::<f64>(),
        each.iter().map(|e| e * e).sum::<f64>(),
    );
    if squares > 0.0 {
        sum * sum / (each.len() as f64 * squares)
    } else {
        1.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unlike_loads_are_evened_out() {
        // Four nodes in a ring of four workers, two each; one has ten times the load of the others.
        let uses = [vec![0, 1], vec![1, 2], vec![2, 3], vec![0, 3]];
        let loads = [10.0, 1.0, 1.0, 1.0];
        let even = bear(&loads, &[1.0; 4], &uses);
        let fitted = bear(&loads, &fit(&loads, &[1.0; 4], &uses), &uses);
        assert!(
            fairness(&fitted, &[1.0; 4]) > fairness(&even, &[1.0; 4]),
            "{even:?} {fitted:?}"
        );
        // What the file says of weights holds.
        let weights = [1.0, 2.0, 1.0, 2.0];
        let borne = bear(&[1.0; 4], &fit(&[1.0; 4], &weights, &uses), &uses);
        assert!(
            borne
                .iter()
                .zip(weights)
                .all(|(b, w)| (b - w * 4.0 / 6.0).abs() < 0.01),
            "{borne:?}"
        );
    }

    #[test]
    fn nothing_is_divided_by_nothing() {
        assert_eq!(fit(&[], &[1.0], &[]), [1.0]);
        assert_eq!(fit(&[0.0], &[1.0], &[vec![0]]), [1.0]);
        assert!(fit(&[1.0], &[1.0, 1.0], &[vec![0]])
            .iter()
            .all(|f| f.is_finite()));
        assert_eq!(fairness(&[0.0, 0.0], &[1.0, 1.0]), 1.0);
        assert!((fairness(&[1.0, 0.0], &[1.0, 1.0]) - 0.5).abs() < 1e-9);
    }
}
