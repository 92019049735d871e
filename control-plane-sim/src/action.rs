//! What can happen to a cluster: faults and what operators do.

use glenfall_control_plane::chain::VoterChange;
use glenfall_control_plane::Millis;
use serde::{Deserialize, Serialize};

use crate::cluster::node;
use crate::operators::Content;
use crate::world::World;

/// What happens. Machines go by their numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// An operator at a node changes the newest version that operators know, to one higher by `raise`, and sends that
    /// until there is a clear answer; so many answers are lost on their way.
    Change {
        at: u8,
        raise: u64,
        content: Content,
        lost: u32,
    },
    /// The same, sent once.
    ChangeOnce {
        at: u8,
        raise: u64,
    },
    /// An earlier order is sent again, counted back from the newest.
    Resend {
        at: u8,
        back: usize,
    },
    /// An operator reads the newest document at a node.
    Read {
        at: u8,
    },
    /// A session opens at a node.
    OpenSession {
        at: u8,
    },
    /// An operator at a node asks for one more voter.
    AddVoter {
        at: u8,
        node: u8,
    },
    /// An operator at a node asks for a voter to be replaced, or to leave.
    RemoveVoter {
        at: u8,
        node: u8,
    },
    /// The processes die.
    Kill {
        nodes: Vec<u8>,
    },
    PowerOff {
        nodes: Vec<u8>,
    },
    PowerOn {
        nodes: Vec<u8>,
    },
    /// Power and disks go, of so many of these as the cluster is to outlive now; power is back at once.
    Wipe {
        nodes: Vec<u8>,
    },
    /// The same, of as many as may be lost as the users' pages count: a machine that was removed counts no more once its
    /// successor has had its time.
    WipeAfterRepair {
        nodes: Vec<u8>,
    },
    /// As one wipe, but the machine does not come back.
    Lose {
        node: u8,
    },
    /// Nothing passes between the machines of each pair.
    Partition {
        pairs: Vec<(u8, u8)>,
        lasts: Millis,
    },
    /// Nothing of the first arrives at the second of each.
    PartitionOneWay {
        channels: Vec<(u8, u8)>,
        lasts: Millis,
    },
    /// What the first sends to the second of each within this time takes so much longer.
    Delay {
        channels: Vec<(u8, u8)>,
        by: Millis,
        lasts: Millis,
    },
    /// A connection is reset.
    ResetLink {
        a: u8,
        b: u8,
    },
    /// The processes do nothing.
    Pause {
        nodes: Vec<u8>,
        lasts: Millis,
    },
    /// No write reaches the disk.
    StallDisk {
        node: u8,
        lasts: Millis,
    },
    /// Once the next change is acknowledged.
    OnAcknowledged {
        then: Box<Action>,
    },
}

impl Action {
    /// How long it lasts, or by how much it raises the version.
    pub(crate) fn figure(&self) -> u64 {
        match self {
            Action::Change { raise, lost, .. } => (*raise).max(u64::from(*lost)),
            Action::ChangeOnce { raise, .. } => *raise,
            Action::Partition { lasts, .. }
            | Action::PartitionOneWay { lasts, .. }
            | Action::Pause { lasts, .. }
            | Action::StallDisk { lasts, .. } => *lasts,
            Action::Delay { by, lasts, .. } => (*by).max(*lasts),
            Action::OnAcknowledged { then } => then.figure(),
            _ => 0,
        }
    }

    /// The machines that it names.
    pub(crate) fn machines(&self) -> Vec<u8> {
        match self {
            Action::Change { at, .. }
            | Action::ChangeOnce { at, .. }
            | Action::Resend { at, .. }
            | Action::Read { at }
            | Action::OpenSession { at } => vec![*at],
            Action::AddVoter { at, node } | Action::RemoveVoter { at, node } => vec![*at, *node],
            Action::Kill { nodes }
            | Action::PowerOff { nodes }
            | Action::PowerOn { nodes }
            | Action::Wipe { nodes }
            | Action::WipeAfterRepair { nodes }
            | Action::Pause { nodes, .. } => nodes.clone(),
            Action::Lose { node } | Action::StallDisk { node, .. } => vec![*node],
            Action::Partition { pairs: ends, .. }
            | Action::PartitionOneWay { channels: ends, .. }
            | Action::Delay { channels: ends, .. } => ends.iter().flat_map(|(a, b)| [*a, *b]).collect(),
            Action::ResetLink { a, b } => vec![*a, *b],
            Action::OnAcknowledged { then } => then.machines(),
        }
    }
}

/// An action at its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    pub at: Millis,
    pub action: Action,
}

impl World {
    /// Carries out an action now.
    pub fn act(&mut self, action: &Action) {
        match action {
            Action::Change { at, raise, content, lost } => {
                self.order_until_answered(*at, *raise, *content, *lost);
            }
            Action::ChangeOnce { at, raise } => {
                self.change(*at, *raise);
            }
            Action::Resend { at, back } => self.resend(*at, *back),
            Action::Read { at } => {
                self.read(*at);
            }
            Action::OpenSession { at } => self.open_session(*at),
            Action::AddVoter { at, node: n } => self.ask_voters(*at, VoterChange::Add(node(*n))),
            Action::RemoveVoter { at, node: n } => self.ask_voters(*at, VoterChange::Remove(node(*n))),
            Action::Kill { nodes } => nodes.iter().for_each(|n| self.kill(*n)),
            Action::PowerOff { nodes } => nodes.iter().for_each(|n| self.power_off(*n, false)),
            Action::PowerOn { nodes } => nodes.iter().for_each(|n| self.power_on(*n)),
            Action::Wipe { nodes } => {
                for n in nodes {
                    if self.disks_to_lose() > 0 {
                        self.wipe(*n);
                    }
                }
            }
            Action::WipeAfterRepair { nodes } => {
                for n in nodes {
                    if self.machines_to_lose() > 0 && self.chain(*n).is_some() {
                        self.wipe(*n);
                    }
                }
            }
            Action::Lose { node } => {
                if self.disks_to_lose() > 0 {
                    self.remove(*node);
                }
            }
            Action::Partition { pairs, lasts } => {
                pairs.iter().for_each(|(a, b)| self.partition(*a, *b, *lasts));
            }
            Action::PartitionOneWay { channels, lasts } => {
                channels.iter().for_each(|(from, to)| self.partition_one_way(*from, *to, *lasts));
            }
            Action::Delay { channels, by, lasts } => {
                channels.iter().for_each(|(from, to)| self.delay(*from, *to, *by, *lasts));
            }
            Action::ResetLink { a, b } => self.reset_link(*a, *b),
            Action::Pause { nodes, lasts } => nodes.iter().for_each(|n| self.pause(*n, *lasts)),
            Action::StallDisk { node, lasts } => self.stall_disk(*node, *lasts),
            Action::OnAcknowledged { then } => self.on_acknowledged.push((**then).clone()),
        }
    }
}
