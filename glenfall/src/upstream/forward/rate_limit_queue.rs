//! Waiting for a token of a service's rate limit.

use std::cell::RefCell;
use std::time::Duration;

use glenfall_control_plane::rate_limit::{max_queue_time, QuotaHolder, RateLimitSettings, RateLimiter};
use glenfall_control_plane::Millis;
use tokio::time::{sleep_until, Instant};

use super::counters::ForwarderCounters;
use super::request::UpstreamRequest;

/// The rate limit does not allow a request, neither now nor within the time for which it may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the rate limit of the service is exceeded")]
pub struct RateLimitExceeded;

/// This machine's share of the rate limits of all services.
pub struct RateLimitQueue {
    started_at: Instant,
    limiter: RefCell<RateLimiter>,
}

impl RateLimitQueue {
    /// A queue whose clock starts at `started_at`. `phase`, from 0 to 1, differs between machines, so that their first
    /// tokens do not all become free at the same time.
    pub fn new(settings: RateLimitSettings, phase: f64, started_at: Instant) -> Self {
        RateLimitQueue { started_at, limiter: RefCell::new(RateLimiter::new(settings, phase)) }
    }

    /// Sets this machine's role among those that share the rate limits.
    pub fn set_holder(&self, holder: QuotaHolder) {
        self.limiter.borrow_mut().set_holder(self.now(), holder);
    }

    /// Acquires a token for a request. With `may_wait`, waits for it as long as the request's latency target and
    /// deadline allow. Waiting requests get their tokens in no particular order.
    pub async fn acquire(
        &self,
        request: &UpstreamRequest<'_>,
        may_wait: bool,
        counters: &ForwarderCounters,
    ) -> Result<(), RateLimitExceeded> {
        let Some(requests_per_s) = request.rate_limit_per_s else { return Ok(()) };
        let max_wait = if may_wait { max_queue_time(request.latency_target) } else { Duration::ZERO };
        let give_up_at = (Instant::now() + max_wait).min(request.deadline);
        let mut has_waited = false;
        loop {
            let Err(wait_ms) = self.try_acquire(request, requests_per_s) else { return Ok(()) };
            let retry_at = Instant::now() + Duration::from_millis(wait_ms.max(1));
            if retry_at > give_up_at {
                counters.rate_limited.increment();
                return Err(RateLimitExceeded);
            }
            if !has_waited {
                counters.rate_limit_queued.increment();
                has_waited = true;
            }
            sleep_until(retry_at).await;
        }
    }

    /// Acquires a token, or returns the milliseconds until one may be free.
    fn try_acquire(&self, request: &UpstreamRequest<'_>, requests_per_s: f64) -> Result<(), Millis> {
        let mut limiter = self.limiter.borrow_mut();
        limiter.try_acquire(self.now(), request.service, requests_per_s, request.priority_rank)
    }

    fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis
    }
}
