//! Data about one server: the body of its heartbeat, and the registry entry that control nodes exchange.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use crate::nodes::Server;
use crate::Millis;

/// Maximum length of an id, backend name or zone name. Names come from callers of the HTTP interface, and each entry is
/// sent to every control node and every proxy, so their length has to be bounded.
pub(super) const MAX_NAME_BYTES: usize = 128;

/// The address of a server that has none.
const NO_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

/// Status that a server reports in its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ReportedStatus {
    /// The server accepts requests.
    Ready,
    /// The server finishes its current requests and accepts no new ones.
    Draining,
    /// A status that this version does not know. It is treated as draining, so that the server gets no new requests.
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
    /// Zone of the server's machine; empty if the heartbeat does not contain it.
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
    /// Sequence number of the call, which increases with each call of the server. It detects calls that arrive out of
    /// order. 0 for a server that sends no sequence numbers.
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
    /// The server has deregistered, or its address is now used by another server. This status is final: the entry is a
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
    /// Creates the entry of a server from its heartbeat. Returns `None` if the id is empty, or the id or a name is too
    /// long.
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

    /// Creates the tombstone of a server of which only the id is known.
    pub(super) fn tombstone(id: &str) -> ServerEntry {
        ServerEntry {
            id: id.to_owned(),
            backend: String::new(),
            addr: NO_ADDRESS,
            zone: String::new(),
            capacity: 0,
            status: EntryStatus::Deregistered,
            warmup_left_ms: 0,
            call_seq: 0,
        }
    }

    pub(super) fn is_deregistered(&self) -> bool {
        self.status == EntryStatus::Deregistered
    }

    /// Whether the entries are the same to proxies. Ignores the remaining slow start, as it only decreases with time,
    /// and the sequence number, as it is not sent to proxies.
    pub(super) fn is_equivalent_for_proxies(&self, other: &ServerEntry) -> bool {
        self.backend == other.backend
            && self.addr == other.addr
            && self.zone == other.zone
            && self.capacity == other.capacity
            && self.status == other.status
    }

    /// The description of the server that is published to proxies, `age` milliseconds after its heartbeat. A deregistered
    /// server has no address: another server may use it, of which this node has received no heartbeat yet.
    pub(super) fn to_published_server(&self, age: Millis) -> Server {
        Server {
            id: self.id.clone(),
            backend: self.backend.clone(),
            addr: if self.is_deregistered() { NO_ADDRESS } else { self.addr },
            zone: self.zone.clone(),
            capacity: self.capacity,
            ready: self.status == EntryStatus::Ready,
            warmup_left_ms: self.warmup_left_ms.saturating_sub(age),
        }
    }
}

pub(super) fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && is_valid_name(id)
}

fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// An entry with its age, as control nodes exchange it. An age is sent instead of a timestamp, as the clocks of
/// different nodes are not comparable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedServer {
    /// The server's entry at the sender.
    pub entry: ServerEntry,
    /// Time since the sender received the server's heartbeat, in milliseconds.
    pub age_ms: Millis,
}

impl ObservedServer {
    /// An entry whose heartbeat the sender has just received.
    pub fn now(entry: ServerEntry) -> ObservedServer {
        ObservedServer { entry, age_ms: 0 }
    }
}
