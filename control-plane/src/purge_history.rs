//! History of the purges at a control node, from which a session that reconnects receives the purges that it missed.

use std::collections::{HashSet, VecDeque};
use std::net::Ipv4Addr;

use crate::messages::{AgedPurge, Purge, PurgeRecord, MAX_FRAME_BYTES};
use crate::Millis;

/// How long purges are retained. No route stores responses for longer without revalidation, and a process that was
/// disconnected for longer starts with an empty cache.
pub const PURGE_RETENTION: Millis = 120_000;
/// Maximum number of retained purges. After an overflow, a session that connects has to purge everything.
pub const MAX_PURGES: usize = 4096;
/// Maximum total size of the hosts, paths and labels of all retained purges, in bytes. The history is sent to a peer in
/// one frame; the other half of the frame is for the remaining fields.
pub const MAX_PURGE_BYTES: usize = MAX_FRAME_BYTES / 2;

/// Identifies a purge across all control nodes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct PurgeId {
    origin: Ipv4Addr,
    incarnation: u64,
    number: u64,
}

struct RetainedPurge {
    id: PurgeId,
    accepted_at: Millis,
    purge: Purge,
}

impl RetainedPurge {
    fn record(&self, now: Millis) -> PurgeRecord {
        PurgeRecord {
            origin: self.id.origin,
            incarnation: self.id.incarnation,
            number: self.id.number,
            age_ms: now.saturating_sub(self.accepted_at),
            purge: self.purge.clone(),
        }
    }
}

/// The purges of the last [`PURGE_RETENTION`], in the order in which this node received them.
#[derive(Default)]
pub struct PurgeHistory {
    purges: VecDeque<RetainedPurge>,
    ids: HashSet<PurgeId>,
    /// Sum of [`Purge::text_bytes`] over all retained purges.
    bytes: usize,
    /// When a purge was last evicted before the end of its retention; `None` if that has never happened. Reset by the
    /// first [`add`](Self::add) after [`PURGE_RETENTION`].
    overflowed_at: Option<Millis>,
}

impl PurgeHistory {
    /// Adds purges, and returns those that are not in the history yet.
    pub fn add(&mut self, now: Millis, purges: Vec<PurgeRecord>) -> Vec<PurgeRecord> {
        let mut new = Vec::new();
        for record in purges {
            let id =
                PurgeId { origin: record.origin, incarnation: record.incarnation, number: record.number };
            if self.ids.insert(id) {
                new.push(record.clone());
                let accepted_at = now.saturating_sub(record.age_ms);
                self.bytes += record.purge.text_bytes();
                self.purges.push_back(RetainedPurge { id, accepted_at, purge: record.purge });
            }
        }
        self.evict(now);
        new
    }

    /// Removes the oldest purges while the history exceeds a limit, and those at the end of their retention.
    fn evict(&mut self, now: Millis) {
        while self.purges.len() > MAX_PURGES || self.bytes > MAX_PURGE_BYTES {
            self.overflowed_at = Some(now);
            self.remove_oldest();
        }
        while self.purges.front().is_some_and(|oldest| now >= oldest.accepted_at + PURGE_RETENTION) {
            self.remove_oldest();
        }
        if self.overflowed_at.is_some_and(|at| now >= at + PURGE_RETENTION) {
            self.overflowed_at = None;
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.purges.pop_front() {
            self.ids.remove(&oldest.id);
            self.bytes -= oldest.purge.text_bytes();
        }
    }

    /// All retained purges, oldest first, to be sent to a peer.
    pub fn snapshot(&self, now: Millis) -> Vec<PurgeRecord> {
        self.purges.iter().map(|retained| retained.record(now)).collect()
    }

    /// The purges that a session has to apply after it has connected.
    pub fn purges_for_new_session(&self, now: Millis) -> Vec<AgedPurge> {
        if self.overflowed_at.is_some() {
            return vec![AgedPurge { purge: Purge::Everything, age_ms: 0 }];
        }
        self.snapshot(now).iter().map(PurgeRecord::aged).collect()
    }
}
