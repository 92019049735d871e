//! The size of a simulated cluster and the addresses of its machines.

use std::net::Ipv4Addr;

use glenfall_control_plane::chain::{ChainSettings, NodeId};

/// The number of seed nodes, which are the voters until the first view.
const SEED_NODE_COUNT: u8 = 3;

/// Returns the address of a machine by its number. Numbers start at 1.
pub fn node(number: u8) -> NodeId {
    Ipv4Addr::new(10, 0, 0, number)
}

/// Returns the number of a machine by its address.
pub(crate) fn machine_number(node: NodeId) -> u8 {
    node.octets()[3]
}

/// Returns the seed nodes, which every node is given as the initial voters.
pub fn seeds() -> Vec<NodeId> {
    (1..=SEED_NODE_COUNT).map(node).collect()
}

/// How many machine losses the replicated chain has to tolerate, and how many spare machines there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClusterSize {
    /// The number of simultaneous machine losses that the chain has to tolerate.
    pub losses: u8,
    /// The number of spare machines, which can become voters but are none at first.
    pub spare: u8,
}

impl ClusterSize {
    /// Creates the size of a cluster that tolerates `losses` machine losses and has `spare` more machines than voters.
    pub const fn new(losses: u8, spare: u8) -> ClusterSize {
        ClusterSize { losses, spare }
    }

    /// Returns the number of voters that tolerate the losses: of `2 * losses + 1` a majority remains.
    pub fn voters(self) -> u8 {
        2 * self.losses + 1
    }

    /// Returns the number of all machines, spare ones included.
    pub fn nodes(self) -> u8 {
        self.voters() + self.spare
    }

    /// Returns the settings of each node.
    pub fn settings(self) -> ChainSettings {
        ChainSettings {
            tolerated_losses: usize::from(self.losses),
            eligible: true,
            ..ChainSettings::default()
        }
    }
}
