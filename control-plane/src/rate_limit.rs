//! Rate limit of a service, which bounds the requests that all machines together send to its servers.
//!
//! The operator's limit applies to the sum over all machines, in any window. Each machine has a *quota*, which is its
//! share of the rate, and a token bucket that is refilled in proportion to the quota. The quotas sum to at most one, so
//! the limit holds without coordination.
//!
//! In addition, each machine may spend the tokens that it has saved. A bucket holds at most as many tokens as the quota
//! yields in the burst time, so that the total over all machines does not depend on their number. A quota that yields
//! less than one token in the burst time gets single tokens, at different times on each machine, and an unused token
//! expires after the burst time.
//!
//! A process starts without saved tokens, as the previous process on the same machine may have just spent them. From
//! then on it also accumulates tokens for services that it has not sent requests to yet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Millis;

/// Share of the limit that is divided into quotas. The remainder allows for saved tokens, for requests that arrive
/// later than they were sent, and for moments in which machines have different views of how many machines there are.
const LIMIT_UTILIZATION: f64 = 0.91;
/// Burst time, as a share of the window.
const BURST_WINDOW_SHARE: f64 = 0.05;
/// Sum of the quotas of all edges while there are shields.
const EDGE_QUOTA_SHARE: f64 = 0.03;
/// Share of the saved tokens that requests of the lowest priority may not use.
const HIGH_PRIORITY_RESERVE: f64 = 0.3;
/// Maximum number of services with a token bucket. Requests to further services are rejected.
const MAX_SERVICES: usize = 1024;
/// Maximum wait that a rejection reports, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// Lower bound of a rate in tokens per millisecond when a wait is computed from it. Avoids a division by zero.
const MIN_RATE_PER_MS: f64 = 1e-9;

/// A request may wait for a token for at most the latency target divided by this number, so that its response can still
/// meet the target.
const QUEUE_TIME_DIVISOR: u32 = 5;
/// A rejection is early if the client receives it within the latency target divided by this number.
const EARLY_REJECTION_DIVISOR: u32 = 4;
/// Network time of a request and its rejection between the client and the proxy that sends to the server. It consists
/// of a round trip of 2 x 3 ms to the client, one of 2 x 1.4 ms between zones, and the wake-up delays of the machines.
const NETWORK_ROUND_TRIP: Duration = Duration::from_millis(12);

/// Maximum time that a request may wait for a token. A rejection after this time still reaches the client early.
pub fn max_queue_time(latency_target: Duration) -> Duration {
    let within_target = latency_target / QUEUE_TIME_DIVISOR;
    let early_rejection = (latency_target / EARLY_REJECTION_DIVISOR).saturating_sub(NETWORK_ROUND_TRIP);
    within_target.min(early_rejection)
}

/// The operator's limit: in any window, there are at most `overshoot_factor` times as many requests
/// as the rate yields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitSettings {
    /// Length of the window in milliseconds.
    pub window: Millis,
    /// Factor by which the rate may be exceeded; 1.1 allows 10 % more requests.
    pub overshoot_factor: f64,
}

impl RateLimitSettings {
    /// Refill rate of a token bucket, in tokens per millisecond. `quota` is the machine's share of `rate_per_s`, which
    /// is in requests per second.
    fn tokens_per_ms(&self, quota: f64, rate_per_s: f64) -> f64 {
        rate_per_s.max(0.0) * self.overshoot_factor * LIMIT_UTILIZATION * quota / 1000.0
    }

    /// Burst time: how long a bucket may accumulate tokens, in milliseconds.
    fn burst_ms(&self) -> f64 {
        self.window as f64 * BURST_WINDOW_SHARE
    }

    /// Capacity of a token bucket with this refill rate; at least one token.
    fn burst(&self, tokens_per_ms: f64) -> f64 {
        (tokens_per_ms * self.burst_ms()).max(1.0)
    }
}

/// The role of a machine among those that send requests to servers, which determines its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaHolder {
    /// A shield. Shields share most of the rate.
    Shield {
        /// Number of shields.
        shield_count: usize,
    },
    /// An edge. Edges share a small part of the rate while there are shields.
    Edge {
        /// Number of edges.
        edge_count: usize,
        /// Whether there are no shields, so that edges share the part of the rate that shields have otherwise.
        without_shields: bool,
    },
}

impl QuotaHolder {
    /// The share of the rate for one machine with this role.
    fn quota(self) -> f64 {
        match self {
            QuotaHolder::Shield { shield_count } => (1.0 - EDGE_QUOTA_SHARE) / shield_count.max(1) as f64,
            QuotaHolder::Edge { edge_count, without_shields: false } => {
                EDGE_QUOTA_SHARE / edge_count.max(1) as f64
            }
            QuotaHolder::Edge { edge_count, without_shields: true } => {
                (1.0 - EDGE_QUOTA_SHARE) / edge_count.max(1) as f64
            }
        }
    }
}

/// Token bucket of one service.
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// Adds the tokens for the time since the last call.
    fn fill(&mut self, now: Millis, settings: RateLimitSettings, quota: f64) {
        let tokens_per_ms = settings.tokens_per_ms(quota, self.rate_per_s);
        let tokens = self.tokens + tokens_per_ms * now.saturating_sub(self.filled_at) as f64;
        let burst = settings.burst(tokens_per_ms);
        self.filled_at = now;
        self.tokens = if burst > 1.0 {
            tokens.min(burst)
        } else {
            // A complete token expires one burst time after it was completed. The fraction that was added in the
            // meantime counts towards the next token.
            let usable_fraction = tokens_per_ms * settings.burst_ms();
            let expired = (tokens - usable_fraction).floor().max(0.0);
            (tokens - expired).min(1.0 + usable_fraction)
        };
    }
}

/// Enforces one machine's share of the rate limits of all services.
pub struct RateLimiter {
    settings: RateLimitSettings,
    /// This machine's share of each rate.
    quota: f64,
    /// Initial fraction of a token in the bucket of a small quota, from 0 to 1. It differs between machines, so that
    /// they get their single tokens at different times.
    phase: f64,
    buckets: BTreeMap<String, TokenBucket>,
    /// When this process first got a quota.
    started_at: Option<Millis>,
}

impl RateLimiter {
    /// Creates a limiter without a quota. `phase` is a number from 0 to 1 that the caller draws at random.
    pub fn new(settings: RateLimitSettings, phase: f64) -> Self {
        let phase = phase.clamp(0.0, 1.0);
        RateLimiter { settings, quota: 0.0, phase, buckets: BTreeMap::new(), started_at: None }
    }

    /// Sets the role of this machine, and with it the quota.
    pub fn set_holder(&mut self, now: Millis, holder: QuotaHolder) {
        let quota = holder.quota();
        self.started_at.get_or_insert(now);
        if quota == self.quota {
            return;
        }
        // The time until now counts with the old quota.
        let (settings, old_quota) = (self.settings, self.quota);
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, settings, old_quota);
        }
        self.quota = quota;
    }

    /// Takes a token for a request to a service with this rate limit. `rank` is the rank of the request's priority,
    /// from 0 for the highest to 1 for the lowest.
    ///
    /// # Errors
    ///
    /// The time in milliseconds until the next token if none is available, or the length of the window if there are too
    /// many services.
    pub fn try_acquire(
        &mut self,
        now: Millis,
        service: &str,
        rate_per_s: f64,
        rank: f64,
    ) -> Result<(), Millis> {
        let (settings, quota) = (self.settings, self.quota);
        let Some(bucket) = self.bucket(now, service, rate_per_s) else { return Err(settings.window) };
        bucket.fill(now, settings, quota);
        bucket.rate_per_s = rate_per_s;
        let tokens_per_ms = settings.tokens_per_ms(quota, rate_per_s);
        let needed = 1.0 + rank * HIGH_PRIORITY_RESERVE * (settings.burst(tokens_per_ms) - 1.0);
        if bucket.tokens >= needed {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (needed - bucket.tokens) / tokens_per_ms.max(MIN_RATE_PER_MS);
        Err(wait_ms.ceil().min(MAX_RETRY_AFTER_MS) as Millis)
    }

    /// The bucket of a service, which is created if it is missing; `None` if there are already [`MAX_SERVICES`] others.
    fn bucket(&mut self, now: Millis, service: &str, rate_per_s: f64) -> Option<&mut TokenBucket> {
        if !self.buckets.contains_key(service) {
            if self.buckets.len() >= MAX_SERVICES {
                return None;
            }
            let tokens_per_ms = self.settings.tokens_per_ms(self.quota, rate_per_s);
            let has_single_tokens = self.settings.burst(tokens_per_ms) <= 1.0;
            let tokens = if has_single_tokens { self.phase } else { 0.0 };
            let filled_at = self.started_at.unwrap_or(now);
            self.buckets.insert(service.to_owned(), TokenBucket { rate_per_s, tokens, filled_at });
        }
        self.buckets.get_mut(service)
    }
}
