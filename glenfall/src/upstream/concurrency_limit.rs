//! Adaptive concurrency limit: how many requests this machine may have in flight to a service.
//!
//! A service that receives more requests than it can handle keeps all its queues full: its throughput stays the same,
//! but its responses are late. So each machine keeps a moving average of the fraction of its requests to the service
//! that were late: that took most of the latency target or longer, or that the servers rejected as overloaded. While
//! that fraction is large, the machine lowers its limit step by step, though not below a minimum that follows from its
//! share of the servers' capacity, and immediately rejects the requests above the limit, the lowest priority first.
//! Once responses are on time again, it raises the limit. Machines need no coordination for this, as they observe the
//! same queues.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// A response counts as late if it takes more than this fraction of the latency target. The rest of the target is for
/// the transit to the client.
const ON_TIME_FRACTION: f64 = 0.8;
/// Weight of the newest request in the moving average of the fraction of late requests.
const LATE_FRACTION_SMOOTHING: f64 = 0.1;
/// The limit is lowered while more than this fraction of requests is late. A single slow server among several, or a few
/// requests that take long even without a queue, do not make as many requests late.
const OVERLOAD_LATE_FRACTION: f64 = 0.3;
/// The limit may be raised while less than this fraction of requests is late, and the requests in flight reach it.
const HEALTHY_LATE_FRACTION: f64 = 0.15;
/// When the limit is lowered, the smaller of the limit and the requests in flight is multiplied by this.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// Lower bound of a limit, as a multiple of this machine's share of the servers' capacity. It is above 1 so that the
/// servers stay busy: a request is ready to run when a slot becomes free.
const MIN_LIMIT_PER_CAPACITY: f64 = 1.5;
/// Lower bound of a limit whatever the capacity: clients do not distribute their requests evenly over machines, so that
/// one machine may need more than its share.
const MIN_LIMIT: f64 = 3.0;
/// Upper bound of a limit, and its initial value for a service.
pub const MAX_LIMIT: f64 = 256.0;
/// The fraction of the limit that is reserved for requests above the lowest priority.
const PRIORITY_RESERVE: f64 = 0.5;

struct ServiceLimit {
    limit: f64,
    min_limit: f64,
    in_flight: u32,
    /// Moving average of the fraction of requests that were late.
    late_fraction: f64,
    next_decrease_at: Instant,
}

impl ServiceLimit {
    fn new(min_limit: f64, now: Instant) -> Self {
        ServiceLimit { limit: MAX_LIMIT, min_limit, in_flight: 0, late_fraction: 0.0, next_decrease_at: now }
    }

    fn set_min_limit(&mut self, min_limit: f64) {
        self.min_limit = min_limit;
        self.limit = self.limit.max(min_limit);
    }

    /// Whether a request of this priority, from 0 (highest) to 1, may be sent.
    fn admits(&self, priority_rank: f64) -> bool {
        let limit_for_priority = (self.limit * (1.0 - PRIORITY_RESERVE * priority_rank)).max(1.0);
        f64::from(self.in_flight) + 1.0 <= limit_for_priority
    }

    fn record(&mut self, now: Instant, timeliness: Timeliness, latency_target: Duration) {
        let sample = match timeliness {
            Timeliness::OnTime => 0.0,
            Timeliness::Late => 1.0,
        };
        self.late_fraction += LATE_FRACTION_SMOOTHING * (sample - self.late_fraction);
        let in_flight = f64::from(self.in_flight);
        if self.late_fraction > OVERLOAD_LATE_FRACTION && now >= self.next_decrease_at {
            self.limit = (self.limit.min(in_flight) * LIMIT_DECREASE_FACTOR).max(self.min_limit);
            // The effect of a decrease shows once the requests in flight have ended.
            self.next_decrease_at = now + latency_target / 2;
        } else if self.late_fraction < HEALTHY_LATE_FRACTION && in_flight + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }
}

/// The limits of one machine, one for each service.
#[derive(Default)]
pub struct ConcurrencyLimits(RefCell<BTreeMap<String, ServiceLimit>>);

impl ConcurrencyLimits {
    /// Sets the services, and this machine's share of the capacity of each service's servers.
    pub fn update(&self, capacity_shares: &BTreeMap<&str, f64>) {
        let mut limits = self.0.borrow_mut();
        // A service with requests in flight keeps its limit until they have ended.
        limits.retain(|service, limit| limit.in_flight > 0 || capacity_shares.contains_key(service.as_str()));
        for (service, share) in capacity_shares {
            let min_limit = (share * MIN_LIMIT_PER_CAPACITY).max(MIN_LIMIT);
            match limits.get_mut(*service) {
                Some(limit) => limit.set_min_limit(min_limit),
                None => {
                    let limit = ServiceLimit::new(min_limit, Instant::now());
                    limits.insert((*service).to_owned(), limit);
                }
            }
        }
    }

    /// Admits a request of a priority from 0 (highest) to 1; `None` if it exceeds the limit. A service without a limit
    /// admits all requests.
    pub fn admit<'a>(
        &'a self,
        service: &'a str,
        priority_rank: f64,
        latency_target: Duration,
    ) -> Option<Permit<'a>> {
        if let Some(limit) = self.0.borrow_mut().get_mut(service) {
            if !limit.admits(priority_rank) {
                return None;
            }
            limit.in_flight += 1;
        }
        Some(Permit { limits: self, service, latency_target, started_at: Instant::now(), timeliness: None })
    }
}

#[derive(Clone, Copy)]
enum Timeliness {
    OnTime,
    Late,
}

/// Permission for one request, which counts as in flight until the permit is dropped. A permit that is dropped with
/// nothing recorded does not change the limit.
pub struct Permit<'a> {
    limits: &'a ConcurrencyLimits,
    service: &'a str,
    latency_target: Duration,
    started_at: Instant,
    timeliness: Option<Timeliness>,
}

impl Permit<'_> {
    /// Records that the service has responded, on time or late.
    pub fn record_response(&mut self) {
        let is_on_time = self.started_at.elapsed() <= self.latency_target.mul_f64(ON_TIME_FRACTION);
        self.timeliness = Some(if is_on_time { Timeliness::OnTime } else { Timeliness::Late });
    }

    /// Records that the service was at capacity, or did not respond before the deadline. Counts as a late response.
    pub fn record_overload(&mut self) {
        self.timeliness = Some(Timeliness::Late);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if let Some(limit) = self.limits.0.borrow_mut().get_mut(self.service) {
            if let Some(timeliness) = self.timeliness {
                limit.record(Instant::now(), timeliness, self.latency_target);
            }
            limit.in_flight = limit.in_flight.saturating_sub(1);
        }
    }
}
