//! Registry of the origin servers that one control node knows, built from their heartbeats.
//!
//! The registry is soft state: a node that restarts rebuilds it from heartbeats. Only departures, which no heartbeat
//! repeats, are stored: see [`Registry::restore`].
//!
//! Each control node forwards the heartbeats that it receives to its peers. A server expires if no heartbeat of it has
//! arrived for `HEARTBEAT_TIMEOUT_INTERVALS` intervals; time during which this node could not accept heartbeats does not
//! count (see `acceptance`). After a downtime of a heartbeat interval or more, the registry is incomplete until this node
//! has accepted heartbeats for as long as a server takes to expire.
//!
//! Calls of a server, which are its heartbeat requests, may arrive out of order, and a peer that was stopped or
//! partitioned sends old entries. Three rules prevent such messages from reviving a server:
//!
//! - A deregistered server remains as a tombstone, which no later heartbeat of the server replaces.
//! - The sequence number of an expired server's last call is remembered, and only a later call registers it again.
//! - An address belongs to the server that was observed there last.

mod acceptance;
mod entry;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::nodes::Server;
use crate::Millis;
use acceptance::HeartbeatAcceptance;

pub use entry::{EntryStatus, HeartbeatRequest, ObservedServer, ReportedStatus, ServerEntry};

/// Heartbeat intervals without a heartbeat after which a server expires. One heartbeat may be lost, and a second one
/// delayed.
const HEARTBEAT_TIMEOUT_INTERVALS: u64 = 4;
/// Maximum number of entries, tombstones included. Heartbeats of further servers are rejected.
pub const MAX_SERVERS: usize = 4096;
/// Number of entries from which on the registry creates no tombstones for unknown ids. It reserves the other half of
/// the registry for servers, so that callers cannot fill it by deregistering arbitrary ids.
const MAX_ENTRIES_FOR_UNKNOWN_IDS: usize = MAX_SERVERS / 2;
/// How long a tombstone is retained. It has to outlast heartbeats of the server that are still in transit.
pub const TOMBSTONE_RETENTION: Millis = 60_000;

/// Effect of an observed entry on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The server is new, or differs in a field that proxies use: proxies have to be notified.
    Changed,
    /// The server is alive and otherwise unchanged: peers have to be notified, proxies need not.
    Refreshed,
    /// The entry was ignored: it is older than what the registry knows, or old enough to have expired.
    Stale,
    /// The registry has no capacity for another server.
    RegistryFull,
}

/// A server or tombstone that was removed from the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredServer {
    /// Id of the server.
    pub id: String,
    /// Name of the server's service.
    pub backend: String,
    /// Last status: [`EntryStatus::Deregistered`] for a tombstone at the end of its retention, and any other for a
    /// server whose heartbeats have stopped.
    pub status: EntryStatus,
    /// Time since the last heartbeat, or since the deregistration of a tombstone, in milliseconds.
    pub last_heartbeat_age_ms: Millis,
}

/// A server in the registry of this node.
struct RegisteredServer {
    entry: ServerEntry,
    /// Time of the last heartbeat, or of the deregistration.
    observed_at: Millis,
    /// Total downtime of this node when the last heartbeat was observed.
    downtime_when_observed: Millis,
    /// Whether every reachable control node has acknowledged the current status.
    replicated: bool,
}

impl RegisteredServer {
    fn deregister(&mut self, now: Millis) {
        self.entry.status = EntryStatus::Deregistered;
        self.observed_at = now;
        self.replicated = false;
    }

    fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.observed_at)
    }
}

/// The last call of a server that has expired.
struct LastCall {
    call_seq: u64,
    expired_at: Millis,
}

/// The servers that one control node knows.
pub struct Registry {
    heartbeat_interval: Millis,
    servers: BTreeMap<String, RegisteredServer>,
    acceptance: HeartbeatAcceptance,
    /// The last calls of expired servers, by id. Earlier calls may still be in transit, or in the registry of a node
    /// that was partitioned.
    last_calls: BTreeMap<String, LastCall>,
}

impl Registry {
    /// Creates an empty registry. Servers send a heartbeat every `heartbeat_interval` milliseconds.
    pub fn new(heartbeat_interval: Millis) -> Self {
        Registry {
            heartbeat_interval: heartbeat_interval.max(1),
            servers: BTreeMap::new(),
            acceptance: HeartbeatAcceptance::default(),
            last_calls: BTreeMap::new(),
        }
    }

    /// Records whether this node accepts heartbeats now. Must be called at short intervals: a long time between two
    /// calls means that the process was stopped, and counts as downtime.
    pub fn set_accepting(&mut self, now: Millis, accepting: bool) {
        self.acceptance.update(now, accepting, self.heartbeat_interval);
    }

    /// Whether the registry contains every live server, for a node that began to accept heartbeats at `started_at`.
    pub fn is_complete(&self, now: Millis, started_at: Millis) -> bool {
        let accepting_since = self.acceptance.accepting_since().max(started_at);
        now >= accepting_since + self.heartbeat_timeout()
    }

    /// Adds the draining and deregistered servers that were on disk when this node started. A server that still drains may
    /// have sent heartbeats that were not stored, so that it counts as observed now.
    pub fn restore(&mut self, now: Millis, departed: Vec<ObservedServer>) {
        for ObservedServer { entry, age_ms } in departed {
            let age = if entry.is_deregistered() { age_ms } else { 0 };
            self.observe(now, age, entry);
        }
    }

    // ---- Heartbeats ----

    /// Records an entry whose heartbeat this node or a peer received `age` milliseconds ago.
    pub fn observe(&mut self, now: Millis, age: Millis, entry: ServerEntry) -> HeartbeatOutcome {
        let observed_at = now.saturating_sub(age);
        if let Some(known) = self.servers.get_mut(&entry.id) {
            return update_known(known, observed_at, self.acceptance.total_downtime(), entry);
        }
        // An entry that is old enough to have expired comes from a peer that was stopped.
        if age >= self.retention(entry.status) || self.is_stale(observed_at, &entry) {
            return HeartbeatOutcome::Stale;
        }
        if self.servers.len() >= MAX_SERVERS {
            return HeartbeatOutcome::RegistryFull;
        }
        if !entry.is_deregistered() {
            self.deregister_previous_owner(now, entry.addr);
        }
        self.insert(observed_at, entry);
        HeartbeatOutcome::Changed
    }

    /// Whether the entry of a server that is not in the registry is outdated: it is no newer than the server's last
    /// known call, or older than the entry of another server at the same address. A tombstone is never stale.
    fn is_stale(&self, observed_at: Millis, entry: &ServerEntry) -> bool {
        if entry.is_deregistered() {
            return false;
        }
        // A server without sequence numbers sends 0 in each call.
        let last_call_seq = self.last_calls.get(&entry.id).map_or(0, |last| last.call_seq);
        let is_earlier_call = last_call_seq > 0 && entry.call_seq <= last_call_seq;
        let has_newer_owner = self
            .servers
            .values()
            .filter(|known| !known.entry.is_deregistered() && known.entry.addr == entry.addr)
            .any(|owner| owner.observed_at > observed_at);
        is_earlier_call || has_newer_owner
    }

    /// Deregisters the previous server at this address. As another server uses the address now, the previous one has
    /// stopped without deregistering.
    fn deregister_previous_owner(&mut self, now: Millis, addr: SocketAddrV4) {
        let at_address = self.servers.values_mut().filter(|known| known.entry.addr == addr);
        for known in at_address.filter(|known| !known.entry.is_deregistered()) {
            known.deregister(now);
        }
    }

    fn insert(&mut self, observed_at: Millis, entry: ServerEntry) {
        let downtime_when_observed = self.acceptance.total_downtime();
        let id = entry.id.clone();
        self.servers
            .insert(id, RegisteredServer { entry, observed_at, downtime_when_observed, replicated: false });
    }

    /// Whether an entry was created from a later call of its server than the known one. Such an entry has to be
    /// forwarded to the peers that its sender cannot reach. An entry that arrives over two paths is newer only once.
    pub fn is_newer(&self, entry: &ServerEntry) -> bool {
        self.entry(&entry.id).is_none_or(|known| entry.call_seq > known.call_seq)
    }

    /// Deregisters a server and returns its tombstone. An unknown server also gets a tombstone, as it may be in the
    /// registry of a node that is partitioned. Returns `None` if there is no capacity for that, or if the id is
    /// invalid.
    pub fn deregister(&mut self, now: Millis, id: &str) -> Option<ServerEntry> {
        if !self.servers.contains_key(id) {
            if self.servers.len() >= MAX_ENTRIES_FOR_UNKNOWN_IDS || !entry::is_valid_id(id) {
                return None;
            }
            self.insert(now, ServerEntry::tombstone(id));
        }
        let known = self.servers.get_mut(id)?;
        if !known.entry.is_deregistered() {
            known.deregister(now);
        }
        Some(known.entry.clone())
    }

    // ---- Replication to the other control nodes ----

    /// Whether every reachable control node has acknowledged the current status of a server.
    pub fn is_replicated(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|known| known.replicated)
    }

    /// Records that every reachable control node has acknowledged `status`. Has no effect if the status of the server
    /// has changed since.
    pub fn mark_replicated(&mut self, id: &str, status: EntryStatus) {
        if let Some(known) = self.servers.get_mut(id).filter(|known| known.entry.status == status) {
            known.replicated = true;
        }
    }

    // ---- Expiry ----

    /// Removes servers whose heartbeats have stopped, and tombstones at the end of their retention. Returns what was
    /// removed; if that is not empty, proxies have to be notified.
    pub fn expire(&mut self, now: Millis) -> Vec<ExpiredServer> {
        let expired_ids: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, known)| self.is_expired(now, known))
            .map(|(id, _)| id.clone())
            .collect();
        self.last_calls.retain(|_, last| now < last.expired_at + TOMBSTONE_RETENTION);
        expired_ids.into_iter().filter_map(|id| self.remove_expired(now, id)).collect()
    }

    fn is_expired(&self, now: Millis, known: &RegisteredServer) -> bool {
        // Downtime does not extend the retention of a tombstone, as no heartbeat is expected for it.
        let downtime_since_observed = if known.entry.is_deregistered() {
            0
        } else {
            self.acceptance.total_downtime() - known.downtime_when_observed
        };
        now >= known.observed_at + downtime_since_observed + self.retention(known.entry.status)
    }

    fn remove_expired(&mut self, now: Millis, id: String) -> Option<ExpiredServer> {
        let known = self.servers.remove(&id)?;
        if self.last_calls.len() < MAX_SERVERS {
            let last_call = LastCall { call_seq: known.entry.call_seq, expired_at: now };
            self.last_calls.insert(id.clone(), last_call);
        }
        let last_heartbeat_age_ms = known.age(now);
        let ServerEntry { backend, status, .. } = known.entry;
        Some(ExpiredServer { id, backend, status, last_heartbeat_age_ms })
    }

    /// How long an entry is retained after it was observed.
    fn retention(&self, status: EntryStatus) -> Millis {
        match status {
            EntryStatus::Deregistered => TOMBSTONE_RETENTION,
            EntryStatus::Ready | EntryStatus::Draining => self.heartbeat_timeout(),
        }
    }

    /// Time without a heartbeat after which a server expires.
    fn heartbeat_timeout(&self) -> Millis {
        self.heartbeat_interval * HEARTBEAT_TIMEOUT_INTERVALS
    }

    // ---- Queries ----

    /// The entry of a server, which may be a tombstone; `None` if the id is unknown.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id).map(|known| &known.entry)
    }

    /// Whether a server has a tombstone: it has deregistered, or its address is now used by another server.
    pub fn is_deregistered(&self, id: &str) -> bool {
        self.entry(id).is_some_and(ServerEntry::is_deregistered)
    }

    /// The servers in the form that is published to proxies, sorted by id. `include_tombstones` adds the deregistered
    /// ones, as servers that are not ready. An incomplete list needs them: its receiver retains known servers that are
    /// not in the list, and would retain deregistered ones as ready.
    pub fn servers(&self, now: Millis, include_tombstones: bool) -> Vec<Server> {
        let listed =
            self.servers.values().filter(|known| include_tombstones || !known.entry.is_deregistered());
        listed.map(|known| known.entry.to_published_server(known.age(now))).collect()
    }

    /// All entries with their ages, for a peer that has just connected.
    pub fn snapshot(&self, now: Millis) -> Vec<ObservedServer> {
        let observed =
            |known: &RegisteredServer| ObservedServer { entry: known.entry.clone(), age_ms: known.age(now) };
        self.servers.values().map(observed).collect()
    }
}

/// Applies an entry to the known server with the same id. Deregistration is final, and an earlier call does not replace
/// a later one: a heartbeat that was sent before a drain does not undo the drain.
fn update_known(
    known: &mut RegisteredServer,
    observed_at: Millis,
    total_downtime: Millis,
    entry: ServerEntry,
) -> HeartbeatOutcome {
    let is_stale = known.entry.is_deregistered() || entry.call_seq < known.entry.call_seq;
    if is_stale && !entry.is_deregistered() {
        return HeartbeatOutcome::Stale;
    }
    let unchanged = known.entry.is_equivalent_for_proxies(&entry);
    if known.entry.status != entry.status {
        known.replicated = false;
    }
    if observed_at >= known.observed_at {
        known.observed_at = observed_at;
        known.downtime_when_observed = total_downtime;
    }
    known.entry = entry;
    if unchanged {
        HeartbeatOutcome::Refreshed
    } else {
        HeartbeatOutcome::Changed
    }
}
