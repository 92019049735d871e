//! Reconfiguration: replacement of failed voters, and changes of the voters that an operator requests (Raft, 4).
//!
//! A change takes three views. The first one adds the new voters to its chain as learners (Raft, 4.2.1), which gives them a
//! vote; its quorums are majorities of the old set. The second one has the joint configuration (Raft, 4.3), and its quorums
//! are majorities of both sets. Once it has started, the third one removes the old set.
//!
//! Invariant: two successive views have either the same voters, or one of them has a joint configuration that contains
//! the voter set of the other. So any two of their quorums have a voter in common.

use std::cmp::Reverse;

use crate::chain::peers::Peer;
use crate::chain::settings::{MAX_VOTERS, VOTER_CHANGE_TIMEOUT};
use crate::chain::{Chain, JointConfig};
use crate::ids::NodeId;
use crate::Millis;

/// A change of the voters that an operator requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Makes a standby a voter.
    Add(NodeId),
    /// Replaces a voter with a standby, or removes it without a replacement if the other voters tolerate the required
    /// losses.
    Remove(NodeId),
}

/// Why a change of the voters is rejected. The messages are sent in HTTP responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterChangeError {
    /// This node is not a voter in an active view with a quorum, and cannot start a change. Another node may be able to.
    #[error("this node is in no view that stands: ask another one, or again in a moment")]
    NoView,
    /// Another change of the voters is in progress.
    #[error("a change of the voters is under way: ask again in a moment")]
    InProgress,
    /// The node to add is a voter already.
    #[error("{0} is a voter already")]
    AlreadyVoter(NodeId),
    /// The node to remove is not a voter.
    #[error("{0} is no voter")]
    NotVoter(NodeId),
    /// The node to add is not connected to this node, or not to all reachable voters.
    #[error("{0} is not there, or not all voters that are hear it")]
    Unreachable(NodeId),
    /// The settings of the node to add do not allow it to become a voter.
    #[error("the settings of {0} don't say that it may vote")]
    NotEligible(NodeId),
    /// The maximum number of voters is reached already.
    #[error("{MAX_VOTERS} voters are the most")]
    TooManyVoters,
    /// There is no standby to replace the voter, and the remaining voters are too few to tolerate the required losses.
    #[error("no machine stands by: {left} voters would be left, and {needed} are needed to outlive {losses} losses")]
    NoStandby {
        /// Number of voters without the removed one.
        left: usize,
        /// Number of voters that are needed to tolerate the losses.
        needed: usize,
        /// Number of losses that the settings require the voters to tolerate.
        losses: usize,
    },
    /// Too few of the new voters are reachable for a quorum.
    #[error("only {there} of {voters} voters would be there, which is no majority")]
    NoQuorum {
        /// Number of reachable voters.
        there: usize,
        /// Number of all new voters.
        voters: usize,
    },
}

/// The voters that an operator has requested at this node.
#[derive(Clone, Debug)]
pub(super) struct RequestedVoters {
    voters: Vec<NodeId>,
    /// When this node abandons the request.
    expires_at: Millis,
}

impl Chain {
    /// Accepts an operator's request, and returns the voters after the change. The change is complete when
    /// [`Chain::members`] returns these voters. Any node may safely fail during the change, as each view contains its
    /// own configuration; if this node fails, the request is lost.
    ///
    /// # Errors
    ///
    /// [`VoterChangeError`] with the reason why the request is rejected.
    pub fn request_voter_change(
        &mut self,
        now: Millis,
        change: VoterChange,
    ) -> Result<Vec<NodeId>, VoterChangeError> {
        self.now = now;
        let members = self.members();
        if self.active_view().is_none() || !members.contains(self.node_id) || !self.has_quorum() {
            return Err(VoterChangeError::NoView);
        }
        if members.is_joint() || self.requested_voters.is_some() {
            return Err(VoterChangeError::InProgress);
        }
        let reachable = self.reachable_candidates();
        let mut voters = match change {
            VoterChange::Add(node) => self.voters_with(node, &reachable)?,
            VoterChange::Remove(node) => self.voters_without(node, &reachable)?,
        };
        voters.sort();
        self.check_majority(&voters, &reachable)?;
        self.requested_voters =
            Some(RequestedVoters { voters: voters.clone(), expires_at: now + VOTER_CHANGE_TIMEOUT });
        Ok(voters)
    }

    /// The voters after a node is added.
    fn voters_with(&self, node: NodeId, reachable: &[NodeId]) -> Result<Vec<NodeId>, VoterChangeError> {
        let mut voters = self.members().voters.clone();
        if voters.contains(&node) {
            return Err(VoterChangeError::AlreadyVoter(node));
        }
        if voters.len() >= MAX_VOTERS {
            return Err(VoterChangeError::TooManyVoters);
        }
        if !self.peers.matches(node, |peer| peer.up) {
            return Err(VoterChangeError::Unreachable(node));
        }
        if !self.peers.matches(node, |peer| peer.heartbeat.eligible) {
            return Err(VoterChangeError::NotEligible(node));
        }
        if !reachable.contains(&node) {
            return Err(VoterChangeError::Unreachable(node));
        }
        voters.push(node);
        Ok(voters)
    }

    /// The voters after one is removed. A standby replaces it if the others would be too few.
    fn voters_without(&self, node: NodeId, reachable: &[NodeId]) -> Result<Vec<NodeId>, VoterChangeError> {
        let members = self.members();
        if !members.voters.contains(&node) {
            return Err(VoterChangeError::NotVoter(node));
        }
        let mut voters = members.voters.clone();
        voters.retain(|voter| *voter != node);
        let (left, losses) = (voters.len(), self.settings.tolerated_losses);
        let needed = self.settings.voters_needed();
        if left < needed {
            let standby = reachable.iter().find(|node| !members.contains(**node));
            voters.push(*standby.ok_or(VoterChangeError::NoStandby { left, needed, losses })?);
        }
        Ok(voters)
    }

    /// Checks that enough of the new voters are reachable to form a quorum. A node that is to be added counts: it first
    /// joins the chain as a learner, and so has a vote by the time that the configuration changes.
    fn check_majority(&self, voters: &[NodeId], reachable: &[NodeId]) -> Result<(), VoterChangeError> {
        let members = self.members();
        let has_no_vote = |node: NodeId| members.contains(node) && self.is_wiped(node);
        let can_vote = |node: &NodeId| reachable.contains(node) && !has_no_vote(*node);
        if JointConfig::of(voters.to_vec()).is_quorum(can_vote) {
            return Ok(());
        }
        let there = voters.iter().filter(|node| can_vote(node)).count();
        Err(VoterChangeError::NoQuorum { there, voters: voters.len() })
    }

    /// Removes a request that is complete or has timed out.
    pub(super) fn expire_voter_request(&mut self) {
        let Some(requested) = &self.requested_voters else { return };
        let members = self.members();
        let is_complete = members.voters == requested.voters && !members.is_joint();
        if is_complete || self.now >= requested.expires_at {
            self.requested_voters = None;
        }
    }

    /// The voters that the next configuration should have, sorted; `None` if they are the current ones, and during a
    /// reconfiguration. Without an operator's request they are enough to tolerate the required losses, with failed
    /// voters replaced by standbys.
    pub(super) fn wanted_voters(&self, reachable: &[NodeId]) -> Option<Vec<NodeId>> {
        let members = self.members();
        if members.is_joint() {
            return None;
        }
        let mut wanted = match &self.requested_voters {
            Some(requested) => {
                let is_available = |node: &NodeId| members.voters.contains(node) || reachable.contains(node);
                if !requested.voters.iter().all(is_available) {
                    return None;
                }
                requested.voters.clone()
            }
            None => self.repaired_voters(reachable),
        };
        wanted.sort();
        (wanted != members.voters).then_some(wanted)
    }

    /// The voters, with failed and draining ones replaced by standbys, and with further standbys if there are too few
    /// voters to tolerate the required losses.
    fn repaired_voters(&self, reachable: &[NodeId]) -> Vec<NodeId> {
        let members = self.members();
        let mut standbys = reachable.iter().copied().filter(|node| !members.contains(*node));
        let needed = self.settings.voters_needed().min(MAX_VOTERS);
        // The voters that have been unreachable the longest are replaced first, as they are the least likely to come
        // back.
        let mut voters = members.voters.clone();
        voters.sort_by_key(|voter| Reverse(self.time_since_last_message(*voter)));
        let mut surplus = voters.len().saturating_sub(needed);
        let mut wanted = Vec::new();
        for voter in voters {
            if !self.has_to_be_replaced(voter) {
                wanted.push(voter);
            } else if let Some(standby) = standbys.next() {
                wanted.push(standby);
            } else if surplus > 0 {
                // An operator has requested more voters than are needed. A failed voter without a replacement is removed,
                // as it would only make a majority harder to reach.
                surplus -= 1;
            } else {
                wanted.push(voter);
            }
        }
        let missing = needed.saturating_sub(wanted.len());
        wanted.extend(standbys.take(missing));
        wanted
    }

    /// Whether a voter has to be replaced: it has been unreachable for too long, or it is draining. A draining voter may
    /// never come back, and is replaced before it stops.
    fn has_to_be_replaced(&self, voter: NodeId) -> bool {
        self.peers.matches(voter, |peer| peer.draining)
            || self.time_since_last_message(voter) >= self.settings.replacement_delay()
    }

    /// The standbys: reachable control nodes that are not voters, and whose settings allow them to become voters.
    pub fn standbys(&self) -> Vec<NodeId> {
        let members = self.members();
        let mut eligible = self.peers.matching(|peer| peer.heartbeat.eligible);
        eligible.retain(|node| self.is_reachable(*node) && !members.contains(*node));
        eligible
    }

    /// Whether this node must not stop yet: it is in the newest chain that it knows, with other members, or it is a
    /// voter that a standby is replacing or could replace. A draining node waits until this is false.
    pub fn is_needed(&self) -> bool {
        let installed = self.installed.as_ref().map(|installed| &installed.view);
        let views = [installed, self.known_view.as_ref()].into_iter().flatten();
        let newest = views.max_by_key(|view| view.number);
        let in_chain = newest.is_some_and(|view| view.chain.contains(&self.node_id) && view.chain.len() > 1);
        let members = self.members();
        // During a reconfiguration this node may be an outgoing voter, which a quorum still needs.
        let can_be_replaced = || {
            let is_fit = |peer: &Peer| !peer.heartbeat.unfit;
            members.is_joint() || self.standbys().iter().any(|node| self.peers.matches(*node, is_fit))
        };
        in_chain || members.contains(self.node_id) && can_be_replaced()
    }
}
