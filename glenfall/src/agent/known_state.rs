//! The state that the agent has received from control, and the updates that it has to forward.

use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_control_plane::fleet::{FleetUpdate, VersionMismatch};
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

/// The configuration, the fleet and the control nodes, as last received from control.
#[derive(Default)]
pub(super) struct KnownState {
    config: Option<VersionedDocument>,
    fleet: KnownFleet,
    control_nodes: Vec<Ipv4Addr>,
    /// Whether control has sent all updates that may have been missed.
    is_connected: bool,
}

impl KnownState {
    /// Applies a configuration. Returns the update to forward; `None` if it is not newer than the known one.
    pub(super) fn apply_config(&mut self, rev: u64, document: Arc<Vec<u8>>) -> Option<Update> {
        if self.config.as_ref().is_some_and(|known| known.rev >= rev) {
            return None;
        }
        Some(self.config.insert(VersionedDocument { rev, document }).update())
    }

    /// Applies an update of the fleet. Returns the update to forward; `None` if nothing changes. Fails if the update builds
    /// on an unknown version.
    pub(super) fn apply_fleet(&mut self, update: FleetUpdate) -> Result<Option<Update>, VersionMismatch> {
        let change = self.fleet.apply_update(update)?;
        Ok(change.map(Update::Fleet))
    }

    pub(super) fn set_connected(&mut self, is_connected: bool) {
        self.is_connected = is_connected;
    }

    /// The control nodes that control has announced.
    pub(super) fn control_nodes(&self) -> &[Ipv4Addr] {
        &self.control_nodes
    }

    pub(super) fn set_control_nodes(&mut self, control_nodes: Vec<Ipv4Addr>) {
        self.control_nodes = control_nodes;
    }

    /// The updates for a proxy that has just connected: it knows nothing, or may have missed some.
    pub(super) fn snapshot(&self) -> Vec<Update> {
        // The purges that the proxy may have missed are not recorded, so that everything is purged.
        let mut updates = vec![Update::Purges(vec![AgedPurge { purge: Purge::Everything, age_ms: 0 }])];
        updates.extend(self.config.as_ref().map(VersionedDocument::update));
        updates.extend(self.fleet.snapshot().map(Update::Fleet));
        updates.push(Update::Connected(self.is_connected));
        updates
    }
}
