//! The proposer's state machine (Paxos): first it gathers promises, then the members of the new chain install the view.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::chain::settings::{PROMISE_TIMEOUT, PROPOSAL_TIMEOUT};
use crate::chain::{JointConfig, View};
use crate::ids::NodeId;
use crate::record::Record;
use crate::Millis;

/// What an acceptor had accepted when it gave its promise.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    pub(super) ballot: u64,
    pub(super) members: JointConfig,
    pub(super) record: Arc<Record>,
}

/// Phase 1: promises are on their way.
#[derive(Clone, Debug)]
struct Gathering {
    /// The voters from then on, if others than now.
    wanted_voters: Option<Vec<NodeId>>,
    /// `None` from a node that has no vote.
    promises: BTreeMap<NodeId, Option<Accepted>>,
}

/// Phase 2: the members of the chain make the view durable.
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

/// What a quorum of promises allows: the view to install, and the record that it begins with.
pub(super) struct ChosenView {
    pub(super) view: View,
    pub(super) record: Arc<Record>,
}

/// A view that this node proposes.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    ballot: u64,
    since: Millis,
    /// The nodes that were asked.
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

    /// New voters are taken into the chain of a view with the old set first, which gives them a vote. Counted without
    /// one, they would be lost to the new set if all power failed before the view stands, and with one disk more it
    /// could never have a majority again.
    fn can_become_voters(&self, wanted: &[NodeId], current: &JointConfig) -> bool {
        wanted.iter().all(|node| current.contains(*node) || self.has_vote(node))
            && JointConfig::of(wanted.to_vec()).majority(|node| self.has_vote(node))
    }

    /// The voters of the next view, after a configuration that is known to stand or not.
    fn next_config(&self, current: &JointConfig, stands: bool) -> JointConfig {
        let wanted = self.wanted_voters.as_ref().filter(|_| !current.is_joint());
        if let Some(wanted) = wanted.filter(|wanted| self.can_become_voters(wanted, current)) {
            return JointConfig { voters: wanted.clone(), outgoing: current.voters.clone() };
        }
        if !stands {
            // A change that only some may have seen is made whole before the outgoing set is let go of.
            return current.clone();
        }
        JointConfig { voters: current.voters.clone(), outgoing: Vec::new() }
    }
}

impl Proposal {
    /// Begins phase 1: a prepare goes to each node of the target.
    pub(super) fn begin(
        ballot: u64,
        since: Millis,
        target: Vec<NodeId>,
        wanted_voters: Option<Vec<NodeId>>,
    ) -> Self {
        let phase = Phase::Gathering(Gathering { wanted_voters, promises: BTreeMap::new() });
        Proposal { ballot, since, target, phase }
    }

    pub(super) fn ballot(&self) -> u64 {
        self.ballot
    }

    pub(super) fn has_timed_out(&self, now: Millis) -> bool {
        now >= self.since + PROPOSAL_TIMEOUT
    }

    /// The members of the view that is being installed.
    pub(super) fn installing_chain(&self) -> Option<&[NodeId]> {
        match &self.phase {
            Phase::Gathering(_) => None,
            Phase::Installing(installing) => Some(&installing.view.chain),
        }
    }

    /// The nodes that were asked and have not answered in this phase.
    pub(super) fn unanswered(&self) -> Vec<NodeId> {
        let has_answered = |node: &NodeId| match &self.phase {
            Phase::Gathering(gathering) => gathering.promises.contains_key(node),
            Phase::Installing(installing) => installing.installed.contains(node),
        };
        self.target.iter().copied().filter(|node| !has_answered(node)).collect()
    }

    /// Takes a promise, if it was asked for; says whether it was.
    pub(super) fn add_promise(&mut self, from: NodeId, ballot: u64, accepted: Option<Accepted>) -> bool {
        match &mut self.phase {
            Phase::Gathering(gathering) if ballot == self.ballot && self.target.contains(&from) => {
                gathering.promises.insert(from, accepted);
                true
            }
            _ => false,
        }
    }

    /// A promise ends with its link: the node may have lost its disk since, and have promised more in between.
    pub(super) fn withdraw_promise(&mut self, from: NodeId) {
        if let Phase::Gathering(gathering) = &mut self.phase {
            gathering.promises.remove(&from);
        }
    }

    /// The newest accepted state among the promises, once all are in, or no more are waited for.
    pub(super) fn gathered(&self, now: Millis) -> Option<Accepted> {
        let Phase::Gathering(gathering) = &self.phase else { return None };
        let all_answered = self.target.iter().all(|node| gathering.promises.contains_key(node));
        if !all_answered && now < self.since + PROMISE_TIMEOUT {
            return None;
        }
        gathering.newest_accepted().cloned()
    }

    /// Goes on to phase 2 where a quorum has promised, counted by the newest state that was accepted, whatever the
    /// proposer knew. `stands` says that the view of that state is known to stand.
    pub(super) fn choose_view(&mut self, newest: &Accepted, stands: bool) -> Option<ChosenView> {
        let Phase::Gathering(gathering) = &self.phase else { return None };
        if !newest.members.majority(|node| gathering.has_vote(node)) {
            return None;
        }
        let view = View {
            number: self.ballot,
            chain: gathering.promises.keys().copied().collect(),
            members: gathering.next_config(&newest.members, stands),
        };
        self.phase = Phase::Installing(Installing { view: view.clone(), installed: BTreeSet::new() });
        Some(ChosenView { view, record: Arc::clone(&newest.record) })
    }

    /// Notes that a member has made the view durable; gives the view once all have.
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
