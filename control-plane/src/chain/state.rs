//! What a node keeps on disk, and how it starts from it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain::JointConfig;
use crate::ids::NodeId;
use crate::record::Record;

/// What must be on disk before any message that follows from it is sent (the hard state of Raft implementations).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The voters by the newest view that was accepted.
    pub members: JointConfig,
    /// All promises ever given are known. A node that lost its disk has no vote until a view has taken it in.
    pub votes: bool,
    /// The highest ballot promised: no part in views below it.
    pub promised: u64,
    /// The ballot of the view in which `record` was accepted.
    pub accepted: u64,
    /// The newest accepted record, committed or not.
    pub record: Arc<Record>,
}

impl HardState {
    /// The state of a node that has accepted nothing yet.
    fn empty(members: JointConfig, votes: bool) -> Self {
        HardState { members, votes, promised: 0, accepted: 0, record: Arc::default() }
    }
}

/// How a node starts.
pub enum Start {
    /// For the first time, with these voters.
    Fresh(Vec<NodeId>),
    /// From its disk.
    Kept(HardState),
    /// Without its disk, or as a node that never voted: it learns the voters from its peers.
    Wiped,
}

impl From<Start> for HardState {
    fn from(start: Start) -> Self {
        match start {
            Start::Fresh(voters) => HardState::empty(JointConfig::of(voters), true),
            Start::Kept(state) => state,
            Start::Wiped => HardState::empty(JointConfig::default(), false),
        }
    }
}
