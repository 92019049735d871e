//! Messages between the processes of the system, encoded with `postcard` in length-prefixed frames.
//!
//! A *session* is a watch stream. It connects a proxy to its agent, an agent to a control node, or a shield to the control
//! node on its machine, all with the same messages: the publisher (the control node or agent) pushes numbered updates, and
//! the subscriber acknowledges the number of the last update that it has applied. Control nodes exchange [`PeerMessage`]s.
//!
//! `postcard` encodes variants and fields by their position: their order is part of the wire format, their names are not.

use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain;
use crate::fleet;
use crate::registry::{ObservedServer, ServerEntry};
use crate::Millis;

pub use crate::ids::CallId;
pub use crate::nodes::{Member, ProxyRole, Server};

/// Longest frame. The largest content is a configuration with its deduplication table: see
/// [`MAX_DOCUMENT_BYTES`](crate::config::MAX_DOCUMENT_BYTES).
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The first frame on each connection between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionOpening {
    /// The caller is a subscriber: a session follows.
    Session,
    /// The caller is a control node.
    Peer {
        /// Address of the caller.
        ip: Ipv4Addr,
        /// Incarnation of the caller's process.
        incarnation: u64,
        /// The other control nodes that the caller knows.
        known_peers: Vec<Ipv4Addr>,
    },
}

/// A counter of a process, as `status` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counter {
    /// Name of the counter.
    pub name: String,
    /// Its value since the process started.
    pub value: u64,
}

/// Messages from a proxy to its agent, and from an agent or a shield to a control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// Introduces the subscriber. It is the first message, and is sent again whenever its content changes.
    Hello {
        /// Name of the subscriber's machine.
        node: String,
        /// The proxy; `None` from an agent whose proxy is not connected.
        member: Option<Member>,
    },
    /// The subscriber has applied all updates up to this number.
    Applied(u64),
    /// The subscriber's counters, for `status`.
    Counters(Vec<Counter>),
    /// Requests a lease on stored responses.
    RenewLease {
        /// Reading of the subscriber's clock, which the grant repeats.
        sent_at: Millis,
    },
    /// The subscriber, and whoever holds a lease from it, no longer serves stored responses.
    LeaseReleased,
    /// Shows that the subscriber is alive.
    Ping,
}

/// Messages from a control node to an agent or a shield, and from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublisherMessage {
    /// The control nodes that an agent may connect to when it loses this one.
    ControlNodes(Vec<Ipv4Addr>),
    /// An update to apply.
    Push {
        /// Number of the update on this session. Numbers rise by one.
        number: u64,
        /// The update.
        update: Update,
    },
    /// Grants a lease on stored responses.
    LeaseGranted {
        /// The reading of the subscriber's clock from its request, at which the lease begins.
        sent_at: Millis,
        /// Length of the lease in milliseconds.
        duration: Millis,
    },
    /// The publisher is about to stop: the subscriber connects to another one now.
    Draining,
    /// Shows that the publisher is alive.
    Ping,
}

/// An update that is pushed on a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A new configuration.
    Config {
        /// Version of the document.
        rev: u64,
        /// The document.
        document: Arc<Vec<u8>>,
    },
    /// A snapshot of the fleet, or a change to it.
    Fleet(fleet::FleetUpdate),
    /// Purges that the subscriber has to apply.
    Purges(Vec<AgedPurge>),
    /// Whether the publisher is connected to control. While it is not, purges may be missed, and stored responses must not
    /// be served as up to date.
    Connected(bool),
}

/// Selects the stored responses that are removed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Purge {
    /// The stored responses of one URL.
    Object {
        /// Host of the URL.
        hostname: String,
        /// Path and query of the URL.
        path: String,
    },
    /// All stored responses with this label.
    Label(String),
    /// All stored responses. It replaces purges that were missed and are too many to be listed.
    Everything,
}

/// A purge as proxies receive it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedPurge {
    /// What is purged.
    pub purge: Purge,
    /// Lower bound of the time since the purge was accepted, in milliseconds. A stored response whose request was sent
    /// after that is newer than the purge, and stays.
    pub age_ms: u64,
}

/// A purge with its identity among control nodes: its origin, the origin's incarnation and a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PurgeRecord {
    /// Control node that accepted the purge.
    pub origin: Ipv4Addr,
    /// Incarnation of the origin's process: numbers begin anew in each.
    pub incarnation: u64,
    /// Number of the purge within that incarnation.
    pub number: u64,
    /// Time since the purge was accepted, in milliseconds. It determines when the purge is forgotten.
    pub age_ms: u64,
    /// What is purged.
    pub purge: Purge,
}

impl PurgeRecord {
    /// The purge as proxies receive it.
    pub fn aged(&self) -> AgedPurge {
        AgedPurge { purge: self.purge.clone(), age_ms: self.age_ms }
    }
}

/// A process of a control node. A process that restarts at the same address has another incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Address of the control node.
    pub ip: Ipv4Addr,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// Messages between control nodes. Each node sends on the connection that it opened; the accepting side sends nothing but
/// [`PeerMessage::KeepAlive`] on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the replicated chain.
    Chain(chain::Message),
    /// The members whose sessions are connected to the sender.
    Members(fleet::MembersUpdate),
    /// Entries of servers that the sender has observed.
    Servers(Vec<ObservedServer>),
    /// An entry whose replication the sender waits for: the receiver acknowledges once it has pushed the entry to its
    /// sessions.
    ReplicateServer {
        /// Names the request in the acknowledgement.
        id: CallId,
        /// The entry.
        entry: ServerEntry,
        /// The receiver first replicates the entry to the nodes that it reaches and the sender does not.
        forward: bool,
    },
    /// Purges to apply and remember.
    Purges {
        /// Names the request in the acknowledgement; `None` where the sender does not wait for one.
        id: Option<CallId>,
        /// The purges.
        purges: Vec<PurgeRecord>,
        /// The processes that the sender has sent the purges to itself. The receiver forwards them to those that it reaches
        /// beyond these, and to none where this is `None`.
        already_notified: Option<Vec<ProcessId>>,
    },
    /// The sender has written a purge of the receiver's to disk.
    PurgeDurable {
        /// Incarnation of the receiver's process that accepted the purge.
        incarnation: u64,
        /// Number of the purge within that incarnation.
        number: u64,
    },
    /// The sender and its sessions have applied what [`PeerMessage::ReplicateServer`] or [`PeerMessage::Purges`] asked for.
    Acknowledged {
        /// Names the request.
        id: CallId,
        /// For a purge: every other process that may still use a lease from the sender has applied it as well.
        complete: bool,
    },
    /// Requests a lease from a voter. The number of the call is a reading of the sender's clock.
    RenewLease {
        /// Names the request.
        id: CallId,
    },
    /// Grants a lease.
    LeaseGranted {
        /// Names the request.
        id: CallId,
        /// Length of the lease in milliseconds.
        duration: Millis,
    },
    /// The sender and its sessions no longer use the leases granted to it, and it requests no more.
    LeaseReleased,
    /// Shows that the accepting side of a connection is alive.
    KeepAlive,
}
