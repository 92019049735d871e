//! The size of a simulated cluster and the addresses of its machines.

use std::net::Ipv4Addr;

use glenfall_control_plane::chain::{ChainSettings, NodeId};

/// The number of voters that an operator names for the first start.
const SEED_COUNT: u8 = 3;

/// Returns the address of a machine by its number. Numbers start at 1.
pub fn node(number: u8) -> NodeId {
    Ipv4Addr::new(10, 0, 0, number)
}

/// Returns the number of a machine by its address.
pub(crate) fn machine_number(node: NodeId) -> u8 {
    node.octets()[3]
}

/// Returns the voters of the first start.
pub fn seeds() -> Vec<NodeId> {
    (1..=SEED_COUNT).map(node).collect()
}

/// The number of machine losses that the replicated chain has to tolerate, and of spare machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClusterSize {
    /// Machine losses at a time that the chain has to tolerate.
    pub losses: u8,
    /// Spare machines, which are ready but have no vote.
    pub spare: u8,
}

impl ClusterSize {
    /// A cluster that tolerates `losses` and has `spare` machines.
    pub const fn new(losses: u8, spare: u8) -> ClusterSize {
        ClusterSize { losses, spare }
    }

    /// Returns the number of voters that tolerate these losses.
    pub fn voters(self) -> u8 {
        2 * self.losses + 1
    }

    /// Returns the number of all machines, spare ones included.
    pub fn nodes(self) -> u8 {
        self.voters() + self.spare
    }

    /// Returns the settings of each node.
    pub fn settings(self) -> ChainSettings {
        ChainSettings { losses: usize::from(self.losses), eligible: true, ..ChainSettings::default() }
    }
}
