//! Messages between the processes of the system, encoded with `postcard` in length-prefixed frames.
//!
//! A *session* is a watch stream. It connects a proxy to its agent, an agent to a control node, or a shield to the
//! control node on its machine, all with the same messages. The publisher (the control node or agent) pushes numbered
//! updates, and the subscriber acknowledges the highest number up to which it has applied them. Control nodes exchange
//! [`PeerMessage`]s.
//!
//! `postcard` encodes variants and fields by their position: their order is part of the wire format, their names are
//! not.

use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain;
use crate::fleet;
use crate::registry::{ObservedServer, ServerEntry};
use crate::Millis;

pub use crate::ids::CallId;
pub use crate::nodes::{Member, ProxyRole, Server};

/// Maximum length of a frame. The largest message carries a configuration with its deduplication table: see
/// [`MAX_DOCUMENT_BYTES`](crate::config::MAX_DOCUMENT_BYTES).
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The first frame on each connection between processes, sent by the process that opened the connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionOpening {
    /// The connecting process is a subscriber: a session follows.
    Session,
    /// The connecting process is a control node.
    Peer {
        /// Address of the connecting process.
        ip: Ipv4Addr,
        /// Incarnation of the connecting process.
        incarnation: u64,
        /// The other control nodes that the connecting process knows.
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
    /// Identifies the subscriber. It is the first message of a session, and is sent again whenever its content changes.
    Hello {
        /// Name of the subscriber's machine.
        node: String,
        /// The proxy; `None` from an agent whose proxy is not connected.
        member: Option<Member>,
    },
    /// The subscriber has applied all updates up to this number. It is sent after each update.
    Applied(u64),
    /// The subscriber's counters, for `status`. They are sent at regular intervals.
    Counters(Vec<Counter>),
    /// Requests a lease on stored responses, or its renewal. It is sent at regular intervals.
    RenewLease {
        /// Reading of the subscriber's clock, which the grant echoes.
        sent_at: Millis,
    },
    /// Sent by an agent at the end of its session with a control node: the agent gives up its lease, and no process
    /// that held a lease from the agent serves stored responses any more.
    LeaseReleased,
    /// Shows that the subscriber is alive. Subscribers do not send it at present, as
    /// [`RenewLease`](SubscriberMessage::RenewLease) shows the same.
    Ping,
}

/// Messages from a control node to an agent or a shield, and from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublisherMessage {
    /// The control nodes that an agent may connect to when its connection to this one is lost. A control node sends
    /// them when a session begins and when another control node connects.
    ControlNodes(Vec<Ipv4Addr>),
    /// An update to apply. The state of the publisher is pushed when a session begins, and then each change to it.
    Push {
        /// Number of the update on this session, one higher than that of the update before it.
        number: u64,
        /// What the subscriber applies before it acknowledges the number.
        update: Update,
    },
    /// Grants the lease on stored responses that a [`SubscriberMessage::RenewLease`] requested.
    LeaseGranted {
        /// The reading of the subscriber's clock from its request, at which the lease begins.
        sent_at: Millis,
        /// Duration of the lease in milliseconds.
        duration: Millis,
    },
    /// Sent by a control node that begins to shut down: the subscriber has to end the session and open a new one.
    Draining,
    /// Shows that the publisher is alive. It is sent at regular intervals, unless a lease has just been granted.
    Ping,
}

/// An update that is pushed on a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The newest configuration.
    Config {
        /// Version of the document.
        rev: u64,
        /// JSON text of the document.
        document: Arc<Vec<u8>>,
    },
    /// A snapshot of the fleet, or a change to it.
    Fleet(fleet::FleetUpdate),
    /// Purges that the subscriber has to apply.
    Purges(Vec<AgedPurge>),
    /// Whether the session has received all acknowledged purges. A control node sends true once its purge history is
    /// complete. An agent passes that on to its proxy, and sends false when its connection to the control node is lost.
    /// While it is false, purges may be missed, and stored responses must not be served as fresh.
    Connected(bool),
}

/// The scope of a purge: which stored responses it removes.
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
    /// All stored responses. It replaces missed purges that are too many to be listed.
    Everything,
}

impl Purge {
    /// Total length of its host, path and label, in bytes.
    pub fn text_bytes(&self) -> usize {
        match self {
            Purge::Object { hostname, path } => hostname.len() + path.len(),
            Purge::Label(label) => label.len(),
            Purge::Everything => 0,
        }
    }
}

/// A purge as proxies receive it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedPurge {
    /// Selects the stored responses to remove.
    pub purge: Purge,
    /// Lower bound of the time since the purge was accepted, in milliseconds. A stored response whose request was sent
    /// after the purge was accepted is not removed.
    pub age_ms: u64,
}

/// A purge as control nodes exchange it. It is identified by its origin, the origin's incarnation and a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PurgeRecord {
    /// Control node that accepted the purge.
    pub origin: Ipv4Addr,
    /// Incarnation of the origin's process. The numbers restart with each incarnation.
    pub incarnation: u64,
    /// Number of the purge within that incarnation.
    pub number: u64,
    /// Time since the purge was accepted, in milliseconds. It determines when the purge is removed from the history.
    pub age_ms: u64,
    /// Selects the stored responses to remove.
    pub purge: Purge,
}

impl PurgeRecord {
    /// The purge as proxies receive it.
    pub fn aged(&self) -> AgedPurge {
        AgedPurge { purge: self.purge.clone(), age_ms: self.age_ms }
    }
}

/// A process of a control node. A restarted process at the same address has another incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Address of the control node.
    pub ip: Ipv4Addr,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// Messages between control nodes. Each node sends on the connection that it opened; the accepting side sends nothing
/// but [`PeerMessage::KeepAlive`] on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the replicated chain: see [`chain::Message`].
    Chain(chain::Message),
    /// The members whose sessions are connected to the sender: all of them to a peer that has just connected, then each
    /// change to all peers.
    Members(fleet::MembersUpdate),
    /// Registry entries, each with the time since the sender received the server's heartbeat: all of them to a peer
    /// that has just connected, then those with new heartbeats to all peers.
    Servers(Vec<ObservedServer>),
    /// The registry entry of a server that is draining or deregistered, to all peers. The sender waits for its
    /// replication: the receiver acknowledges the entry once it has pushed it to its sessions.
    ReplicateServer {
        /// Correlation id, which the acknowledgement repeats.
        id: CallId,
        /// The registry entry to replicate.
        entry: ServerEntry,
        /// Whether the receiver first replicates the entry to the nodes that it reaches and the sender does not.
        forward: bool,
    },
    /// Purges to apply and to store in the history: the sender's complete history to a peer that has just connected,
    /// then each purge that the sender accepts or forwards.
    Purges {
        /// Correlation id, which the acknowledgement repeats; `None` if the sender does not wait for one.
        id: Option<CallId>,
        /// The purges, each with its age at the sender.
        purges: Vec<PurgeRecord>,
        /// The processes to which the sender has sent the purges itself. The receiver forwards the purges to all other
        /// processes that it reaches; if this is `None`, it does not forward them.
        already_notified: Option<Vec<ProcessId>>,
    },
    /// Sent to the control node that accepted a purge: the purge is durable on the sender's disk.
    PurgeDurable {
        /// Incarnation of the receiver's process that accepted the purge.
        incarnation: u64,
        /// Number of the purge within that incarnation.
        number: u64,
    },
    /// The sender and its sessions have applied a [`PeerMessage::ReplicateServer`] or [`PeerMessage::Purges`] request.
    Acknowledged {
        /// Correlation id of the request.
        id: CallId,
        /// For a purge: whether every other process that may still use a lease from the sender has applied the purge. For
        /// a server's status: whether it is on the sender's disk.
        complete: bool,
    },
    /// Requests a lease from a voter, or its renewal. It is sent at regular intervals.
    RenewLease {
        /// Correlation id, which the grant repeats. Its number is a reading of the sender's clock.
        id: CallId,
    },
    /// A voter's answer to [`PeerMessage::RenewLease`].
    LeaseGranted {
        /// Correlation id of the request.
        id: CallId,
        /// Duration of the lease in milliseconds.
        duration: Millis,
    },
    /// Sent by a control node that shuts down, to the voters in place of [`PeerMessage::RenewLease`]: the sender and
    /// its sessions no longer use the leases granted to the sender, and it will request no more.
    LeaseReleased,
    /// Shows that the side that accepted the connection is alive. It is sent at regular intervals.
    KeepAlive,
}
