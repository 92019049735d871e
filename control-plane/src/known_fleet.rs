//! The fleet that an agent or a proxy uses, merged from the updates of successive publishers.
//!
//! A control node that has just started does not know all servers yet, and marks its fleet as incomplete. A process
//! that connects to it retains the entries that it knew before until the published fleet is complete.

use std::collections::HashSet;

use crate::fleet::{Fleet, FleetDelta, FleetUpdate, VersionMismatch, VersionedFleet};

/// The fleet that a process uses, and may publish to others.
#[derive(Default)]
pub struct KnownFleet {
    /// The fleet of the current publisher, with the publisher's version numbers.
    published: VersionedFleet,
    /// The fleet that this process uses, with its own version numbers; `None` until the first update.
    merged: Option<VersionedFleet>,
    /// Whether both fleets are equal, so that a delta of the published fleet also applies to the merged one.
    in_sync: bool,
}

impl KnownFleet {
    /// The fleet to use; `None` until the first update.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.merged.as_ref().map(VersionedFleet::fleet)
    }

    /// The update for a receiver that has no version yet; `None` until the first update.
    pub fn snapshot(&self) -> Option<FleetUpdate> {
        self.merged.as_ref().map(VersionedFleet::snapshot)
    }

    /// Applies an update from the publisher. Returns the update for receivers of the current merged fleet; `None` if
    /// they need none.
    ///
    /// # Errors
    ///
    /// [`VersionMismatch`] if the update is a delta whose base version is not the publisher's last known version.
    /// Nothing changes then.
    pub fn apply_update(&mut self, update: FleetUpdate) -> Result<Option<FleetUpdate>, VersionMismatch> {
        let direct_delta = match &update {
            FleetUpdate::Delta(delta) if self.can_apply_directly(delta) => Some(delta.clone()),
            FleetUpdate::Delta(_) | FleetUpdate::Snapshot { .. } => None,
        };
        self.published.apply_update(update)?;
        match (&mut self.merged, direct_delta) {
            (Some(merged), Some(delta)) => Ok(Some(merged.apply_renumbered(&delta))),
            _ => Ok(self.merge()),
        }
    }

    /// Whether a delta can be applied to the merged fleet directly, without merging. With thousands of servers, merging
    /// is most of the cost of an update.
    fn can_apply_directly(&self, delta: &FleetDelta) -> bool {
        self.in_sync && (delta.is_complete() || delta.removes_nothing())
    }

    fn merge(&mut self) -> Option<FleetUpdate> {
        let is_first = self.merged.is_none();
        let merged = self.merged.get_or_insert_default();
        let next = merge(merged.fleet(), self.published.fleet().clone());
        let delta = merged.replace(next);
        self.in_sync = merged.fleet() == self.published.fleet();
        if is_first {
            Some(merged.snapshot())
        } else {
            delta
        }
    }
}

/// Merges a published fleet with the known one. A complete fleet replaces the known one. An incomplete fleet is
/// extended by the known entries, except servers whose address now belongs to a published server.
fn merge(known: &Fleet, mut published: Fleet) -> Fleet {
    if published.complete {
        return published;
    }
    let published_addrs: HashSet<_> = published.servers.iter().map(|server| server.addr).collect();
    let retained = known.servers.iter().filter(|server| !published_addrs.contains(&server.addr));
    published.servers.extend(retained.cloned());
    published.shields.extend(known.shields.iter().cloned());
    published.edges.extend(&known.edges);
    // Of two entries with the same key, `sort` retains the first one, which is the published one.
    published.sort();
    published
}
