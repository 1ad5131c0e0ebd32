//! What it is worth to know of the others when refusing: `cargo run --release -p
//! pipitlever-cluster-testing --example spare_capacity -- SEEDS`.

use pipitlever_cluster_testing::workload::{play, Case};

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|w| w.parse().ok())
        .unwrap_or(5);
    let usual = Case {
        nodes: 30,
        demand: 1.1,
        die: 1.0 / 3.0,
        time: 45_000_000,
        advice: false,
        heed: 0.9,
        levels: true,
    };
    for (demand, die, levels) in [
        (1.1, 1.0 / 3.0, true),
        (1.1, 0.0, true),
        (0.8, 1.0 / 3.0, true),
        (1.1, 1.0 / 3.0, false),
    ] {
        for advice in [false, true] {
            let all: Vec<_> = (0..seeds)
                .map(|seed| {
                    play(
                        Case {
                            demand,
                            die,
                            advice,
                            levels,
                            ..usual
                        },
                        seed,
                    )
                })
                .collect();
            let mean = |of: fn(&pipitlever_cluster_testing::workload::Result) -> f64| {
                all.iter().map(of).sum::<f64>() / seeds as f64
            };
            let least = all.iter().map(|r| r.served / r.asked).fold(1.0, f64::min);
            println!(
                "demand={demand} die={die:.2} levels={levels} advice={advice}: tries a request {:.3}, worth served {:.4} (least \
                 {least:.4}), while nodes are gone {:.4}; refused {:.0}, told so by the module {:.0}, by the view alone {:.0}",
                mean(|r| r.tries as f64 / r.requests as f64),
                mean(|r| r.served / r.asked),
                mean(|r| r.served_short / r.asked_short.max(1.0)),
                mean(|r| r.refused as f64),
                mean(|r| r.told as f64),
                mean(|r| r.advised as f64),
            );
        }
    }
}
