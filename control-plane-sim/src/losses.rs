//! How many machines and disks may be lost now: what the cluster promises to outlive, less what it has lost already.

use glenfall_control_plane::chain::{JointConfig, Message, NodeId};
use glenfall_control_plane::Millis;

use crate::cluster::node;
use crate::machine::Machine;
use crate::world::World;

/// A machine counts as lost for so long after it is back.
pub(crate) const SYNC: Millis = 4000;

impl World {
    /// Disks that may be lost now: as many as the voters outlive, less those that are without a vote already, as no view
    /// that stands has taken them in since, and those of machines that stood by and lost theirs lately. At first voters
    /// are the seeds alone.
    pub fn disks_to_lose(&self) -> usize {
        let newest = self.newest_members();
        let members = [Some(&self.newest_view.1), newest.as_ref()].into_iter().flatten();
        let sets = members.flat_map(|m| [&m.voters, &m.outgoing]).filter(|set| !set.is_empty());
        let left = sets.map(|set| {
            let outlived = ((set.len() - 1) / 2).min(usize::from(self.size.losses));
            outlived.saturating_sub(self.disks_lost(set))
        });
        left.min().unwrap_or(0)
    }

    /// Who counts by the newest view that is on any disk or on its way to one.
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
        let lost = |(machine, n): (&Machine, u8)| {
            let without_vote = machine.gone || machine.disk.durable.as_ref().is_none_or(|disk| !disk.votes);
            let lately = machine.wiped_at.is_some_and(|at| self.now < at + SYNC);
            match voters.contains(&node(n)) {
                true => without_vote,
                false => lately,
            }
        };
        self.machines.iter().zip(1..).filter(|(machine, n)| lost((machine, *n))).count()
    }

    /// Machines that may be lost now as the users' pages count them, whatever the voters are: one is lost while a fault
    /// meets it and for `SYNC` after that, and one that was removed until its successor has had that time.
    pub fn machines_to_lose(&self) -> usize {
        let has_successor = |removed_at: Millis| {
            self.machines
                .iter()
                .filter_map(|machine| machine.first_started)
                .any(|started| started >= removed_at && self.now >= started + SYNC)
        };
        let lost = self.machines.iter().filter(|machine| match (machine.gone, &machine.chain) {
            (true, _) => !has_successor(machine.removed_at),
            // One that was never there is no loss.
            (false, None) => machine.first_started.is_some(),
            (false, Some(_)) => machine.faulty_until > 0 && self.now < machine.faulty_until + SYNC,
        });
        usize::from(self.size.losses).saturating_sub(lost.count())
    }
}
