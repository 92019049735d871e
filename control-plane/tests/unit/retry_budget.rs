//! The retry budget of one machine, and the sum of the budgets of several machines.

use glenfall_control_plane::retry_budget::{RetryBudget, RetryBudgetSettings, MAX_SERVICES};
use glenfall_control_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RETRY_BUDGET_SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.2, window: 10_000, slack: 60.0 };

/// Number of retries that the budget allows, out of 100 attempts.
fn allowed_retries(budget: &mut RetryBudget, now: Millis, service: &str) -> usize {
    (0..100).filter(|_| budget.try_spend(now, service)).count()
}

#[test]
fn without_a_share_of_the_slack_only_counted_requests_add_to_the_budget() {
    let mut budget = RetryBudget::new(RETRY_BUDGET_SETTINGS);
    assert!(!budget.try_spend(0, "s"));
    budget.set_machine_count(0, 10);
    assert!(!budget.try_spend(9_999, "s"), "the previous process may have spent its share");
    assert_eq!(allowed_retries(&mut budget, 10_000, "s"), 5, "85 % of a tenth of the slack");
    assert!(budget.try_spend(10_000, "other"), "each service has a budget of its own");
    (0..200).for_each(|n| budget.record_request(10_000 + n, "t"));
    assert_eq!(allowed_retries(&mut budget, 10_200, "t"), 39);
    assert_eq!(allowed_retries(&mut budget, 40_000, "t"), 5, "requests before the window do not count");
}

#[test]
fn a_smaller_share_takes_effect_at_once_and_a_larger_one_after_a_window() {
    let mut budget = RetryBudget::new(RETRY_BUDGET_SETTINGS);
    budget.set_machine_count(0, 3);
    budget.set_machine_count(5_000, 2);
    budget.set_machine_count(12_000, 6);
    assert_eq!(
        allowed_retries(&mut budget, 14_999, "a"),
        0,
        "a share of 1/2 was pending until 15 s, and so is the share of 1/6 that replaced it"
    );
    assert_eq!(allowed_retries(&mut budget, 15_000, "a"), 8);
    budget.set_machine_count(30_000, 12);
    assert_eq!(allowed_retries(&mut budget, 30_000, "a"), 4);
    budget.set_machine_count(31_000, 3);
    assert_eq!(allowed_retries(&mut budget, 40_999, "b"), 4);
    assert_eq!(allowed_retries(&mut budget, 41_000, "c"), 17);
}

/// Simulates machines with different loads and bursts of requests, which retry as often as their budgets allow.
#[test]
fn the_sum_over_machines_is_within_the_bound_in_every_window() {
    const MACHINE_COUNT: usize = 13;
    for seed in 0..20u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budgets: Vec<RetryBudget> =
            (0..MACHINE_COUNT).map(|_| RetryBudget::new(RETRY_BUDGET_SETTINGS)).collect();
        budgets.iter_mut().for_each(|budget| budget.set_machine_count(0, MACHINE_COUNT));
        let mut requests: Vec<Millis> = Vec::new();
        let mut retries: Vec<Millis> = Vec::new();
        let mut mean_interval = 1;
        for now in (0..60_000).step_by(10) {
            if now % 3000 == 0 {
                mean_interval = rng.random_range(1..40);
            }
            for (n, budget) in budgets.iter_mut().enumerate() {
                if rng.random_ratio(1, mean_interval * (n as u32 + 1)) {
                    budget.record_request(now, "s");
                    requests.push(now);
                }
                while budget.try_spend(now, "s") {
                    retries.push(now);
                }
            }
        }
        let within = |all: &[Millis], from: i64| {
            all.iter().filter(|at| (**at as i64) >= from && (**at as i64) < from + 10_000).count() as f64
        };
        let mut max_used_share = 0.0f64;
        for from in (-10_000..60_000i64).step_by(100) {
            let counted_requests = [from, from - 10_000, from - 5_000].map(|from| within(&requests, from));
            let counted_requests = counted_requests.into_iter().fold(0.0, f64::max);
            let allowed = RETRY_BUDGET_SETTINGS.ratio * counted_requests + RETRY_BUDGET_SETTINGS.slack;
            let retry_count = within(&retries, from);
            assert!(
                retry_count <= allowed,
                "seed {seed}: {retry_count} retries from {from} on, {allowed} allowed"
            );
            max_used_share = max_used_share.max(retry_count / allowed);
        }
        assert!(max_used_share > 0.5, "seed {seed}: only {max_used_share} of the budget was used");
    }
}

#[test]
fn the_number_of_counted_services_is_bounded() {
    let mut budget = RetryBudget::new(RETRY_BUDGET_SETTINGS);
    budget.set_machine_count(0, 1);
    for n in 0..3 * MAX_SERVICES as u64 {
        budget.record_request(n, &n.to_string());
    }
    assert!(budget.services() <= MAX_SERVICES);
    assert!(!budget.try_spend(3 * MAX_SERVICES as u64, "one more"));
    assert!(
        budget.try_spend(RETRY_BUDGET_SETTINGS.window * 9, "one more"),
        "services without requests in the window are removed"
    );
}
