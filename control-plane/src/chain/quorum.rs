//! Majorities, also of two voter sets at once (Raft's joint consensus).

use serde::{Deserialize, Serialize};

use crate::ids::NodeId;

/// The voters. While they change, a quorum is a majority of the new set and a majority of the outgoing one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JointConfig {
    /// The voters, or the incoming ones while a change is under way.
    pub voters: Vec<NodeId>,
    /// The outgoing voters while a change is under way, and empty otherwise.
    pub outgoing: Vec<NodeId>,
}

impl JointConfig {
    /// A configuration of one voter set.
    pub fn of(mut voters: Vec<NodeId>) -> Self {
        voters.sort();
        voters.dedup();
        JointConfig { voters, outgoing: Vec::new() }
    }

    /// Whether the nodes that the predicate holds for form a quorum.
    pub fn majority(&self, holds: impl Fn(&NodeId) -> bool) -> bool {
        self.every_set(|set| set.iter().filter(|node| holds(node)).count() > set.len() / 2)
    }

    /// Whether a node votes in either set.
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.outgoing.contains(&node)
    }

    /// Whether two voter sets count.
    pub(super) fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether any so many voters may fail, with their disks, without a committed change being lost.
    pub(super) fn survives(&self, losses: usize) -> bool {
        self.every_set(|set| set.len() > 2 * losses)
    }

    fn every_set(&self, holds: impl Fn(&[NodeId]) -> bool) -> bool {
        holds(&self.voters) && (!self.is_joint() || holds(&self.outgoing))
    }
}
