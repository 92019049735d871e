//! The proposer's state machine. In phase 1 the proposer gathers promises, and in phase 2 the members of the new chain
//! install the view. This is *Paxos Made Simple*, 2.2, with the new chain as the quorum of phase 2.
//!
//! Invariants: the record of the chosen view is the newest accepted one among the promises of a quorum. The chain of the
//! chosen view contains a quorum of the voters that were accepted with that record.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::chain::settings::{PROMISE_TIMEOUT, PROPOSAL_TIMEOUT};
use crate::chain::{JointConfig, View};
use crate::ids::NodeId;
use crate::record::Record;
use crate::Millis;

/// The state that an acceptor had accepted when it gave its promise.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    pub(super) ballot: u64,
    pub(super) members: JointConfig,
    pub(super) record: Arc<Record>,
}

/// Phase 1: the proposer waits for promises.
#[derive(Clone, Debug)]
struct Gathering {
    /// The voters that the new view should have; `None` if they do not change.
    wanted_voters: Option<Vec<NodeId>>,
    /// The promises by their senders, with the accepted state; `None` from a node without a vote.
    promises: BTreeMap<NodeId, Option<Accepted>>,
}

/// Phase 2: the proposer waits until all members of the chain have made the view durable.
#[derive(Clone, Debug)]
struct Installing {
    view: View,
    installed: BTreeSet<NodeId>,
}

#[derive(Clone, Debug)]
enum Phase {
    Gathering(Gathering),
    Installing(Installing),
}

/// The view that follows from a quorum of promises, and the record that the view begins with.
pub(super) struct ChosenView {
    pub(super) view: View,
    pub(super) record: Arc<Record>,
}

/// A view that this node proposes.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    ballot: u64,
    started_at: Millis,
    /// The nodes to which a prepare message was sent.
    target: Vec<NodeId>,
    phase: Phase,
}

impl Gathering {
    fn has_vote(&self, node: &NodeId) -> bool {
        self.promises.get(node).is_some_and(Option::is_some)
    }

    fn newest_accepted(&self) -> Option<&Accepted> {
        self.promises.values().flatten().max_by_key(|accepted| (accepted.ballot, accepted.record.seq))
    }

    /// Whether the wanted voters may become the voters of the next view. New voters are first added as learners to the
    /// chain of a view with the old voters, which gives them a vote. If they became voters without a vote, and all
    /// machines lost power before the view was started, they could not vote afterwards. With the loss of one more disk
    /// the new set could never form a majority again.
    fn can_become_voters(&self, wanted: &[NodeId], current: &JointConfig) -> bool {
        wanted.iter().all(|node| current.contains(*node) || self.has_vote(node))
            && JointConfig::of(wanted.to_vec()).is_quorum(|node| self.has_vote(node))
    }

    /// The voters of the next view. `started` is whether the view with the current voters is known to have started.
    fn next_config(&self, current: &JointConfig, started: bool) -> JointConfig {
        let wanted = self.wanted_voters.as_ref().filter(|_| !current.is_joint());
        if let Some(wanted) = wanted.filter(|wanted| self.can_become_voters(wanted, current)) {
            return JointConfig { voters: wanted.clone(), outgoing: current.voters.clone() };
        }
        if !started {
            // Some members may not have accepted this configuration. A view with it has to start before the outgoing
            // voters are removed.
            return current.clone();
        }
        JointConfig { voters: current.voters.clone(), outgoing: Vec::new() }
    }
}

impl Proposal {
    /// Creates a proposal in phase 1. The caller sends a prepare message to each node in `target`.
    pub(super) fn begin(
        ballot: u64,
        started_at: Millis,
        target: Vec<NodeId>,
        wanted_voters: Option<Vec<NodeId>>,
    ) -> Self {
        let phase = Phase::Gathering(Gathering { wanted_voters, promises: BTreeMap::new() });
        Proposal { ballot, started_at, target, phase }
    }

    pub(super) fn ballot(&self) -> u64 {
        self.ballot
    }

    pub(super) fn has_timed_out(&self, now: Millis) -> bool {
        now >= self.started_at + PROPOSAL_TIMEOUT
    }

    /// The members of the new chain in phase 2; `None` in phase 1.
    pub(super) fn installing_chain(&self) -> Option<&[NodeId]> {
        match &self.phase {
            Phase::Gathering(_) => None,
            Phase::Installing(installing) => Some(&installing.view.chain),
        }
    }

    /// The target nodes that have not answered in the current phase.
    pub(super) fn unanswered(&self) -> Vec<NodeId> {
        let has_answered = |node: &NodeId| match &self.phase {
            Phase::Gathering(gathering) => gathering.promises.contains_key(node),
            Phase::Installing(installing) => installing.installed.contains(node),
        };
        self.target.iter().copied().filter(|node| !has_answered(node)).collect()
    }

    /// Adds a promise. Returns false, and ignores the promise, if this proposal does not wait for it.
    pub(super) fn add_promise(&mut self, from: NodeId, ballot: u64, accepted: Option<Accepted>) -> bool {
        match &mut self.phase {
            Phase::Gathering(gathering) if ballot == self.ballot && self.target.contains(&from) => {
                gathering.promises.insert(from, accepted);
                true
            }
            _ => false,
        }
    }

    /// Removes the promise of a node whose link is down: the node may since have lost its disk, and the promise with it.
    pub(super) fn withdraw_promise(&mut self, from: NodeId) {
        if let Phase::Gathering(gathering) = &mut self.phase {
            gathering.promises.remove(&from);
        }
    }

    /// The newest accepted state among the promises, once all promises are received or [`PROMISE_TIMEOUT`] has passed.
    pub(super) fn phase_one_result(&self, now: Millis) -> Option<Accepted> {
        let Phase::Gathering(gathering) = &self.phase else { return None };
        let all_answered = self.target.iter().all(|node| gathering.promises.contains_key(node));
        if !all_answered && now < self.started_at + PROMISE_TIMEOUT {
            return None;
        }
        gathering.newest_accepted().cloned()
    }

    /// Enters phase 2 if a quorum has promised. The quorum is that of the voters of the newest accepted state, which
    /// may differ from those that the proposer knew. `started` is whether the view of that state is known to have
    /// started.
    pub(super) fn choose_view(&mut self, newest: &Accepted, started: bool) -> Option<ChosenView> {
        let Phase::Gathering(gathering) = &self.phase else { return None };
        if !newest.members.is_quorum(|node| gathering.has_vote(node)) {
            return None;
        }
        let view = View {
            number: self.ballot,
            chain: gathering.promises.keys().copied().collect(),
            members: gathering.next_config(&newest.members, started),
        };
        self.phase = Phase::Installing(Installing { view: view.clone(), installed: BTreeSet::new() });
        Some(ChosenView { view, record: Arc::clone(&newest.record) })
    }

    /// Records that a member has made the view durable. Returns the view once all members have done so.
    pub(super) fn add_installed(&mut self, from: NodeId, ballot: u64) -> Option<View> {
        let Phase::Installing(installing) = &mut self.phase else { return None };
        if installing.view.number != ballot {
            return None;
        }
        installing.installed.insert(from);
        let complete = installing.installed.len() >= installing.view.chain.len();
        complete.then(|| installing.view.clone())
    }
}
