//! The servers that a control node knows.

use std::cell::RefCell;

use glenfall_control_plane::nodes::Server;
use glenfall_control_plane::registry::{
    EntryStatus, ExpiredServer, HeartbeatOutcome, ObservedServer, Registry, ServerEntry,
};
use glenfall_control_plane::Millis;

use super::clock::{Clock, PROCESS_START};

/// Limit on the log lines about servers that expire at the same time.
const MAX_LOGGED_EXPIRIES: usize = 20;

/// The registry of servers, by the clock of this process.
///
/// It owns the registry. Times in its parameters are ages, as clocks of different processes are not compared.
pub struct ServerRegistry {
    clock: Clock,
    registry: RefCell<Registry>,
}

impl ServerRegistry {
    /// An empty registry. Servers send a heartbeat every `heartbeat_interval` milliseconds.
    pub fn new(clock: Clock, heartbeat_interval: Millis) -> Self {
        ServerRegistry { clock, registry: RefCell::new(Registry::new(heartbeat_interval)) }
    }

    /// Notes whether this node accepts heartbeats. Must be called at short intervals, see [`Registry::set_accepting`].
    pub fn set_accepting(&self, accepting: bool) {
        self.registry.borrow_mut().set_accepting(self.clock.now(), accepting);
    }

    /// Whether this node has received a heartbeat of every server that is up.
    pub fn is_complete(&self) -> bool {
        self.registry.borrow().is_complete(self.clock.now(), PROCESS_START)
    }

    /// Records what a server reported `age` milliseconds ago.
    pub fn observe(&self, age: Millis, entry: ServerEntry) -> HeartbeatOutcome {
        self.registry.borrow_mut().observe(self.clock.now(), age, entry)
    }

    /// Records the deregistration of a server. `None` if the registry is full.
    pub fn deregister(&self, id: &str) -> Option<ServerEntry> {
        self.registry.borrow_mut().deregister(self.clock.now(), id)
    }

    /// Whether an entry is from a later call of its server than the one that is known here.
    pub fn is_newer(&self, entry: &ServerEntry) -> bool {
        self.registry.borrow().is_newer(entry)
    }

    /// The entry of a server that is draining or deregistered.
    pub fn draining_or_deregistered(&self, id: &str) -> Option<ServerEntry> {
        let registry = self.registry.borrow();
        registry.entry(id).filter(|entry| entry.status != EntryStatus::Ready).cloned()
    }

    /// Whether a server is deregistered, or has lost its address to another.
    pub fn is_deregistered(&self, id: &str) -> bool {
        self.registry.borrow().is_deregistered(id)
    }

    /// Whether all connected control nodes know the status of a server.
    pub fn is_replicated(&self, id: &str) -> bool {
        self.registry.borrow().is_replicated(id)
    }

    /// Notes that all connected control nodes know the status in an entry, if it is still the present one.
    pub fn set_replicated(&self, entry: &ServerEntry) {
        self.registry.borrow_mut().mark_replicated(&entry.id, entry.status);
    }

    /// Removes servers without a heartbeat for too long; returns whether there were any.
    pub fn expire(&self) -> bool {
        let expired = self.registry.borrow_mut().expire(self.clock.now());
        for server in expired.iter().take(MAX_LOGGED_EXPIRIES) {
            log_expiry(server, expired.len());
        }
        !expired.is_empty()
    }

    /// The servers as proxies see them; with `include_deregistered` also those that are deregistered, as not ready.
    pub fn servers(&self, include_deregistered: bool) -> Vec<Server> {
        self.registry.borrow().servers(self.clock.now(), include_deregistered)
    }

    /// All entries, each with its age.
    pub fn snapshot(&self) -> Vec<ObservedServer> {
        self.registry.borrow().snapshot(self.clock.now())
    }
}

/// Logs the removal of one server out of `expired` that were removed together.
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
