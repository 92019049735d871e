//! Views (Viewstamped Replication). A view consists of its ballot, the chain of replicas, and the voters.

use serde::{Deserialize, Serialize};

use crate::chain::ballot;
use crate::chain::JointConfig;
use crate::ids::NodeId;
use crate::Millis;

/// A view. Its chain contains a quorum of its voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The ballot under which the view was proposed.
    pub number: u64,
    /// The replicas from the head to the tail, each once.
    pub chain: Vec<NodeId>,
    /// The voters while this view is the newest one.
    pub members: JointConfig,
}

impl View {
    /// The ballot in readable form: its round number and the address of the proposer.
    pub fn name(&self) -> String {
        ballot::name(self.number)
    }

    pub(super) fn head(&self) -> Option<NodeId> {
        self.chain.first().copied()
    }

    pub(super) fn tail(&self) -> Option<NodeId> {
        self.chain.last().copied()
    }

    pub(super) fn successor(&self, node: NodeId) -> Option<NodeId> {
        let position = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(position + 1).copied()
    }

    pub(super) fn predecessor(&self, node: NodeId) -> Option<NodeId> {
        let position = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(position.checked_sub(1)?).copied()
    }
}

/// The newest view that this node has accepted, and the state of the view as far as this node knows it.
#[derive(Clone, Debug)]
pub(super) struct InstalledView {
    pub(super) view: View,
    /// Whether all members are known to have made the view durable.
    pub(super) started: bool,
    /// When this node learned that the view has started; before that, when this node accepted the view.
    pub(super) since: Millis,
    /// Whether a member has failed, or a later promise has fenced the view. A broken view acknowledges nothing.
    pub(super) broken: bool,
}

impl InstalledView {
    /// Whether the view may acknowledge changes and answer reads.
    pub(super) fn is_active(&self) -> bool {
        self.started && !self.broken
    }

    /// Records that all members have made the view durable.
    pub(super) fn start(&mut self, now: Millis) {
        self.started = true;
        self.since = now;
    }
}
