//! Schedules that target situations which random ones seldom reach: a promise that is forgotten before it is counted, a
//! read that overtakes the message that its view is active, proposals that overtake one another, losses and partitions
//! during a voter change, reads at a partitioned node, and a loss of power at an acknowledgement.
//!
//! Their seeds are a space of their own: seed 1 here has nothing to do with seed 1 of [`Schedule::generate`].

use std::ops::Range;

use glenfall_control_plane::Millis;
use rand::seq::SliceRandom;
use rand::Rng;

use super::generator::{Generator, SHORT_RECOVERY};
use super::Schedule;
use crate::action::{Action, DocumentKind, MachinePair};
use crate::cluster::ClusterSize;
use crate::rng;
use crate::world::SYNC_TIME;

/// A view is active by then at the latest, where there is no fault.
const FIRST_VIEW_BY: Millis = 800;
/// How many situations there are in one schedule.
const SITUATIONS_PER_SCHEDULE: usize = 2;
/// How long it takes the cluster to be complete again after a situation.
const RECOVERY_TIME: Millis = 1_800;
/// How long a node waits before it proposes a view that is needed, when it is the first in turn.
const PROPOSAL_DELAY: Millis = 60;

/// Adds the events of a situation from a time on, and returns when the cluster should be complete again.
type Situation = fn(&mut Generator, Millis) -> Millis;

/// A kind of situation, and the clusters in which it is run.
struct Kind {
    situation: Situation,
    sizes: &'static [ClusterSize],
}

/// All kinds of situations; a seed selects one by its remainder.
const SITUATION_KINDS: [Kind; 8] = [
    Kind {
        situation: Generator::promise_forgotten,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(1, 0), ClusterSize::new(1, 1)],
    },
    Kind {
        situation: Generator::read_overtakes_view_confirmation,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(1, 0), ClusterSize::new(2, 0)],
    },
    Kind {
        situation: Generator::proposals_overtake,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(2, 0), ClusterSize::new(1, 1)],
    },
    Kind {
        situation: Generator::power_lost_during_voter_change,
        sizes: &[
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 2),
            ClusterSize::new(2, 1),
            ClusterSize::new(2, 2),
        ],
    },
    Kind {
        situation: Generator::voter_sets_partitioned_during_change,
        sizes: &[
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 2),
            ClusterSize::new(2, 1),
        ],
    },
    Kind {
        situation: Generator::disks_lost_during_voter_change,
        sizes: &[
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 2),
            ClusterSize::new(2, 1),
        ],
    },
    Kind {
        situation: Generator::reads_at_partitioned_node,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(2, 0), ClusterSize::new(1, 1)],
    },
    Kind {
        situation: Generator::power_lost_at_acknowledgement,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(2, 0)],
    },
];

impl Schedule {
    /// Generates a schedule of one of the kinds of situations.
    pub fn targeted(seed: u64) -> Schedule {
        let kind = &SITUATION_KINDS[(seed % SITUATION_KINDS.len() as u64) as usize];
        let size_index = seed / SITUATION_KINDS.len() as u64 % kind.sizes.len() as u64;
        let mut generator = Generator::new(seed, kind.sizes[size_index as usize], rng::TARGETED_EVENT_STREAM);
        let spares: Vec<u8> = (generator.size.voters() + 1..=generator.size.nodes()).collect();
        generator.add(0, Action::PowerOn { nodes: spares });
        let mut at = FIRST_VIEW_BY + generator.rng.random_range(0..400);
        generator.operate_until(FIRST_VIEW_BY / 2, at);
        for _ in 0..SITUATIONS_PER_SCHEDULE {
            let next = (kind.situation)(&mut generator, at) + generator.rng.random_range(0..500);
            generator.operate_until(at, next);
            at = next;
        }
        generator.finish(seed, at, SHORT_RECOVERY)
    }
}

impl Generator {
    /// Adds requests of operators at times, so that there are changes that may be lost.
    fn operate_until(&mut self, from: Millis, until: Millis) {
        let mut at = from;
        while at < until {
            self.operate(at);
            at += self.rng.random_range(100..500);
        }
    }

    /// Adds changes, reads and sessions at these nodes, one after the other.
    fn requests_at(&mut self, nodes: &[u8], from: Millis, until: Millis, pause: Range<Millis>) {
        let mut at = from;
        while at < until {
            let receiver = nodes[self.rng.random_range(0..nodes.len())];
            let action = self.request_at(receiver);
            self.add(at, action);
            at += self.rng.random_range(pause.clone());
        }
    }

    fn request_at(&mut self, receiver: u8) -> Action {
        match self.rng.random_range(0..4) {
            0 if self.rng.random() => Action::ChangeOnce { receiver, version_step: 1 },
            0 => Action::Change { receiver, version_step: 1, document: DocumentKind::Put, lost_answers: 0 },
            1 => Action::OpenSession { receiver },
            _ => Action::Read { receiver },
        }
    }

    /// Returns the voters in random order.
    fn shuffled_voters(&mut self) -> Vec<u8> {
        let mut voters: Vec<u8> = (1..=self.size.voters()).collect();
        voters.shuffle(&mut self.rng);
        voters
    }

    /// Resets a link, and lets it not come up again for `duration`.
    fn partition_link(&mut self, at: Millis, a: u8, b: u8, duration: Millis) {
        self.add(at, Action::ResetLink { a, b });
        self.add(at, Action::Partition { pairs: vec![MachinePair { from: a, to: b }], duration });
    }

    /// A proposer has the promise of another voter and waits for its own disk. Meanwhile the two lose contact, the other
    /// voter goes on in a newer view without the proposer, loses its disk with the promise, and is back in contact.
    fn promise_forgotten(&mut self, at: Millis) -> Millis {
        let voters = self.shuffled_voters();
        let (proposer, forgets, third) = (voters[0], voters[1], voters[2]);
        let stall = self.rng.random_range(300..750);
        self.add(at, Action::StallDisk { node: proposer, duration: stall });
        self.partition_link(at, proposer, third, 2_500);
        let promised_at = at + PROPOSAL_DELAY + self.rng.random_range(20..150);
        let partition = self.rng.random_range(100..400);
        self.partition_link(promised_at, proposer, forgets, partition);
        self.requests_at(&[forgets, third], promised_at + 20, promised_at + partition, 20..60);
        let wipe = Action::Wipe { nodes: vec![forgets] };
        if self.rng.random() {
            let armed_at = promised_at + self.rng.random_range(20..150);
            self.add(armed_at, Action::OnAcknowledged { then: Box::new(wipe) });
        } else {
            let wiped_at = promised_at + self.rng.random_range(100..500);
            self.add(wiped_at, wipe);
        }
        self.requests_at(&[proposer, forgets], promised_at + 200, promised_at + 1_300, 20..60);
        promised_at + 1_300 + RECOVERY_TIME
    }

    /// All processes restart, and know of nothing committed until a view is active. The message that it is active
    /// is delayed to the tail, and a read is not; a link of the member before the tail is lost when it has accepted
    /// the view.
    fn read_overtakes_view_confirmation(&mut self, at: Millis) -> Millis {
        let (tail, all) = (self.size.voters(), self.all_nodes());
        let before_tail = tail - 1;
        let others: Vec<u8> = (1..before_tail).collect();
        let crash = match self.rng.random() {
            true => Action::Kill { nodes: all.clone() },
            false => Action::PowerOff { nodes: all.clone() },
        };
        self.add(at, crash);
        self.add(at + 20, Action::PowerOn { nodes: all });
        let extra_delay = self.rng.random_range(40..180);
        let pairs = pairs_from_each(&others, tail);
        self.add(at + 20, Action::Delay { pairs, extra_delay, duration: 2_000 });
        let installed_at = at + 150 + 2 * extra_delay;
        for _ in 0..self.rng.random_range(1..=2) {
            let peer = match self.rng.random() {
                true => tail,
                false => others[self.rng.random_range(0..others.len())],
            };
            let lost_at = installed_at + self.rng.random_range(0..300);
            self.add(lost_at, Action::ResetLink { a: before_tail, b: peer });
        }
        self.requests_at(&[1, 1, before_tail], at + 150, at + 1_500, 10..50);
        at + 1_500 + RECOVERY_TIME
    }

    /// Messages are delayed on some links, and links are lost, so that promises and views of several proposals cross.
    fn proposals_overtake(&mut self, at: Millis) -> Millis {
        let duration = self.rng.random_range(800..2_000);
        for _ in 0..self.rng.random_range(2..=4) {
            let voters = self.shuffled_voters();
            let extra_delay = self.rng.random_range(30..500);
            let pairs = vec![MachinePair { from: voters[0], to: voters[1] }];
            self.add(at, Action::Delay { pairs, extra_delay, duration });
        }
        for _ in 0..self.rng.random_range(2..=4) {
            let voters = self.shuffled_voters();
            let lost_at = at + self.rng.random_range(0..duration);
            let partition = self.rng.random_range(20..600);
            self.partition_link(lost_at, voters[0], voters[1], partition);
        }
        let voters = self.shuffled_voters();
        let stall = self.rng.random_range(50..550);
        self.add(at, Action::StallDisk { node: voters[0], duration: stall });
        if self.rng.random_ratio(1, 3) {
            let wiped_at = at + self.rng.random_range(100..duration);
            self.add(wiped_at, Action::Wipe { nodes: vec![voters[1]] });
        }
        self.requests_at(&voters, at, at + duration + 400, 20..80);
        at + duration + RECOVERY_TIME
    }

    /// A voter is replaced; during the change all machines lose power, some of them with their disks.
    fn power_lost_during_voter_change(&mut self, at: Millis) -> Millis {
        let voters = self.shuffled_voters();
        self.add(at, Action::RemoveVoter { receiver: voters[1], node: voters[0] });
        let mut lost_at = at;
        for _ in 0..self.rng.random_range(1..=2) {
            lost_at += self.rng.random_range(60..500);
            let mut all = self.all_nodes();
            all.shuffle(&mut self.rng);
            let wipe = Action::Wipe { nodes: all[..usize::from(self.size.losses)].to_vec() };
            let power_off = Action::PowerOff { nodes: all.clone() };
            let wipes_first: bool = self.rng.random();
            let (first, second) = if wipes_first { (wipe, power_off) } else { (power_off, wipe) };
            self.add(lost_at, first);
            self.add(lost_at, second);
            self.power_on_each(lost_at, &all);
        }
        self.requests_at(&voters, at, lost_at + 1_200, 20..80);
        lost_at + RECOVERY_TIME
    }

    fn power_on_each(&mut self, lost_at: Millis, nodes: &[u8]) {
        for node in nodes {
            let power_on_at = lost_at + self.rng.random_range(10..300);
            self.add(power_on_at, Action::PowerOn { nodes: vec![*node] });
        }
    }

    /// Requests a voter change at a node, so that it proposes the views of it; what it sends to other voters is delayed.
    ///
    /// Returns about when it sends the first of them, which includes the new voter, or the second, which counts both
    /// voter sets.
    fn voter_replacement(&mut self, at: Millis, proposer: u8, removed: u8) -> Millis {
        let extra_delay = self.rng.random_range(40..150);
        let others: Vec<u8> = (1..=self.size.voters()).filter(|other| *other != proposer).collect();
        let pairs = pairs_to_each(proposer, &others);
        self.add(at, Action::Delay { pairs, extra_delay, duration: 1_500 });
        self.add(at, Action::RemoveVoter { receiver: proposer, node: removed });
        // A promise arrives before the first view is sent. That has to be active, and another promise has to arrive,
        // before the second.
        let sent_after = match self.rng.random() {
            true => PROPOSAL_DELAY + 30 + extra_delay,
            false => 2 * PROPOSAL_DELAY + 30 + 3 * extra_delay,
        };
        at + sent_after + self.rng.random_range(0..2 * extra_delay)
    }

    /// A view of a voter change reaches a majority of the new set only, which is then partitioned from a majority of
    /// the old set.
    fn voter_sets_partitioned_during_change(&mut self, at: Millis) -> Millis {
        let (voters, successor) = (self.shuffled_voters(), self.size.voters() + 1);
        let losses = usize::from(self.size.losses);
        let (first, second) = (&voters[..losses], &voters[losses..]);
        let sent_at = self.voter_replacement(at, first[0], second[0]);
        let duration = self.rng.random_range(1_500..2_500);
        for a in first.iter().chain([&successor]) {
            for b in second {
                self.partition_link(sent_at, *a, *b, duration);
            }
        }
        let all = self.all_nodes();
        self.requests_at(&all, sent_at, sent_at + duration, 20..60);
        sent_at + duration + RECOVERY_TIME
    }

    /// As many machines as may be lost lose their disks while a view of a voter change is in flight, and the others lose
    /// power. All have run for long enough to count.
    fn disks_lost_during_voter_change(&mut self, at: Millis) -> Millis {
        let (voters, losses) = (self.shuffled_voters(), usize::from(self.size.losses));
        let from = at + SYNC_TIME + RECOVERY_TIME;
        let sent_at = self.voter_replacement(from, voters[0], voters[1]);
        // The removed voter is not among them.
        let wiped = match self.rng.random() {
            true => voters[2..].iter().chain(&voters[..1]).take(losses).copied().collect(),
            false => voters[voters.len() - losses..].to_vec(),
        };
        self.add(sent_at, Action::WipeAfterRepair { nodes: wiped });
        let all = self.all_nodes();
        self.add(sent_at, Action::PowerOff { nodes: all.clone() });
        self.power_on_each(sent_at, &all);
        self.requests_at(&voters, from, sent_at + 1_200, 20..80);
        sent_at + RECOVERY_TIME
    }

    /// A node is partitioned or paused and does not know it, while the others go on; sessions open there.
    fn reads_at_partitioned_node(&mut self, at: Millis) -> Millis {
        // The head most often.
        let node = if self.rng.random() { 1 } else { self.any_node() };
        let others: Vec<u8> = self.all_nodes().into_iter().filter(|other| *other != node).collect();
        let duration = self.rng.random_range(300..2_500);
        let fault = self.contact_fault(node, &others, duration);
        self.add(at, fault);
        if self.rng.random_ratio(1, 3) {
            let killed_at = at + self.rng.random_range(0..duration);
            self.add(killed_at, Action::Kill { nodes: vec![node] });
            self.add(killed_at + 20, Action::PowerOn { nodes: vec![node] });
        }
        self.requests_at(&others, at, at + duration, 30..90);
        self.requests_at(&[node], at, at + duration + 300, 20..60);
        at + duration + RECOVERY_TIME
    }

    /// Draws a fault after which a node does not receive from the others, or they do not receive from it.
    fn contact_fault(&mut self, node: u8, others: &[u8], duration: Millis) -> Action {
        let (outgoing, incoming) = (pairs_to_each(node, others), pairs_from_each(others, node));
        match self.rng.random_range(0..5) {
            0 => Action::Partition { pairs: outgoing, duration },
            1 => Action::PartitionOneWay { pairs: outgoing, duration },
            2 => Action::PartitionOneWay { pairs: incoming, duration },
            3 => Action::Pause { nodes: vec![node], duration },
            _ => Action::Delay { pairs: incoming, extra_delay: duration / 4, duration },
        }
    }

    /// All machines lose power as soon as a change is acknowledged, while all disks but a few are slow; some disks are
    /// lost with it.
    fn power_lost_at_acknowledgement(&mut self, at: Millis) -> Millis {
        let voters = self.shuffled_voters();
        let losses = usize::from(self.size.losses);
        let duration = self.rng.random_range(100..500);
        for node in &voters[losses..] {
            self.add(at, Action::StallDisk { node: *node, duration });
        }
        let all = self.all_nodes();
        let power_off = Action::PowerOff { nodes: all.clone() };
        self.add(at, Action::OnAcknowledged { then: Box::new(power_off) });
        if self.rng.random_ratio(3, 4) {
            let wipe = Action::Wipe { nodes: voters[..losses].to_vec() };
            self.add(at, Action::OnAcknowledged { then: Box::new(wipe) });
        }
        for node in all {
            let power_on_at = at + duration + self.rng.random_range(300..900);
            self.add(power_on_at, Action::PowerOn { nodes: vec![node] });
        }
        self.requests_at(&voters, at, at + duration, 20..80);
        at + duration + RECOVERY_TIME
    }
}

/// Returns the pairs from one machine to each of the others.
fn pairs_to_each(from: u8, others: &[u8]) -> Vec<MachinePair> {
    others.iter().map(|to| MachinePair { from, to: *to }).collect()
}

/// Returns the pairs from each of the others to one machine.
fn pairs_from_each(others: &[u8], to: u8) -> Vec<MachinePair> {
    others.iter().map(|from| MachinePair { from: *from, to }).collect()
}
