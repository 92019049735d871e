//! The edges of a run, as clients see them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// An edge.
pub struct Edge {
    /// Its address.
    pub address: SocketAddrV4,
    /// The number of its machine.
    pub machine: u8,
    /// How often its process was ended or started.
    restarts: Cell<u64>,
    /// The versions that it has shown to know since the last restart.
    known_versions: RefCell<BTreeSet<u64>>,
}

impl Edge {
    /// Creates an edge that has shown to know no version.
    pub fn new(address: SocketAddrV4, machine: u8) -> Self {
        Edge { address, machine, restarts: Cell::new(0), known_versions: RefCell::default() }
    }

    /// Notes that its process ends or starts: it may go back to an older version.
    pub fn restarts(&self) {
        self.restarts.set(self.restarts.get() + 1);
        self.known_versions.borrow_mut().clear();
    }

    /// Returns how often its process was ended or started.
    pub fn restart_count(&self) -> u64 {
        self.restarts.get()
    }

    /// Notes that it has shown to know a version.
    pub fn knows(&self, rev: u64) {
        self.known_versions.borrow_mut().insert(rev);
    }

    /// Whether it has shown to know a version since the last restart.
    pub fn has_known(&self, rev: u64) -> bool {
        self.known_versions.borrow().contains(&rev)
    }
}
