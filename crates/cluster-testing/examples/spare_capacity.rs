//! Measures the value of advice against retries that nodes derive from each other's load.
//!
//! Usage: `cargo run --release -p pipitlever-cluster-testing --example spare_capacity -- SEEDS`

use pipitlever_cluster_testing::workload::{run, Scenario, Statistics};

const DEFAULT_SEED_COUNT: u64 = 5;
const BASE: Scenario = Scenario {
    node_count: 30,
    load: 1.1,
    failed_fraction: 1.0 / 3.0,
    duration: 45_000_000,
    advises_on_retries: false,
    compliant_fraction: 0.9,
    follows_backpressure_level: true,
};

fn main() {
    let seed_count = std::env::args()
        .nth(1)
        .and_then(|argument| argument.parse().ok())
        .unwrap_or(DEFAULT_SEED_COUNT);
    let scenarios = [
        BASE,
        Scenario {
            failed_fraction: 0.0,
            ..BASE
        },
        Scenario { load: 0.8, ..BASE },
        Scenario {
            follows_backpressure_level: false,
            ..BASE
        },
    ];
    for scenario in scenarios {
        for advises_on_retries in [false, true] {
            let scenario = Scenario {
                advises_on_retries,
                ..scenario
            };
            let runs: Vec<Statistics> = (0..seed_count).map(|seed| run(scenario, seed)).collect();
            print_report(&scenario, &runs);
        }
    }
}

fn print_report(scenario: &Scenario, runs: &[Statistics]) {
    let mean =
        |value: fn(&Statistics) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
    let served_fraction = |run: &Statistics| run.served_weight / run.offered_weight;
    let minimum = runs.iter().map(served_fraction).fold(1.0, f64::min);
    println!(
        "load={} failed={:.2} follows_level={} advice={}: attempts/request={:.3} \
         served_weight={:.4} minimum={minimum:.4} during_failure={:.4} rejections={:.0} \
         controller_advice={:.0} membership_advice={:.0}",
        scenario.load,
        scenario.failed_fraction,
        scenario.follows_backpressure_level,
        scenario.advises_on_retries,
        mean(|run| run.attempts as f64 / run.requests as f64),
        mean(|run| run.served_weight / run.offered_weight),
        mean(|run| {
            run.served_weight_during_failure / run.offered_weight_during_failure.max(1.0)
        }),
        mean(|run| run.rejections as f64),
        mean(|run| run.controller_advice as f64),
        mean(|run| run.membership_advice as f64),
    );
}
