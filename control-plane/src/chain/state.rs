//! Durable state of a node, and how a node starts from it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain::JointConfig;
use crate::ids::NodeId;
use crate::record::Record;

/// State that must be durable before any message that depends on it is sent (the hard state of Raft implementations).
///
/// Invariant: `accepted` is not above `promised`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The voters of the newest accepted view.
    pub members: JointConfig,
    /// Whether the node still has all promises that it ever made, and so may vote. A node that has lost its disk has no
    /// vote until a view that includes it has started.
    pub votes: bool,
    /// The highest promised ballot. The node does not participate in views with a lower one.
    pub promised: u64,
    /// The ballot of the view in which `record` was accepted.
    pub accepted: u64,
    /// The newest accepted record, which may not be committed.
    pub record: Arc<Record>,
}

impl HardState {
    /// The state of a node that has accepted nothing yet.
    fn empty(members: JointConfig, votes: bool) -> Self {
        HardState { members, votes, promised: 0, accepted: 0, record: Arc::default() }
    }
}

/// The state from which a node starts.
pub enum Start {
    /// First start of an initial voter, with the initial set of voters.
    Fresh(Vec<NodeId>),
    /// Restart, with the state on the node's disk.
    Recovered(HardState),
    /// Start without durable state: the disk is lost, or the node has never voted. It learns the voters from its peers.
    Wiped,
}

impl From<Start> for HardState {
    fn from(start: Start) -> Self {
        match start {
            Start::Fresh(voters) => HardState::empty(JointConfig::of(voters), true),
            Start::Recovered(state) => state,
            Start::Wiped => HardState::empty(JointConfig::default(), false),
        }
    }
}
