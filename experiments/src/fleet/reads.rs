//! Simulates reads through shields to a rate-limited origin: how edges choose shields, the caches of the shields, and
//! the share of the rate limit that each shield enforces. All caches are empty at the start.

use std::collections::{HashMap, VecDeque};

use glenfall_balancer::{splitmix64, Key, ServerId, Shields};
use glenfall_control_plane::rate_limit::{QuotaHolder, RateLimitSettings, RateLimiter};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};

use super::FleetPlan;

/// The documented bound: in any window, at most the rate times `overshoot_factor`, plus [`EXTRA_REQUESTS`], reach the
/// origin.
const RATE_LIMIT: RateLimitSettings = RateLimitSettings { window: 5000, overshoot_factor: 1.1 };
/// Requests permitted in a window in addition to the rate.
const EXTRA_REQUESTS: f64 = 5.0;
/// Makes the random stream of reads differ from that of writes.
const READ_STREAM: u64 = 1;

/// The results of the reads at one fleet size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadReport {
    /// The number of reads.
    pub reads: u64,
    /// The share of reads that were rejected by the rate limit.
    #[serde(rename = "refused")]
    pub rejected_share: f64,
    /// The share of reads that reached the origin.
    #[serde(rename = "fetched")]
    pub fetched_share: f64,
    /// The most origin requests in a window, divided by the permitted number: above 1, the limit was exceeded.
    #[serde(rename = "most_over_allowed")]
    pub max_over_limit: f64,
    /// The reads of the busiest shield, divided by the mean of all shields.
    #[serde(rename = "busiest")]
    pub busiest_over_mean: f64,
}

struct Shield {
    limiter: RateLimiter,
    /// When the stored response of each object becomes stale, in milliseconds. It is set when the fetch starts, as
    /// reads during a fetch join it.
    fresh_until: HashMap<u32, u64>,
    reads: u64,
}

impl Shield {
    /// Creates a shield with an empty cache, which has the share of one of `count` shields in the rate limit.
    fn new(count: usize, rng: &mut ChaCha8Rng) -> Shield {
        let mut limiter = RateLimiter::new(RATE_LIMIT, rng.random());
        limiter.set_holder(0, QuotaHolder::Shield { shield_count: count });
        Shield { limiter, fresh_until: HashMap::new(), reads: 0 }
    }
}

/// The state of a simulation of reads.
struct ReadSimulation<'a> {
    plan: &'a FleetPlan,
    /// The rate limit of the origin, in requests per second.
    rate: f64,
    ids: Vec<ServerId>,
    shields: Vec<Shield>,
    /// The shield selection of each edge, by its index.
    choosers: Vec<Shields>,
    /// When the requests of the current window reached the origin, in milliseconds.
    window: VecDeque<u64>,
    max_in_window: usize,
    reads: u64,
    rejected: u64,
    fetched: u64,
}

/// Simulates the reads of a fleet of `edges` edges.
pub fn run(plan: &FleetPlan, edges: u32) -> ReadReport {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ READ_STREAM);
    // The distributions of a validated plan are always valid.
    let Ok(intervals) = Exp::new(plan.reads.per_s * f64::from(edges)) else { return ReadReport::default() };
    let Ok(objects) = Zipf::new(f64::from(plan.reads.objects), plan.reads.skew) else {
        return ReadReport::default();
    };
    let mut run = ReadSimulation::new(plan, edges, &mut rng);
    let mut now = 0.0;
    loop {
        now += intervals.sample(&mut rng);
        if now >= plan.seconds {
            return run.report();
        }
        let object = objects.sample(&mut rng) as u32;
        let edge = rng.random_range(0..edges as usize);
        run.read(now, edge, object);
    }
}

impl ReadSimulation<'_> {
    fn new<'a>(plan: &'a FleetPlan, edges: u32, rng: &mut ChaCha8Rng) -> ReadSimulation<'a> {
        let id = |number| ServerId(format!("10.3.0.{number}:1").as_str().into());
        let ids: Vec<ServerId> = (0..plan.cores).map(id).collect();
        let chooser = |_| {
            let mut shields = Shields::default();
            shields.update(&ids);
            shields
        };
        ReadSimulation {
            plan,
            rate: plan.reads.rate_per_s * f64::from(edges),
            shields: ids.iter().map(|_| Shield::new(ids.len(), rng)).collect(),
            choosers: (0..edges).map(chooser).collect(),
            window: VecDeque::new(),
            max_in_window: 0,
            reads: 0,
            rejected: 0,
            fetched: 0,
            ids,
        }
    }

    /// Simulates a read of an object by an edge at `now`, in seconds. It completes at once: cache hits finish before the
    /// next read, and misses are rare.
    fn read(&mut self, now: f64, edge: usize, object: u32) {
        let key = Key(splitmix64(u64::from(object) + 1));
        let Some(chosen) = self.choosers[edge].choose(now, key, &[]) else { return };
        let Some(index) = self.ids.iter().position(|id| id == chosen) else { return };
        let now_ms = (now * 1000.0) as u64;
        self.reads += 1;
        let shield = &mut self.shields[index];
        shield.reads += 1;
        if shield.fresh_until.get(&object).is_some_and(|until| now_ms < *until) {
            return;
        }
        // Unlike in the real system, a miss that exceeds the rate is rejected without a short wait.
        if shield.limiter.try_acquire(now_ms, "origin", self.rate, 0.0).is_err() {
            self.rejected += 1;
            return;
        }
        let max_age_ms = (self.plan.reads.max_age_s * 1000.0) as u64;
        shield.fresh_until.insert(object, now_ms + max_age_ms);
        self.record_fetch(now_ms);
    }

    fn record_fetch(&mut self, now_ms: u64) {
        self.fetched += 1;
        self.window.push_back(now_ms);
        while self.window.front().is_some_and(|first| *first + RATE_LIMIT.window <= now_ms) {
            self.window.pop_front();
        }
        self.max_in_window = self.max_in_window.max(self.window.len());
    }

    fn report(&self) -> ReadReport {
        let share = |part: u64| part as f64 / self.reads.max(1) as f64;
        let permitted =
            self.rate * RATE_LIMIT.overshoot_factor * RATE_LIMIT.window as f64 / 1000.0 + EXTRA_REQUESTS;
        let busiest = self.shields.iter().map(|shield| shield.reads).max().unwrap_or(0) as f64;
        ReadReport {
            reads: self.reads,
            rejected_share: share(self.rejected),
            fetched_share: share(self.fetched),
            max_over_limit: self.max_in_window as f64 / permitted,
            busiest_over_mean: busiest * self.shields.len() as f64 / self.reads.max(1) as f64,
        }
    }
}
