//! Leases on stored responses (Gray and Cheriton, 1989).
//!
//! A proxy serves a stored response only while it holds a lease. A process that acknowledges a purge without an
//! acknowledgement from a lease holder first waits until that holder's lease has expired.
//!
//! Leases are nested. Each voter grants every control node a lease of [`VOTER_LEASE`]. A control node that holds leases of a
//! quorum of the voters grants its sessions a part of the time that is left, and an agent does the same for its proxies. So
//! the stored responses that depend on a control node, over any number of hops, are no longer served once the voters' grants
//! to that node have expired.
//!
//! Clocks of two processes are never compared. A holder counts from the moment when it *sent* its request, and the granter
//! from the moment when it *received* it, which is later; the granter adds a margin for clocks that run at different rates.
//! A grant repeats the reading of the holder's clock from the request, so that neither side has to store requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::Millis;

/// Length of the lease that a voter grants a control node.
pub const VOTER_LEASE: Millis = 1500;
/// Interval at which control nodes renew the leases of voters.
pub const VOTER_RENEWAL: Millis = 250;
/// Longest lease that a session is granted. Sessions renew it with each ping.
pub const SESSION_LEASE: Millis = 1200;
/// Two clocks may differ by 1 % in rate: a granter waits longer by one part in so many.
const CLOCK_DRIFT_DIVISOR: Millis = 100;
/// Readings are truncated to whole milliseconds at each hop.
const CLOCK_ROUNDING_MARGIN: Millis = 10;

/// How long a granter waits until a lease of this length has expired at its holder.
pub const fn granter_wait(duration: Millis) -> Millis {
    duration + duration.div_ceil(CLOCK_DRIFT_DIVISOR) + CLOCK_ROUNDING_MARGIN
}

/// A lease at its holder, by the holder's clock. A new one has expired already.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    expires_at: Millis,
}

impl Lease {
    /// Applies the grant of a request that was sent at `sent_at`.
    pub fn renew(&mut self, now: Millis, sent_at: Millis, duration: Millis) {
        // A reading above the present one is not from this clock, and the grant is ignored.
        if sent_at <= now {
            self.expires_at = self.expires_at.max(sent_at.saturating_add(duration));
        }
    }

    /// When the lease expires.
    pub fn expires_at(&self) -> Millis {
        self.expires_at
    }

    /// Whether stored responses may be served at this moment.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.expires_at
    }
}

/// The leases that a granter may have to wait for, by its own clock.
#[derive(Debug)]
pub struct Grants<K> {
    /// When the granter may rely on the expiry of each holder's lease.
    expiries: BTreeMap<K, Millis>,
}

impl<K> Default for Grants<K> {
    fn default() -> Self {
        Grants { expiries: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> Grants<K> {
    /// Records a lease that is granted for a request received at `received_at`.
    pub fn grant(&mut self, holder: K, received_at: Millis, duration: Millis) {
        let expires_at = self.expiries.entry(holder).or_default();
        *expires_at = (*expires_at).max(received_at + granter_wait(duration));
    }

    /// Grants a part of a lease that the granter itself holds until `own_expiry`. Returns its length from the moment of the
    /// request; `None` where nothing is left to grant.
    pub fn grant_part(
        &mut self,
        now: Millis,
        holder: K,
        received_at: Millis,
        own_expiry: Millis,
    ) -> Option<Millis> {
        if now >= own_expiry {
            return None;
        }
        let expires_at = own_expiry.min(now + SESSION_LEASE);
        let duration = expires_at.checked_sub(received_at)?;
        self.grant(holder, received_at, duration);
        Some(duration)
    }

    /// Records that a holder no longer uses its lease.
    pub fn release(&mut self, holder: &K) {
        self.expiries.remove(holder);
    }

    /// When a holder's lease expires; `None` where it has none.
    pub fn expiry(&self, now: Millis, holder: &K) -> Option<Millis> {
        self.expiries.get(holder).copied().filter(|expires_at| now < *expires_at)
    }

    /// When the last lease expires among the holders that `includes` selects; `None` where none of them has a lease.
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

    /// The latest time until which this node holds leases of a quorum of the voters, itself included; `now` or earlier
    /// where it holds none. `is_quorum` says whether voters form a quorum together with this node. A node that is a quorum
    /// by itself grants itself a lease.
    pub fn quorum_expiry(&self, now: Millis, is_quorum: impl Fn(&[Ipv4Addr]) -> bool) -> Millis {
        if is_quorum(&[]) {
            return now + VOTER_LEASE;
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
