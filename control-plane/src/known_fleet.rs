//! The fleet as those below control know it: put together from what one control node after another tells. One that has not
//! heard of all only adds to what is known.

use std::collections::HashSet;

use crate::fleet::{Fleet, FleetUpdate, Gap, VersionedFleet};

/// The fleet that a process goes by, and may pass on.
#[derive(Default)]
pub struct KnownFleet {
    /// What whoever tells now has told.
    told: VersionedFleet,
    /// What this process goes by: nothing yet, or that and what is known from others.
    known: Option<VersionedFleet>,
    /// Both are the same fleet, so that a change of one is a change of the other.
    in_step: bool,
}

impl KnownFleet {
    /// The fleet to go by; `None` until something was told.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.known.as_ref().map(VersionedFleet::fleet)
    }

    /// The same, for a process that knows nothing.
    pub fn snapshot(&self) -> Option<FleetUpdate> {
        self.known.as_ref().map(VersionedFleet::snapshot)
    }

    /// Takes what is told; gives what those have to be told who know the fleet as it was.
    pub fn apply_update(&mut self, told: FleetUpdate) -> Result<Option<FleetUpdate>, Gap> {
        if let (true, FleetUpdate::Delta(change), Some(known)) = (self.in_step, &told, &mut self.known) {
            // Without putting the two together: with thousands of servers that is most of what a change costs.
            if change.is_complete() || change.removes_nothing() {
                let change = change.clone();
                self.told.apply_update(told)?;
                return Ok(Some(known.adopt(&change)));
            }
        }
        self.told.apply_update(told)?;
        let first = self.known.is_none();
        let known = self.known.get_or_insert_default();
        let next = merged(known.fleet(), self.told.fleet().clone());
        let told = known.advance_to(next);
        self.in_step = known.fleet() == self.told.fleet();
        Ok(if first { Some(known.snapshot()) } else { told })
    }
}

/// A control node that has just started has not heard of all: until it has, what is known stays.
fn merged(known: &Fleet, mut fleet: Fleet) -> Fleet {
    if !fleet.complete {
        let addrs: HashSet<_> = fleet.servers.iter().map(|server| server.addr).collect();
        let kept = known.servers.iter().filter(|server| !addrs.contains(&server.addr));
        // Sorting keeps the first of a name: what is told now.
        fleet.servers.extend(kept.cloned().collect::<Vec<_>>());
        fleet.shields.extend(known.shields.iter().cloned());
        fleet.edges.extend(&known.edges);
        fleet.sort();
    }
    fleet
}
