//! Schedules that target scenarios which random ones rarely reach. A promise is lost before it is counted, a read
//! arrives before the message that its view has started, or proposals interleave. Losses and partitions occur during a
//! voter change, a partitioned node receives reads, or the power fails at an acknowledgement.
//!
//! Targeted schedules have a seed space of their own: seed 1 here is unrelated to seed 1 of [`Schedule::generate`].

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

/// Without faults, the first view has started by this time.
const FIRST_VIEW_DEADLINE: Millis = 800;
/// The number of scenarios in one schedule.
const SCENARIOS_PER_SCHEDULE: usize = 2;
/// How long the cluster takes to recover after a scenario.
const RECOVERY_TIME: Millis = 1_800;
/// How long the first node in the order of proposers waits before it proposes a new view.
const PROPOSAL_DELAY: Millis = 60;

/// Adds the events of a scenario that starts at the given time, and returns when the cluster should have recovered.
type Scenario = fn(&mut Generator, Millis) -> Millis;

/// A kind of scenario, and the sizes of the clusters in which it is run.
struct ScenarioKind {
    scenario: Scenario,
    sizes: &'static [ClusterSize],
}

/// All kinds of scenarios. The remainder of a seed selects one.
const SCENARIO_KINDS: [ScenarioKind; 8] = [
    ScenarioKind {
        scenario: Generator::promise_lost_in_wipe,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(1, 0), ClusterSize::new(1, 1)],
    },
    ScenarioKind {
        scenario: Generator::read_overtakes_start_of_view,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(1, 0), ClusterSize::new(2, 0)],
    },
    ScenarioKind {
        scenario: Generator::proposals_interleave,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(2, 0), ClusterSize::new(1, 1)],
    },
    ScenarioKind {
        scenario: Generator::power_lost_during_voter_change,
        sizes: &[
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 2),
            ClusterSize::new(2, 1),
            ClusterSize::new(2, 2),
        ],
    },
    ScenarioKind {
        scenario: Generator::voter_sets_partitioned_during_change,
        sizes: &[
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 2),
            ClusterSize::new(2, 1),
        ],
    },
    ScenarioKind {
        scenario: Generator::disks_lost_during_voter_change,
        sizes: &[
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 1),
            ClusterSize::new(1, 2),
            ClusterSize::new(2, 1),
        ],
    },
    ScenarioKind {
        scenario: Generator::reads_at_partitioned_node,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(2, 0), ClusterSize::new(1, 1)],
    },
    ScenarioKind {
        scenario: Generator::power_lost_at_acknowledgement,
        sizes: &[ClusterSize::new(1, 0), ClusterSize::new(2, 0)],
    },
];

impl Schedule {
    /// Generates a schedule with scenarios of one kind, which the seed selects.
    pub fn targeted(seed: u64) -> Schedule {
        let kind = &SCENARIO_KINDS[(seed % SCENARIO_KINDS.len() as u64) as usize];
        let size_index = seed / SCENARIO_KINDS.len() as u64 % kind.sizes.len() as u64;
        let mut generator = Generator::new(seed, kind.sizes[size_index as usize], rng::TARGETED_EVENT_STREAM);
        let spares: Vec<u8> = (generator.size.voters() + 1..=generator.size.nodes()).collect();
        generator.add(0, Action::PowerOn { nodes: spares });
        let mut at = FIRST_VIEW_DEADLINE + generator.rng.random_range(0..400);
        generator.add_operator_requests_until(FIRST_VIEW_DEADLINE / 2, at);
        for _ in 0..SCENARIOS_PER_SCHEDULE {
            let next = (kind.scenario)(&mut generator, at) + generator.rng.random_range(0..500);
            generator.add_operator_requests_until(at, next);
            at = next;
        }
        generator.finish(seed, at, SHORT_RECOVERY)
    }
}

impl Generator {
    /// Adds requests of operators at random intervals, so that there are changes that faults may lose.
    fn add_operator_requests_until(&mut self, from: Millis, until: Millis) {
        let mut at = from;
        while at < until {
            self.add_operator_requests(at);
            at += self.rng.random_range(100..500);
        }
    }

    /// Adds changes, reads and sessions, each at a random one of these nodes, at random intervals from a range.
    fn add_requests_at(&mut self, nodes: &[u8], from: Millis, until: Millis, interval: Range<Millis>) {
        let mut at = from;
        while at < until {
            let receiver = nodes[self.rng.random_range(0..nodes.len())];
            let action = self.random_request(receiver);
            self.add(at, action);
            at += self.rng.random_range(interval.clone());
        }
    }

    fn random_request(&mut self, receiver: u8) -> Action {
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

    /// Resets a link, and keeps it from reconnecting for `duration`.
    fn partition_link(&mut self, at: Millis, a: u8, b: u8, duration: Millis) {
        self.add(at, Action::ResetLink { a, b });
        self.add(at, Action::Partition { pairs: vec![MachinePair { from: a, to: b }], duration });
    }

    /// A proposer has received the promise of another voter and waits for its own disk. Meanwhile the link between the
    /// two is lost, the other voter continues in a newer view without the proposer, loses its disk with the promise,
    /// and reconnects to the proposer.
    fn promise_lost_in_wipe(&mut self, at: Millis) -> Millis {
        let voters = self.shuffled_voters();
        let (proposer, wiped_voter, third) = (voters[0], voters[1], voters[2]);
        let stall = self.rng.random_range(300..750);
        self.add(at, Action::StallDisk { node: proposer, duration: stall });
        self.partition_link(at, proposer, third, 2_500);
        let promised_at = at + PROPOSAL_DELAY + self.rng.random_range(20..150);
        let partition = self.rng.random_range(100..400);
        self.partition_link(promised_at, proposer, wiped_voter, partition);
        self.add_requests_at(&[wiped_voter, third], promised_at + 20, promised_at + partition, 20..60);
        let wipe = Action::Wipe { nodes: vec![wiped_voter] };
        if self.rng.random() {
            let registered_at = promised_at + self.rng.random_range(20..150);
            self.add(registered_at, Action::OnAcknowledged { then: Box::new(wipe) });
        } else {
            let wiped_at = promised_at + self.rng.random_range(100..500);
            self.add(wiped_at, wipe);
        }
        self.add_requests_at(&[proposer, wiped_voter], promised_at + 200, promised_at + 1_300, 20..60);
        promised_at + 1_300 + RECOVERY_TIME
    }

    /// All processes restart, and know of no committed change until a view has started. The `StartView` message to the
    /// tail is delayed, and a read is not. The member before the tail loses a link once it has accepted the view.
    fn read_overtakes_start_of_view(&mut self, at: Millis) -> Millis {
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
        self.add_requests_at(&[1, 1, before_tail], at + 150, at + 1_500, 10..50);
        at + 1_500 + RECOVERY_TIME
    }

    /// Messages are delayed on some links and other links are lost, so that promises and views of several proposals
    /// interleave.
    fn proposals_interleave(&mut self, at: Millis) -> Millis {
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
        self.add_requests_at(&voters, at, at + duration + 400, 20..80);
        at + duration + RECOVERY_TIME
    }

    /// A voter is replaced. During the change all machines lose power, and some of them lose their disks too.
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
        self.add_requests_at(&voters, at, lost_at + 1_200, 20..80);
        lost_at + RECOVERY_TIME
    }

    fn power_on_each(&mut self, lost_at: Millis, nodes: &[u8]) {
        for node in nodes {
            let power_on_at = lost_at + self.rng.random_range(10..300);
            self.add(power_on_at, Action::PowerOn { nodes: vec![*node] });
        }
    }

    /// Requests a voter change at a node, which then proposes the views of the change. Messages from this node to the
    /// other voters are delayed.
    ///
    /// Returns the approximate time at which the node sends one of two views, chosen at random. The first view adds the
    /// new voter, and the second requires majorities of both voter sets.
    fn voter_replacement(&mut self, at: Millis, proposer: u8, removed: u8) -> Millis {
        let extra_delay = self.rng.random_range(40..150);
        let others: Vec<u8> = (1..=self.size.voters()).filter(|other| *other != proposer).collect();
        let pairs = pairs_to_each(proposer, &others);
        self.add(at, Action::Delay { pairs, extra_delay, duration: 1_500 });
        self.add(at, Action::RemoveVoter { receiver: proposer, node: removed });
        // The first view is sent once a promise has arrived; the second once the first has started and another
        // promise has arrived.
        let sent_after = match self.rng.random() {
            true => PROPOSAL_DELAY + 30 + extra_delay,
            false => 2 * PROPOSAL_DELAY + 30 + 3 * extra_delay,
        };
        at + sent_after + self.rng.random_range(0..2 * extra_delay)
    }

    /// A view of a voter change reaches only a majority of the new voter set, which is then partitioned from a majority
    /// of the old voter set.
    fn voter_sets_partitioned_during_change(&mut self, at: Millis) -> Millis {
        let (voters, successor) = (self.shuffled_voters(), self.size.voters() + 1);
        let losses = usize::from(self.size.losses);
        let (new_set_side, old_set_side) = (&voters[..losses], &voters[losses..]);
        let sent_at = self.voter_replacement(at, new_set_side[0], old_set_side[0]);
        let duration = self.rng.random_range(1_500..2_500);
        for a in new_set_side.iter().chain([&successor]) {
            for b in old_set_side {
                self.partition_link(sent_at, *a, *b, duration);
            }
        }
        let all = self.all_nodes();
        self.add_requests_at(&all, sent_at, sent_at + duration, 20..60);
        sent_at + duration + RECOVERY_TIME
    }

    /// As many machines as the cluster tolerates lose their disks while a view of a voter change is in flight, and the
    /// others lose power. All machines have run for long enough that none counts as lost before.
    fn disks_lost_during_voter_change(&mut self, at: Millis) -> Millis {
        let (voters, losses) = (self.shuffled_voters(), usize::from(self.size.losses));
        let from = at + SYNC_TIME + RECOVERY_TIME;
        let sent_at = self.voter_replacement(from, voters[0], voters[1]);
        // The removed voter, `voters[1]`, is not wiped.
        let wiped = match self.rng.random() {
            true => voters[2..].iter().chain(&voters[..1]).take(losses).copied().collect(),
            false => voters[voters.len() - losses..].to_vec(),
        };
        self.add(sent_at, Action::WipeAfterRepair { nodes: wiped });
        let all = self.all_nodes();
        self.add(sent_at, Action::PowerOff { nodes: all.clone() });
        self.power_on_each(sent_at, &all);
        self.add_requests_at(&voters, from, sent_at + 1_200, 20..80);
        sent_at + RECOVERY_TIME
    }

    /// Sessions open at a node that is partitioned or paused without having detected it, while the other nodes
    /// continue.
    fn reads_at_partitioned_node(&mut self, at: Millis) -> Millis {
        // Node 1 is the head of the chain; it is selected in at least half of the cases.
        let node = if self.rng.random() { 1 } else { self.any_node() };
        let others: Vec<u8> = self.all_nodes().into_iter().filter(|other| *other != node).collect();
        let duration = self.rng.random_range(300..2_500);
        let fault = self.connectivity_fault(node, &others, duration);
        self.add(at, fault);
        if self.rng.random_ratio(1, 3) {
            let killed_at = at + self.rng.random_range(0..duration);
            self.add(killed_at, Action::Kill { nodes: vec![node] });
            self.add(killed_at + 20, Action::PowerOn { nodes: vec![node] });
        }
        self.add_requests_at(&others, at, at + duration, 30..90);
        self.add_requests_at(&[node], at, at + duration + 300, 20..60);
        at + duration + RECOVERY_TIME
    }

    /// Draws a fault that blocks or delays messages between a node and the others, in one direction or both.
    fn connectivity_fault(&mut self, node: u8, others: &[u8], duration: Millis) -> Action {
        let (outgoing, incoming) = (pairs_to_each(node, others), pairs_from_each(others, node));
        match self.rng.random_range(0..5) {
            0 => Action::Partition { pairs: outgoing, duration },
            1 => Action::PartitionOneWay { pairs: outgoing, duration },
            2 => Action::PartitionOneWay { pairs: incoming, duration },
            3 => Action::Pause { nodes: vec![node], duration },
            _ => Action::Delay { pairs: incoming, extra_delay: duration / 4, duration },
        }
    }

    /// All machines lose power as soon as a change is acknowledged, while a majority of the disks stall. In most
    /// schedules the disks that did not stall are lost too.
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
        self.add_requests_at(&voters, at, at + duration, 20..80);
        at + duration + RECOVERY_TIME
    }
}

fn pairs_to_each(from: u8, others: &[u8]) -> Vec<MachinePair> {
    others.iter().map(|to| MachinePair { from, to: *to }).collect()
}

fn pairs_from_each(others: &[u8], to: u8) -> Vec<MachinePair> {
    others.iter().map(|from| MachinePair { from: *from, to }).collect()
}
