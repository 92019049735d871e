//! Leases on copies. Whoever serves from copies holds a lease, and whoever acknowledges a purge without having heard from
//! a holder first waits until that holder's lease has run out.
//!
//! Leases are nested. Each voter grants every control node [`VOTER_LEASE`]; a control node that holds leases of a quorum
//! of the voters grants its sessions a part of what is left; an agent grants its proxies a part of what is left of its
//! own. So the copies that depend on a control node, over however many hops, are unused once the voters' grants to that
//! node have run out.
//!
//! No clock is compared with another. A holder counts from the moment when it *sent* its request, the granter from the
//! moment when it *received* it, which is later; the granter adds `CLOCK_RATE_SHARE` for clocks that run at different
//! rates. A grant names the request by the holder's own clock reading, so that neither side remembers requests.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::Millis;

/// What a voter grants a control node.
pub const VOTER_LEASE: Millis = 1500;
/// How often control nodes ask voters for it.
pub const VOTER_RENEWAL: Millis = 250;
/// Longest lease that a session is granted; sessions ask with each ping.
pub const SESSION_LEASE: Millis = 1200;
/// A granter waits longer by one part in so many: two clocks may differ by 1 % in rate.
const CLOCK_RATE_SHARE: Millis = 100;
/// Readings are cut to whole milliseconds at each hop.
const ROUNDING: Millis = 10;

/// How long a granter waits for a lease of this length to be over at its holder.
pub const fn granter_wait(lasts: Millis) -> Millis {
    lasts + lasts.div_ceil(CLOCK_RATE_SHARE) + ROUNDING
}

/// A lease at its holder, none at first, by the holder's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    until: Millis,
}

impl Lease {
    /// Takes a grant of a request that was sent at `sent`.
    pub fn renew(&mut self, now: Millis, sent: Millis, lasts: Millis) {
        // A later reading than the present one is none of this clock.
        if sent <= now {
            self.until = self.until.max(sent.saturating_add(lasts));
        }
    }

    /// When it is over.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Whether copies may be served: the answer holds for this moment only.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }
}

/// The leases that a granter may have to wait for, by its own clock.
#[derive(Debug)]
pub struct Grants<K> {
    until: BTreeMap<K, Millis>,
}

impl<K> Default for Grants<K> {
    fn default() -> Self {
        Grants { until: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> Grants<K> {
    /// Notes a lease that was granted upon a request received at `received`.
    pub fn grant(&mut self, holder: K, received: Millis, lasts: Millis) {
        let until = self.until.entry(holder).or_default();
        *until = (*until).max(received + granter_wait(lasts));
    }

    /// Grants a part of a lease that the granter itself holds until `until`; gives how long it lasts from the moment of
    /// the request, or nothing where none is left.
    pub fn grant_part(&mut self, now: Millis, holder: K, received: Millis, until: Millis) -> Option<Millis> {
        let until = until.min(now + SESSION_LEASE);
        let lasts = until.checked_sub(received).filter(|_| now < until)?;
        self.grant(holder, received, lasts);
        Some(lasts)
    }

    /// The holder has said, or shown, that it uses its lease no more.
    pub fn release(&mut self, holder: &K) {
        self.until.remove(holder);
    }

    /// When a holder's lease is over; `None` where it has none.
    pub fn ends(&self, now: Millis, holder: &K) -> Option<Millis> {
        self.until.get(holder).copied().filter(|until| now < *until)
    }

    /// When the last lease is over among the holders that `counts` names; `None` where none of them has one.
    pub fn last_end(&self, now: Millis, counts: impl Fn(&K) -> bool) -> Option<Millis> {
        let standing = self.until.iter().filter(|(holder, until)| now < **until && counts(holder));
        standing.map(|(_, until)| *until).max()
    }

    /// Whose leases are not over.
    pub fn holders(&self, now: Millis) -> impl Iterator<Item = K> + '_ {
        self.until.iter().filter(move |(_, until)| now < **until).map(|(holder, _)| *holder)
    }

    /// Forgets leases that are over.
    pub fn forget_ended(&mut self, now: Millis) {
        self.until.retain(|_, until| now < *until);
    }
}

/// The leases that a control node holds from voters, by its own clock.
#[derive(Debug, Default)]
pub struct VoterLeases {
    held: BTreeMap<Ipv4Addr, Lease>,
}

impl VoterLeases {
    /// Takes a voter's grant.
    pub fn renew(&mut self, now: Millis, voter: Ipv4Addr, sent: Millis, lasts: Millis) {
        self.held.entry(voter).or_default().renew(now, sent, lasts);
    }

    /// Until when voters that are a quorum together with this node have granted it a lease; `now` or before where they
    /// have not. A node that is a quorum by itself grants itself.
    pub fn until(&self, now: Millis, is_quorum: impl Fn(&[Ipv4Addr]) -> bool) -> Millis {
        if is_quorum(&[]) {
            return now + VOTER_LEASE;
        }
        let mut by_end: Vec<(Millis, Ipv4Addr)> =
            self.held.iter().map(|(voter, lease)| (lease.until, *voter)).collect();
        by_end.sort_unstable_by(|a, b| b.cmp(a));
        let voters: Vec<Ipv4Addr> = by_end.iter().map(|(_, voter)| *voter).collect();
        let quorum = (1..=voters.len()).find(|count| is_quorum(&voters[..*count]));
        quorum.map_or(0, |count| by_end[count - 1].0)
    }
}
