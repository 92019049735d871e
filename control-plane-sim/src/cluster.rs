//! The size of a simulated cluster and the addresses of its machines.

use std::net::Ipv4Addr;

use glenfall_control_plane::chain::{ChainSettings, NodeId};

/// Voters of the first start, as an operator names them.
const SEEDS: u8 = 3;

/// The address of a machine, by its number, from 1.
pub fn node(n: u8) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n)
}

/// The number of a machine, by its address.
pub(crate) fn number(node: NodeId) -> u8 {
    node.octets()[3]
}

/// The voters of the first start.
pub fn seeds() -> Vec<NodeId> {
    (1..=SEEDS).map(node).collect()
}

/// How many machine losses the replicated chain has to outlive, and how many machines stand by without a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Size {
    pub losses: u8,
    pub spare: u8,
}

impl Size {
    /// The voters that outlive these losses.
    pub fn voters(self) -> u8 {
        2 * self.losses + 1
    }

    /// All machines, those that stand by included.
    pub fn nodes(self) -> u8 {
        self.voters() + self.spare
    }

    /// The settings of each node.
    pub fn terms(self) -> ChainSettings {
        ChainSettings { losses: usize::from(self.losses), eligible: true, ..ChainSettings::default() }
    }
}
