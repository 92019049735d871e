//! The registry of servers at a control node.

use std::cell::RefCell;

use glenfall_control_plane::nodes::Server;
use glenfall_control_plane::registry::{
    EntryStatus, ExpiredServer, HeartbeatOutcome, ObservedServer, Registry, ServerEntry,
};
use glenfall_control_plane::Millis;

use super::clock::{Clock, PROCESS_START};

/// Limit on the log lines per check about servers that have expired.
const MAX_LOGGED_EXPIRIES: usize = 20;

/// The registry of servers, with times by the clock of this process.
///
/// Events are passed with their ages rather than their times, as the clocks of processes differ.
pub struct ServerRegistry {
    clock: Clock,
    registry: RefCell<Registry>,
}

impl ServerRegistry {
    /// Starts with the draining and deregistered servers in `departed`, which were read from the log. Servers send a
    /// heartbeat every `heartbeat_interval` milliseconds.
    pub fn new(clock: Clock, heartbeat_interval: Millis, departed: Vec<ObservedServer>) -> Self {
        let mut registry = Registry::new(heartbeat_interval);
        registry.restore(PROCESS_START, departed);
        ServerRegistry { clock, registry: RefCell::new(registry) }
    }

    /// Records whether this node accepts heartbeats. Must be called at short intervals, see
    /// [`Registry::set_accepting`].
    pub fn set_accepting(&self, accepting: bool) {
        self.registry.borrow_mut().set_accepting(self.clock.now(), accepting);
    }

    /// Whether the registry contains every live server: this node has accepted heartbeats for as long as a server stays
    /// registered after its last one.
    pub fn is_complete(&self) -> bool {
        self.registry.borrow().is_complete(self.clock.now(), PROCESS_START)
    }

    /// Records an entry that a server reported `age` milliseconds ago.
    pub fn observe(&self, age: Millis, entry: ServerEntry) -> HeartbeatOutcome {
        self.registry.borrow_mut().observe(self.clock.now(), age, entry)
    }

    /// Records the deregistration of a server. `None` if an unknown server can't be recorded: the registry is full, or
    /// the id is invalid.
    pub fn deregister(&self, id: &str) -> Option<ServerEntry> {
        self.registry.borrow_mut().deregister(self.clock.now(), id)
    }

    /// Whether an entry was reported later by its server than the entry in this registry.
    pub fn is_newer(&self, entry: &ServerEntry) -> bool {
        self.registry.borrow().is_newer(entry)
    }

    /// The entry of a server, if it is draining or deregistered.
    pub fn draining_or_deregistered(&self, id: &str) -> Option<ServerEntry> {
        let registry = self.registry.borrow();
        registry.entry(id).filter(|entry| entry.status != EntryStatus::Ready).cloned()
    }

    /// Whether a server is deregistered, or another server has taken over its address.
    pub fn is_deregistered(&self, id: &str) -> bool {
        self.registry.borrow().is_deregistered(id)
    }

    /// Whether all connected control nodes know the status of a server.
    pub fn is_replicated(&self, id: &str) -> bool {
        self.registry.borrow().is_replicated(id)
    }

    /// Records that all connected control nodes know the status in an entry, if it is still the current status.
    pub fn set_replicated(&self, entry: &ServerEntry) {
        self.registry.borrow_mut().mark_replicated(&entry.id, entry.status);
    }

    /// Removes servers whose last heartbeat is too old; returns whether there were any.
    pub fn expire(&self) -> bool {
        let expired = self.registry.borrow_mut().expire(self.clock.now());
        for server in expired.iter().take(MAX_LOGGED_EXPIRIES) {
            log_expiry(server, expired.len());
        }
        !expired.is_empty()
    }

    /// The servers as published to proxies. With `include_deregistered`, deregistered servers are listed as not ready.
    pub fn servers(&self, include_deregistered: bool) -> Vec<Server> {
        self.registry.borrow().servers(self.clock.now(), include_deregistered)
    }

    /// All entries with their ages.
    pub fn snapshot(&self) -> Vec<ObservedServer> {
        self.registry.borrow().snapshot(self.clock.now())
    }
}

/// Logs the removal of a server. `expired` is the number of servers that were removed by the same check.
fn log_expiry(server: &ExpiredServer, expired: usize) {
    if server.status == EntryStatus::Deregistered {
        tracing::info!(server = %server.id, expired, "server tombstone removed: retention period over");
        return;
    }
    tracing::warn!(
        server = %server.id,
        backend = %server.backend,
        last_heartbeat_age_ms = server.last_heartbeat_age_ms,
        expired,
        "server expired: no heartbeat within the failure-detection window"
    );
}
