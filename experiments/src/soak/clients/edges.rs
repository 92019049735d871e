//! What clients know about the edges of a run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// An edge, its restarts, and the configuration versions it has applied.
pub struct Edge {
    /// Where the edge accepts requests.
    pub address: SocketAddrV4,
    /// Number of the machine of the edge.
    pub machine: u8,
    /// Number of times that the process was stopped or started.
    restarts: Cell<u64>,
    /// Configuration versions that probes have found applied since `restarts` last changed.
    applied_versions: RefCell<BTreeSet<u64>>,
}

impl Edge {
    /// Creates an edge for which no version has been found applied yet.
    pub fn new(address: SocketAddrV4, machine: u8) -> Self {
        Edge { address, machine, restarts: Cell::new(0), applied_versions: RefCell::default() }
    }

    /// Records that the process is stopped or started. A restarted edge may have an older version, so the applied
    /// versions are cleared.
    pub fn record_restart(&self) {
        self.restarts.set(self.restarts.get() + 1);
        self.applied_versions.borrow_mut().clear();
    }

    /// Returns how often the process was stopped or started.
    pub fn restart_count(&self) -> u64 {
        self.restarts.get()
    }

    /// Records that a probe has found a version applied.
    pub fn record_applied_version(&self, rev: u64) {
        self.applied_versions.borrow_mut().insert(rev);
    }

    /// Whether a probe has found a version applied since the last call of [`Edge::record_restart`].
    pub fn has_applied(&self, rev: u64) -> bool {
        self.applied_versions.borrow().contains(&rev)
    }
}
