//! Ballots, and the acceptor's promises on them (phase 1 of *Paxos Made Simple*, 2.2).
//!
//! A ballot has a round number in its upper half and the proposer's address in its lower half, so that no two nodes ever
//! propose with the same ballot.
//!
//! Invariants of an acceptor: the promised ballot never decreases, and it is durable before the promise is sent. After a
//! promise the acceptor does not participate in views with a lower ballot.

use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::chain::settings::PROPOSAL_TIMEOUT;
use crate::chain::{Chain, JointConfig, Message, Output};
use crate::ids::NodeId;
use crate::Millis;

/// Bits of the proposer's address in a ballot.
const PROPOSER_BITS: u32 = 32;
/// Exclusive upper bound of ballots and log indexes. A ballot increases by about 2^32 with each view and an index by 1
/// with each change, so no system reaches the bound. A message with a number that is not below it is rejected as
/// malformed: a proposer needs a ballot above every ballot that it knows, and would have no valid one left.
const BALLOT_AND_INDEX_LIMIT: u64 = 1 << 62;

/// Whether a ballot or log index is in the valid range.
pub(super) fn is_valid(number: u64) -> bool {
    number < BALLOT_AND_INDEX_LIMIT
}

/// The lowest ballot of a proposer whose round is above that of the highest ballot that it knows.
pub(super) fn next(highest: u64, proposer: NodeId) -> u64 {
    let round = (highest >> PROPOSER_BITS) + 1;
    (round << PROPOSER_BITS) | u64::from(u32::from(proposer))
}

/// A ballot in readable form: its round number and its proposer's address.
pub(super) fn name(ballot: u64) -> String {
    format!("{}.{}", ballot >> PROPOSER_BITS, Ipv4Addr::from(ballot as u32))
}

/// Delays this node's own proposal until the proposal of another node has finished. Two proposers that keep interrupting
/// each other would make no progress (*Paxos Made Simple*, 2.4).
#[derive(Clone, Copy, Debug)]
pub(super) struct ProposerBackoff {
    pub(super) proposer: NodeId,
    pub(super) until: Millis,
}

impl Chain {
    /// The acceptor's part of phase 1: it promises the ballot, or sends a nack if it has promised this or a higher one.
    ///
    /// A node without a vote may have lost its earlier promises. It answers without an accepted record: the proposer can
    /// include it in the chain, but does not count it towards a quorum.
    pub(super) fn handle_prepare(&mut self, from: NodeId, ballot: u64) {
        self.note_ballot(ballot);
        if from != self.node_id {
            self.proposer_backoff =
                Some(ProposerBackoff { proposer: from, until: self.now + PROPOSAL_TIMEOUT });
        }
        if !self.hard_state.votes {
            let (accepted, members, record) = (None, JointConfig::default(), Arc::default());
            return self.send(from, Message::Promise { view: ballot, accepted, members, record });
        }
        if ballot <= self.hard_state.promised {
            return self.send_nack(from);
        }
        self.hard_state.promised = ballot;
        // The promise fences all views with lower ballots.
        self.break_view();
        self.in_flight = None;
        let promise = Message::Promise {
            view: ballot,
            accepted: Some(self.hard_state.accepted),
            members: self.hard_state.members.clone(),
            record: Arc::clone(&self.hard_state.record),
        };
        self.persist(vec![Output::Send(from, promise)]);
    }

    /// Handles the message that a peer has promised a higher ballot. The view cannot continue if the peer is in its
    /// chain, and a proposal with a lower ballot cannot succeed.
    pub(super) fn handle_nack(&mut self, from: NodeId, promised: u64) {
        self.note_ballot(promised);
        let fenced = self.installed.as_ref().is_some_and(|installed| {
            installed.view.number < promised && installed.view.chain.contains(&from)
        });
        if fenced {
            self.break_view();
        }
        if self.proposal.as_ref().is_some_and(|proposal| proposal.ballot() < promised) {
            self.proposal = None;
        }
    }

    /// Tells a peer which ballot this node has promised.
    pub(super) fn send_nack(&mut self, to: NodeId) {
        self.send(to, Message::Nack { promised: self.hard_state.promised });
    }

    /// Records a ballot, so that the next proposal of this node has a higher one.
    pub(super) fn note_ballot(&mut self, ballot: u64) {
        self.highest_ballot = self.highest_ballot.max(ballot);
    }
}
