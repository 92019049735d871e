//! Views: a ballot, the chain of replicas, and the voters from then on.

use serde::{Deserialize, Serialize};

use crate::chain::ballot;
use crate::chain::JointConfig;
use crate::ids::NodeId;
use crate::Millis;

/// A view: its ballot, its chain from head to tail, and the voters from then on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The ballot under which it was proposed.
    pub number: u64,
    /// The replicas, the head first.
    pub chain: Vec<NodeId>,
    /// The voters while it stands.
    pub members: JointConfig,
}

impl View {
    /// A name for people: how many views were proposed before, and who proposed this one.
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
        let place = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(place + 1).copied()
    }

    pub(super) fn predecessor(&self, node: NodeId) -> Option<NodeId> {
        let place = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(place.checked_sub(1)?).copied()
    }
}

/// The view that this node accepted last, and what it knows of it.
#[derive(Clone, Debug)]
pub(super) struct InstalledView {
    pub(super) view: View,
    /// All members are known to have made it durable.
    pub(super) stands: bool,
    /// When it was accepted, or once it stands, when that became known.
    pub(super) since: Millis,
    /// A member failed since: the view acknowledges nothing more.
    pub(super) broken: bool,
}

impl InstalledView {
    /// Whether the view may acknowledge changes and answer reads.
    pub(super) fn is_active(&self) -> bool {
        self.stands && !self.broken
    }

    /// Notes that all members have made it durable.
    pub(super) fn start(&mut self, now: Millis) {
        self.stands = true;
        self.since = now;
    }
}
