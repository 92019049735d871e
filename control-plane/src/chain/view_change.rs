//! View changes (Viewstamped Replication, 4.2): when a view is proposed, how the proposal proceeds, and how the view is
//! installed and started.
//!
//! Invariant: a view is started only after all members of its chain have made it durable, with the record that it begins
//! with. That record is then committed.

use std::sync::Arc;

use crate::chain::proposal::{Accepted, ChosenView, Proposal};
use crate::chain::settings::{LEARNER_RETENTION, PROPOSAL_DELAY, PROPOSER_STAGGER};
use crate::chain::view::InstalledView;
use crate::chain::{ballot, Chain, HardState, Message, Output, View};
use crate::ids::NodeId;
use crate::record::Record;
use crate::Millis;

impl Chain {
    /// The installed view, if it may acknowledge changes and answer reads.
    pub(super) fn active_view(&self) -> Option<&InstalledView> {
        self.installed.as_ref().filter(|installed| installed.is_active())
    }

    /// The installed view, if it has this ballot and no later promise has fenced it.
    pub(super) fn unfenced_view(&self, ballot: u64) -> Option<&View> {
        let installed = self.installed.as_ref()?;
        (installed.view.number == ballot && self.hard_state.promised == ballot).then_some(&installed.view)
    }

    /// Marks the installed view as broken, so that it acknowledges nothing. A member has failed, a later promise has
    /// fenced the view, or a change has timed out.
    pub(super) fn break_view(&mut self) {
        if let Some(installed) = &mut self.installed {
            installed.broken = true;
        }
    }

    fn break_view_with_failed_member(&mut self) {
        let has_failed_member =
            |installed: &InstalledView| installed.view.chain.iter().any(|node| self.has_failed(*node));
        if self.active_view().is_some_and(has_failed_member) {
            self.break_view();
        }
    }

    // ---- When to propose ----

    /// Proposes a view if one is needed and it is this node's turn.
    pub(super) fn propose_if_due(&mut self) {
        self.break_view_with_failed_member();
        let reachable = self.reachable_candidates();
        let wanted_voters = self.wanted_voters(&reachable);
        let target = self.next_chain(reachable, wanted_voters.as_deref());
        let reconfiguring = wanted_voters.is_some() || self.members().is_joint();
        let needed = reconfiguring || self.active_view().is_none_or(|active| active.view.chain != target);
        let possible = self.proposal.is_none() && self.can_gather_quorum(&target);
        if !needed || !possible || self.waits_to_be_included() {
            self.view_needed_since = None;
            return;
        }
        let since = *self.view_needed_since.get_or_insert(self.now);
        let stagger = PROPOSER_STAGGER * self.proposers_before(&target) as Millis;
        if !self.backs_off() && self.now >= since + PROPOSAL_DELAY + stagger {
            self.propose(target, wanted_voters);
        }
    }

    /// The reachable nodes that belong in the next chain: voters, learners and wanted voters.
    fn next_chain(&self, mut reachable: Vec<NodeId>, wanted_voters: Option<&[NodeId]>) -> Vec<NodeId> {
        let members = self.members();
        let was_accepted_voter =
            |node: NodeId| self.accepted_config.as_ref().is_some_and(|config| config.contains(node));
        let is_wanted = |node: NodeId| wanted_voters.is_some_and(|wanted| wanted.contains(&node));
        reachable.retain(|node| {
            members.contains(*node) || was_accepted_voter(*node) || self.is_learner(*node) || is_wanted(*node)
        });
        reachable
    }

    /// Whether a node may be a learner: it is in the chain of the installed view, which is newer than
    /// [`LEARNER_RETENTION`].
    fn is_learner(&self, node: NodeId) -> bool {
        self.installed.as_ref().is_some_and(|installed| {
            installed.view.chain.contains(&node) && self.now < installed.since + LEARNER_RETENTION
        })
    }

    fn can_gather_quorum(&self, target: &[NodeId]) -> bool {
        let has_vote = |node: &NodeId| target.contains(node) && !self.is_wiped(*node);
        self.hard_state.votes && self.members().is_quorum(has_vote)
    }

    /// Whether this node is outside the newest started chain, and waits until a member of that chain proposes a view
    /// that includes this node. Views older than the newest known one are ignored, as a peer that is itself outside the
    /// newest chain may still report an older view as active.
    fn waits_to_be_included(&self) -> bool {
        if self.active_view().is_some() {
            return false;
        }
        let known = self.known_view.as_ref().map_or(0, |view| view.number);
        let excludes_this_node = |view: &View| view.number >= known && !view.chain.contains(&self.node_id);
        self.peers.ids().filter(|peer| self.is_reachable(*peer)).any(|peer| {
            self.peers.matches(peer, |peer| peer.heartbeat.view.as_ref().is_some_and(excludes_this_node))
        })
    }

    /// Number of possible proposers that take precedence over this node.
    fn proposers_before(&self, target: &[NodeId]) -> usize {
        // Only this node knows of the operator's request, so no other node proposes the view for it.
        if self.requested_voters.is_some() {
            return 0;
        }
        // A node outside the active chain does not propose.
        let may_propose = |node: NodeId| {
            self.members().contains(node)
                && !self.is_wiped(node)
                && self.active_view().is_none_or(|active| active.view.chain.contains(&node))
        };
        target.iter().filter(|node| **node < self.node_id && may_propose(**node)).count()
    }

    /// Whether this node delays its own proposal until that of another node has finished.
    fn backs_off(&self) -> bool {
        self.proposer_backoff.is_some_and(|other| self.now < other.until && self.is_reachable(other.proposer))
    }

    fn propose(&mut self, target: Vec<NodeId>, wanted_voters: Option<Vec<NodeId>>) {
        let ballot = ballot::next(self.highest_ballot, self.node_id);
        self.highest_ballot = ballot;
        self.view_needed_since = None;
        self.proposal = Some(Proposal::begin(ballot, self.now, target.clone(), wanted_voters));
        for node in target {
            self.send(node, Message::Prepare { view: ballot });
        }
    }

    // ---- The proposer's part ----

    /// Handles an acceptor's promise.
    pub(super) fn handle_promise(&mut self, from: NodeId, ballot: u64, accepted: Option<Accepted>) {
        let Some(proposal) = &mut self.proposal else { return };
        if proposal.add_promise(from, ballot, accepted) {
            self.advance_proposal();
        }
    }

    /// Enters phase 2 once enough promises are gathered, and abandons a proposal that has failed or timed out.
    pub(super) fn advance_proposal(&mut self) {
        self.abandon_proposal_with_failed_member();
        self.expire_proposal();
        if let Some(chosen) = self.choose_view() {
            self.send_install(chosen);
        }
    }

    /// Abandons a proposal in phase 2 if a member of its chain has failed. The member will not answer, and the next
    /// proposal will not include it.
    fn abandon_proposal_with_failed_member(&mut self) {
        let chain = self.proposal.as_ref().and_then(Proposal::installing_chain);
        if chain.is_some_and(|chain| chain.iter().any(|node| self.has_failed(*node))) {
            self.proposal = None;
        }
    }

    fn expire_proposal(&mut self) {
        let Some(proposal) = self.proposal.take_if(|proposal| proposal.has_timed_out(self.now)) else {
            return;
        };
        let mut unresponsive = proposal.unanswered();
        unresponsive.retain(|node| *node != self.node_id);
        self.peers.exclude_unresponsive(&unresponsive, self.now);
    }

    fn choose_view(&mut self) -> Option<ChosenView> {
        let proposal = self.proposal.as_mut()?;
        let newest = proposal.phase_one_result(self.now)?;
        let slow = proposal.unanswered();
        let started = self.known_view.as_ref().is_some_and(|known| known.number >= newest.ballot);
        let chosen = proposal.choose_view(&newest, started);
        // These voters may differ from those that this node knows. The next proposal includes them as well.
        self.accepted_config = Some(newest.members);
        if chosen.is_some() {
            self.peers.exclude_slow(&slow, self.now);
        }
        chosen
    }

    fn send_install(&mut self, chosen: ChosenView) {
        let ChosenView { view, record } = chosen;
        for node in view.chain.clone() {
            self.send(node, Message::Install { view: view.clone(), record: Arc::clone(&record) });
        }
    }

    /// Handles the message that a member has made the view durable, and starts the view once all members have done so.
    pub(super) fn handle_installed(&mut self, from: NodeId, ballot: u64) {
        let Some(proposal) = &mut self.proposal else { return };
        let Some(view) = proposal.add_installed(from, ballot) else { return };
        self.proposal = None;
        let peers: Vec<NodeId> = self.peers.ids().collect();
        for peer in peers {
            self.send(peer, Message::StartView { view: view.clone() });
        }
        self.handle_start_view(view);
    }

    // ---- The member's part ----

    /// Accepts a view with its first record unless this node has promised a higher ballot.
    pub(super) fn handle_install(&mut self, from: NodeId, view: View, record: Arc<Record>) {
        if view.number < self.hard_state.promised {
            return self.send_nack(from);
        }
        let ballot = view.number;
        self.note_ballot(ballot);
        self.hard_state = HardState {
            members: view.members.clone(),
            votes: self.hard_state.votes,
            promised: ballot,
            accepted: ballot,
            record,
        };
        self.in_flight = None;
        // The nodes that received these calls forward them again, to the head of this view.
        self.head_queue.clear();
        let broken = view.chain.iter().any(|node| self.has_failed(*node));
        self.installed = Some(InstalledView { view, started: false, since: self.now, broken });
        self.persist(vec![Output::Send(from, Message::Installed { view: ballot })]);
    }

    /// Handles the message that all members have made a view durable.
    pub(super) fn handle_start_view(&mut self, view: View) {
        self.proposer_backoff = None;
        self.accepted_config = None;
        self.peers.readmit(&view.chain);
        if self.known_view.as_ref().is_none_or(|known| known.number < view.number) {
            self.known_view = Some(view.clone());
        }
        self.start_installed_view(&view);
        self.dispatch_calls();
    }

    /// Starts the view if this node has installed it but not started it yet, and no later promise has fenced it.
    fn start_installed_view(&mut self, view: &View) {
        let fenced = self.hard_state.promised != view.number;
        let Some(installed) = self.installed.as_mut().filter(|installed| installed.view == *view) else {
            return;
        };
        if installed.started || fenced {
            return;
        }
        installed.start(self.now);
        // The delay before the next proposal starts again with this view. Otherwise all nodes that waited for this view
        // to start would propose the next one at once, before this one has answered any call.
        self.view_needed_since = None;
        if !self.hard_state.votes {
            // The promises that this node may have lost have lower ballots than this view, or are known to the quorum
            // that has accepted it.
            self.hard_state.votes = true;
            self.persist(Vec::new());
        }
        let record = Arc::clone(&self.hard_state.record);
        self.publish(record);
        self.send_heartbeats();
    }

    /// Starts the view of a message that was forwarded along the chain. Such a message proves that the view has
    /// started, and may arrive before the `StartView` message. The first record of the view is then committed; a change
    /// in the forwarded message is not committed yet.
    pub(super) fn start_view_if_proved(&mut self, ballot: u64) {
        let Some(view) = self.unfenced_view(ballot).cloned() else { return };
        if self.installed.as_ref().is_some_and(|installed| !installed.started) {
            self.handle_start_view(view);
        }
    }
}
