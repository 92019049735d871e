//! How many more machines and disks may be lost now: the losses that the cluster has to tolerate, less the current
//! ones.

use glenfall_control_plane::chain::{JointConfig, Message, NodeId};
use glenfall_control_plane::Millis;

use super::World;
use crate::cluster::node;
use crate::machine::Machine;

/// A machine still counts as lost for this time after its fault has ended, while it catches up with the others.
pub(crate) const SYNC_TIME: Millis = 4000;

impl World {
    /// Returns how many more disks may be lost now.
    ///
    /// That is as many as a voter set tolerates, at most `size.losses`, less the disks that count as lost. These are the
    /// disks of voters that have lost their vote and have not been in a started view since, and of other machines that
    /// were wiped within the last `SYNC_TIME`.
    ///
    /// The lowest number counts, over the voter sets of the newest started view and of the newest view that is on any
    /// disk or in flight. Until the first view has started, the seed nodes are the voters.
    pub fn tolerated_disk_losses(&self) -> usize {
        let newest = self.newest_members();
        let members = [Some(&self.newest_view.members), newest.as_ref()].into_iter().flatten();
        let voter_sets = members
            .flat_map(|members| [&members.voters, &members.outgoing])
            .filter(|voters| !voters.is_empty());
        voter_sets.map(|voters| self.tolerated_disk_losses_of(voters)).min().unwrap_or(0)
    }

    fn tolerated_disk_losses_of(&self, voters: &[NodeId]) -> usize {
        let tolerated = ((voters.len() - 1) / 2).min(usize::from(self.size.losses));
        tolerated.saturating_sub(self.disks_lost(voters))
    }

    /// Returns the members of the newest view that is on any disk or in flight.
    fn newest_members(&self) -> Option<JointConfig> {
        let states = self.machines.iter().flat_map(|machine| machine.disk.states());
        let accepted = states.map(|state| (state.accepted, &state.members));
        let installs = self.network.messages().filter_map(|message| match message {
            Message::Install { view, .. } => Some((view.number, &view.members)),
            _ => None,
        });
        accepted.chain(installs).max_by_key(|(number, _)| *number).map(|(_, members)| members.clone())
    }

    fn disks_lost(&self, voters: &[NodeId]) -> usize {
        let is_lost = |(machine, number): &(&Machine, u8)| match voters.contains(&node(*number)) {
            true => machine.removed || machine.disk.durable.as_ref().is_none_or(|state| !state.votes),
            false => machine.wiped_at.is_some_and(|at| self.now < at + SYNC_TIME),
        };
        self.machines.iter().zip(1..).filter(is_lost).count()
    }

    /// Returns how many more machines may be lost now by the rule of the user documentation, which does not consider
    /// who the voters are.
    ///
    /// A machine counts as lost while it has a fault and for `SYNC_TIME` after that. A removed machine counts as lost
    /// until its successor has run for `SYNC_TIME`.
    pub fn documented_machine_losses(&self) -> usize {
        let lost = self.machines.iter().filter(|machine| self.is_lost(machine)).count();
        usize::from(self.size.losses).saturating_sub(lost)
    }

    fn is_lost(&self, machine: &Machine) -> bool {
        if machine.removed {
            return !self.has_successor(machine.removed_at);
        }
        match machine.chain {
            Some(_) => machine.faulty_until > 0 && self.now < machine.faulty_until + SYNC_TIME,
            // A machine that has never been started does not count as lost.
            None => machine.first_started_at.is_some(),
        }
    }

    fn has_successor(&self, removed_at: Millis) -> bool {
        let mut starts = self.machines.iter().filter_map(|machine| machine.first_started_at);
        starts.any(|started_at| started_at >= removed_at && self.now >= started_at + SYNC_TIME)
    }
}
