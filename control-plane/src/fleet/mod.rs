//! The fleet: the servers, shields and edges that control nodes publish to proxies.
//!
//! A session starts with a snapshot and continues with deltas, so that the size of an update depends on what has
//! changed and not on the size of the fleet. Each publisher numbers the versions of its fleet, and a receiver rejects a
//! delta whose base version differs from its own version.

mod list_delta;
mod members_update;

use glenfall_balancer::splitmix64;
use serde::{Deserialize, Serialize};

use crate::nodes::{Member, Server};
use list_delta::ListDelta;

pub use members_update::MembersUpdate;

/// All servers, shields and edges, each list sorted by the keys of its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Whether the publisher knows every live server and proxy, so that an entry that is not in the lists no longer
    /// exists. A receiver of an incomplete fleet retains the entries that it knew before.
    pub complete: bool,
    /// The origin servers, by id.
    pub servers: Vec<Server>,
    /// The shields, by the names of their machines.
    pub shields: Vec<Member>,
    /// Hashes of the edges in ascending order, see [`edge_hash`].
    pub edges: Vec<u64>,
    /// Number of core machines that should be running. Each of them runs a voter of the control plane and a shield.
    pub cores: u32,
}

/// Hash of the name of an edge's machine. It identifies the edge among all edges.
pub fn edge_hash(node: &str) -> u64 {
    node.bytes().fold(0, |hash, byte| splitmix64(hash ^ u64::from(byte)))
}

impl Fleet {
    /// Number of servers, shields and edges together.
    pub fn entries(&self) -> usize {
        self.servers.len() + self.shields.len() + self.edges.len()
    }

    /// Sorts lists that were concatenated. Of several entries with the same key, the first one is retained.
    pub fn sort(&mut self) {
        self.servers.sort_by(|a, b| a.id.cmp(&b.id));
        self.servers.dedup_by(|a, b| a.id == b.id);
        self.shields.sort_by(|a, b| a.node.cmp(&b.node));
        self.shields.dedup_by(|a, b| a.node == b.node);
        self.edges.sort_unstable();
        self.edges.dedup();
    }
}

/// The delta between two consecutive versions of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDelta {
    base_version: u64,
    version: u64,
    complete: bool,
    cores: u32,
    servers: ListDelta<Server, String>,
    shields: ListDelta<Member, String>,
    edges: ListDelta<u64, u64>,
}

impl FleetDelta {
    /// Whether the delta only inserts or replaces entries.
    pub fn removes_nothing(&self) -> bool {
        self.servers.removes_nothing() && self.shields.removes_nothing() && self.edges.removes_nothing()
    }

    /// Whether the new version is complete: see [`Fleet::complete`].
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the deltas of all lists are empty.
    fn changes_no_list(&self) -> bool {
        self.servers.is_empty() && self.shields.is_empty() && self.edges.is_empty()
    }
}

/// An update of the fleet, as a publisher sends it on a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetUpdate {
    /// The full content of the fleet, which replaces the receiver's.
    Snapshot {
        /// Version of the fleet at the publisher.
        version: u64,
        /// All entries. This may still be an incomplete fleet: see [`Fleet::complete`].
        fleet: Fleet,
    },
    /// The delta from the previous version.
    Delta(FleetDelta),
}

/// The base version of a delta is not the version that the receiver has: the receiver has missed an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fleet update builds on version {base_version}, but the local version is {local_version}")]
pub struct VersionMismatch {
    /// The version that the delta applies to.
    pub base_version: u64,
    /// The version that the receiver has.
    pub local_version: u64,
}

/// A fleet with its version, which counts the changes at its publisher.
#[derive(Clone, Debug, Default)]
pub struct VersionedFleet {
    version: u64,
    fleet: Fleet,
}

impl VersionedFleet {
    /// The current version's content.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The update for a receiver that has no version yet.
    pub fn snapshot(&self) -> FleetUpdate {
        FleetUpdate::Snapshot { version: self.version, fleet: self.fleet.clone() }
    }

    /// Replaces the fleet with `next`, and returns the update for receivers of the current version; `None` if they need
    /// none. A change of a server's remaining slow start alone causes no update, as it only decreases with time. It is
    /// sent when the server is new or another field of it changes.
    pub fn replace(&mut self, next: Fleet) -> Option<FleetUpdate> {
        let current = &self.fleet;
        let delta = FleetDelta {
            base_version: self.version,
            version: self.version + 1,
            complete: next.complete,
            cores: next.cores,
            servers: ListDelta::between(&current.servers, &next.servers),
            shields: ListDelta::between(&current.shields, &next.shields),
            edges: ListDelta::between(&current.edges, &next.edges),
        };
        let scalars_unchanged = current.complete == next.complete && current.cores == next.cores;
        if scalars_unchanged && delta.changes_no_list() {
            return None;
        }
        self.version = delta.version;
        self.fleet = next;
        Some(FleetUpdate::Delta(delta))
    }

    /// Applies a delta from another publisher, whose fleet equals this one but has other version numbers. Returns the
    /// same delta with this fleet's version numbers, for receivers of the current version.
    pub fn apply_renumbered(&mut self, delta: &FleetDelta) -> FleetUpdate {
        let renumbered =
            FleetDelta { base_version: self.version, version: self.version + 1, ..delta.clone() };
        self.apply(&renumbered);
        FleetUpdate::Delta(renumbered)
    }

    /// Applies an update from the publisher.
    ///
    /// # Errors
    ///
    /// [`VersionMismatch`] if the delta has another base version than the local one. The fleet is not changed then.
    pub fn apply_update(&mut self, update: FleetUpdate) -> Result<(), VersionMismatch> {
        match update {
            FleetUpdate::Snapshot { version, fleet } => {
                self.version = version;
                self.fleet = fleet;
            }
            FleetUpdate::Delta(delta) => {
                if delta.base_version != self.version {
                    return Err(VersionMismatch {
                        base_version: delta.base_version,
                        local_version: self.version,
                    });
                }
                self.apply(&delta);
            }
        }
        Ok(())
    }

    fn apply(&mut self, delta: &FleetDelta) {
        delta.servers.apply(&mut self.fleet.servers);
        delta.shields.apply(&mut self.fleet.shields);
        delta.edges.apply(&mut self.fleet.edges);
        self.fleet.complete = delta.complete;
        self.fleet.cores = delta.cores;
        self.version = delta.version;
    }
}
