//! Handles the events of peers: connected, disconnected, and message received.

use std::net::Ipv4Addr;

use glenfall_control_plane::chain::Message;
use glenfall_control_plane::messages::{CallId, PeerMessage, ProcessId, PublisherMessage, PurgeRecord};

use super::node::Control;
use super::peers::connections::PeerEvents;

impl PeerEvents for Control {
    /// Sends the peer the complete members, servers and purges of this node, before any message of the chain.
    fn peer_connected(&self, peer: Ipv4Addr) {
        self.peers.members.peer_connected(peer);
        self.peers.links.send(peer, self.local_members.snapshot_message());
        self.peers.links.send(peer, PeerMessage::Servers(self.registry.snapshot()));
        self.peers.links.send(peer, self.purges.history_message());
        self.sessions.broadcast(&PublisherMessage::ControlNodes(self.peers.links.control_nodes()));
        self.chain.peer_connected(peer);
    }

    fn peer_disconnected(&self, peer: Ipv4Addr) {
        self.peers.members.peer_disconnected(peer);
        self.peers.requests.peer_disconnected(peer);
        self.purge_log_completeness.peer_disconnected(peer);
        self.chain.peer_disconnected(peer);
    }

    fn message_received(&self, peer: Ipv4Addr, message: PeerMessage) {
        match message {
            PeerMessage::Chain(message) => self.chain_message_received(peer, message),
            PeerMessage::Members(update) => {
                self.peers.members.apply(peer, &update);
                self.fleet.notify_changed();
            }
            PeerMessage::Servers(entries) => self.servers.entries_received(peer, entries),
            PeerMessage::ReplicateServer { id, entry, forward } => {
                self.servers.replicate_for_peer(peer, id, entry, forward);
            }
            PeerMessage::Purges { id, purges, already_notified } => {
                self.purges_received(peer, id, purges, already_notified);
            }
            PeerMessage::PurgeDurable { incarnation, number } => {
                self.purges.record_durable(peer, incarnation, number);
            }
            PeerMessage::Acknowledged { id, complete } => {
                self.peers.requests.acknowledged(peer, id, complete);
            }
            PeerMessage::RenewLease { id } => self.leases.grant(peer, id),
            PeerMessage::LeaseGranted { id, duration } => self.leases.lease_granted(peer, id, duration),
            PeerMessage::LeaseReleased => self.leases.lease_released(peer),
            PeerMessage::KeepAlive => {}
        }
    }
}

impl Control {
    fn chain_message_received(&self, peer: Ipv4Addr, message: Message) {
        if message.is_well_formed() {
            self.chain.message_received(peer, message);
        } else {
            tracing::warn!(%peer, "malformed chain message ignored");
        }
    }

    /// Purges without an id are the complete history of the peer, which does not wait for an acknowledgement.
    fn purges_received(
        &self,
        peer: Ipv4Addr,
        id: Option<CallId>,
        purges: Vec<PurgeRecord>,
        notified_by_origin: Option<Vec<ProcessId>>,
    ) {
        self.purges.record_from_peer(peer, &purges);
        match id {
            None => self.purge_log_completeness.history_received(peer),
            Some(id) => self.purges.acknowledge(peer, id, purges, notified_by_origin),
        }
    }
}
