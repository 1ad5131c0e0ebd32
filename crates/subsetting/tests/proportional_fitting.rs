//! Weights that even out unequal loads.

use pipitlever_subsetting::proportional_fitting::{fit_weights, jain_fairness, load_per_worker};

#[test]
fn fitted_weights_even_out_unequal_loads() {
    // Four nodes in a ring of four workers, two each. One has ten times the load of the others.
    let subsets = [vec![0, 1], vec![1, 2], vec![2, 3], vec![0, 3]];
    let loads = [10.0, 1.0, 1.0, 1.0];
    let equal = [1.0; 4];
    let before = load_per_worker(&loads, &equal, &subsets);
    let after = load_per_worker(&loads, &fit_weights(&loads, &equal, &subsets), &subsets);
    assert!(
        jain_fairness(&after, &equal) > jain_fairness(&before, &equal),
        "{before:?} {after:?}"
    );
    // Loads follow the configured weights.
    let weights = [1.0, 2.0, 1.0, 2.0];
    let fitted = fit_weights(&equal, &weights, &subsets);
    let worker_loads = load_per_worker(&equal, &fitted, &subsets);
    assert!(
        worker_loads
            .iter()
            .zip(weights)
            .all(|(load, weight)| (load - weight * 4.0 / 6.0).abs() < 0.01),
        "{worker_loads:?}"
    );
}

#[test]
fn zero_loads_and_empty_subsets_cause_no_division_by_zero() {
    assert_eq!(fit_weights(&[], &[1.0], &[]), [1.0]);
    assert_eq!(fit_weights(&[0.0], &[1.0], &[vec![0]]), [1.0]);
    assert!(fit_weights(&[1.0], &[1.0, 1.0], &[vec![0]])
        .iter()
        .all(|weight| weight.is_finite()));
    assert_eq!(jain_fairness(&[0.0, 0.0], &[1.0, 1.0]), 1.0);
    assert!((jain_fairness(&[1.0, 0.0], &[1.0, 1.0]) - 0.5).abs() < 1e-9);
}
