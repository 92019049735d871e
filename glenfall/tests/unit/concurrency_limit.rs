//! The limits of requests at a service: a model of machines that share an overloaded one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use glenfall::upstream::concurrency_limit::{Admitted, ConcurrencyLimits, MOST};
use tokio::time::Instant;

const AIM: Duration = Duration::from_millis(250);

/// Ten machines that each have a tenth of a service of twelve places, of 72 ms a request, which queues all it
/// gets; so many requests a second come to all of them. Returns the parts answered in time and refused, of
/// the highest and of the lowest rank, from the fifth second on.
async fn played(per_s: u64, limited: bool) -> [(f64, f64); 2] {
    const MACHINES: usize = 10;
    const PLACES: usize = 12;
    let work = Duration::from_millis(72);
    let limits: Vec<ConcurrencyLimits> = (0..MACHINES).map(|_| ConcurrencyLimits::default()).collect();
    if limited {
        limits.iter().for_each(|l| l.update(&BTreeMap::from([("s", PLACES as f64 / MACHINES as f64)])));
    }
    let began = Instant::now();
    // When each place is free, and what is out: its end, its rank and its guard.
    let mut places = [began; PLACES];
    let mut out: VecDeque<(Instant, usize, Instant, Admitted)> = VecDeque::new();
    let (mut owed, mut good, mut refused) = ([0.0; 2], [0.0; 2], [0.0; 2]);
    let mut seed = 7u64;
    let mut draw = || {
        seed = glenfall_balancer::mix(seed);
        seed
    };
    for n in 0..20 * per_s {
        let now = began + Duration::from_micros(1_000_000 / per_s * n);
        while out.front().is_some_and(|(end, ..)| *end <= now) {
            let Some((end, rank, at, mut admitted)) = out.pop_front() else { break };
            tokio::time::advance(end - Instant::now()).await;
            admitted.answered();
            if at >= began + Duration::from_secs(5) && end - at <= AIM {
                good[rank] += 1.0;
            }
        }
        tokio::time::advance(now - Instant::now()).await;
        let rank = (draw() % 2) as usize;
        let counts = now >= began + Duration::from_secs(5);
        owed[rank] += f64::from(u8::from(counts));
        let machine = &limits[(draw() % MACHINES as u64) as usize];
        match machine.admit("s", rank as f64, AIM) {
            Some(admitted) => {
                let Some(place) = places.iter_mut().min() else { continue };
                *place = (*place).max(now) + work;
                out.push_back((*place, rank, now, admitted));
            }
            None => refused[rank] += f64::from(u8::from(counts)),
        }
    }
    [0, 1].map(|rank| (good[rank] / owed[rank], refused[rank] / owed[rank]))
}

#[tokio::test(start_paused = true)]
async fn a_service_asked_for_too_much_answers_in_time_what_it_can_the_higher_rank_first() {
    // It can do 166 a second.
    let [high, low] = played(100, true).await;
    assert_eq!((high.1, low.1), (0.0, 0.0), "nothing is refused that it can do");
    let [high, low] = played(330, false).await;
    assert!(high.0 + low.0 < 0.1, "unlimited, all comes late: {high:?} {low:?}");
    let [high, low] = played(330, true).await;
    assert!(high.0 + low.0 > 0.8, "half of what comes can be done: {high:?} {low:?}");
    assert!(high.0 > 1.3 * low.0, "the higher rank first: {high:?} {low:?}");
}

#[tokio::test(start_paused = true)]
async fn what_is_given_up_is_counted_off_and_late_answers_of_few_change_nothing() {
    let limits = ConcurrencyLimits::default();
    limits.update(&BTreeMap::from([("s", 1.0)]));
    for n in 0..1000 {
        let mut admitted = limits.admit("s", 1.0, AIM).expect("room");
        // One in six is late, as with one slow server of six.
        match n % 6 {
            0 => admitted.crowded(),
            1 => {}
            _ => admitted.answered(),
        }
    }
    let out: Vec<_> = (0..MOST as u32).map(|_| limits.admit("s", 0.0, AIM)).collect();
    assert!(out.iter().all(Option::is_some));
    assert!(limits.admit("s", 0.0, AIM).is_none(), "bounded at any rate");
    drop(out);
    assert!(limits.admit("s", 1.0, AIM).is_some());
    assert!(limits.admit("not known", 1.0, AIM).is_some());
}
