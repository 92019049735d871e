//! Changes of the voters: which voters there should be, and what an operator may request of them.
//!
//! A change takes three views. The first takes the new voters into its chain as learners, which gives them a vote, while
//! the old set counts. The second counts both sets. Once it stands, the third lets go of the old set.

use std::cmp::Reverse;

use crate::chain::peers::Peer;
use crate::chain::settings::{MAX_VOTERS, VOTER_CHANGE_TIMEOUT};
use crate::chain::{Chain, JointConfig};
use crate::ids::NodeId;
use crate::Millis;

/// What an operator requests of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// A machine that stands by becomes a voter.
    Add(NodeId),
    /// A voter gives its place to one that stands by, or leaves where there are more than the losses ask for.
    Remove(NodeId),
}

/// Why the voters stay as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterChangeError {
    /// This node can't begin a change.
    #[error("this node is in no view that stands: ask another one, or again in a moment")]
    NoView,
    /// One change at a time.
    #[error("a change of the voters is under way: ask again in a moment")]
    UnderWay,
    /// There is nothing to add.
    #[error("{0} is a voter already")]
    Votes(NodeId),
    /// There is nothing to remove.
    #[error("{0} is no voter")]
    NoVoter(NodeId),
    /// The machine is not reachable for all members.
    #[error("{0} is not there, or not all voters that are hear it")]
    NotThere(NodeId),
    /// The machine may not vote.
    #[error("the settings of {0} don't say that it may vote")]
    NotEligible(NodeId),
    /// The bound of the voters is reached.
    #[error("{MAX_VOTERS} voters are the most")]
    TooMany,
    /// The core would bear fewer losses than promised.
    #[error("no machine stands by: {left} voters would be left, and {needed} are needed to outlive {losses} losses")]
    NobodyStandsBy {
        /// Voters without the one removed.
        left: usize,
        /// Voters that the promise takes.
        needed: usize,
        /// The promised losses.
        losses: usize,
    },
    /// The new voters could commit nothing.
    #[error("only {there} of {voters} voters would be there, which is no majority")]
    NoMajority {
        /// Voters that are there.
        there: usize,
        /// All of them.
        voters: usize,
    },
}

/// The voters that an operator requested at this node.
#[derive(Clone, Debug)]
pub(super) struct RequestedVoters {
    voters: Vec<NodeId>,
    /// How long this node tries.
    until: Millis,
}

impl Chain {
    /// Takes an operator's request: gives the voters that there will be, once views with them stand
    /// ([`Chain::members`] tells), or says why not. Safe whoever fails on the way: each view carries the set, and the
    /// request is forgotten with this node.
    pub fn request_voter_change(
        &mut self,
        now: Millis,
        change: VoterChange,
    ) -> Result<Vec<NodeId>, VoterChangeError> {
        self.now = now;
        let members = self.members();
        if self.active_view().is_none() || !members.contains(self.me) || !self.has_quorum() {
            return Err(VoterChangeError::NoView);
        }
        if members.is_joint() || self.requested_voters.is_some() {
            return Err(VoterChangeError::UnderWay);
        }
        let reachable = self.reachable_candidates();
        let mut voters = match change {
            VoterChange::Add(node) => self.voters_with(node, &reachable)?,
            VoterChange::Remove(node) => self.voters_without(node, &reachable)?,
        };
        voters.sort();
        self.check_majority(&voters, &reachable)?;
        self.requested_voters =
            Some(RequestedVoters { voters: voters.clone(), until: now + VOTER_CHANGE_TIMEOUT });
        Ok(voters)
    }

    fn voters_with(&self, node: NodeId, reachable: &[NodeId]) -> Result<Vec<NodeId>, VoterChangeError> {
        let mut voters = self.members().voters.clone();
        if voters.contains(&node) {
            return Err(VoterChangeError::Votes(node));
        }
        if voters.len() >= MAX_VOTERS {
            return Err(VoterChangeError::TooMany);
        }
        if !self.peers.check(node, |peer| peer.up) {
            return Err(VoterChangeError::NotThere(node));
        }
        if !self.peers.check(node, |peer| peer.heartbeat.eligible) {
            return Err(VoterChangeError::NotEligible(node));
        }
        if !reachable.contains(&node) {
            return Err(VoterChangeError::NotThere(node));
        }
        voters.push(node);
        Ok(voters)
    }

    fn voters_without(&self, node: NodeId, reachable: &[NodeId]) -> Result<Vec<NodeId>, VoterChangeError> {
        let members = self.members();
        if !members.voters.contains(&node) {
            return Err(VoterChangeError::NoVoter(node));
        }
        let mut voters = members.voters.clone();
        voters.retain(|voter| *voter != node);
        let (left, losses) = (voters.len(), self.settings.losses);
        let needed = self.settings.voters_needed();
        if left < needed {
            let successor = reachable.iter().find(|node| !members.contains(**node));
            voters.push(*successor.ok_or(VoterChangeError::NobodyStandsBy { left, needed, losses })?);
        }
        Ok(voters)
    }

    /// A new voter is taken into the chain first, and has a vote by then.
    fn check_majority(&self, voters: &[NodeId], reachable: &[NodeId]) -> Result<(), VoterChangeError> {
        let members = self.members();
        let has_forgotten = |node: NodeId| members.contains(node) && self.is_wiped(node);
        let is_there = |node: &NodeId| reachable.contains(node) && !has_forgotten(*node);
        if JointConfig::of(voters.to_vec()).majority(is_there) {
            return Ok(());
        }
        let there = voters.iter().filter(|node| is_there(node)).count();
        Err(VoterChangeError::NoMajority { there, voters: voters.len() })
    }

    /// Forgets a request that is fulfilled, or has been tried for long enough.
    pub(super) fn expire_voter_request(&mut self) {
        let Some(requested) = &self.requested_voters else { return };
        let members = self.members();
        let fulfilled = members.voters == requested.voters && !members.is_joint();
        if fulfilled || self.now >= requested.until {
            self.requested_voters = None;
        }
    }

    /// The voters that there should be, if others than now: as many as the losses ask for, and in the place of each that
    /// has been away for long one that stands by. `None` while a change is under way.
    pub(super) fn wanted_voters(&self, reachable: &[NodeId]) -> Option<Vec<NodeId>> {
        let members = self.members();
        if members.is_joint() {
            return None;
        }
        let mut wanted = match &self.requested_voters {
            Some(requested) => {
                let is_there = |node: &NodeId| members.voters.contains(node) || reachable.contains(node);
                if !requested.voters.iter().all(is_there) {
                    return None;
                }
                requested.voters.clone()
            }
            None => self.repaired_voters(reachable),
        };
        wanted.sort();
        (wanted != members.voters).then_some(wanted)
    }

    /// The voters with those replaced that failed or leave, and with as many added as the losses ask for.
    fn repaired_voters(&self, reachable: &[NodeId]) -> Vec<NodeId> {
        let members = self.members();
        let mut standing_by = reachable.iter().copied().filter(|node| !members.contains(*node));
        let needed = self.settings.voters_needed().min(MAX_VOTERS);
        // Those that have been away for longest first: they are the least likely to come back.
        let mut voters = members.voters.clone();
        voters.sort_by_key(|voter| Reverse(self.silent_for(*voter)));
        let mut surplus = voters.len().saturating_sub(needed);
        let mut wanted = Vec::new();
        for voter in voters {
            if !self.gives_up_vote(voter) {
                wanted.push(voter);
            } else if let Some(successor) = standing_by.next() {
                wanted.push(successor);
            } else if surplus > 0 {
                // Where an operator's request has made more voters than the losses ask for, one that failed and has no
                // successor would only count against a majority.
                surplus -= 1;
            } else {
                wanted.push(voter);
            }
        }
        let missing = needed.saturating_sub(wanted.len());
        wanted.extend(standing_by.take(missing));
        wanted
    }

    /// Whether a voter is to be replaced. One that leaves announces it, and is replaced before it has gone: it may be
    /// gone for good, and then counts no more at once.
    fn gives_up_vote(&self, voter: NodeId) -> bool {
        self.peers.check(voter, |peer| peer.left) || self.silent_for(voter) >= self.settings.replaced_after()
    }

    /// Control nodes that may vote and do not, and are there.
    pub fn standbys(&self) -> Vec<NodeId> {
        let members = self.members();
        let mut eligible = self.peers.matching(|peer| peer.heartbeat.eligible);
        eligible.retain(|node| self.hears(*node) && !members.contains(*node));
        eligible
    }

    /// Whether the core still counts on this node: it is in the newest chain that stands, or that it has accepted; or it
    /// votes, and another takes its place, or could. A node that leaves waits for both.
    pub fn is_needed(&self) -> bool {
        let installed = self.installed.as_ref().map(|installed| &installed.view);
        let views = [installed, self.known_view.as_ref()].into_iter().flatten();
        let newest = views.max_by_key(|view| view.number);
        let in_chain = newest.is_some_and(|view| view.chain.contains(&self.me) && view.chain.len() > 1);
        let members = self.members();
        // While both sets count, the outgoing one is counted with it.
        let can_be_replaced = || {
            let is_fit = |peer: &Peer| !peer.heartbeat.unfit;
            members.is_joint() || self.standbys().iter().any(|node| self.peers.check(*node, is_fit))
        };
        in_chain || members.contains(self.me) && can_be_replaced()
    }
}
