//! What reaches an origin under its ceiling: edges' choice among shields, shields' copies, and each shield's part of
//! the rate, all from cold.

use std::collections::{HashMap, VecDeque};

use glenfall_balancer::{mix, Key, ServerId, Shields};
use glenfall_control_plane::rate_limit::{QuotaHolder, RateLimitSettings, RateLimiter};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};

use super::FleetPlan;

/// The users' bound: in any window no more than so many times the rate, and a few.
const BOUND: RateLimitSettings = RateLimitSettings { window: 5000, over: 1.1 };
const FEW: f64 = 5.0;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reads {
    pub reads: u64,
    /// Parts of the reads that were refused, and that reached the origin.
    pub refused: f64,
    pub fetched: f64,
    pub most_over_allowed: f64,
    pub busiest: f64,
}

struct Shield {
    ceiling: RateLimiter,
    /// Until when an object's copy is fresh; who asks while it is on its way joins.
    copies: HashMap<u32, u64>,
    reads: u64,
}

impl Shield {
    /// An empty one of so many.
    fn one_of(count: usize, rng: &mut ChaCha8Rng) -> Shield {
        let mut ceiling = RateLimiter::new(BOUND, rng.random());
        ceiling.set_holder(0, QuotaHolder::Shield { of: count });
        Shield { ceiling, copies: HashMap::new(), reads: 0 }
    }
}

/// An edge's choice among these shields.
fn chooser(ids: &[ServerId]) -> Shields {
    let mut shields = Shields::default();
    shields.update(ids);
    shields
}

pub fn play(plan: &FleetPlan, edges: u32) -> Reads {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 1);
    let laws = (
        Exp::new(plan.reads.per_s * f64::from(edges)),
        Zipf::new(f64::from(plan.reads.objects), plan.reads.skew),
    );
    let (Ok(pause), Ok(objects)) = laws else { return Reads::default() };
    let ids: Vec<ServerId> =
        (0..plan.cores).map(|n| ServerId(format!("10.3.0.{n}:1").as_str().into())).collect();
    let mut shields: Vec<Shield> = ids.iter().map(|_| Shield::one_of(ids.len(), &mut rng)).collect();
    let mut choosers: Vec<Shields> = (0..edges).map(|_| chooser(&ids)).collect();
    let rate = plan.reads.rate_per_s * f64::from(edges);
    let allowed = rate * BOUND.over * BOUND.window as f64 / 1000.0 + FEW;
    let mut window: VecDeque<u64> = VecDeque::new();
    let (mut found, mut refused, mut fetched, mut most) = (Reads::default(), 0u64, 0u64, 0usize);
    let mut now = 0.0;
    loop {
        now += pause.sample(&mut rng);
        if now >= plan.seconds {
            break;
        }
        let ms = (now * 1000.0) as u64;
        let object = objects.sample(&mut rng) as u32;
        let edge = &mut choosers[rng.random_range(0..edges as usize)];
        let key = Key(mix(u64::from(object) + 1));
        // A read is over before the next one where it finds a copy; misses are few.
        let Some(chosen) = edge.choose(now, key, &[]) else { continue };
        let Some(at) = ids.iter().position(|id| id == chosen) else { continue };
        let shield = &mut shields[at];
        found.reads += 1;
        shield.reads += 1;
        if shield.copies.get(&object).is_some_and(|until| ms < *until) {
            continue;
        }
        // In the system a miss may wait a little for its turn; here it does not.
        if shield.ceiling.try_acquire(ms, "origin", rate, 0.0).is_err() {
            refused += 1;
            continue;
        }
        fetched += 1;
        window.push_back(ms);
        while window.front().is_some_and(|first| *first + BOUND.window <= ms) {
            window.pop_front();
        }
        most = most.max(window.len());
        shield.copies.insert(object, ms + (plan.reads.max_age_s * 1000.0) as u64);
    }
    let of_all = |part: u64| part as f64 / found.reads.max(1) as f64;
    let busiest = shields.iter().map(|shield| shield.reads).max().unwrap_or(0) as f64;
    Reads {
        refused: of_all(refused),
        fetched: of_all(fetched),
        most_over_allowed: most as f64 / allowed,
        busiest: busiest * shields.len() as f64 / found.reads.max(1) as f64,
        ..found
    }
}
