//! Rate limit of a service, which bounds the requests that all machines together send to its servers.
//!
//! The operator's limit holds for the sum over all machines, in any window. Each machine has a *quota*, a share of the
//! rate, and a token bucket that is filled at that rate. The quotas sum to one, so that the limit holds without
//! coordination.
//!
//! Saved tokens count on top, for each machine. Their number is bounded by what the machine's quota yields in a set time, so
//! that the sum over all machines does not grow with their number. A quota that yields less than one token in that time gets
//! single tokens, at other moments on each machine, and a token that is not used in that time expires.
//!
//! A process starts without saved tokens, as the previous process on the machine may have just spent them. From then on it
//! also saves tokens for services that it has sent no request to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Millis;

/// Share of the limit that is divided into quotas. The remainder is for saved tokens, for requests that arrive later than they
/// were sent, and for moments in which the machines do not agree on their number.
const LIMIT_UTILIZATION: f64 = 0.91;
/// Share of a window whose tokens may be saved.
const BURST_WINDOW_SHARE: f64 = 0.05;
/// Share of the quotas that edges have while shields send the requests.
const EDGE_QUOTA: f64 = 0.03;
/// Share of the saved tokens that requests of the lowest priority leave to the others.
const RESERVED_FOR_PRIORITY: f64 = 0.3;
/// Bound of the services counted; requests to a further one are rejected.
const MAX_SERVICES: usize = 1024;
/// Longest wait that a rejection reports, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// Lower bound of a rate in tokens per millisecond, where a wait is computed from it.
const MIN_RATE_PER_MS: f64 = 1e-9;

/// A request may wait for a token for this part of its latency target, one in so many: its response is in time then.
const QUEUE_TIME_DIVISOR: u32 = 5;
/// A rejection is early if the client has it within this part of the latency target, one in so many.
const EARLY_REJECTION_DIVISOR: u32 = 4;
/// Time of a request and its rejection between the client and the proxy of the server: two times 3 ms to the client, two
/// times 1.4 ms between zones, and the time that machines take to wake up.
const NETWORK_TIME: Duration = Duration::from_millis(12);

/// How long a request may wait for a token. A rejection after that is still an early one.
pub fn max_queue_time(latency_target: Duration) -> Duration {
    let in_time = latency_target / QUEUE_TIME_DIVISOR;
    let early_rejection = (latency_target / EARLY_REJECTION_DIVISOR).saturating_sub(NETWORK_TIME);
    in_time.min(early_rejection)
}

/// The operator's limit: in any window, the requests are at most `over` times what the rate yields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitSettings {
    /// Length of the window in milliseconds.
    pub window: Millis,
    /// Tolerated factor over the rate.
    pub over: f64,
}

impl RateLimitSettings {
    /// Tokens per millisecond for a quota of a rate in requests per second.
    fn tokens_per_ms(&self, quota: f64, rate_per_s: f64) -> f64 {
        rate_per_s.max(0.0) * self.over * LIMIT_UTILIZATION * quota / 1000.0
    }

    /// Time whose tokens may be saved, in milliseconds.
    fn burst_ms(&self) -> f64 {
        self.window as f64 * BURST_WINDOW_SHARE
    }

    /// Capacity of a token bucket that is filled at this rate.
    fn burst(&self, tokens_per_ms: f64) -> f64 {
        (tokens_per_ms * self.burst_ms()).max(1.0)
    }
}

/// The role of a machine among those that send requests to servers, which determines its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaHolder {
    /// A shield.
    Shield {
        /// Number of shields.
        of: usize,
    },
    /// An edge.
    Edge {
        /// Number of edges.
        of: usize,
        /// Whether there is no shield, so that edges have the quotas of shields.
        alone: bool,
    },
}

impl QuotaHolder {
    /// The machine's share of the rate.
    fn quota(self) -> f64 {
        match self {
            QuotaHolder::Shield { of } => (1.0 - EDGE_QUOTA) / of.max(1) as f64,
            QuotaHolder::Edge { of, alone: false } => EDGE_QUOTA / of.max(1) as f64,
            QuotaHolder::Edge { of, alone: true } => (1.0 - EDGE_QUOTA) / of.max(1) as f64,
        }
    }
}

/// Tokens of one service.
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// Adds the tokens since the last call.
    fn fill(&mut self, now: Millis, settings: RateLimitSettings, quota: f64) {
        let tokens_per_ms = settings.tokens_per_ms(quota, self.rate_per_s);
        let tokens = self.tokens + tokens_per_ms * now.saturating_sub(self.filled_at) as f64;
        let burst = settings.burst(tokens_per_ms);
        self.filled_at = now;
        self.tokens = if burst > 1.0 {
            tokens.min(burst)
        } else {
            // A whole token expires after the burst time. What has come in since counts towards the next token.
            let usable_fraction = tokens_per_ms * settings.burst_ms();
            let expired = (tokens - usable_fraction).floor().max(0.0);
            (tokens - expired).min(1.0 + usable_fraction)
        };
    }
}

/// One machine's part of the rate limits of all services.
pub struct RateLimiter {
    settings: RateLimitSettings,
    /// This machine's share of each rate.
    quota: f64,
    /// Number from 0 to 1 that differs between machines: the fraction of the first token of a small quota that is there at
    /// the start, so that machines get their single tokens at different moments.
    phase: f64,
    buckets: BTreeMap<String, TokenBucket>,
    /// When this process first had a quota.
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
        // The time so far counts by the old quota.
        let (settings, old_quota) = (self.settings, self.quota);
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, settings, old_quota);
        }
        self.quota = quota;
    }

    /// Takes a token for a request to a service with this rate limit. `rank` is the priority of the request, from 0, the
    /// highest, to 1.
    ///
    /// # Errors
    ///
    /// Where no token is left, the time in milliseconds until the next one.
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
        let needed = 1.0 + rank * RESERVED_FOR_PRIORITY * (settings.burst(tokens_per_ms) - 1.0);
        if bucket.tokens >= needed {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (needed - bucket.tokens) / tokens_per_ms.max(MIN_RATE_PER_MS);
        Err(wait_ms.ceil().min(MAX_RETRY_AFTER_MS) as Millis)
    }

    /// The bucket of a service; `None` where too many services are counted.
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
