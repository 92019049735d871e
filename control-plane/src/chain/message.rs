//! Messages of the chain between control nodes, and the outputs that the caller has to carry out.
//!
//! The order of variants and fields is part of the wire format; their names are not.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain::ballot;
use crate::chain::settings::{MAX_NODES, MAX_VOTERS};
use crate::chain::{Call, HardState, JointConfig, Outcome, View};
use crate::deduplication::LogEntry;
use crate::ids::{CallId, NodeId};
use crate::record::Record;

/// Upper bound of the length of a chain: all voters of two sets.
const MAX_CHAIN_LENGTH: usize = 2 * MAX_VOTERS;

/// State that a node reports to its peers at every [`HEARTBEAT_INTERVAL`](crate::chain::HEARTBEAT_INTERVAL).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The voters of the newest view that the node knows.
    pub members: JointConfig,
    /// The highest ballot that the node knows.
    pub promised: u64,
    /// The active view in whose chain the node is; `None` if there is none.
    pub view: Option<View>,
    /// The peers that the node receives messages from.
    pub reachable_peers: Vec<NodeId>,
    /// Whether the node may have lost earlier promises with its disk, and so has no vote.
    pub wiped: bool,
    /// Whether the settings allow the node to become a voter.
    pub eligible: bool,
    /// Whether the node is draining or its disk stalls, so that the chain has to continue without it.
    pub unfit: bool,
    /// Whether the node is about to stop. If it is a voter, a standby replaces it.
    pub draining: bool,
    /// Log index of the newest committed record that the node knows.
    pub committed: u64,
}

/// An answer that depends on the newest version, and that the chain has to confirm first: see [`Message::Confirm`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The tail answers with the committed record.
    Committed {
        /// The tail answers [`Outcome::Unchanged`] if the record's log index is not above this one; `None` to get the
        /// record in any case.
        newer_than: Option<u64>,
    },
    /// The head's decision on a change that it rejects, or that has been applied before.
    Decided(Outcome),
}

/// Messages between control nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Shows all connected peers that the sender is alive, and reports its state.
    Heartbeat(Heartbeat),
    /// Phase 1 of Paxos: a proposer requests a promise from each node of the chain that it proposes.
    Prepare {
        /// The proposer's ballot.
        view: u64,
    },
    /// An acceptor's reply to [`Message::Prepare`]: it promises to accept nothing with a lower ballot.
    Promise {
        /// The promised ballot.
        view: u64,
        /// The ballot under which the record was accepted; `None` from a node without a vote, which may have lost
        /// earlier promises.
        accepted: Option<u64>,
        /// The voters of the view in which the record was accepted.
        members: JointConfig,
        /// The newest accepted record.
        record: Arc<Record>,
    },
    /// The sender has promised a higher ballot. It goes to the proposer of a [`Message::Prepare`] or
    /// [`Message::Install`] that the sender rejects, or to the head of a fenced view after a [`Message::Confirm`].
    Nack {
        /// The ballot that the sender has promised.
        promised: u64,
    },
    /// Phase 2 of Paxos: the proposer requests the members of the new chain to accept the view with its first record.
    Install {
        /// The proposed view.
        view: View,
        /// The record that the view begins with.
        record: Arc<Record>,
    },
    /// A member's reply to [`Message::Install`]: it has made the view durable.
    Installed {
        /// The view's ballot.
        view: u64,
    },
    /// From the proposer to all nodes: all members have made the view durable (`StartView` in Viewstamped Replication,
    /// 4.2).
    StartView {
        /// The view that has started.
        view: View,
    },
    /// A change, from a member of the chain to its successor.
    Update {
        /// The view's ballot.
        view: u64,
        /// The log entry of the change.
        entry: Arc<LogEntry>,
    },
    /// From the tail to all members of the chain: the change is committed.
    Acked {
        /// The view's ballot.
        view: u64,
        /// Log index of the change.
        seq: u64,
    },
    /// The newest committed record. The tail sends it to the nodes outside the chain at each commit, and each node
    /// sends it to a peer whose heartbeat reports an older one. Its deduplication table is empty, as nodes outside the
    /// chain only distribute the document; a node that becomes a member gets the table with [`Message::Install`].
    Committed {
        /// The committed record, without its table.
        record: Arc<Record>,
    },
    /// A client call, from the node that received it to the head of the newest view that this node knows.
    Forward {
        /// Identifies the call at the sender.
        id: CallId,
        /// The client's call.
        call: Call,
    },
    /// Confirms a claim before it is answered (`ReadIndex` in Raft, 6.4). It passes along the chain from the head after
    /// the call has started. Each member forwards it only if no promise has fenced the view, and the tail answers. The
    /// chain contains a quorum, and so do the acceptors that promised a newer view. They have a member in common, which
    /// had not promised yet when it forwarded this message.
    Confirm {
        /// The view's ballot.
        view: u64,
        /// The node that received the call.
        origin: NodeId,
        /// Identifies the call at that node.
        id: CallId,
        /// The claim to confirm.
        claim: Claim,
    },
    /// The result of a call, from the head or the tail to the node that received the call.
    Answer {
        /// Identifies the call at that node.
        id: CallId,
        /// The result.
        outcome: Outcome,
    },
}

impl Message {
    /// Whether all numbers and sizes in the message are in their valid ranges. Other messages are ignored, so that a
    /// faulty peer does not make other nodes fail.
    pub fn is_well_formed(&self) -> bool {
        match self {
            Message::Heartbeat(heartbeat) => is_valid_heartbeat(heartbeat),
            Message::Prepare { view } | Message::Installed { view } => ballot::is_valid(*view),
            Message::Promise { view, accepted, members, record } => {
                ballot::is_valid(*view)
                    && accepted.is_none_or(ballot::is_valid)
                    && is_valid_config(members)
                    && is_valid_record(record)
            }
            Message::Nack { promised } => ballot::is_valid(*promised),
            Message::Install { view, record } => is_valid_view(view) && is_valid_record(record),
            Message::StartView { view } => is_valid_view(view),
            Message::Update { view, entry } => ballot::is_valid(*view) && ballot::is_valid(entry.seq),
            Message::Acked { view, seq } => ballot::is_valid(*view) && ballot::is_valid(*seq),
            Message::Committed { record } => is_valid_record(record),
            Message::Confirm { view, claim, .. } => ballot::is_valid(*view) && is_valid_claim(claim),
            Message::Answer { outcome: Outcome::Document(record), .. } => is_valid_record(record),
            Message::Forward { .. } | Message::Answer { .. } => true,
        }
    }
}

/// The bound of the deduplication table is checked where it is deserialized.
fn is_valid_record(record: &Record) -> bool {
    ballot::is_valid(record.seq) && record.applied_orders.newest_rev() <= record.rev
}

fn is_valid_config(config: &JointConfig) -> bool {
    config.voters.len() <= MAX_VOTERS && config.outgoing.len() <= MAX_VOTERS
}

fn is_valid_view(view: &View) -> bool {
    // A member that is in the chain twice would forward messages to itself forever.
    let distinct = view.chain.iter().collect::<BTreeSet<_>>().len() == view.chain.len();
    ballot::is_valid(view.number)
        && distinct
        && !view.chain.is_empty()
        && view.chain.len() <= MAX_CHAIN_LENGTH
        && is_valid_config(&view.members)
        && !view.members.voters.is_empty()
}

fn is_valid_heartbeat(heartbeat: &Heartbeat) -> bool {
    ballot::is_valid(heartbeat.promised)
        && ballot::is_valid(heartbeat.committed)
        && is_valid_config(&heartbeat.members)
        && heartbeat.reachable_peers.len() <= MAX_NODES
        && heartbeat.view.as_ref().is_none_or(is_valid_view)
}

fn is_valid_claim(claim: &Claim) -> bool {
    match claim {
        Claim::Committed { .. } => true,
        Claim::Decided(outcome) => matches!(
            outcome,
            Outcome::Done { .. } | Outcome::Conflict { .. } | Outcome::Invalid(_) | Outcome::Forgotten { .. }
        ),
    }
}

/// An action that the caller has to carry out. The caller carries out the outputs in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a peer.
    Send(NodeId, Message),
    /// Make the state durable, and then call [`Chain::write_completed`](crate::chain::Chain::write_completed) with the
    /// number. Writes are carried out in the order of their numbers.
    Persist(u64, HardState),
    /// Answer the call with this number.
    Answer(u64, Outcome),
    /// Publish the newest committed record, which has changed.
    Publish(Arc<Record>),
}
