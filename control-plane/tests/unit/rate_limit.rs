//! The ceiling of a service: what all machines together may send, and when those are refused that get no turn.

use std::time::Duration;

use glenfall_control_plane::rate_limit::{max_queue_time, QuotaHolder, RateLimitSettings, RateLimiter};
use glenfall_control_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BOUND: RateLimitSettings = RateLimitSettings { window: 5000, over: 1.1 };
const PER_S: f64 = 280.0;

/// Machines that join, leave, start again and lose touch, each asked for more than it may send. Returns the
/// most that came in any window, and how much came in all.
fn played(seed: u64, shields: usize, edges: usize, troubles: bool) -> (usize, usize) {
    const SECONDS: u64 = 30;
    const STEP: usize = 4;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut run: Vec<Option<RateLimiter>> = (0..shields + edges).map(|_| None).collect();
    // What each machine believes of the number of shields, and when it hears of the present one.
    let mut heard: Vec<(usize, Millis)> = vec![(shields, 0); shields + edges];
    let mut sent: Vec<Millis> = Vec::new();
    for now in (0..SECONDS * 1000).step_by(STEP) {
        let present = run[..shields].iter().flatten().count();
        if troubles && rng.random_bool(0.004) {
            let victim = rng.random_range(0..run.len());
            run[victim] = None;
        }
        if troubles && rng.random_bool(0.0004) {
            run[..shields].iter_mut().for_each(|shield| *shield = None);
        }
        for n in 0..run.len() {
            if run[n].is_none() && (!troubles || rng.random_bool(0.002)) || now == 0 {
                run[n] = Some(RateLimiter::new(BOUND, rng.random()));
                // Nothing is known but how many there are by rights.
                heard[n] = (shields, now);
            }
            let Some(ceiling) = &mut run[n] else { continue };
            if heard[n].0 != present && now >= heard[n].1 {
                heard[n] = (present, now + rng.random_range(0..150));
            }
            let known = heard[n].0;
            let holder = if n < shields {
                QuotaHolder::Shield { of: known.max(1) }
            } else {
                QuotaHolder::Edge { of: edges, alone: known == 0 }
            };
            ceiling.set_holder(now, holder);
            // A shield asks where there are shields; edges ask all the time.
            while ceiling.try_acquire(now, "s", PER_S, 0.0).is_ok() {
                sent.push(now);
            }
        }
    }
    let mut first = 0;
    let most = (0..sent.len()).map(|last| {
        while sent[first] + BOUND.window <= sent[last] {
            first += 1;
        }
        last + 1 - first
    });
    (most.max().unwrap_or(0), sent.len())
}

#[test]
fn no_window_holds_more_than_the_bound_whatever_happens_to_the_holders() {
    let allowed = (PER_S * 5.0 * BOUND.over) as usize + 5;
    for (shields, edges) in [(3, 10), (5, 90), (5, 900)] {
        for seed in 0..4 {
            let (most, _) = played(seed, shields, edges, true);
            assert!(most <= allowed, "{shields} shields, {edges} edges, seed {seed}: {most} of {allowed}");
        }
    }
}

#[test]
fn most_of_the_ceiling_is_used_by_those_who_are_there() {
    for (shields, edges) in [(5, 90), (0, 90), (0, 900)] {
        let (_, all) = played(1, shields, edges, false);
        let part = all as f64 / (30.0 * PER_S);
        assert!((0.9..1.03).contains(&part), "{shields} shields, {edges} edges: {part}");
    }
}

#[test]
fn a_process_begins_with_nothing_and_ranks_share_what_is_saved() {
    let mut ceiling = RateLimiter::new(BOUND, 0.0);
    ceiling.set_holder(0, QuotaHolder::Shield { of: 1 });
    let wait = ceiling.try_acquire(0, "s", 100.0, 0.0).expect_err("nothing saved yet");
    assert!((10..12).contains(&wait), "one in about 10 ms, got {wait}");
    assert_eq!(ceiling.try_acquire(wait, "s", 100.0, 0.0), Ok(()));
    // Saved up for long, the lowest rank leaves a part to the highest.
    let taken = |ceiling: &mut RateLimiter, rank| {
        (0..100).take_while(|_| ceiling.try_acquire(10_000, "s", 100.0, rank).is_ok()).count()
    };
    let low = taken(&mut ceiling, 1.0);
    let high = taken(&mut ceiling, 0.0);
    assert!(low > 10 && high > 5, "{low} of the lowest rank, then {high} of the highest");
}

#[test]
fn a_small_part_comes_at_times_and_does_not_pile_up() {
    let mut ceiling = RateLimiter::new(BOUND, 0.5);
    ceiling.set_holder(0, QuotaHolder::Edge { of: 1000, alone: false });
    assert!(ceiling.try_acquire(0, "s", 100.0, 1.0).is_err());
    let (mut sent, mut waits) = (0, 0);
    // After a long rest one at most.
    for now in [1_000_000, 1_000_001, 1_000_002] {
        match ceiling.try_acquire(now, "s", 100.0, 1.0) {
            Ok(()) => sent += 1,
            Err(_) => waits += 1,
        }
    }
    assert!(sent <= 1 && waits >= 2);
}

#[test]
fn who_waits_in_vain_is_refused_within_a_quarter_of_the_aim_as_the_client_sees_it() {
    // Both ways between client and edge, and between edge and shield, where zones are 1.4 ms apart.
    let ways = Duration::from_micros(2 * 3000 + 2 * 1400);
    for aim in (1..2000).map(Duration::from_millis) {
        let waits = max_queue_time(aim);
        assert!(waits.is_zero() || waits + ways < aim / 4, "{aim:?}: {waits:?}");
        assert!(waits <= aim / 5, "{aim:?}: what gets its turn comes in time");
    }
    assert_eq!([40, 80, 400].map(|ms| max_queue_time(Duration::from_millis(ms)).as_millis()), [0, 8, 80]);
}
