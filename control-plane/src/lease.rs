//! Leases on stored responses (Gray and Cheriton, 1989).
//!
//! A proxy serves stored responses only while it holds a lease. Before a process acknowledges a purge, each lease
//! holder must have acknowledged the purge, or its lease must have expired.
//!
//! Leases are nested. Each voter grants every control node a lease of [`VOTER_LEASE_DURATION`]. A control node that
//! holds leases from a quorum of the voters grants its sessions a part of the remaining time, and an agent does the same
//! for its proxies. So the proxies below a control node, over any number of hops, serve no stored responses once the
//! voters' grants to that node have expired.
//!
//! The clocks of two processes are never compared. The holder measures the lease from the time at which it *sent* the
//! request, and the granter from the time at which it *received* the request, which is later. The granter also adds a
//! margin for clock drift. A grant echoes the holder's clock reading from the request, so that neither side has to store
//! requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::Millis;

/// Length of the lease that a voter grants a control node.
pub const VOTER_LEASE_DURATION: Millis = 1500;
/// Interval at which control nodes renew the leases of voters.
pub const VOTER_LEASE_RENEWAL_INTERVAL: Millis = 250;
/// Longest lease that is granted to a session. Subscribers renew it at every keep-alive interval.
pub const MAX_SESSION_LEASE_DURATION: Millis = 1200;
/// The rates of two clocks may differ by 1 %: a granter adds the lease duration divided by this number to its wait.
const CLOCK_DRIFT_DIVISOR: Millis = 100;
/// Margin for clock readings that are truncated to milliseconds at each hop.
const CLOCK_ROUNDING_MARGIN: Millis = 10;

/// How long after it has received a request a granter has to wait until a lease of this duration has expired at its
/// holder.
pub const fn granter_wait(duration: Millis) -> Millis {
    duration + duration.div_ceil(CLOCK_DRIFT_DIVISOR) + CLOCK_ROUNDING_MARGIN
}

/// A lease as its holder sees it, by the holder's clock. The default lease has expired.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    expires_at: Millis,
}

impl Lease {
    /// Applies the grant of a request that was sent at `sent_at`.
    pub fn renew(&mut self, now: Millis, sent_at: Millis, duration: Millis) {
        // A reading in the future is not from this clock, so the grant is ignored.
        if sent_at <= now {
            self.expires_at = self.expires_at.max(sent_at.saturating_add(duration));
        }
    }

    /// Expiry time by the holder's clock; 0 before the first grant.
    pub fn expires_at(&self) -> Millis {
        self.expires_at
    }

    /// Whether stored responses may be served at the time `now`.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.expires_at
    }
}

/// The leases that a granter has granted, by its own clock.
#[derive(Debug)]
pub struct Grants<K> {
    /// The time at which each holder's lease has certainly expired.
    expiries: BTreeMap<K, Millis>,
}

impl<K> Default for Grants<K> {
    fn default() -> Self {
        Grants { expiries: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> Grants<K> {
    /// Records a lease that is granted for a request received at `received_at`. It never shortens an earlier lease.
    pub fn grant(&mut self, holder: K, received_at: Millis, duration: Millis) {
        let expires_at = self.expiries.entry(holder).or_default();
        *expires_at = (*expires_at).max(received_at + granter_wait(duration));
    }

    /// Grants a part of a lease that the granter itself holds until `own_expiry`. Returns its duration, measured from
    /// the request; `None` if no time is left to grant.
    pub fn grant_sublease(
        &mut self,
        now: Millis,
        holder: K,
        received_at: Millis,
        own_expiry: Millis,
    ) -> Option<Millis> {
        if now >= own_expiry {
            return None;
        }
        let expires_at = own_expiry.min(now + MAX_SESSION_LEASE_DURATION);
        let duration = expires_at.checked_sub(received_at)?;
        self.grant(holder, received_at, duration);
        Some(duration)
    }

    /// Records that a holder no longer uses its lease.
    pub fn release(&mut self, holder: &K) {
        self.expiries.remove(holder);
    }

    /// When a holder's lease expires; `None` if it has no valid lease.
    pub fn expiry(&self, now: Millis, holder: &K) -> Option<Millis> {
        self.expiries.get(holder).copied().filter(|expires_at| now < *expires_at)
    }

    /// The latest expiry of the leases of the holders that `includes` selects; `None` if none of them has a valid lease.
    pub fn last_expiry(&self, now: Millis, includes: impl Fn(&K) -> bool) -> Option<Millis> {
        let valid = self.expiries.iter().filter(|(_, expires_at)| now < **expires_at);
        valid.filter(|(holder, _)| includes(holder)).map(|(_, expires_at)| *expires_at).max()
    }

    /// The holders of valid leases.
    pub fn holders(&self, now: Millis) -> impl Iterator<Item = K> + '_ {
        self.expiries.iter().filter(move |(_, expires_at)| now < **expires_at).map(|(holder, _)| *holder)
    }

    /// Removes leases that have expired.
    pub fn remove_expired(&mut self, now: Millis) {
        self.expiries.retain(|_, expires_at| now < *expires_at);
    }
}

/// The leases that a control node holds from voters, by its own clock.
#[derive(Debug, Default)]
pub struct VoterLeases {
    by_voter: BTreeMap<Ipv4Addr, Lease>,
}

impl VoterLeases {
    /// Applies a voter's grant.
    pub fn renew(&mut self, now: Millis, voter: Ipv4Addr, sent_at: Millis, duration: Millis) {
        self.by_voter.entry(voter).or_default().renew(now, sent_at, duration);
    }

    /// The latest time until which this node holds leases from a quorum of the voters, itself included; `now` or
    /// earlier if it holds too few. `is_quorum` returns whether the given voters form a quorum together with this node.
    /// A node that is a quorum by itself grants itself a lease.
    pub fn quorum_expiry(&self, now: Millis, is_quorum: impl Fn(&[Ipv4Addr]) -> bool) -> Millis {
        if is_quorum(&[]) {
            return now + VOTER_LEASE_DURATION;
        }
        let mut latest_first: Vec<(&Ipv4Addr, &Lease)> = self.by_voter.iter().collect();
        latest_first.sort_unstable_by_key(|(voter, lease)| Reverse((lease.expires_at, **voter)));
        let mut voters = Vec::new();
        for (voter, lease) in latest_first {
            voters.push(*voter);
            if is_quorum(&voters) {
                return lease.expires_at;
            }
        }
        0
    }
}
