//! Peers: heartbeats, failure detection, and who can take part in a view.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::chain::settings::{
    DISK_STALL, FIRST_EXCLUSION, LATE_EXCLUSION, LONGEST_EXCLUSION, RESEND_INTERVAL,
};
use crate::chain::{Chain, Heartbeat, JointConfig, Message, Output};
use crate::ids::NodeId;
use crate::Millis;

/// The newest record that a peer was sent on this link because its heartbeats named an older one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentRecord {
    seq: u64,
    /// Heartbeats that were under way meanwhile still name the old record.
    at: Millis,
}

/// What this node knows of a peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// The link to it stands.
    pub(super) up: bool,
    /// When it was heard last.
    pub(super) heard: Millis,
    /// Its last heartbeat on this link.
    pub(super) heartbeat: Heartbeat,
    /// It has announced that it leaves, and has said nothing since.
    pub(super) left: bool,
    /// Until when it is left out of views.
    excluded_until: Millis,
    /// How long it was last left out for.
    excluded_for: Millis,
    sent_record: SentRecord,
}

impl Peer {
    /// It did not answer a proposal: it is left out, for longer each time.
    fn exclude_silent(&mut self, now: Millis) {
        self.excluded_for = (self.excluded_for * 2).clamp(FIRST_EXCLUSION, LONGEST_EXCLUSION);
        self.excluded_until = now + self.excluded_for;
    }

    /// Its promise came too late: it is taken in again, but not by the next proposal.
    fn exclude_late(&mut self, now: Millis) {
        self.excluded_until = now + LATE_EXCLUSION;
    }

    /// A view with it stands, so that it has answered: else nodes that took it in and nodes that had left it out would
    /// make view after view.
    fn readmit(&mut self) {
        self.excluded_for = 0;
        self.excluded_until = 0;
    }
}

/// The peers that this node knows, by their addresses.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers(BTreeMap<NodeId, Peer>);

impl Peers {
    pub(super) fn get(&self, node: NodeId) -> Option<&Peer> {
        self.0.get(&node)
    }

    pub(super) fn get_mut(&mut self, node: NodeId) -> Option<&mut Peer> {
        self.0.get_mut(&node)
    }

    pub(super) fn entry(&mut self, node: NodeId) -> &mut Peer {
        self.0.entry(node).or_default()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0.keys().copied()
    }

    /// The peers that the predicate holds for.
    pub(super) fn matching(&self, holds: impl Fn(&Peer) -> bool) -> Vec<NodeId> {
        self.0.iter().filter(|(_, peer)| holds(peer)).map(|(id, _)| *id).collect()
    }

    /// Whether the predicate holds for a peer; false of an unknown one.
    pub(super) fn check(&self, node: NodeId, holds: impl Fn(&Peer) -> bool) -> bool {
        self.0.get(&node).is_some_and(holds)
    }

    /// Whether two peers hear each other, by their last heartbeats.
    fn connected(&self, one: NodeId, other: NodeId) -> bool {
        self.check(one, |peer| peer.heartbeat.heard_peers.contains(&other))
            && self.check(other, |peer| peer.heartbeat.heard_peers.contains(&one))
    }

    pub(super) fn exclude_silent(&mut self, nodes: &[NodeId], now: Millis) {
        for node in nodes {
            if let Some(peer) = self.get_mut(*node) {
                peer.exclude_silent(now);
            }
        }
    }

    pub(super) fn exclude_late(&mut self, nodes: &[NodeId], now: Millis) {
        for node in nodes {
            if let Some(peer) = self.get_mut(*node) {
                peer.exclude_late(now);
            }
        }
    }

    pub(super) fn readmit(&mut self, nodes: &[NodeId]) {
        for node in nodes {
            if let Some(peer) = self.get_mut(*node) {
                peer.readmit();
            }
        }
    }
}

impl Chain {
    pub(super) fn link_up(&mut self, node: NodeId) {
        let now = self.now;
        let peer = self.peers.entry(node);
        peer.up = true;
        peer.heard = now;
        peer.sent_record = SentRecord::default();
        // To every peer: no chain holds two nodes that are not known to hear each other.
        self.send_heartbeats();
    }

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
            heard_peers: self.peers.ids().filter(|peer| self.hears(*peer)).collect(),
            wiped: !self.hard_state.votes,
            eligible: self.settings.eligible,
            unfit: self.is_unfit(),
            leaving: self.leaving,
            committed: self.committed.seq,
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.last_heartbeat = Some(self.now);
        let heartbeat = self.heartbeat();
        for peer in self.peers.matching(|peer| peer.up) {
            self.outputs.push(Output::Send(peer, Message::Heartbeat(heartbeat.clone())));
        }
    }

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
            // A member that missed the message that the view stands.
            if self.installed.as_ref().is_some_and(|mine| mine.view == *view && !mine.stands) {
                self.handle_start_view(view.clone());
            }
        }
        let is_behind = heartbeat.committed < self.committed.seq;
        if let Some(peer) = self.peers.get_mut(from) {
            peer.left = heartbeat.leaving;
            peer.heartbeat = heartbeat;
        }
        if is_behind {
            self.send_committed_once(from);
        }
    }

    /// Sends the newest committed record, unless the peer was sent it a moment ago.
    fn send_committed_once(&mut self, to: NodeId) {
        let (newest, now) = (self.committed.seq, self.now);
        let Some(peer) = self.peers.get_mut(to) else { return };
        let sent = &mut peer.sent_record;
        if sent.seq < newest || now >= sent.at + RESEND_INTERVAL {
            *sent = SentRecord { seq: newest, at: now };
            let record = Arc::new(self.committed.without_table());
            self.send(to, Message::Committed { record });
        }
    }

    /// Whether this node can be in no chain: it leaves, or its disk stalls.
    pub(super) fn is_unfit(&self) -> bool {
        self.leaving || self.disk_writes.front().is_some_and(|write| self.now >= write.since + DISK_STALL)
    }

    /// Whether a peer is connected and was heard lately.
    pub(super) fn hears(&self, node: NodeId) -> bool {
        let timeout = self.settings.peer_timeout();
        self.peers.check(node, |peer| peer.up && self.now < peer.heard + timeout)
    }

    /// Whether a peer failed, as far as this node can tell; it never tells so of itself.
    pub(super) fn has_lost(&self, node: NodeId) -> bool {
        node != self.me && !self.hears(node)
    }

    /// Whether a peer can take part in a view: it is there, hears this node too, is fit, and is not left out.
    fn can_take_part(&self, node: NodeId) -> bool {
        let takes_part = |peer: &Peer| {
            let hears_this_node = peer.heartbeat.heard_peers.contains(&self.me);
            hears_this_node && !peer.heartbeat.unfit && self.now >= peer.excluded_until
        };
        self.hears(node) && self.peers.check(node, takes_part)
    }

    /// The nodes that may be in the chain: the voters, and those that may become one.
    fn candidates(&self) -> Vec<NodeId> {
        let members = self.members();
        let eligible = self.peers.matching(|peer| peer.heartbeat.eligible);
        let mut candidates = [members.voters.as_slice(), &members.outgoing, &eligible].concat();
        candidates.sort();
        candidates.dedup();
        candidates
    }

    /// The candidates that could form a chain: this node, and in order of preference each that is connected to all
    /// chosen before it. Members of the newest standing chain come first, as no healthy node is left out for one that
    /// comes back and is not heard by all yet; then the other voters; then those that stand by.
    pub(super) fn reachable_candidates(&self) -> Vec<NodeId> {
        let members = self.members();
        if !members.contains(self.me) || self.is_unfit() {
            return Vec::new();
        }
        let in_known_chain =
            |node: &NodeId| self.known_view.as_ref().is_some_and(|view| view.chain.contains(node));
        let mut others = self.candidates();
        others.retain(|node| *node != self.me && self.can_take_part(*node));
        others.sort_by_key(|node| (!members.contains(*node), !in_known_chain(node), *node));
        let mut chosen: Vec<NodeId> = Vec::new();
        for node in others {
            if chosen.iter().all(|other| self.peers.connected(*other, node)) {
                chosen.push(node);
            }
        }
        chosen.push(self.me);
        chosen.sort();
        chosen
    }

    /// How long a voter has not been heard; 0 where it is there.
    pub fn silent_for(&self, node: NodeId) -> Millis {
        if !self.has_lost(node) {
            return 0;
        }
        let heard = self.peers.get(node).map_or(0, |peer| peer.heard);
        self.now.saturating_sub(heard.max(self.started_at.unwrap_or(self.now)))
    }

    /// Whether a node may have forgotten promises, and so has no vote.
    pub(super) fn is_wiped(&self, node: NodeId) -> bool {
        if node == self.me {
            return !self.hard_state.votes;
        }
        self.peers.check(node, |peer| peer.heartbeat.wiped)
    }

    /// Whether this node reaches a quorum of the voters, itself included: what it acknowledges binds all.
    pub fn has_quorum(&self) -> bool {
        self.members().majority(|node| !self.has_lost(*node))
    }

    /// The same at this time: timers may be behind where the process was frozen.
    pub fn has_quorum_at(&mut self, now: Millis) -> bool {
        self.now = now;
        self.has_quorum()
    }

    /// Whether this node and those that have answered it form a quorum, also by what each of them knows of the voters:
    /// this node may have been replaced meanwhile.
    pub fn is_quorum(&self, answered: &[NodeId]) -> bool {
        let holds =
            |members: &JointConfig| members.majority(|node| *node == self.me || answered.contains(node));
        let known_to_peers =
            answered.iter().filter_map(|node| self.peers.get(*node)).map(|peer| &peer.heartbeat.members);
        holds(self.members()) && known_to_peers.filter(|members| !members.voters.is_empty()).all(holds)
    }

    /// The nodes that a peer hears, by its last heartbeat. All of them are connected to it, and it sends a new heartbeat
    /// before anything that follows the loss of one.
    pub fn heard_by(&self, peer: NodeId) -> &[NodeId] {
        self.peers.get(peer).map_or(&[], |peer| &peer.heartbeat.heard_peers)
    }
}
