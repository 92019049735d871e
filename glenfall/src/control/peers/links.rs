//! The state of the links between this control node and its peers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use glenfall_control_plane::messages::{PeerMessage, ProcessId};

use crate::session::link::Outbox;

/// Limit on the number of known peers. Other processes send their addresses, so the number must be bounded.
const MAX_PEERS: usize = 64;

/// Identifies one connection that a peer has opened to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InboundId(u64);

/// The result of [`PeerLinks::inbound_opened`].
#[derive(Clone, Copy, Debug)]
pub struct InboundOpened {
    /// Identifies the new connection.
    pub connection: InboundId,
    /// Whether the link was connected through an earlier connection, whose last messages may be lost.
    pub disconnected: bool,
}

/// The two connections between this node and one peer.
#[derive(Default)]
struct Link {
    /// The connection that this node has opened and sends on.
    outbound: Option<Outbox<PeerMessage>>,
    /// The connection that the peer has most recently opened, and sends on.
    inbound: Option<InboundId>,
    /// Incarnation of the process that opened the inbound connection.
    incarnation: u64,
    connected: bool,
}

impl Link {
    /// Marks the link as connected if both connections are open; returns whether it became connected by this call.
    fn mark_connected(&mut self) -> bool {
        let both_open = self.outbound.is_some() && self.inbound.is_some();
        let becomes_connected = both_open && !self.connected;
        self.connected |= both_open;
        becomes_connected
    }

    /// Marks the link as disconnected; returns whether it was connected.
    fn mark_disconnected(&mut self) -> bool {
        std::mem::take(&mut self.connected)
    }
}

/// The links to all known peers, each a small state machine.
///
/// Owns the open connections of each link, and whether the link is connected. A link becomes connected once both of its
/// connections are open, and is disconnected as soon as one of them closes or the peer replaces the one that it opened.
/// Each method that can change this returns whether it did, and its caller reports the change.
///
/// When one connection of a link closes, the other one stays open. If each node also closed the other connection, each
/// reconnect of one node would be closed by the other, in an endless cycle.
pub struct PeerLinks {
    local: ProcessId,
    links: RefCell<BTreeMap<Ipv4Addr, Link>>,
    next_inbound: Cell<u64>,
}

impl PeerLinks {
    /// Starts without peers. `local` identifies this process.
    pub fn new(local: ProcessId) -> Self {
        PeerLinks { local, links: RefCell::default(), next_inbound: Cell::new(1) }
    }

    /// Address and incarnation of this process.
    pub fn local(&self) -> ProcessId {
        self.local
    }

    /// Adds a peer. Returns false if it is already known, is this node, or the limit on peers is reached.
    pub fn add(&self, peer: Ipv4Addr) -> bool {
        let mut links = self.links.borrow_mut();
        if peer == self.local.ip || links.contains_key(&peer) || links.len() >= MAX_PEERS {
            return false;
        }
        links.insert(peer, Link::default());
        true
    }

    /// The addresses of all known control nodes, this one first.
    pub fn control_nodes(&self) -> Vec<Ipv4Addr> {
        std::iter::once(self.local.ip).chain(self.links.borrow().keys().copied()).collect()
    }

    /// The addresses of the connected peers.
    pub fn connected(&self) -> Vec<Ipv4Addr> {
        self.connected_processes().iter().map(|process| process.ip).collect()
    }

    /// The processes of the connected peers.
    pub fn connected_processes(&self) -> Vec<ProcessId> {
        let links = self.links.borrow();
        let connected = links.iter().filter(|(_, link)| link.connected);
        connected.map(|(ip, link)| ProcessId { ip: *ip, incarnation: link.incarnation }).collect()
    }

    /// The process of a peer, if the peer is connected.
    pub fn connected_process(&self, peer: Ipv4Addr) -> Option<ProcessId> {
        let links = self.links.borrow();
        let link = links.get(&peer).filter(|link| link.connected)?;
        Some(ProcessId { ip: peer, incarnation: link.incarnation })
    }

    /// Queues a message on the outbound connection to a peer, if it is open. If its queue is full, the message is
    /// dropped. The connection is closed only once a write to it has failed or timed out.
    pub fn send(&self, peer: Ipv4Addr, message: PeerMessage) {
        if let Some(outbound) = self.links.borrow().get(&peer).and_then(|link| link.outbound.as_ref()) {
            let _ = outbound.send(message);
        }
    }

    /// Sends a message to each connected peer.
    pub fn broadcast(&self, message: &PeerMessage) {
        for peer in self.connected() {
            self.send(peer, message.clone());
        }
    }

    /// Records the connection that this node has opened to a peer.
    pub fn outbound_opened(&self, peer: Ipv4Addr, outbound: Outbox<PeerMessage>) {
        if let Some(link) = self.links.borrow_mut().get_mut(&peer) {
            link.outbound = Some(outbound);
        }
    }

    /// Records that the outbound connection has closed; returns whether the link was connected.
    pub fn outbound_closed(&self, peer: Ipv4Addr) -> bool {
        let mut links = self.links.borrow_mut();
        let Some(link) = links.get_mut(&peer) else { return false };
        link.outbound = None;
        link.mark_disconnected()
    }

    /// Records a connection that a peer has opened, which replaces an earlier one. `None` if the peer is not known.
    pub fn inbound_opened(&self, peer: Ipv4Addr, incarnation: u64) -> Option<InboundOpened> {
        let mut links = self.links.borrow_mut();
        let link = links.get_mut(&peer)?;
        let connection = InboundId(self.next_inbound.replace(self.next_inbound.get() + 1));
        link.inbound = Some(connection);
        link.incarnation = incarnation;
        Some(InboundOpened { connection, disconnected: link.mark_disconnected() })
    }

    /// Whether a connection is the one that its peer has most recently opened.
    pub fn is_current_inbound(&self, peer: Ipv4Addr, connection: InboundId) -> bool {
        self.links.borrow().get(&peer).is_some_and(|link| link.inbound == Some(connection))
    }

    /// Records that an inbound connection has closed, unless a newer one has replaced it; returns whether the link was
    /// connected.
    pub fn inbound_closed(&self, peer: Ipv4Addr, connection: InboundId) -> bool {
        let mut links = self.links.borrow_mut();
        let Some(link) = links.get_mut(&peer).filter(|link| link.inbound == Some(connection)) else {
            return false;
        };
        link.inbound = None;
        link.mark_disconnected()
    }

    /// Marks a link as connected if both of its connections are open; returns whether it became connected by this call.
    pub fn mark_connected(&self, peer: Ipv4Addr) -> bool {
        self.links.borrow_mut().get_mut(&peer).is_some_and(Link::mark_connected)
    }
}
