//! What the system's processes say to each other, carried as `postcard` in frames with a length in front.
//!
//! A *session* runs between a proxy and its agent, between an agent and a control node, and between a shield
//! and the control node beside it, with the same messages: downwards numbered changes, upwards the count of
//! those applied. Control nodes speak as *peers*.

use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain;
use crate::fleet;
use crate::registry::ServerEntry;
use crate::Millis;

pub use crate::ids::CallId;
pub use crate::nodes::{Member, ProxyRole, Server};

/// Longest frame: a configuration of many hundred routes, and room.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// From proxy to agent and from agent to control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// First, and again whenever it changes. An agent whose proxy is away says `None`.
    Hello {
        node: String,
        member: Option<Member>,
    },
    /// All changes up to this number are applied.
    Applied(u64),
    /// Counters since the start, for `status`.
    Counters(Vec<(String, u64)>),
    /// Asks for a lease on copies; `sent` is a reading of the sender's clock, for the grant to name.
    RenewLease {
        sent_at: Millis,
    },
    /// The sender, and whoever had a lease from it, serve from copies no more.
    LeaseReleased,
    Ping,
}

/// What copies a purge ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Purge {
    Object {
        hostname: String,
        path: String,
    },
    Label(String),
    /// All copies: too many purges were missed to name them.
    Everything,
}

/// A purge as proxies hear of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedPurge {
    pub purge: Purge,
    /// How long ago it was taken, at least. Copies that were asked for later than that are not older than it.
    pub age_ms: u64,
}

/// A change pushed down a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    Config {
        rev: u64,
        document: Arc<Vec<u8>>,
    },
    Fleet(fleet::FleetUpdate),
    Purges(Vec<AgedPurge>),
    /// Whether the link to control stands: without it purges may be missed, and copies can't be vouched for.
    Connected(bool),
}

/// From control to agent and from agent to proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublisherMessage {
    /// Other control nodes, where an agent may turn to when this one is lost.
    ControlNodes(Vec<Ipv4Addr>),
    Push {
        number: u64,
        update: Update,
    },
    /// A lease on copies, from the moment that the request gave as `sent`.
    LeaseGranted {
        sent_at: Millis,
        duration: Millis,
    },
    /// The sender stops soon: turn to another now.
    Draining,
    Ping,
}

/// A process of control: a restarted one has another life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    pub ip: Ipv4Addr,
    pub incarnation: u64,
}

/// Between control nodes, each on the connection that it opened; the other side only says that it is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    Chain(chain::Message),
    /// The members whose sessions stand at the sender.
    Members(fleet::MembersUpdate),
    /// What servers have told; `age_ms` since the sender heard of each.
    Servers(Vec<(ServerEntry, u64)>),
    /// The same, and the sender waits for the word that it is pushed on; with `pass_on` also to those that the receiver
    /// reaches and the sender does not.
    ReplicateServer {
        id: CallId,
        entry: ServerEntry,
        forward: bool,
    },
    /// Purges, each with its number at its origin. The sender waits where there is an id; with `asked` it has asked these
    /// itself, and the receiver passes the purges on to those that it reaches beyond them.
    Purges {
        id: Option<CallId>,
        purges: Vec<PurgeRecord>,
        already_asked: Option<Vec<ProcessId>>,
    },
    /// A purge of the receiver's is on the sender's disk; by its number in that life.
    PurgeDurable {
        incarnation: u64,
        number: u64,
    },
    /// What `Urgent` or `Purges` asked for is done at the sender and its sessions. `complete`: of a purge, whoever else
    /// may still use a lease that the sender granted has taken it as well.
    Acknowledged {
        id: CallId,
        complete: bool,
    },
    /// Asks a voter for a lease; the number is a reading of the sender's clock.
    RenewLease {
        id: CallId,
    },
    LeaseGranted {
        id: CallId,
        duration: Millis,
    },
    /// The sender and its sessions use the leases granted to it no more, and it asks for none.
    LeaseReleased,
    /// From the side that was called.
    KeepAlive,
}

impl PurgeRecord {
    pub fn aged(&self) -> AgedPurge {
        AgedPurge { purge: self.purge.clone(), age_ms: self.age_ms }
    }
}

/// A purge with the name that it is known by at all control nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PurgeRecord {
    pub origin: Ipv4Addr,
    /// Of the origin's process, so that numbers of a restarted one do not pass for the last one's.
    pub incarnation: u64,
    pub number: u64,
    /// How long ago it was taken, for its end.
    pub age_ms: u64,
    pub purge: Purge,
}

/// The first frame on any connection between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionOpening {
    /// A session follows.
    Session,
    /// A control node, whose life tells one process from the next at the same address, and the others it knows.
    Peer { ip: Ipv4Addr, incarnation: u64, known_peers: Vec<Ipv4Addr> },
}
