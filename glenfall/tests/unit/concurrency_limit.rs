//! Concurrency limits: a model of machines that share an overloaded service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use glenfall::upstream::concurrency_limit::{ConcurrencyLimits, Permit, MAX_LIMIT};
use tokio::time::Instant;

const LATENCY_TARGET: Duration = Duration::from_millis(250);

/// Fractions of the requests of one priority.
#[derive(Debug)]
struct Fractions {
    on_time: f64,
    rejected: f64,
}

/// The fractions of the highest and of the lowest priority.
struct SimulationResult {
    high: Fractions,
    low: Fractions,
}

/// An admitted request, which ends once a slot of the service has run it.
struct RunningRequest<'a> {
    ends_at: Instant,
    sent_at: Instant,
    rank: usize,
    permit: Permit<'a>,
}

/// Ten machines share a service of twelve slots, which takes 72 ms for a request and queues all requests that it gets.
/// All machines together receive `requests_per_s`. Requests are counted from the fifth second on.
async fn simulate(requests_per_s: u64, is_limited: bool) -> SimulationResult {
    const MACHINE_COUNT: usize = 10;
    const SLOTS: usize = 12;
    let service_time = Duration::from_millis(72);
    let limits: Vec<ConcurrencyLimits> = (0..MACHINE_COUNT).map(|_| ConcurrencyLimits::default()).collect();
    if is_limited {
        limits
            .iter()
            .for_each(|limit| limit.update(&BTreeMap::from([("s", SLOTS as f64 / MACHINE_COUNT as f64)])));
    }
    let started_at = Instant::now();
    // When each slot becomes free.
    let mut slots = [started_at; SLOTS];
    let mut in_flight: VecDeque<RunningRequest> = VecDeque::new();
    let (mut counted, mut on_time, mut rejected) = ([0.0; 2], [0.0; 2], [0.0; 2]);
    let mut seed = 7u64;
    let mut draw = || {
        seed = glenfall_balancer::splitmix64(seed);
        seed
    };
    for n in 0..20 * requests_per_s {
        let now = started_at + Duration::from_micros(1_000_000 / requests_per_s * n);
        while in_flight.front().is_some_and(|request| request.ends_at <= now) {
            let Some(RunningRequest { ends_at, sent_at, rank, mut permit }) = in_flight.pop_front() else {
                break;
            };
            tokio::time::advance(ends_at - Instant::now()).await;
            permit.record_response();
            if sent_at >= started_at + Duration::from_secs(5) && ends_at - sent_at <= LATENCY_TARGET {
                on_time[rank] += 1.0;
            }
        }
        tokio::time::advance(now - Instant::now()).await;
        let rank = (draw() % 2) as usize;
        let is_counted = now >= started_at + Duration::from_secs(5);
        counted[rank] += f64::from(u8::from(is_counted));
        let machine = &limits[(draw() % MACHINE_COUNT as u64) as usize];
        match machine.admit("s", rank as f64, LATENCY_TARGET) {
            Some(permit) => {
                let Some(slot) = slots.iter_mut().min() else { continue };
                *slot = (*slot).max(now) + service_time;
                in_flight.push_back(RunningRequest { ends_at: *slot, sent_at: now, rank, permit });
            }
            None => rejected[rank] += f64::from(u8::from(is_counted)),
        }
    }
    let [high, low] = [0, 1].map(|rank| Fractions {
        on_time: on_time[rank] / counted[rank],
        rejected: rejected[rank] / counted[rank],
    });
    SimulationResult { high, low }
}

#[tokio::test(start_paused = true)]
async fn a_limited_service_responds_on_time_up_to_its_capacity_and_prefers_high_priority() {
    // The service can handle 166 requests a second.
    let SimulationResult { high, low } = simulate(100, true).await;
    assert_eq!((high.rejected, low.rejected), (0.0, 0.0), "nothing is rejected below the capacity");
    let SimulationResult { high, low } = simulate(330, false).await;
    assert!(high.on_time + low.on_time < 0.1, "without a limit, all are late: {high:?} {low:?}");
    let SimulationResult { high, low } = simulate(330, true).await;
    assert!(high.on_time + low.on_time > 0.8, "half of the requests can be handled: {high:?} {low:?}");
    assert!(high.on_time > 1.3 * low.on_time, "the higher priority first: {high:?} {low:?}");
}

#[tokio::test(start_paused = true)]
async fn dropped_permits_are_released_and_a_few_late_responses_do_not_lower_the_limit() {
    let limits = ConcurrencyLimits::default();
    limits.update(&BTreeMap::from([("s", 1.0)]));
    for n in 0..1000 {
        let mut permit = limits.admit("s", 1.0, LATENCY_TARGET).expect("below the limit");
        // One in six is late, as with one slow server of six.
        match n % 6 {
            0 => permit.record_overload(),
            1 => {}
            _ => permit.record_response(),
        }
    }
    let permits: Vec<_> = (0..MAX_LIMIT as u32).map(|_| limits.admit("s", 0.0, LATENCY_TARGET)).collect();
    assert!(permits.iter().all(Option::is_some));
    assert!(limits.admit("s", 0.0, LATENCY_TARGET).is_none(), "the limit has an upper bound");
    drop(permits);
    assert!(limits.admit("s", 1.0, LATENCY_TARGET).is_some());
    assert!(limits.admit("unknown", 1.0, LATENCY_TARGET).is_some());
}
