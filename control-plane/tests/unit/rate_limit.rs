//! The rate limit of a service: the requests of all machines together, and the queue time of a request.

use std::time::Duration;

use glenfall_control_plane::rate_limit::{max_queue_time, QuotaHolder, RateLimitSettings, RateLimiter};
use glenfall_control_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RATE_LIMIT_SETTINGS: RateLimitSettings = RateLimitSettings { window: 5000, overshoot_factor: 1.1 };
const RATE_PER_S: f64 = 280.0;

/// Numbers of requests that were sent in a simulation.
struct SentRequests {
    max_in_window: usize,
    total: usize,
}

/// Simulates machines that each have more requests than they may send. With faults, machines stop, restart, and learn
/// with a delay how many shields there are.
fn simulate(seed: u64, shields: usize, edges: usize, faults: bool) -> SentRequests {
    const DURATION_S: u64 = 30;
    const STEP_MS: usize = 4;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limiters: Vec<Option<RateLimiter>> = (0..shields + edges).map(|_| None).collect();
    // For each machine, the number of shields that it knows, and the time from which on it may learn the current
    // number.
    let mut known_shields: Vec<(usize, Millis)> = vec![(shields, 0); shields + edges];
    let mut sent: Vec<Millis> = Vec::new();
    for now in (0..DURATION_S * 1000).step_by(STEP_MS) {
        let running_shields = limiters[..shields].iter().flatten().count();
        if faults && rng.random_bool(0.004) {
            let victim = rng.random_range(0..limiters.len());
            limiters[victim] = None;
        }
        if faults && rng.random_bool(0.0004) {
            limiters[..shields].iter_mut().for_each(|shield| *shield = None);
        }
        for n in 0..limiters.len() {
            if limiters[n].is_none() && (!faults || rng.random_bool(0.002)) || now == 0 {
                limiters[n] = Some(RateLimiter::new(RATE_LIMIT_SETTINGS, rng.random()));
                // A machine that starts knows only the configured number of shields.
                known_shields[n] = (shields, now);
            }
            let Some(limiter) = &mut limiters[n] else { continue };
            if known_shields[n].0 != running_shields && now >= known_shields[n].1 {
                known_shields[n] = (running_shields, now + rng.random_range(0..150));
            }
            let known = known_shields[n].0;
            let holder = if n < shields {
                QuotaHolder::Shield { shield_count: known.max(1) }
            } else {
                QuotaHolder::Edge { edge_count: edges, without_shields: known == 0 }
            };
            limiter.set_holder(now, holder);
            // Shields send whenever they run. Edges always send, with a small quota while there are shields.
            while limiter.try_acquire(now, "s", RATE_PER_S, 0.0).is_ok() {
                sent.push(now);
            }
        }
    }
    let mut first = 0;
    let window_counts = (0..sent.len()).map(|last| {
        while sent[first] + RATE_LIMIT_SETTINGS.window <= sent[last] {
            first += 1;
        }
        last + 1 - first
    });
    SentRequests { max_in_window: window_counts.max().unwrap_or(0), total: sent.len() }
}

#[test]
fn no_window_exceeds_the_limit_while_machines_stop_and_restart() {
    let allowed = (RATE_PER_S * 5.0 * RATE_LIMIT_SETTINGS.overshoot_factor) as usize + 5;
    for (shields, edges) in [(3, 10), (5, 90), (5, 900)] {
        for seed in 0..4 {
            let max_in_window = simulate(seed, shields, edges, true).max_in_window;
            assert!(
                max_in_window <= allowed,
                "{shields} shields, {edges} edges, seed {seed}: {max_in_window} of {allowed}"
            );
        }
    }
}

#[test]
fn most_of_the_limit_is_used_without_faults() {
    for (shields, edges) in [(5, 90), (0, 90), (0, 900)] {
        let total = simulate(1, shields, edges, false).total;
        let share = total as f64 / (30.0 * RATE_PER_S);
        assert!((0.9..1.03).contains(&share), "{shields} shields, {edges} edges: {share}");
    }
}

#[test]
fn a_process_starts_without_tokens_and_reserves_saved_tokens_for_high_priority() {
    let mut limiter = RateLimiter::new(RATE_LIMIT_SETTINGS, 0.0);
    limiter.set_holder(0, QuotaHolder::Shield { shield_count: 1 });
    let wait = limiter.try_acquire(0, "s", 100.0, 0.0).expect_err("no tokens are saved yet");
    assert!((10..12).contains(&wait), "the first token is due in about 10 ms, got {wait}");
    assert_eq!(limiter.try_acquire(wait, "s", 100.0, 0.0), Ok(()));
    // Requests of the lowest priority cannot use a part of the saved tokens.
    let acquired = |limiter: &mut RateLimiter, rank| {
        (0..100).take_while(|_| limiter.try_acquire(10_000, "s", 100.0, rank).is_ok()).count()
    };
    let low = acquired(&mut limiter, 1.0);
    let high = acquired(&mut limiter, 0.0);
    assert!(low > 10 && high > 5, "{low} of the lowest priority, then {high} of the highest");
}

#[test]
fn a_small_quota_yields_single_tokens_that_do_not_accumulate() {
    let mut limiter = RateLimiter::new(RATE_LIMIT_SETTINGS, 0.5);
    limiter.set_holder(0, QuotaHolder::Edge { edge_count: 1000, without_shields: false });
    assert!(limiter.try_acquire(0, "s", 100.0, 1.0).is_err());
    let (mut sent, mut rejected) = (0, 0);
    // After a long time without requests, there is at most one token.
    for now in [1_000_000, 1_000_001, 1_000_002] {
        match limiter.try_acquire(now, "s", 100.0, 1.0) {
            Ok(()) => sent += 1,
            Err(_) => rejected += 1,
        }
    }
    assert!(sent <= 1 && rejected >= 2);
}

#[test]
fn a_rejection_reaches_the_client_within_a_quarter_of_the_latency_target() {
    // Round trips: 2 x 3 ms between client and edge, and 2 x 1.4 ms between edge and shield in different zones.
    let round_trips = Duration::from_micros(2 * 3000 + 2 * 1400);
    for target in (1..2000).map(Duration::from_millis) {
        let wait = max_queue_time(target);
        assert!(wait.is_zero() || wait + round_trips < target / 4, "{target:?}: {wait:?}");
        assert!(wait <= target / 5, "{target:?}: a request that gets a token is in time");
    }
    assert_eq!([40, 80, 400].map(|ms| max_queue_time(Duration::from_millis(ms)).as_millis()), [0, 8, 80]);
}
