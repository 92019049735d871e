//! Retry budget, which bounds the attempts that one machine may send to a service beyond the first one of each request.
//!
//! The operator's bound holds for the sum over all machines: in any window, the retries are at most `ratio` times the
//! requests, plus `slack`. The first part needs no coordination. Each machine keeps to `ratio` times the requests that it
//! counts itself, and no request is counted by two machines, so that the sum keeps to the bound. The slack is divided by
//! the number of machines, which control publishes.
//!
//! A share of the slack that grows takes effect a window later, as the machine that had it before may have just spent it;
//! that includes the previous process on the same machine. A machine that is disconnected from control goes on with the
//! share that it has, and cannot learn of a larger one.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// Buckets that a window is counted in.
const BUCKETS_PER_WINDOW: u64 = 10;
/// Share of the operator's bound that is used. The remainder is for requests that are counted where they arrive a little later
/// than where they were sent, and for machines that learn at different moments that another one has come or gone.
const BOUND_UTILIZATION: f64 = 0.85;
/// Bound of the services counted. A further one is treated as one without requests, and gets first attempts only.
pub const MAX_SERVICES: usize = 1024;

/// The operator's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Length of the window in milliseconds.
    pub window: Millis,
    /// Retries in a window beyond the ratio, for all machines together.
    pub slack: f64,
}

/// Counts of one bucket of a window.
#[derive(Clone, Copy, Default)]
struct Bucket {
    /// Number of the bucket since the start of the clock.
    number: u64,
    requests: u32,
    retries: u32,
}

impl Bucket {
    /// Whether a part of the bucket lies in the window that ends in the bucket `current`.
    fn overlaps_window(&self, current: u64) -> bool {
        self.number + BUCKETS_PER_WINDOW >= current
    }

    /// Whether all of the bucket lies in the window that ends in the bucket `current`.
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

/// The retry budget of one machine, for each service.
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// This machine's share of the slack.
    share: f64,
    /// A larger share, until it takes effect.
    pending_share: Option<PendingShare>,
    /// Buckets of the window by service, the newest last.
    services: BTreeMap<String, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates a budget without a share of the slack.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        RetryBudget { settings, share: 0.0, pending_share: None, services: BTreeMap::new() }
    }

    /// Number of services that are counted.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// Sets the number of machines that share the slack. A smaller share takes effect at once, a larger one after a window.
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
        // A share below the pending one is part of it, and so takes effect as early as that would have.
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

    /// The buckets of a service, of which the last one is the present. `None` where too many services are counted.
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

    /// Begins to count a service. Services without a bucket in the window are removed where there are too many.
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

    /// Takes one retry to a service out of the budget. Returns false where the budget is exhausted.
    pub fn try_spend(&mut self, now: Millis, service: &str) -> bool {
        self.apply_pending_share(now);
        let (ratio, share) = (self.settings.ratio, self.share);
        let current = self.bucket_number(now);
        let Some(buckets) = self.buckets(now, service) else { return false };
        // The window begins within a bucket: its retries count in full, its requests do not count.
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let counted = buckets.iter().filter(|bucket| bucket.is_within_window(current));
        let requests: u32 = counted.map(|bucket| bucket.requests).sum();
        let budget = (ratio * f64::from(requests) + share) * BOUND_UTILIZATION;
        if f64::from(retries + 1) > budget {
            return false;
        }
        if let Some(bucket) = buckets.back_mut() {
            bucket.retries += 1;
        }
        true
    }
}
