//! Retry budget, which limits the retries that one machine may send to a service.
//!
//! The operator's limit applies to the sum over all machines: in any window, there are at most `ratio` times as many
//! retries as requests, plus `slack`. The first part needs no coordination: each machine sends at most `ratio` times
//! the requests that it counts itself. No request is counted by two machines, so the sum is within the limit.
//! The slack is divided by the number of machines, which the control plane publishes.
//!
//! An increase of a machine's share of the slack takes effect one window later, as another machine, or the previous
//! process on the same machine, may have just spent that share. A machine that is disconnected from the control plane
//! keeps its current share, and cannot learn of a larger one.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// Number of buckets that a window is divided into for counting.
const BUCKETS_PER_WINDOW: u64 = 10;
/// Share of the operator's limit that is used. The remainder allows for requests that are counted later at the receiver
/// than at the sender, and for machines that learn at different times that a machine was added or removed.
const LIMIT_UTILIZATION: f64 = 0.85;
/// Maximum number of services that are counted. Requests to further services are not retried.
pub const MAX_SERVICES: usize = 1024;

/// The operator's limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the window in milliseconds.
    pub window: Millis,
    /// Retries allowed in a window in addition to the ratio, for all machines together.
    pub slack: f64,
}

/// Requests and retries in one bucket of a window.
#[derive(Clone, Copy, Default)]
struct Bucket {
    /// Index of the bucket, counted from time 0.
    number: u64,
    requests: u32,
    retries: u32,
}

impl Bucket {
    /// Whether at least a part of the bucket is in the window that ends in the bucket `current`.
    fn overlaps_window(&self, current: u64) -> bool {
        self.number + BUCKETS_PER_WINDOW >= current
    }

    /// Whether the bucket is completely in the window that ends in the bucket `current`.
    fn is_within_window(&self, current: u64) -> bool {
        self.number + BUCKETS_PER_WINDOW > current
    }
}

/// A share of the slack that takes effect later.
#[derive(Clone, Copy)]
struct PendingShare {
    share: f64,
    effective_at: Millis,
}

/// The retry budgets of one machine, one for each service.
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// This machine's share of the slack.
    share: f64,
    /// A larger share that has not taken effect yet.
    pending_share: Option<PendingShare>,
    /// Buckets of the current window by service, the newest last.
    services: BTreeMap<String, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates a budget without a share of the slack.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        RetryBudget { settings, share: 0.0, pending_share: None, services: BTreeMap::new() }
    }

    /// Number of services that are counted; at most [`MAX_SERVICES`].
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// Sets the number of machines that share the slack. A smaller share takes effect immediately, a larger one after
    /// one window.
    pub fn set_machine_count(&mut self, now: Millis, machines: usize) {
        self.apply_pending_share(now);
        let share = self.settings.slack / machines.max(1) as f64;
        if share <= self.share {
            self.share = share;
            self.pending_share = None;
            return;
        }
        if self.pending_share.is_some_and(|pending| pending.share == share) {
            return;
        }
        // A new share below the pending one is a part of it, so it can take effect as early as the pending one.
        let larger_pending = self.pending_share.filter(|pending| share < pending.share);
        let effective_at = larger_pending.map_or(now + self.settings.window, |pending| pending.effective_at);
        self.pending_share = Some(PendingShare { share, effective_at });
    }

    fn apply_pending_share(&mut self, now: Millis) {
        if let Some(pending) = self.pending_share.take_if(|pending| pending.effective_at <= now) {
            self.share = pending.share;
        }
    }

    fn bucket_number(&self, now: Millis) -> u64 {
        let bucket_length = (self.settings.window / BUCKETS_PER_WINDOW).max(1);
        now / bucket_length
    }

    /// The buckets of a service, the last of which is the current one. `None` if too many services are counted.
    fn buckets(&mut self, now: Millis, service: &str) -> Option<&mut VecDeque<Bucket>> {
        let current = self.bucket_number(now);
        if !self.services.contains_key(service) {
            self.insert_service(current, service)?;
        }
        let buckets = self.services.get_mut(service)?;
        while buckets.front().is_some_and(|oldest| !oldest.overlaps_window(current)) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|newest| newest.number < current) {
            buckets.push_back(Bucket { number: current, ..Bucket::default() });
        }
        Some(buckets)
    }

    /// Starts to count a service. If there are too many, services without a bucket in the window are removed first.
    /// Returns `None` if there are still too many.
    fn insert_service(&mut self, current: u64, service: &str) -> Option<()> {
        if self.services.len() >= MAX_SERVICES {
            self.services
                .retain(|_, buckets| buckets.back().is_some_and(|newest| newest.overlaps_window(current)));
        }
        if self.services.len() >= MAX_SERVICES {
            return None;
        }
        self.services.insert(service.to_owned(), VecDeque::new());
        Some(())
    }

    /// Counts a request for a service that has arrived at this machine.
    pub fn record_request(&mut self, now: Millis, service: &str) {
        if let Some(bucket) = self.buckets(now, service).and_then(VecDeque::back_mut) {
            bucket.requests += 1;
        }
    }

    /// Takes one retry out of the budget of a service. Returns false if the budget is exhausted.
    pub fn try_spend(&mut self, now: Millis, service: &str) -> bool {
        self.apply_pending_share(now);
        let (ratio, share) = (self.settings.ratio, self.share);
        let current = self.bucket_number(now);
        let Some(buckets) = self.buckets(now, service) else { return false };
        // The window begins within the oldest bucket. To be safe, all retries of that bucket count, but none of its
        // requests.
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let counted = buckets.iter().filter(|bucket| bucket.is_within_window(current));
        let requests: u32 = counted.map(|bucket| bucket.requests).sum();
        let budget = (ratio * f64::from(requests) + share) * LIMIT_UTILIZATION;
        if f64::from(retries + 1) > budget {
            return false;
        }
        if let Some(bucket) = buckets.back_mut() {
            bucket.retries += 1;
        }
        true
    }
}
