//! The purges that a control node remembers, so that whoever was away for a while hears of all that it missed.

use std::collections::{HashSet, VecDeque};
use std::net::Ipv4Addr;

use crate::messages::{AgedPurge, Purge, PurgeRecord, MAX_FRAME_BYTES};
use crate::Millis;

/// Purges are remembered for so long: no route keeps copies longer without being asked for it, and a
/// process that was out of touch for longer begins with an empty cache.
pub const PURGE_RETENTION: Millis = 120_000;
/// Most that are remembered; past that, who comes back is told to drop everything.
pub const MAX_PURGES: usize = 4096;
/// Bytes of their names at most: all of them go to a peer in one frame, with room for what stands beside each.
pub const MAX_PURGE_BYTES: usize = MAX_FRAME_BYTES / 2;

type Name = (Ipv4Addr, u64, u64);

fn length(purge: &Purge) -> usize {
    match purge {
        Purge::Object { hostname, path } => hostname.len() + path.len(),
        Purge::Label(label) => label.len(),
        Purge::Everything => 0,
    }
}

/// The purges of the last while, in the order in which this node heard of them.
#[derive(Default)]
pub struct PurgeHistory {
    known: VecDeque<(Name, Millis, Purge)>,
    names: HashSet<Name>,
    /// Of what they name.
    bytes: usize,
    /// Some were dropped for want of room, the last at this time.
    overflowed: Option<Millis>,
}

impl PurgeHistory {
    /// Takes purges and returns those not heard of before.
    pub fn record(&mut self, now: Millis, purges: Vec<PurgeRecord>) -> Vec<PurgeRecord> {
        let mut fresh = Vec::new();
        for stamped in purges {
            let name = (stamped.origin, stamped.incarnation, stamped.number);
            if self.names.insert(name) {
                fresh.push(stamped.clone());
                self.bytes += length(&stamped.purge);
                self.known.push_back((name, now.saturating_sub(stamped.age_ms), stamped.purge));
            }
        }
        while self.known.len() > MAX_PURGES || self.bytes > MAX_PURGE_BYTES {
            self.overflowed = Some(now);
            self.forget_first();
        }
        while self.known.front().is_some_and(|(_, at, _)| now >= at + PURGE_RETENTION) {
            self.forget_first();
        }
        if self.overflowed.is_some_and(|at| now >= at + PURGE_RETENTION) {
            self.overflowed = None;
        }
        fresh
    }

    fn forget_first(&mut self) {
        if let Some((name, _, purge)) = self.known.pop_front() {
            self.names.remove(&name);
            self.bytes -= length(&purge);
        }
    }

    /// All that is remembered, for a peer.
    pub fn snapshot(&self, now: Millis) -> Vec<PurgeRecord> {
        let stamped = |((origin, life, number), at, purge): &(Name, Millis, Purge)| PurgeRecord {
            origin: *origin,
            incarnation: *life,
            number: *number,
            age_ms: now.saturating_sub(*at),
            purge: purge.clone(),
        };
        self.known.iter().map(stamped).collect()
    }

    /// What a session that has just begun has to drop.
    pub fn missed(&self, now: Millis) -> Vec<AgedPurge> {
        if self.overflowed.is_some() {
            return vec![AgedPurge { purge: Purge::Everything, age_ms: 0 }];
        }
        self.snapshot(now).iter().map(PurgeRecord::aged).collect()
    }
}
