//! The retry budget.

use pipitlever_load_balancing::retry_budget::{
    AttemptEffect, RetryBudget, RetryConfig, RetryRequest,
};
use pipitlever_load_balancing::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::SeedableRng;

fn budget() -> RetryBudget {
    RetryBudget::new(RetryConfig::default(), 0)
}

fn request(deadline: Micros, attempts: u32) -> RetryRequest {
    RetryRequest {
        deadline,
        effect: AttemptEffect::NeverRan,
        is_idempotent: true,
        attempts,
    }
}

/// The retries of this number of nodes in a minute in which every attempt fails. Ten first attempts
/// arrive each second, divided among the nodes.
fn retries_of_nodes(nodes: usize, rng: &mut SmallRng) -> u32 {
    let mut budgets = vec![budget(); nodes];
    for budget in &mut budgets {
        budget.set_share(1.0 / nodes as f64);
    }
    let mut retries = 0;
    for second in 1..=60 {
        for budget in &mut budgets {
            (0..10 / nodes).for_each(|_| budget.record_first_attempt());
            let retry = request((second + 1) * SECOND, 1);
            while budget.acquire(second * SECOND, retry, rng).is_some() {
                retries += 1;
            }
        }
    }
    retries
}

#[test]
fn divided_budgets_do_not_exceed_the_whole() {
    let mut rng = SmallRng::seed_from_u64(1);
    let one_node = retries_of_nodes(1, &mut rng);
    let ten_nodes = retries_of_nodes(10, &mut rng);
    assert!(
        f64::from(ten_nodes) <= f64::from(one_node) * 1.1,
        "{one_node} {ten_nodes}"
    );
}

#[test]
fn retry_conditions() {
    let mut rng = SmallRng::seed_from_u64(7);
    let cases = [
        (AttemptEffect::NeverRan, false, SECOND, true),
        (AttemptEffect::NeverRan, true, SECOND, true),
        (AttemptEffect::MayHaveRun, true, SECOND, true),
        // A run that must not happen twice.
        (AttemptEffect::MayHaveRun, false, SECOND, false),
        // Too little time left.
        (AttemptEffect::NeverRan, true, 19_999, false),
    ];
    for (effect, is_idempotent, deadline, expected) in cases {
        let request = RetryRequest {
            deadline,
            effect,
            is_idempotent,
            attempts: 1,
        };
        assert_eq!(
            budget().acquire(0, request, &mut rng).is_some(),
            expected,
            "{effect:?} {is_idempotent}"
        );
    }
}

#[test]
fn retries_stay_within_the_ratio_when_every_attempt_fails() {
    let (mut budget, mut rng) = (budget(), SmallRng::seed_from_u64(7));
    let (mut first_attempts, mut retries) = (0, 0);
    for now in (0..60 * SECOND).step_by(1000) {
        budget.record_first_attempt();
        first_attempts += 1;
        let mut attempts = 1;
        while budget
            .acquire(now, request(now + SECOND, attempts), &mut rng)
            .is_some()
        {
            retries += 1;
            attempts += 1;
        }
    }
    assert!(
        retries > first_attempts / 20 && retries < first_attempts / 5,
        "{retries} of {first_attempts}"
    );
}

#[test]
fn backoff_grows_and_is_bounded() {
    let config = RetryConfig {
        max_tokens: 1e6,
        ..RetryConfig::default()
    };
    let mut budget = RetryBudget::new(config, 0);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut longest = |attempts| {
        let backoffs = (0..300).map(|_| {
            budget
                .acquire(0, request(10 * SECOND, attempts), &mut rng)
                .expect("time is left")
        });
        backoffs.max().unwrap()
    };
    let all = [1, 2, 3, 40].map(&mut longest);
    assert!(
        all[0] <= 4_000 && all[1] > 4_000 && all[1] <= 8_000 && all[2] > 8_000,
        "{all:?}"
    );
    assert!(all[3] <= config.max_backoff && all[3] > 50_000, "{all:?}");
}
