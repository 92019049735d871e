//! The budget for further tries, at one machine and at many.

use glenfall_control_plane::retry_budget::{RetryBudget, RetryBudgetSettings, MAX_SERVICES};
use glenfall_control_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BOUND: RetryBudgetSettings = RetryBudgetSettings { ratio: 0.2, window: 10_000, slack: 60.0 };

/// How many of a hundred further tries are let.
fn spent(budget: &mut RetryBudget, now: Millis, service: &str) -> usize {
    (0..100).filter(|_| budget.try_spend(now, service)).count()
}

#[test]
fn without_a_share_only_own_requests_are_spent() {
    let mut budget = RetryBudget::new(BOUND);
    assert!(!budget.try_spend(0, "s"));
    budget.set_machine_count(0, 10);
    assert!(!budget.try_spend(9_999, "s"), "the last life may have spent its part");
    assert_eq!(spent(&mut budget, 10_000, "s"), 5, "a tenth of the slack, used to 85 %");
    assert!(budget.try_spend(10_000, "other"), "services don't share");
    (0..200).for_each(|n| budget.record_request(10_000 + n, "t"));
    assert_eq!(spent(&mut budget, 10_200, "t"), 39);
    assert_eq!(spent(&mut budget, 40_000, "t"), 5, "what is long past counts no more");
}

#[test]
fn a_share_falls_at_once_and_grows_when_a_window_has_passed() {
    let mut budget = RetryBudget::new(BOUND);
    budget.set_machine_count(0, 3);
    budget.set_machine_count(5_000, 2);
    budget.set_machine_count(12_000, 6);
    assert_eq!(spent(&mut budget, 14_999, "a"), 0, "it was to be a half at 15 s, a sixth comes no later");
    assert_eq!(spent(&mut budget, 15_000, "a"), 8);
    budget.set_machine_count(30_000, 12);
    assert_eq!(spent(&mut budget, 30_000, "a"), 4);
    budget.set_machine_count(31_000, 3);
    assert_eq!(spent(&mut budget, 40_999, "b"), 4);
    assert_eq!(spent(&mut budget, 41_000, "c"), 17);
}

/// Machines with unlike loads, whose clients come and go in bursts, try again as often as they are let.
#[test]
fn the_sum_over_machines_keeps_to_the_bound_in_every_window() {
    const MACHINES: usize = 13;
    for seed in 0..20u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budgets: Vec<RetryBudget> = (0..MACHINES).map(|_| RetryBudget::new(BOUND)).collect();
        budgets.iter_mut().for_each(|budget| budget.set_machine_count(0, MACHINES));
        let mut requests: Vec<Millis> = Vec::new();
        let mut further: Vec<Millis> = Vec::new();
        let mut calm = 1;
        for now in (0..60_000).step_by(10) {
            if now % 3000 == 0 {
                calm = rng.random_range(1..40);
            }
            for (n, budget) in budgets.iter_mut().enumerate() {
                if rng.random_ratio(1, calm * (n as u32 + 1)) {
                    budget.record_request(now, "s");
                    requests.push(now);
                }
                while budget.try_spend(now, "s") {
                    further.push(now);
                }
            }
        }
        let within = |all: &[Millis], from: i64| {
            all.iter().filter(|at| (**at as i64) >= from && (**at as i64) < from + 10_000).count() as f64
        };
        let mut spent = 0.0f64;
        for from in (-10_000..60_000i64).step_by(100) {
            let owed = [from, from - 10_000, from - 5_000].map(|from| within(&requests, from));
            let owed = owed.into_iter().fold(0.0, f64::max);
            let most = BOUND.ratio * owed + BOUND.slack;
            let sent = within(&further, from);
            assert!(sent <= most, "seed {seed}: {sent} further tries from {from} on, {most} allowed");
            spent = spent.max(sent / most);
        }
        assert!(spent > 0.5, "seed {seed}: the budget is there to be used, {spent} of it was");
    }
}

#[test]
fn services_that_come_and_go_take_no_more_room_than_is_meant() {
    let mut budget = RetryBudget::new(BOUND);
    budget.set_machine_count(0, 1);
    for n in 0..3 * MAX_SERVICES as u64 {
        budget.record_request(n, &n.to_string());
    }
    assert!(budget.services() <= MAX_SERVICES);
    assert!(!budget.try_spend(3 * MAX_SERVICES as u64, "one more"));
    assert!(budget.try_spend(BOUND.window * 9, "one more"), "room is made by those long past");
}
