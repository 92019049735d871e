//! What control nodes send each other, and what the caller of the chain has to carry out.
//!
//! The order of the variants is part of the wire format.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain::ballot;
use crate::chain::settings::{MAX_NODES, MAX_VOTERS};
use crate::chain::{Call, HardState, JointConfig, Outcome, View};
use crate::deduplication::LogEntry;
use crate::ids::{CallId, NodeId};
use crate::record::Record;

/// The longest chain: all voters of two sets.
const MAX_CHAIN: usize = 2 * MAX_VOTERS;

/// What a node says of itself at every [`HEARTBEAT_INTERVAL`](crate::chain::HEARTBEAT_INTERVAL).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The voters, by the newest view that it knows.
    pub members: JointConfig,
    /// The highest ballot that it has seen.
    pub promised: u64,
    /// The standing and unbroken view that it is a member of.
    pub view: Option<View>,
    /// The peers that it hears.
    pub heard_peers: Vec<NodeId>,
    /// It lost its disk, and may have forgotten promises.
    pub wiped: bool,
    /// It may become a voter.
    pub eligible: bool,
    /// It leaves, or its disk stalls: the chain goes on without it.
    pub unfit: bool,
    /// It leaves: a node that stands by takes its place, if it votes.
    pub leaving: bool,
    /// Index of the newest committed record that it knows.
    pub committed: u64,
}

/// A statement on the newest version, which a quorum has to confirm before it is answered: see [`Message::Confirm`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The tail answers with the committed record, if its index is higher than the one named.
    Committed {
        /// The index that the caller knows.
        than: Option<u64>,
    },
    /// What the head decided on a change that it does not begin with.
    Found(Outcome),
}

/// What control nodes send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Liveness, and what the sender knows of the core.
    Heartbeat(Heartbeat),
    /// Phase 1 of Paxos: asks for a promise.
    Prepare {
        /// The proposer's ballot.
        view: u64,
    },
    /// The acceptor's promise.
    Promise {
        /// The ballot promised.
        view: u64,
        /// The ballot of the record; `None` from a voter that may have forgotten promises: it may join, but has no vote.
        accepted: Option<u64>,
        /// The voters by the view that the record was accepted in.
        members: JointConfig,
        /// The newest record that the acceptor has accepted.
        record: Arc<Record>,
    },
    /// The sender has promised a higher ballot.
    Nack {
        /// That ballot.
        promised: u64,
    },
    /// Phase 2 of Paxos: the members of the new chain accept the view with its first record.
    Install {
        /// The view.
        view: View,
        /// The record that it begins with.
        record: Arc<Record>,
    },
    /// The sender has made the view durable.
    Installed {
        /// The view's ballot.
        view: u64,
    },
    /// All members have made the view durable (Viewstamped Replication's StartView).
    StartView {
        /// The view.
        view: View,
    },
    /// A change on its way down the chain, to a member that has all before it.
    Update {
        /// The view's ballot.
        view: u64,
        /// The change.
        entry: Arc<LogEntry>,
    },
    /// From the tail to the chain: the change is committed.
    Acked {
        /// The view's ballot.
        view: u64,
        /// Index of the change.
        seq: u64,
    },
    /// The newest committed record, to nodes outside the chain, without the table of orders: they only distribute the
    /// document. A node that comes to vote has the table from [`Message::Install`].
    Committed {
        /// The record.
        record: Arc<Record>,
    },
    /// A client call, to the head.
    Forward {
        /// Names the call at the sender.
        call: CallId,
        /// The call.
        what: Call,
    },
    /// Quorum contact for an answer (Raft's ReadIndex): it goes down the chain after the call has begun, each member
    /// passes it on where no promise has fenced the view, and the tail answers. The chain holds a majority, and so do
    /// the acceptors that promised a newer view: they meet in a member that had not promised yet when it passed this on.
    Confirm {
        /// The view's ballot.
        view: u64,
        /// The node that the call went in at.
        origin: NodeId,
        /// Names the call there.
        call: CallId,
        /// What is to be confirmed.
        claim: Claim,
    },
    /// The result of a call, to the node that it went in at.
    Answer {
        /// Names the call there.
        call: CallId,
        /// The result.
        outcome: Outcome,
    },
}

impl Message {
    /// Whether a correct node sends this at all. What is malformed is ignored: a broken peer must not take the others
    /// along.
    pub fn is_sound(&self) -> bool {
        match self {
            Message::Heartbeat(heartbeat) => is_sound_heartbeat(heartbeat),
            Message::Prepare { view } | Message::Installed { view } => ballot::is_valid(*view),
            Message::Promise { view, accepted, members, record } => {
                ballot::is_valid(*view)
                    && accepted.is_none_or(ballot::is_valid)
                    && is_sound_config(members)
                    && is_sound_record(record)
            }
            Message::Nack { promised } => ballot::is_valid(*promised),
            Message::Install { view, record } => is_sound_view(view) && is_sound_record(record),
            Message::StartView { view } => is_sound_view(view),
            Message::Update { view, entry } => ballot::is_valid(*view) && ballot::is_valid(entry.seq),
            Message::Acked { view, seq } => ballot::is_valid(*view) && ballot::is_valid(*seq),
            Message::Committed { record } => is_sound_record(record),
            Message::Confirm { view, claim, .. } => ballot::is_valid(*view) && is_sound_claim(claim),
            Message::Answer { outcome: Outcome::Document(record), .. } => is_sound_record(record),
            Message::Forward { .. } | Message::Answer { .. } => true,
        }
    }
}

/// The table of orders is bounded where it is deserialised.
fn is_sound_record(record: &Record) -> bool {
    ballot::is_valid(record.seq) && record.applied_orders.newest() <= record.rev
}

fn is_sound_config(config: &JointConfig) -> bool {
    config.voters.len() <= MAX_VOTERS && config.outgoing.len() <= MAX_VOTERS
}

fn is_sound_view(view: &View) -> bool {
    // A member that is in the chain twice would pass on to itself for ever.
    let distinct = view.chain.iter().collect::<BTreeSet<_>>().len() == view.chain.len();
    ballot::is_valid(view.number)
        && distinct
        && !view.chain.is_empty()
        && view.chain.len() <= MAX_CHAIN
        && is_sound_config(&view.members)
        && !view.members.voters.is_empty()
}

fn is_sound_heartbeat(heartbeat: &Heartbeat) -> bool {
    ballot::is_valid(heartbeat.promised)
        && ballot::is_valid(heartbeat.committed)
        && is_sound_config(&heartbeat.members)
        && heartbeat.heard_peers.len() <= MAX_NODES
        && heartbeat.view.as_ref().is_none_or(is_sound_view)
}

fn is_sound_claim(claim: &Claim) -> bool {
    match claim {
        Claim::Committed { .. } => true,
        Claim::Found(outcome) => matches!(
            outcome,
            Outcome::Done { .. } | Outcome::Conflict { .. } | Outcome::Invalid(_) | Outcome::Forgotten { .. }
        ),
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a peer.
    Send(NodeId, Message),
    /// Make the state durable, in the order of the numbers; then call [`Chain::synced`](crate::chain::Chain::synced)
    /// with the number.
    Persist(u64, HardState),
    /// Answer a call.
    Answer(u64, Outcome),
    /// The newest committed record has changed.
    Publish(Arc<Record>),
}
