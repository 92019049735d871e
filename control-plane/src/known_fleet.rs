//! The fleet that an agent or a proxy uses, merged from what one publisher after another sends.
//!
//! A control node that has just started does not know all servers yet, and marks its fleet as incomplete. A process that
//! connects to it retains what it knew before until the fleet is complete.

use std::collections::HashSet;

use crate::fleet::{Fleet, FleetDelta, FleetUpdate, Gap, VersionedFleet};

/// The fleet that a process uses, and may publish to others.
#[derive(Default)]
pub struct KnownFleet {
    /// The fleet of the present publisher, with the publisher's versions.
    published: VersionedFleet,
    /// The fleet that this process uses, with versions of its own; `None` until the first update.
    merged: Option<VersionedFleet>,
    /// Whether both fleets are equal, so that a difference of one is a difference of the other.
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

    /// Applies an update from the publisher. Returns the update for receivers of the present merged fleet; `None` where
    /// they need none.
    ///
    /// # Errors
    ///
    /// A difference that does not build on the publisher's last version is rejected, and nothing changes.
    pub fn apply_update(&mut self, update: FleetUpdate) -> Result<Option<FleetUpdate>, Gap> {
        let adoptable = match &update {
            FleetUpdate::Delta(delta) if self.can_adopt(delta) => Some(delta.clone()),
            FleetUpdate::Delta(_) | FleetUpdate::Snapshot { .. } => None,
        };
        self.published.apply_update(update)?;
        match (&mut self.merged, adoptable) {
            (Some(merged), Some(delta)) => Ok(Some(merged.adopt(&delta))),
            _ => Ok(self.merge()),
        }
    }

    /// Whether a difference applies to the merged fleet as it is. With thousands of servers, merging is most of what an
    /// update costs.
    fn can_adopt(&self, delta: &FleetDelta) -> bool {
        self.in_sync && (delta.is_complete() || delta.removes_nothing())
    }

    fn merge(&mut self) -> Option<FleetUpdate> {
        let is_first = self.merged.is_none();
        let merged = self.merged.get_or_insert_default();
        let next = merge(merged.fleet(), self.published.fleet().clone());
        let delta = merged.advance_to(next);
        self.in_sync = merged.fleet() == self.published.fleet();
        if is_first {
            Some(merged.snapshot())
        } else {
            delta
        }
    }
}

/// The fleet that follows from a published one. Where that is incomplete, it is extended by what was known before; a known
/// server whose address has another server now is left out.
fn merge(known: &Fleet, mut published: Fleet) -> Fleet {
    if published.complete {
        return published;
    }
    let published_addrs: HashSet<_> = published.servers.iter().map(|server| server.addr).collect();
    let retained = known.servers.iter().filter(|server| !published_addrs.contains(&server.addr));
    published.servers.extend(retained.cloned());
    published.shields.extend(known.shields.iter().cloned());
    published.edges.extend(&known.edges);
    // Of two entries with the same key, sorting retains the first, which is the published one.
    published.sort();
    published
}
