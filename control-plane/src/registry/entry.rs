//! What is known of one server: the body of its heartbeat, and the entry that control nodes exchange.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use crate::nodes::Server;
use crate::Millis;

/// Longest id, backend name or zone name that is accepted. Names come from callers of the HTTP interface, and each entry is
/// sent to every control node and every proxy, so that their length has to be bounded.
pub(super) const MAX_NAME_BYTES: usize = 128;

/// Status that a server reports in its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ReportedStatus {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// This version does not know the status. The server is treated as draining, so that it gets no new requests.
    #[serde(other)]
    Unknown,
}

/// JSON body of a heartbeat.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HeartbeatRequest {
    /// Name of the server's service.
    pub backend: String,
    /// Address where the server accepts requests.
    pub addr: SocketAddrV4,
    /// Zone of the server's machine; empty where the server does not say.
    #[serde(default)]
    pub zone: String,
    /// Version of the server's software. The registry does not store it.
    #[serde(default)]
    pub rev: String,
    /// Number of requests that the server processes concurrently.
    #[serde(default)]
    pub capacity: u32,
    /// Status of the server.
    pub status: ReportedStatus,
    /// Remaining time of the server's slow start, in milliseconds.
    #[serde(default)]
    pub warmup_left_ms: u64,
    /// Sequence number of the call, rising with each call of the server. It orders calls that overtake each other.
    #[serde(default)]
    pub call_seq: u64,
}

/// Status of a server in the registry. The order of the variants is part of the wire format between control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EntryStatus {
    /// The server accepts requests.
    Ready,
    /// The server accepts no new requests.
    Draining,
    /// The server has deregistered, or another server has taken over its address. This status is final: the entry is a
    /// tombstone.
    Deregistered,
}

/// Entry of a server in the registry, as control nodes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of the server, unique among all servers.
    pub id: String,
    /// Name of the server's service.
    pub backend: String,
    /// Address where the server accepts requests.
    pub addr: SocketAddrV4,
    /// Zone of the server's machine.
    pub zone: String,
    /// Number of requests that the server processes concurrently.
    pub capacity: u32,
    /// Status of the server.
    pub status: EntryStatus,
    /// Remaining time of the server's slow start when it sent the heartbeat, in milliseconds.
    pub warmup_left_ms: u64,
    /// Sequence number of the server's call that this entry was made from.
    pub call_seq: u64,
}

impl ServerEntry {
    /// Makes the entry of a server from its heartbeat. Returns `None` where the id is empty or a name is too long.
    pub fn from_heartbeat(id: &str, heartbeat: HeartbeatRequest) -> Option<ServerEntry> {
        if !is_valid_id(id) || !is_valid_name(&heartbeat.backend) || !is_valid_name(&heartbeat.zone) {
            return None;
        }
        let status = match heartbeat.status {
            ReportedStatus::Ready => EntryStatus::Ready,
            ReportedStatus::Draining | ReportedStatus::Unknown => EntryStatus::Draining,
        };
        Some(ServerEntry {
            id: id.to_owned(),
            backend: heartbeat.backend,
            addr: heartbeat.addr,
            zone: heartbeat.zone,
            capacity: heartbeat.capacity,
            status,
            warmup_left_ms: heartbeat.warmup_left_ms,
            call_seq: heartbeat.call_seq,
        })
    }

    /// Makes the tombstone of a server of which nothing but its id is known.
    pub(super) fn tombstone(id: &str) -> ServerEntry {
        ServerEntry {
            id: id.to_owned(),
            backend: String::new(),
            addr: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            capacity: 0,
            status: EntryStatus::Deregistered,
            warmup_left_ms: 0,
            call_seq: 0,
        }
    }

    /// Whether this entry is a tombstone.
    pub(super) fn is_deregistered(&self) -> bool {
        self.status == EntryStatus::Deregistered
    }

    /// Whether proxies see the same server in both entries. The remaining slow start is left out, as it changes with time
    /// alone, and so is the sequence number, which proxies do not know.
    pub(super) fn looks_same_to_proxies(&self, other: &ServerEntry) -> bool {
        self.backend == other.backend
            && self.addr == other.addr
            && self.zone == other.zone
            && self.capacity == other.capacity
            && self.status == other.status
    }

    /// The server as proxies see it, `age` after its heartbeat.
    pub(super) fn for_proxies(&self, age: Millis) -> Server {
        Server {
            id: self.id.clone(),
            backend: self.backend.clone(),
            addr: self.addr,
            zone: self.zone.clone(),
            capacity: self.capacity,
            ready: self.status == EntryStatus::Ready,
            warmup_left_ms: self.warmup_left_ms.saturating_sub(age),
        }
    }
}

/// Whether a server may have this id.
pub(super) fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && is_valid_name(id)
}

fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// An entry with its age, as control nodes send it to each other. An age is sent instead of a time, as the clocks of two
/// nodes are not compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedServer {
    /// Entry of the server.
    pub entry: ServerEntry,
    /// Time since the sender received the server's heartbeat, in milliseconds.
    pub age_ms: Millis,
}

impl ObservedServer {
    /// An entry that the sender observes now.
    pub fn now(entry: ServerEntry) -> ObservedServer {
        ObservedServer { entry, age_ms: 0 }
    }
}
