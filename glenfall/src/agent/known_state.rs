//! What the agent knows of the system, and which updates it has to pass on.

use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_control_plane::fleet::{FleetUpdate, Gap};
use glenfall_control_plane::known_fleet::KnownFleet;
use glenfall_control_plane::messages::{AgedPurge, Purge, Update};

/// A configuration document and its version.
struct VersionedDocument {
    rev: u64,
    document: Arc<Vec<u8>>,
}

impl VersionedDocument {
    fn update(&self) -> Update {
        Update::Config { rev: self.rev, document: Arc::clone(&self.document) }
    }
}

/// What this agent has received from control.
#[derive(Default)]
pub(super) struct KnownState {
    config: Option<VersionedDocument>,
    fleet: KnownFleet,
    control_nodes: Vec<Ipv4Addr>,
    /// Whether control has sent everything that may have been missed.
    is_connected: bool,
}

impl KnownState {
    /// Takes a configuration. Returns the update to pass on, or nothing where it is not newer than the known one.
    pub(super) fn apply_config(&mut self, rev: u64, document: Arc<Vec<u8>>) -> Option<Update> {
        if self.config.as_ref().is_some_and(|known| known.rev >= rev) {
            return None;
        }
        Some(self.config.insert(VersionedDocument { rev, document }).update())
    }

    /// Takes an update of the fleet. Returns the update to pass on, or nothing where nothing changes; an error where the
    /// update builds on a version that is not known.
    pub(super) fn apply_fleet(&mut self, update: FleetUpdate) -> Result<Option<Update>, Gap> {
        let change = self.fleet.apply_update(update)?;
        Ok(change.map(Update::Fleet))
    }

    pub(super) fn set_connected(&mut self, is_connected: bool) {
        self.is_connected = is_connected;
    }

    /// The control nodes that control itself has named.
    pub(super) fn control_nodes(&self) -> &[Ipv4Addr] {
        &self.control_nodes
    }

    pub(super) fn set_control_nodes(&mut self, control_nodes: Vec<Ipv4Addr>) {
        self.control_nodes = control_nodes;
    }

    /// The updates that a proxy needs which knows nothing, or may have missed some.
    pub(super) fn snapshot(&self) -> Vec<Update> {
        // What was purged while the proxy was away is not known one by one.
        let mut updates = vec![Update::Purges(vec![AgedPurge { purge: Purge::Everything, age_ms: 0 }])];
        updates.extend(self.config.as_ref().map(VersionedDocument::update));
        updates.extend(self.fleet.snapshot().map(Update::Fleet));
        updates.push(Update::Connected(self.is_connected));
        updates
    }
}
