//! Carries out the actions of a schedule.

use glenfall_control_plane::chain::VoterChange;

use super::World;
use crate::action::{Action, MachinePair};
use crate::cluster::node;

impl World {
    /// Carries out an action now.
    pub fn perform(&mut self, action: &Action) {
        match action {
            Action::Change { receiver, version_step, document, lost_answers } => {
                self.change_until_answered(*receiver, *version_step, *document, *lost_answers);
            }
            Action::ChangeOnce { receiver, version_step } => {
                self.change_once(*receiver, *version_step);
            }
            Action::Resend { receiver, requests_back } => self.resend(*receiver, *requests_back),
            Action::Read { receiver } => {
                self.read(*receiver);
            }
            Action::OpenSession { receiver } => self.open_session(*receiver),
            Action::AddVoter { receiver, node: voter } => {
                self.request_voter_change(*receiver, VoterChange::Add(node(*voter)));
            }
            Action::RemoveVoter { receiver, node: voter } => {
                self.request_voter_change(*receiver, VoterChange::Remove(node(*voter)));
            }
            Action::OnAcknowledged { then } => self.on_acknowledged.push((**then).clone()),
            fault => self.inject_fault(fault),
        }
    }

    fn inject_fault(&mut self, fault: &Action) {
        match fault {
            Action::Kill { nodes } => nodes.iter().for_each(|number| self.kill(*number)),
            Action::PowerOff { nodes } => nodes.iter().for_each(|number| self.power_off(*number, false)),
            Action::PowerOn { nodes } => nodes.iter().for_each(|number| self.power_on(*number)),
            Action::Wipe { nodes } => nodes.iter().for_each(|number| self.wipe_if_tolerated(*number)),
            Action::WipeAfterRepair { nodes } => {
                nodes.iter().for_each(|number| self.wipe_if_documented_as_tolerated(*number));
            }
            Action::Lose { node } if self.tolerated_disk_losses() > 0 => self.remove(*node),
            Action::Partition { pairs, duration } => {
                for MachinePair { from, to } in pairs {
                    self.partition(*from, *to, *duration);
                }
            }
            Action::PartitionOneWay { pairs, duration } => {
                for MachinePair { from, to } in pairs {
                    self.partition_one_way(*from, *to, *duration);
                }
            }
            Action::Delay { pairs, extra_delay, duration } => {
                for MachinePair { from, to } in pairs {
                    self.delay(*from, *to, *extra_delay, *duration);
                }
            }
            Action::ResetLink { a, b } => self.reset_link(*a, *b),
            Action::Pause { nodes, duration } => {
                nodes.iter().for_each(|number| self.pause(*number, *duration));
            }
            Action::StallDisk { node, duration } => self.stall_disk(*node, *duration),
            _ => {}
        }
    }

    fn wipe_if_tolerated(&mut self, number: u8) {
        if self.tolerated_disk_losses() > 0 {
            self.wipe(number);
        }
    }

    fn wipe_if_documented_as_tolerated(&mut self, number: u8) {
        if self.documented_machine_losses() > 0 && self.chain(number).is_some() {
            self.wipe(number);
        }
    }
}
