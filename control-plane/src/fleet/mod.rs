//! The fleet, which is the list of servers, shields and edges that control publishes to proxies.
//!
//! A session starts with a snapshot and goes on with differences, so that an update costs as much as has changed, whatever
//! the size of the fleet. Each publisher numbers the versions of its fleet, and a receiver rejects a difference that does
//! not build on the version that it has.

mod list_delta;
mod members_update;

use glenfall_balancer::mix;
use serde::{Deserialize, Serialize};

use crate::nodes::{Member, Server};
use list_delta::ListDelta;

pub use members_update::MembersUpdate;

/// All servers, shields and edges, each list sorted by the keys of its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The publisher knows every live server and proxy, so that whatever the lists lack is gone. A receiver of an
    /// incomplete fleet retains what it knew before.
    pub complete: bool,
    /// The origin servers, by id.
    pub servers: Vec<Server>,
    /// The shields, by the names of their machines.
    pub shields: Vec<Member>,
    /// Hashes of the edges, see [`edge_hash`].
    pub edges: Vec<u64>,
    /// Number of core machines that should be running: the voters of control, each with a shield on its machine.
    pub cores: u32,
}

/// Hash of an edge, which identifies it among all edges, from the name of its machine.
pub fn edge_hash(node: &str) -> u64 {
    node.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

impl Fleet {
    /// Number of servers, shields and edges together.
    pub fn entries(&self) -> usize {
        self.servers.len() + self.shields.len() + self.edges.len()
    }

    /// Sorts lists that were concatenated, and retains the first entry of each key.
    pub fn sort(&mut self) {
        self.servers.sort_by(|a, b| a.id.cmp(&b.id));
        self.servers.dedup_by(|a, b| a.id == b.id);
        self.shields.sort_by(|a, b| a.node.cmp(&b.node));
        self.shields.dedup_by(|a, b| a.node == b.node);
        self.edges.sort_unstable();
        self.edges.dedup();
    }
}

/// The difference between two versions of a fleet.
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
    /// Whether it only inserts or replaces entries.
    pub fn removes_nothing(&self) -> bool {
        self.servers.removes_nothing() && self.shields.removes_nothing() && self.edges.removes_nothing()
    }

    /// Whether the new version is complete: see [`Fleet::complete`].
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether all lists stay as they are.
    fn changes_no_list(&self) -> bool {
        self.servers.is_empty() && self.shields.is_empty() && self.edges.is_empty()
    }
}

/// An update of the fleet, as a publisher sends it on a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetUpdate {
    /// The complete fleet.
    Snapshot {
        /// Version of the fleet at the publisher.
        version: u64,
        /// The fleet.
        fleet: Fleet,
    },
    /// The difference from the version before.
    Delta(FleetDelta),
}

/// A difference does not build on the version that the receiver has: the receiver has missed an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fleet update builds on version {base_version}, but the local version is {local_version}")]
pub struct Gap {
    /// The version that the difference builds on.
    pub base_version: u64,
    /// The version that the receiver has.
    pub local_version: u64,
}

/// A fleet with its version, which is the number of changes so far at its publisher.
#[derive(Clone, Debug, Default)]
pub struct VersionedFleet {
    version: u64,
    fleet: Fleet,
}

impl VersionedFleet {
    /// The fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The update for a receiver that has no version yet.
    pub fn snapshot(&self) -> FleetUpdate {
        FleetUpdate::Snapshot { version: self.version, fleet: self.fleet.clone() }
    }

    /// Replaces the fleet by `next`, and returns the update for receivers of the present version; `None` where they need
    /// none. The remaining slow start of a server changes with time alone: it is sent when the server is new or changes
    /// otherwise.
    pub fn advance_to(&mut self, next: Fleet) -> Option<FleetUpdate> {
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
        let same_flags = current.complete == next.complete && current.cores == next.cores;
        if same_flags && delta.changes_no_list() {
            return None;
        }
        self.version = delta.version;
        self.fleet = next;
        Some(FleetUpdate::Delta(delta))
    }

    /// Applies a difference from another publisher whose fleet is the same as this one, though its versions differ.
    /// Returns the update for receivers of the present version.
    pub fn adopt(&mut self, delta: &FleetDelta) -> FleetUpdate {
        let renumbered =
            FleetDelta { base_version: self.version, version: self.version + 1, ..delta.clone() };
        self.apply(&renumbered);
        FleetUpdate::Delta(renumbered)
    }

    /// Applies an update at its receiver.
    ///
    /// # Errors
    ///
    /// A difference that builds on another version is rejected, and the fleet stays as it is.
    pub fn apply_update(&mut self, update: FleetUpdate) -> Result<(), Gap> {
        match update {
            FleetUpdate::Snapshot { version, fleet } => {
                self.version = version;
                self.fleet = fleet;
            }
            FleetUpdate::Delta(delta) => {
                if delta.base_version != self.version {
                    return Err(Gap { base_version: delta.base_version, local_version: self.version });
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
