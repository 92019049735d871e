//! The events of a schedule: injected faults and operator requests. Machines are named by their numbers.

use glenfall_control_plane::Millis;
use serde::{Deserialize, Serialize};

/// Two machines, and the direction between them where an action has one. Serialized as an array of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u8, u8)", into = "(u8, u8)")]
pub struct MachinePair {
    /// The sender.
    pub from: u8,
    /// The receiver.
    pub to: u8,
}

impl MachinePair {
    /// Returns the pair in the opposite direction.
    pub fn reversed(self) -> MachinePair {
        MachinePair { from: self.to, to: self.from }
    }
}

impl From<(u8, u8)> for MachinePair {
    fn from((from, to): (u8, u8)) -> Self {
        MachinePair { from, to }
    }
}

impl From<MachinePair> for (u8, u8) {
    fn from(pair: MachinePair) -> Self {
        (pair.from, pair.to)
    }
}

/// The kind of document that a change request contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentKind {
    /// A complete configuration.
    #[default]
    Put,
    /// A patch of the configuration.
    Patch,
    /// A document that fails the validation of configurations.
    Invalid,
}

/// A fault that is injected, or a request that an operator makes.
///
/// Nodes and machines are given by their numbers, durations and delays in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// An operator changes the newest version that operators know, and retries until there is a definite answer.
    Change {
        /// The node that receives the first attempt.
        #[serde(rename = "at")]
        receiver: u8,
        /// The difference between the new version and the newest known one.
        #[serde(rename = "raise")]
        version_step: u64,
        /// The kind of document in the request.
        #[serde(rename = "content")]
        document: DocumentKind,
        /// How many definite answers are lost before one reaches the operator.
        #[serde(rename = "lost")]
        lost_answers: u32,
    },
    /// An operator changes the newest version that operators know, and sends the request once.
    ChangeOnce {
        /// The node that receives the request.
        #[serde(rename = "at")]
        receiver: u8,
        /// The difference between the new version and the newest known one.
        #[serde(rename = "raise")]
        version_step: u64,
    },
    /// An earlier change request is sent again.
    Resend {
        /// The node that receives the request.
        #[serde(rename = "at")]
        receiver: u8,
        /// The position of the request counted back from the newest, which is 0.
        #[serde(rename = "back")]
        requests_back: usize,
    },
    /// An operator reads the newest document.
    Read {
        /// The node that receives the request.
        #[serde(rename = "at")]
        receiver: u8,
    },
    /// A client opens a session, which waits for its configuration.
    OpenSession {
        /// The node where the session opens.
        #[serde(rename = "at")]
        receiver: u8,
    },
    /// An operator requests one more voter.
    AddVoter {
        /// The node that receives the request.
        #[serde(rename = "at")]
        receiver: u8,
        /// The new voter.
        node: u8,
    },
    /// An operator requests that a voter is replaced or removed.
    RemoveVoter {
        /// The node that receives the request.
        #[serde(rename = "at")]
        receiver: u8,
        /// The voter to remove.
        node: u8,
    },
    /// Processes are killed.
    Kill {
        /// The machines of the processes.
        nodes: Vec<u8>,
    },
    /// Machines lose power.
    PowerOff {
        /// The machines.
        nodes: Vec<u8>,
    },
    /// Machines start, except for those that run or were removed.
    PowerOn {
        /// The machines.
        nodes: Vec<u8>,
    },
    /// Machines lose power and their disks and restart at once. Each is skipped if the cluster need not tolerate the
    /// loss of another disk at that time.
    Wipe {
        /// The machines, in the order in which they are tried.
        nodes: Vec<u8>,
    },
    /// Machines lose power and their disks and restart at once. Each is skipped if its process does not run, or if the
    /// user documentation does not permit another loss at that time. By the rule of the documentation, a removed machine
    /// no longer counts as lost once its successor has synchronized.
    WipeAfterRepair {
        /// The machines, in the order in which they are tried.
        nodes: Vec<u8>,
    },
    /// A machine loses power and its disk and does not come back while faults last. Skipped if the cluster need not
    /// tolerate the loss of another disk at that time.
    Lose {
        /// The machine.
        node: u8,
    },
    /// Machines are partitioned from each other in both directions.
    Partition {
        /// The pairs that are partitioned.
        pairs: Vec<MachinePair>,
        /// How long the partition lasts.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// Machines are partitioned in one direction.
    PartitionOneWay {
        /// The directions in which nothing arrives.
        #[serde(rename = "channels")]
        pairs: Vec<MachinePair>,
        /// How long the partition lasts.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// Messages take longer.
    Delay {
        /// The directions in which messages are delayed.
        #[serde(rename = "channels")]
        pairs: Vec<MachinePair>,
        /// The time that is added to the delay of each message.
        #[serde(rename = "by")]
        extra_delay: Millis,
        /// How long messages are delayed.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// A connection is reset.
    ResetLink {
        /// One end.
        a: u8,
        /// The other end.
        b: u8,
    },
    /// Processes are paused.
    Pause {
        /// The machines of the processes.
        nodes: Vec<u8>,
        /// How long the processes are paused.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// No write completes on a disk.
    StallDisk {
        /// The machine of the disk.
        node: u8,
        /// How long the disk stalls.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// Another action happens once the next change is acknowledged.
    OnAcknowledged {
        /// The other action.
        then: Box<Action>,
    },
}

impl Action {
    /// Returns the largest of the action's durations, delays, version steps and numbers of lost answers; 0 if it has
    /// none.
    pub(crate) fn largest_field_value(&self) -> u64 {
        match self {
            Action::Change { version_step, lost_answers, .. } => {
                (*version_step).max(u64::from(*lost_answers))
            }
            Action::ChangeOnce { version_step, .. } => *version_step,
            Action::Partition { duration, .. }
            | Action::PartitionOneWay { duration, .. }
            | Action::Pause { duration, .. }
            | Action::StallDisk { duration, .. } => *duration,
            Action::Delay { extra_delay, duration, .. } => (*extra_delay).max(*duration),
            Action::OnAcknowledged { then } => then.largest_field_value(),
            _ => 0,
        }
    }

    /// Returns the numbers of the machines that the action names.
    pub(crate) fn machines(&self) -> Vec<u8> {
        match self {
            Action::Change { receiver, .. }
            | Action::ChangeOnce { receiver, .. }
            | Action::Resend { receiver, .. }
            | Action::Read { receiver }
            | Action::OpenSession { receiver } => vec![*receiver],
            Action::AddVoter { receiver, node } | Action::RemoveVoter { receiver, node } => {
                vec![*receiver, *node]
            }
            Action::Kill { nodes }
            | Action::PowerOff { nodes }
            | Action::PowerOn { nodes }
            | Action::Wipe { nodes }
            | Action::WipeAfterRepair { nodes }
            | Action::Pause { nodes, .. } => nodes.clone(),
            Action::Lose { node } | Action::StallDisk { node, .. } => vec![*node],
            Action::Partition { pairs, .. }
            | Action::PartitionOneWay { pairs, .. }
            | Action::Delay { pairs, .. } => pairs.iter().flat_map(|pair| [pair.from, pair.to]).collect(),
            Action::ResetLink { a, b } => vec![*a, *b],
            Action::OnAcknowledged { then } => then.machines(),
        }
    }
}

/// An action and when it happens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Milliseconds since the start of the schedule.
    pub at: Millis,
    /// The fault, or the request of an operator.
    pub action: Action,
}
