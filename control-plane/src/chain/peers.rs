//! Peers: heartbeats, failure detection, and the choice of nodes that can be in the chain of a view.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::chain::settings::{
    DISK_STALL_TIMEOUT, MAX_EXCLUSION, MIN_EXCLUSION, RESEND_INTERVAL, SLOW_PEER_EXCLUSION,
};
use crate::chain::{Chain, Heartbeat, JointConfig, Message, Output};
use crate::ids::NodeId;
use crate::Millis;

/// The newest record that was sent to a peer on the current link because its heartbeats reported an older one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentRecord {
    seq: u64,
    /// When the record was sent. Heartbeats that were in transit then still report the older record.
    sent_at: Millis,
}

/// What this node knows of a peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// Whether the link to the peer is up.
    pub(super) up: bool,
    /// When the last message from the peer was received.
    pub(super) last_received: Millis,
    /// The peer's last heartbeat on the current link.
    pub(super) heartbeat: Heartbeat,
    /// Whether the peer's last heartbeat, on any link, announced that it is draining.
    pub(super) draining: bool,
    /// Until when the peer is excluded from new views.
    excluded_until: Millis,
    /// Duration of the last exclusion for an unanswered proposal; 0 if a view with the peer has started since.
    last_exclusion: Millis,
    sent_record: SentRecord,
}

impl Peer {
    /// Excludes a peer that did not answer a proposal, for a duration that doubles with each timeout.
    fn exclude_unresponsive(&mut self, now: Millis) {
        self.last_exclusion = (self.last_exclusion * 2).clamp(MIN_EXCLUSION, MAX_EXCLUSION);
        self.excluded_until = now + self.last_exclusion;
    }

    /// Excludes a peer whose promise came too late for a proposal, so that the next proposal does not wait for it too.
    fn exclude_slow(&mut self, now: Millis) {
        self.excluded_until = now + SLOW_PEER_EXCLUSION;
    }

    /// Ends the exclusion after a view with this peer has started, as the peer must have answered. Otherwise nodes that
    /// include the peer and nodes that exclude it would keep replacing each other's views.
    fn readmit(&mut self) {
        self.last_exclusion = 0;
        self.excluded_until = 0;
    }
}

/// The peers that this node knows, by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers(BTreeMap<NodeId, Peer>);

impl Peers {
    pub(super) fn get(&self, node: NodeId) -> Option<&Peer> {
        self.0.get(&node)
    }

    pub(super) fn get_mut(&mut self, node: NodeId) -> Option<&mut Peer> {
        self.0.get_mut(&node)
    }

    /// The state of a peer, which is added if it is unknown.
    pub(super) fn entry(&mut self, node: NodeId) -> &mut Peer {
        self.0.entry(node).or_default()
    }

    /// The addresses of all known peers, in ascending order.
    pub(super) fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0.keys().copied()
    }

    /// The peers that the predicate selects.
    pub(super) fn matching(&self, predicate: impl Fn(&Peer) -> bool) -> Vec<NodeId> {
        self.0.iter().filter(|(_, peer)| predicate(peer)).map(|(id, _)| *id).collect()
    }

    /// Whether the predicate selects a peer; false for an unknown one.
    pub(super) fn matches(&self, node: NodeId, predicate: impl Fn(&Peer) -> bool) -> bool {
        self.0.get(&node).is_some_and(predicate)
    }

    /// Whether two peers receive messages from each other, by their last heartbeats.
    fn connected(&self, one: NodeId, other: NodeId) -> bool {
        self.matches(one, |peer| peer.heartbeat.reachable_peers.contains(&other))
            && self.matches(other, |peer| peer.heartbeat.reachable_peers.contains(&one))
    }

    /// Excludes peers that did not answer a proposal.
    pub(super) fn exclude_unresponsive(&mut self, nodes: &[NodeId], now: Millis) {
        for node in nodes {
            if let Some(peer) = self.get_mut(*node) {
                peer.exclude_unresponsive(now);
            }
        }
    }

    /// Excludes peers whose promises came too late.
    pub(super) fn exclude_slow(&mut self, nodes: &[NodeId], now: Millis) {
        for node in nodes {
            if let Some(peer) = self.get_mut(*node) {
                peer.exclude_slow(now);
            }
        }
    }

    /// Ends the exclusion of peers.
    pub(super) fn readmit(&mut self, nodes: &[NodeId]) {
        for node in nodes {
            if let Some(peer) = self.get_mut(*node) {
                peer.readmit();
            }
        }
    }
}

impl Chain {
    /// Records that the link to a peer is up.
    pub(super) fn link_up(&mut self, node: NodeId) {
        let now = self.now;
        let peer = self.peers.entry(node);
        peer.up = true;
        peer.last_received = now;
        peer.sent_record = SentRecord::default();
        // A chain contains only nodes that are known to reach each other, so all peers have to learn of the new link.
        self.send_heartbeats();
    }

    /// Records that the link to a peer is down.
    pub(super) fn link_down(&mut self, node: NodeId) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.up = false;
            peer.heartbeat = Heartbeat::default();
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            members: self.members().clone(),
            promised: self.highest_ballot,
            view: self.active_view().map(|installed| installed.view.clone()),
            reachable_peers: self.peers.ids().filter(|peer| self.is_reachable(*peer)).collect(),
            wiped: !self.hard_state.votes,
            eligible: self.settings.eligible,
            unfit: self.is_unfit(),
            draining: self.draining,
            committed: self.committed.seq,
        }
    }

    /// Sends a heartbeat to all connected peers.
    pub(super) fn send_heartbeats(&mut self) {
        self.last_heartbeat_at = Some(self.now);
        let heartbeat = self.heartbeat();
        for peer in self.peers.matching(|peer| peer.up) {
            self.outputs.push(Output::Send(peer, Message::Heartbeat(heartbeat.clone())));
        }
    }

    /// Handles a peer's heartbeat: learns ballots, voters and the newest view from it, and sends the peer a newer
    /// record if it is behind.
    pub(super) fn handle_heartbeat(&mut self, from: NodeId, heartbeat: Heartbeat) {
        self.note_ballot(heartbeat.promised);
        if self.hard_state.members.voters.is_empty() {
            self.hard_state.members = heartbeat.members.clone();
        }
        if let Some(view) = &heartbeat.view {
            if self.known_view.as_ref().is_none_or(|known| known.number < view.number) {
                self.known_view = Some(view.clone());
                self.dispatch_calls();
            }
            // This node has installed the view, and has not received the `StartView` message.
            if self.installed.as_ref().is_some_and(|installed| installed.view == *view && !installed.started)
            {
                self.handle_start_view(view.clone());
            }
        }
        let is_behind = heartbeat.committed < self.committed.seq;
        if let Some(peer) = self.peers.get_mut(from) {
            peer.draining = heartbeat.draining;
            peer.heartbeat = heartbeat;
        }
        if is_behind {
            self.send_committed_if_due(from);
        }
    }

    /// Sends a peer the newest committed record, unless it was sent within the last [`RESEND_INTERVAL`].
    fn send_committed_if_due(&mut self, to: NodeId) {
        let (newest, now) = (self.committed.seq, self.now);
        let Some(peer) = self.peers.get_mut(to) else { return };
        let sent = &mut peer.sent_record;
        if sent.seq < newest || now >= sent.sent_at + RESEND_INTERVAL {
            *sent = SentRecord { seq: newest, sent_at: now };
            let record = Arc::new(self.committed.without_table());
            self.send(to, Message::Committed { record });
        }
    }

    /// Whether this node must not be in a chain because it is draining or its disk stalls.
    pub(super) fn is_unfit(&self) -> bool {
        self.draining
            || self.disk_writes.front().is_some_and(|write| self.now >= write.started_at + DISK_STALL_TIMEOUT)
    }

    /// Whether the link to a peer is up and the last message was received within the peer timeout.
    pub(super) fn is_reachable(&self, node: NodeId) -> bool {
        let timeout = self.settings.peer_timeout();
        self.peers.matches(node, |peer| peer.up && self.now < peer.last_received + timeout)
    }

    /// Whether this node considers a node failed. It never considers itself failed.
    pub(super) fn has_failed(&self, node: NodeId) -> bool {
        node != self.node_id && !self.is_reachable(node)
    }

    /// Whether a peer can be in a chain: it and this node reach each other, it is not unfit, and it is not excluded.
    fn can_take_part(&self, node: NodeId) -> bool {
        let can_take_part = |peer: &Peer| {
            let reaches_this_node = peer.heartbeat.reachable_peers.contains(&self.node_id);
            reaches_this_node && !peer.heartbeat.unfit && self.now >= peer.excluded_until
        };
        self.is_reachable(node) && self.peers.matches(node, can_take_part)
    }

    /// The nodes that may be in the chain: the voters, and the nodes that may become voters.
    fn candidates(&self) -> Vec<NodeId> {
        let members = self.members();
        let eligible = self.peers.matching(|peer| peer.heartbeat.eligible);
        let mut candidates = [members.voters.as_slice(), &members.outgoing, &eligible].concat();
        candidates.sort();
        candidates.dedup();
        candidates
    }

    /// The candidates that can form a chain: this node, and in order of preference each one that is connected to all
    /// candidates chosen before it. Among the voters, members of the newest started chain come first, so that no
    /// healthy member is dropped in favour of a node that has just come back and is not connected to all others yet.
    /// Standbys come last.
    pub(super) fn reachable_candidates(&self) -> Vec<NodeId> {
        let members = self.members();
        if !members.contains(self.node_id) || self.is_unfit() {
            return Vec::new();
        }
        let in_known_chain =
            |node: &NodeId| self.known_view.as_ref().is_some_and(|view| view.chain.contains(node));
        let mut others = self.candidates();
        others.retain(|node| *node != self.node_id && self.can_take_part(*node));
        others.sort_by_key(|node| (!members.contains(*node), !in_known_chain(node), *node));
        let mut chosen: Vec<NodeId> = Vec::new();
        for node in others {
            if chosen.iter().all(|other| self.peers.connected(*other, node)) {
                chosen.push(node);
            }
        }
        chosen.push(self.node_id);
        chosen.sort();
        chosen
    }

    /// Time since the last message from a node, in milliseconds; 0 while the node is reachable. It counts from the
    /// first tick if no message was received since.
    pub fn time_since_last_message(&self, node: NodeId) -> Millis {
        if !self.has_failed(node) {
            return 0;
        }
        let last_received = self.peers.get(node).map_or(0, |peer| peer.last_received);
        let started_at = self.started_at.unwrap_or(self.now);
        self.now.saturating_sub(last_received.max(started_at))
    }

    /// Whether a node may have lost earlier promises with its disk, and so has no vote.
    pub(super) fn is_wiped(&self, node: NodeId) -> bool {
        if node == self.node_id {
            return !self.hard_state.votes;
        }
        self.peers.matches(node, |peer| peer.heartbeat.wiped)
    }

    /// Whether this node, together with the peers that it reaches, forms a quorum of the voters.
    pub fn has_quorum(&self) -> bool {
        self.members().is_quorum(|node| !self.has_failed(*node))
    }

    /// [`Chain::has_quorum`] at the time `now`. The last tick may be old if the process was suspended.
    pub fn has_quorum_at(&mut self, now: Millis) -> bool {
        self.now = now;
        self.has_quorum()
    }

    /// Whether this node and the peers that have answered it form a quorum, both of the voters that this node knows and
    /// of those that each of the peers knows. The peers' voters count because this node may have been replaced without
    /// knowing it.
    pub fn is_quorum(&self, answered: &[NodeId]) -> bool {
        let is_quorum = |members: &JointConfig| {
            members.is_quorum(|node| *node == self.node_id || answered.contains(node))
        };
        let known_to_peers =
            answered.iter().filter_map(|node| self.peers.get(*node)).map(|peer| &peer.heartbeat.members);
        is_quorum(self.members())
            && known_to_peers.filter(|members| !members.voters.is_empty()).all(is_quorum)
    }

    /// The nodes that a peer reaches, by its last heartbeat; empty if it is unknown. When the peer loses a connection,
    /// it sends a new heartbeat before any other message.
    pub fn connected_peers_of(&self, peer: NodeId) -> &[NodeId] {
        self.peers.get(peer).map_or(&[], |peer| &peer.heartbeat.reachable_peers)
    }
}
