//! View changes: when a view is proposed, how a proposal advances, and how a view is installed and starts.

use std::sync::Arc;

use crate::chain::proposal::{Accepted, ChosenView, Proposal};
use crate::chain::settings::{LEARNER_TIME, PROPOSER_STAGGER, SETTLE_TIME};
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

    /// A member of the installed view failed, or the view is fenced: it acknowledges nothing more.
    pub(super) fn break_view(&mut self) {
        if let Some(installed) = &mut self.installed {
            installed.broken = true;
        }
    }

    fn break_view_that_lost_a_member(&mut self) {
        let lost = |installed: &InstalledView| installed.view.chain.iter().any(|node| self.has_lost(*node));
        if self.active_view().is_some_and(lost) {
            self.break_view();
        }
    }

    // ---- When to propose ----

    /// Proposes a view where one is needed and it is this node's turn.
    pub(super) fn propose_if_due(&mut self) {
        self.break_view_that_lost_a_member();
        let reachable = self.reachable_candidates();
        let wanted_voters = self.wanted_voters(&reachable);
        let target = self.next_chain(reachable, wanted_voters.as_deref());
        let changing = wanted_voters.is_some() || self.members().is_joint();
        let needed = changing || self.active_view().is_none_or(|active| active.view.chain != target);
        let possible = self.proposal.is_none() && self.can_gather_quorum(&target);
        if !needed || !possible || self.waits_to_be_taken_in() {
            self.needed_since = None;
            return;
        }
        let since = *self.needed_since.get_or_insert(self.now);
        let stagger = PROPOSER_STAGGER * self.proposers_before(&target) as Millis;
        if !self.defers() && self.now >= since + SETTLE_TIME + stagger {
            self.propose(target, wanted_voters);
        }
    }

    /// Of the reachable nodes, those that belong into the next chain.
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

    /// Whether a node was taken into the installed chain a moment ago, to get a vote.
    fn is_learner(&self, node: NodeId) -> bool {
        self.installed.as_ref().is_some_and(|installed| {
            installed.view.chain.contains(&node) && self.now < installed.since + LEARNER_TIME
        })
    }

    fn can_gather_quorum(&self, target: &[NodeId]) -> bool {
        let has_vote = |node: &NodeId| target.contains(node) && !self.is_wiped(*node);
        self.hard_state.votes && self.members().majority(has_vote)
    }

    /// A node that is not in the chain that stands waits to be taken in by its members. One that was let go of may still
    /// take an old view for standing.
    fn waits_to_be_taken_in(&self) -> bool {
        if self.active_view().is_some() {
            return false;
        }
        let known = self.known_view.as_ref().map_or(0, |view| view.number);
        let excludes_this_node = |view: &View| view.number >= known && !view.chain.contains(&self.me);
        self.peers.ids().filter(|peer| self.hears(*peer)).any(|peer| {
            self.peers.check(peer, |peer| peer.heartbeat.view.as_ref().is_some_and(excludes_this_node))
        })
    }

    /// How many others this node lets propose first.
    fn proposers_before(&self, target: &[NodeId]) -> usize {
        // Nobody else proposes what only this node was asked for.
        if self.requested_voters.is_some() {
            return 0;
        }
        // A node outside the chain that stands proposes nothing.
        let may_propose = |node: NodeId| {
            self.members().contains(node)
                && !self.is_wiped(node)
                && self.active_view().is_none_or(|active| active.view.chain.contains(&node))
        };
        target.iter().filter(|node| **node < self.me && may_propose(**node)).count()
    }

    /// Whether another node proposes, and is let.
    fn defers(&self) -> bool {
        self.deference.is_some_and(|other| self.now < other.until && self.hears(other.proposer))
    }

    fn propose(&mut self, target: Vec<NodeId>, wanted_voters: Option<Vec<NodeId>>) {
        let ballot = ballot::next(self.highest_ballot, self.me);
        self.highest_ballot = ballot;
        self.needed_since = None;
        self.proposal = Some(Proposal::begin(ballot, self.now, target.clone(), wanted_voters));
        for node in target {
            self.send(node, Message::Prepare { view: ballot });
        }
    }

    // ---- The proposer's part ----

    pub(super) fn handle_promise(&mut self, from: NodeId, ballot: u64, accepted: Option<Accepted>) {
        let Some(proposal) = &mut self.proposal else { return };
        if proposal.add_promise(from, ballot, accepted) {
            self.advance_proposal();
        }
    }

    /// Goes on with a proposal whose promises are in, and gives up one that takes too long.
    pub(super) fn advance_proposal(&mut self) {
        self.abandon_proposal_that_lost_a_member();
        self.expire_proposal();
        if let Some(chosen) = self.choose_view() {
            self.send_install(chosen);
        }
    }

    /// A member that failed will not answer; the next proposal goes on without it.
    fn abandon_proposal_that_lost_a_member(&mut self) {
        let chain = self.proposal.as_ref().and_then(Proposal::installing_chain);
        if chain.is_some_and(|chain| chain.iter().any(|node| self.has_lost(*node))) {
            self.proposal = None;
        }
    }

    fn expire_proposal(&mut self) {
        let Some(proposal) = self.proposal.take_if(|proposal| proposal.has_timed_out(self.now)) else {
            return;
        };
        let mut silent = proposal.unanswered();
        silent.retain(|node| *node != self.me);
        self.peers.exclude_silent(&silent, self.now);
    }

    fn choose_view(&mut self) -> Option<ChosenView> {
        let proposal = self.proposal.as_mut()?;
        let newest = proposal.gathered(self.now)?;
        let late = proposal.unanswered();
        let stands = self.known_view.as_ref().is_some_and(|known| known.number >= newest.ballot);
        let chosen = proposal.choose_view(&newest, stands);
        // It may name other voters than this node knows of, and says who has to be asked next.
        self.accepted_config = Some(newest.members);
        if chosen.is_some() {
            self.peers.exclude_late(&late, self.now);
        }
        chosen
    }

    fn send_install(&mut self, chosen: ChosenView) {
        let ChosenView { view, record } = chosen;
        for node in view.chain.clone() {
            self.send(node, Message::Install { view: view.clone(), record: Arc::clone(&record) });
        }
    }

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
        // Their callers send them again, to the head of this view.
        self.head_queue.clear();
        let broken = view.chain.iter().any(|node| self.has_lost(*node));
        self.installed = Some(InstalledView { view, stands: false, since: self.now, broken });
        self.persist(vec![Output::Send(from, Message::Installed { view: ballot })]);
    }

    /// All members have made a view durable.
    pub(super) fn handle_start_view(&mut self, view: View) {
        self.deference = None;
        self.accepted_config = None;
        self.peers.readmit(&view.chain);
        if self.known_view.as_ref().is_none_or(|known| known.number < view.number) {
            self.known_view = Some(view.clone());
        }
        self.start_installed_view(&view);
        self.dispatch_calls();
    }

    /// Starts the view where it is installed here, but not where a later promise has fenced it, or where a change has
    /// been accepted in it already.
    fn start_installed_view(&mut self, view: &View) {
        let fenced = self.hard_state.promised != view.number;
        let Some(installed) = self.installed.as_mut().filter(|installed| installed.view == *view) else {
            return;
        };
        if installed.stands || fenced {
            return;
        }
        installed.start(self.now);
        // What is needed now is needed of this view: else all nodes that waited for it to stand would propose the next
        // one at once, before it has answered anything.
        self.needed_since = None;
        if !self.hard_state.votes {
            // What it may have forgotten is known to a majority that has accepted this view, or lies below it.
            self.hard_state.votes = true;
            self.persist(Vec::new());
        }
        let record = Arc::clone(&self.hard_state.record);
        self.publish(record);
        self.send_heartbeats();
    }

    /// A message down the chain shows that its view stands, also where the message of that is still on its way. What the
    /// view began with is committed then, and what follows is not yet.
    pub(super) fn start_view_if_proved(&mut self, ballot: u64) {
        let Some(view) = self.unfenced_view(ballot).cloned() else { return };
        if self.installed.as_ref().is_some_and(|installed| !installed.stands) {
            self.handle_start_view(view);
        }
    }
}
