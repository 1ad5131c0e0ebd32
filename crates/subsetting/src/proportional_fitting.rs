//! Weights that load the workers in proportion to their configured weights, although
//! nodes have unequal loads and use different workers: iterative proportional fitting (Deming and
//! Stephan 1940) over the pairs of nodes and workers.

/// The number of iterations of the fitting. The last ones change the weights only slightly.
const ITERATIONS: usize = 12;
/// The minimum factor of a worker's configured weight.
const MIN_FACTOR: f64 = 0.05;
/// The maximum factor of a worker's configured weight.
const MAX_FACTOR: f64 = 20.0;

/// Returns the fitted weight of each worker. A node divides its load among the workers in its
/// subset in proportion to these.
pub fn fit_weights(loads: &[f64], weights: &[f64], subsets: &[Vec<usize>]) -> Vec<f64> {
    let is_used: Vec<bool> = (0..weights.len())
        .map(|worker| subsets.iter().any(|subset| subset.contains(&worker)))
        .collect();
    let used_weight = |worker: usize| {
        if is_used[worker] {
            weights[worker]
        } else {
            0.0
        }
    };
    let total_load = loads.iter().sum::<f64>();
    let total_weight = (0..weights.len()).map(used_weight).sum::<f64>();
    if total_load <= 0.0 || total_weight <= 0.0 {
        return weights.to_vec();
    }
    let mut factors = vec![1.0; weights.len()];
    for _ in 0..ITERATIONS {
        let worker_loads = load_per_worker(loads, &product(weights, &factors), subsets);
        for i in (0..weights.len()).filter(|&i| is_used[i] && worker_loads[i] > 0.0) {
            factors[i] = (factors[i] * total_load * weights[i] / total_weight / worker_loads[i])
                .clamp(MIN_FACTOR, MAX_FACTOR);
        }
    }
    product(weights, &factors)
}

fn product(a: &[f64], b: &[f64]) -> Vec<f64> {
    a.iter().zip(b).map(|(a, b)| a * b).collect()
}

/// Returns the load of each worker, where nodes with these loads divide them by these weights.
pub fn load_per_worker(loads: &[f64], weights: &[f64], subsets: &[Vec<usize>]) -> Vec<f64> {
    let mut worker_loads = vec![0.0; weights.len()];
    for (load, subset) in loads.iter().zip(subsets) {
        let sum: f64 = subset.iter().map(|&worker| weights[worker]).sum();
        for &worker in subset {
            worker_loads[worker] += proportional_part(*load, weights[worker], sum);
        }
    }
    worker_loads
}

/// Returns the part of a load that goes to a worker with this weight, of this sum of weights.
pub(crate) fn proportional_part(load: f64, weight: f64, sum: f64) -> f64 {
    if sum > 0.0 {
        load * weight / sum
    } else {
        0.0
    }
}

/// Returns Jain's fairness index (Jain, Chiu and Hawe 1984) of the workers' loads relative to their
/// weights: 1 if all are equal, 1/n if one of n workers has the whole load.
pub fn jain_fairness(loads: &[f64], weights: &[f64]) -> f64 {
    let relative: Vec<f64> = loads.iter().zip(weights).map(|(l, w)| l / w).collect();
    let sum = relative.iter().sum::<f64>();
    let squares = relative.iter().map(|r| r * r).sum::<f64>();
    if squares > 0.0 {
        sum * sum / (relative.len() as f64 * squares)
    } else {
        1.0
    }
}
