//! Tenant quotas: decides which requests exceed their tenant's quota at this node.

use crate::interface::{Seconds, TenantId};
use crate::settings::Tenant;

/// Minimum burst size of a tenant's token bucket, in requests: at low rates, requests arrive unevenly.
const MIN_BURST_REQUESTS: f64 = 4.0;

/// The token bucket of one tenant.
#[derive(Clone, Default)]
struct TokenBucket {
    tokens: f64,
    refilled: Seconds,
    /// Requests per second, smoothed over the duration of slow start.
    rate: f64,
}

/// A token bucket for each tenant, filled at this node's share of the tenant's quota.
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Full buckets for this number of tenants.
    pub fn new(tenants: usize) -> Self {
        let full = TokenBucket { tokens: MIN_BURST_REQUESTS, ..TokenBucket::default() };
        TenantQuotas { buckets: vec![full; tenants] }
    }

    /// Multiplies the measured request rates by `remaining`.
    pub fn decay_rates(&mut self, remaining: f64) {
        for bucket in &mut self.buckets {
            bucket.rate *= remaining;
        }
    }

    /// Counts a request of `tenant` and returns whether it is over the tenant's quota. Nodes carry unequal
    /// shares of the traffic, so a node's share of every quota is the smallest share that any tenant uses of
    /// its own quota at this node, but at least `even_share`. `smoothing` is the time over which rates are
    /// measured.
    pub fn charge(
        &mut self,
        tenant: Option<TenantId>,
        tenants: &[Tenant],
        even_share: f64,
        smoothing: Seconds,
        now: Seconds,
    ) -> bool {
        let min_used_share = self.min_used_share(tenants);
        let Some(TenantId(index)) = tenant else { return false };
        let Some(bucket) = self.buckets.get_mut(index) else { return false };
        let refill_rate = tenants[index].quota * min_used_share.max(even_share);
        bucket.rate += 1.0 / smoothing;
        let refilled = bucket.tokens + refill_rate * (now - bucket.refilled);
        bucket.tokens = refilled.min(refill_rate.max(MIN_BURST_REQUESTS));
        bucket.refilled = now;
        let is_over = bucket.tokens < 1.0;
        if !is_over {
            bucket.tokens -= 1.0;
        }
        is_over
    }

    /// The smallest share of its own quota that any tenant uses at this node.
    fn min_used_share(&self, tenants: &[Tenant]) -> f64 {
        let used = |(tenant, bucket): (&Tenant, &TokenBucket)| bucket.rate / tenant.quota;
        tenants.iter().zip(&self.buckets).map(used).fold(f64::MAX, f64::min)
    }
}
