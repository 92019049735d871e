//! Ballots, and the acceptor's promises on them (Paxos, phase 1).
//!
//! A ballot is a counter in the upper half and its proposer's address in the lower, so that no two nodes propose the
//! same one.

use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::chain::settings::PROPOSAL_TIMEOUT;
use crate::chain::{Chain, JointConfig, Message, Output};
use crate::ids::NodeId;
use crate::Millis;

/// Bits of the proposer's address.
const PROPOSER_BITS: u32 = 32;
/// Ballots and log indexes are below this: ballots rise by 2^32 a view and indexes by 1, so that no system ever comes
/// near it. A number beyond it is malformed, and would leave no ballot above it to propose.
const NUMBER_LIMIT: u64 = 1 << 62;

/// Whether a ballot or log index is one that a node of this system sends.
pub(super) fn is_valid(number: u64) -> bool {
    number < NUMBER_LIMIT
}

/// The lowest ballot of a proposer above the highest that it has seen.
pub(super) fn next(highest: u64, proposer: NodeId) -> u64 {
    let round = (highest >> PROPOSER_BITS) + 1;
    (round << PROPOSER_BITS) | u64::from(u32::from(proposer))
}

/// A ballot for people: the round, and the proposer's address.
pub(super) fn name(ballot: u64) -> String {
    format!("{}.{}", ballot >> PROPOSER_BITS, Ipv4Addr::from(ballot as u32))
}

/// Another proposer that this node waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deference {
    pub(super) proposer: NodeId,
    pub(super) until: Millis,
}

impl Chain {
    /// The acceptor's part of phase 1: promises to take no part in views below the ballot, durably, or refuses.
    pub(super) fn handle_prepare(&mut self, from: NodeId, ballot: u64) {
        self.note_ballot(ballot);
        if from != self.me {
            self.deference = Some(Deference { proposer: from, until: self.now + PROPOSAL_TIMEOUT });
        }
        if !self.hard_state.votes {
            let (accepted, members, record) = (None, JointConfig::default(), Arc::default());
            return self.send(from, Message::Promise { view: ballot, accepted, members, record });
        }
        if ballot <= self.hard_state.promised {
            return self.send_nack(from);
        }
        self.hard_state.promised = ballot;
        // The promise fences all older views.
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

    /// A peer has promised a higher ballot: what was begun under a lower one is over.
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

    /// Tells a peer of the higher ballot that this node has promised.
    pub(super) fn send_nack(&mut self, to: NodeId) {
        self.send(to, Message::Nack { promised: self.hard_state.promised });
    }

    /// Remembers a ballot, so that the next proposal is above it.
    pub(super) fn note_ballot(&mut self, ballot: u64) {
        self.highest_ballot = self.highest_ballot.max(ballot);
    }
}
