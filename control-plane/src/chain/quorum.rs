//! Quorums: a majority of one voter set, or of each of two sets (joint consensus in Raft, 4.3).
//!
//! Invariant: any two quorums of the same configuration have a voter in common, and so do a quorum of a joint configuration
//! and a quorum of either of its sets.

use serde::{Deserialize, Serialize};

use crate::ids::NodeId;

/// The voters. While they change, a quorum is a majority of the incoming set and a majority of the outgoing one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JointConfig {
    /// The voters; during a reconfiguration, the incoming ones.
    pub voters: Vec<NodeId>,
    /// The outgoing voters during a reconfiguration; empty otherwise.
    pub outgoing: Vec<NodeId>,
}

impl JointConfig {
    /// A configuration with one voter set. Duplicates are removed.
    pub fn of(mut voters: Vec<NodeId>) -> Self {
        voters.sort();
        voters.dedup();
        JointConfig { voters, outgoing: Vec::new() }
    }

    /// Whether the nodes that the predicate selects form a quorum: a majority of each voter set.
    pub fn is_quorum(&self, predicate: impl Fn(&NodeId) -> bool) -> bool {
        self.every_set(|set| set.iter().filter(|node| predicate(node)).count() > set.len() / 2)
    }

    /// Whether a node is in either voter set.
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.outgoing.contains(&node)
    }

    /// Whether a reconfiguration is in progress, so that a quorum needs majorities of two sets.
    pub(super) fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether any `losses` voters may fail, with their disks, while the remaining ones still form a quorum.
    pub(super) fn tolerates(&self, losses: usize) -> bool {
        self.every_set(|set| set.len() > 2 * losses)
    }

    fn every_set(&self, predicate: impl Fn(&[NodeId]) -> bool) -> bool {
        predicate(&self.voters) && (!self.is_joint() || predicate(&self.outgoing))
    }
}
