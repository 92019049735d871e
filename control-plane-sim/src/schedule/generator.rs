//! Generates random schedules of several kinds, with faults and operator requests, from a seed.

use std::ops::{Range, RangeInclusive};

use glenfall_control_plane::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Schedule, OPERATOR_INTERVAL, RECOVERY_TIMEOUT};
use crate::action::{Action, DocumentKind, Event, MachinePair};
use crate::cluster::ClusterSize;
use crate::rng;
use crate::world::{STEP_INTERVAL, SYNC_TIME};

/// The minimum time that the cluster runs after all faults of a short schedule have ended.
pub(super) const SHORT_RECOVERY: Millis = 1_500;
/// When faults end in a long schedule.
const LONG_FAULTS_END: Millis = 20_000;
/// When faults end in a short schedule, unless it tests a loss after a repair.
const SHORT_FAULTS_END: Range<Millis> = 4_000..9_000;
/// One in this many seeds gives a long schedule. Another one gives a schedule that tests a loss after a repair, if its
/// cluster has a spare machine.
const SEEDS_PER_KIND: u64 = 16;
/// Seeds with this remainder modulo [`SEEDS_PER_KIND`] give schedules that test a loss after a repair.
const LOSS_AFTER_REPAIR_REMAINDER: u64 = 4;
/// A machine is powered on again with a probability of one in this many at each step: after half a second on average.
const STEPS_PER_POWER_ON: u32 = 50;
/// The number of changes in a burst, which operators send within 100 ms.
const CHANGES_PER_BURST: usize = 8;
/// The cluster sizes of long schedules.
const LONG_SIZES: [ClusterSize; 5] = [
    ClusterSize::new(1, 0),
    ClusterSize::new(2, 0),
    ClusterSize::new(2, 2),
    ClusterSize::new(1, 1),
    ClusterSize::new(3, 1),
];
/// The cluster sizes of short schedules.
const SHORT_SIZES: [ClusterSize; 7] = [
    ClusterSize::new(1, 0),
    ClusterSize::new(2, 0),
    ClusterSize::new(1, 1),
    ClusterSize::new(2, 2),
    ClusterSize::new(1, 2),
    ClusterSize::new(3, 1),
    ClusterSize::new(2, 1),
];
/// The usual durations of faults, from which [`Generator::duration`] deviates at random.
const USUAL_PARTITION_DURATION: Millis = 2500;
const USUAL_PAUSE_DURATION: Millis = 1800;
const USUAL_STALL_DURATION: Millis = 1500;
/// The time between the loss that follows a repair and the end of all faults.
const TIME_AFTER_SECOND_LOSS: Millis = 1500;

/// Builds the events of a schedule.
pub(super) struct Generator {
    pub(super) rng: ChaCha8Rng,
    pub(super) size: ClusterSize,
    events: Vec<Event>,
}

impl Generator {
    /// Creates a generator that draws from one of the random streams of a seed.
    pub(super) fn new(seed: u64, size: ClusterSize, stream: u64) -> Generator {
        Generator { rng: rng::stream(seed, stream), size, events: Vec::new() }
    }

    pub(super) fn any_node(&mut self) -> u8 {
        self.rng.random_range(1..=self.size.nodes())
    }

    pub(super) fn all_nodes(&self) -> Vec<u8> {
        (1..=self.size.nodes()).collect()
    }

    pub(super) fn add(&mut self, at: Millis, action: Action) {
        self.events.push(Event { at, action });
    }

    pub(super) fn finish(mut self, seed: u64, faults_end_at: Millis, min_recovery: Millis) -> Schedule {
        self.events.sort_by_key(|event| event.at);
        Schedule {
            seed,
            size: self.size,
            injected_bug: None,
            faults_end_at,
            min_recovery,
            events: self.events,
        }
    }

    /// Powers the spare machines on, each after half a second on average.
    fn start_spares(&mut self) {
        for spare in self.size.voters() + 1..=self.size.nodes() {
            self.power_on_later(0, spare);
        }
    }

    // ---- Operators ----

    fn document_kind(&mut self) -> DocumentKind {
        match self.rng.random_range(0..20) {
            0 => DocumentKind::Invalid,
            1..8 => DocumentKind::Patch,
            _ => DocumentKind::Put,
        }
    }

    fn change(&mut self, at: Millis) {
        let receiver = self.any_node();
        let version_step = self.rng.random_range(1..4);
        let document = self.document_kind();
        let lost_answers = if self.rng.random_ratio(1, 8) { self.rng.random_range(1..4) } else { 0 };
        self.add(at, Action::Change { receiver, version_step, document, lost_answers });
    }

    /// Adds requests of operators: changes, a read, a session, and sometimes a burst of changes, a resent request
    /// or a voter change.
    pub(super) fn add_operator_requests(&mut self, at: Millis) {
        for _ in 0..self.rng.random_range(1..=2) {
            if self.rng.random_ratio(1, 4) {
                let receiver = self.any_node();
                let version_step = self.rng.random_range(1..9);
                self.add(at, Action::ChangeOnce { receiver, version_step });
            } else {
                self.change(at);
            }
        }
        if self.rng.random_ratio(1, 40) {
            self.burst_of_changes(at);
        }
        if self.rng.random_ratio(1, 5) {
            self.resend(at);
        }
        if self.size.spare > 0 && self.rng.random_ratio(1, 10) {
            self.voter_change(at);
        }
        let (reader, session_node) = (self.any_node(), self.any_node());
        self.add(at, Action::Read { receiver: reader });
        self.add(at, Action::OpenSession { receiver: session_node });
    }

    fn burst_of_changes(&mut self, at: Millis) {
        for _ in 0..CHANGES_PER_BURST {
            let soon = at + self.rng.random_range(0..100);
            self.change(soon);
        }
    }

    fn resend(&mut self, at: Millis) {
        let receiver = self.any_node();
        let bound = if self.rng.random_ratio(1, 4) { 400 } else { 8 };
        let requests_back = self.rng.random_range(0..bound);
        self.add(at, Action::Resend { receiver, requests_back });
    }

    fn voter_change(&mut self, at: Millis) {
        let (receiver, node) = (self.any_node(), self.any_node());
        let action = match self.rng.random() {
            true => Action::AddVoter { receiver, node },
            false => Action::RemoveVoter { receiver, node },
        };
        self.add(at, action);
    }

    // ---- Faults ----

    /// Powers a machine on after half a second on average.
    fn power_on_later(&mut self, at: Millis, node: u8) {
        let mut power_on_at = at;
        while !self.rng.random_ratio(1, STEPS_PER_POWER_ON) {
            power_on_at += STEP_INTERVAL;
        }
        self.add(power_on_at, Action::PowerOn { nodes: vec![node] });
    }

    /// Kills processes or cuts the power of their machines, and starts them again later.
    fn crash(&mut self, at: Millis, nodes: Vec<u8>) {
        let crashed = nodes.clone();
        let action = match self.rng.random() {
            true => Action::Kill { nodes: crashed },
            false => Action::PowerOff { nodes: crashed },
        };
        self.add(at, action);
        for node in nodes {
            self.power_on_later(at, node);
        }
    }

    /// Draws how long a fault lasts: most often `usual`, sometimes twice that, or a random shorter time.
    fn duration(&mut self, usual: Millis) -> Millis {
        match self.rng.random_range(0..8) {
            0 => self.rng.random_range(50..1500),
            1 => usual * 2,
            _ => usual,
        }
    }

    /// Partitions one link, all links of a machine, or the cluster into two sides, in one or both directions.
    fn partition(&mut self, at: Millis, duration: Millis) {
        let nodes = self.size.nodes();
        let machine = self.any_node();
        let pairs: Vec<MachinePair> = match self.rng.random_range(0..3) {
            0 => vec![MachinePair { from: machine, to: machine % nodes + 1 }],
            1 => {
                let peers = (1..=nodes).filter(|peer| *peer != machine);
                peers.map(|peer| MachinePair { from: machine, to: peer }).collect()
            }
            _ => {
                let side = self.rng.random_range(1..nodes.max(2));
                pairs_between(1..=side, side + 1..=nodes)
            }
        };
        match self.rng.random_range(0..4) {
            0 => self.add(at, Action::PartitionOneWay { pairs, duration }),
            1 => {
                let pairs = pairs.into_iter().map(MachinePair::reversed).collect();
                self.add(at, Action::PartitionOneWay { pairs, duration });
            }
            _ => self.add(at, Action::Partition { pairs, duration }),
        }
    }

    /// Wipes as many disks as the cluster has to tolerate; sometimes all machines crash at the same time.
    fn wipe(&mut self, at: Millis) {
        let nodes = (0..self.size.losses).map(|_| self.any_node()).collect();
        self.add(at, Action::Wipe { nodes });
        if self.rng.random_ratio(3, 10) {
            self.crash(at, self.all_nodes());
        }
    }

    fn fault(&mut self, at: Millis) {
        let nodes = self.size.nodes();
        let node = self.any_node();
        match self.rng.random_range(0..12) {
            0 | 1 => self.crash(at, vec![node]),
            2 => self.crash(at, self.all_nodes()),
            3 => self.wipe(at),
            4..=6 => {
                let duration = self.duration(USUAL_PARTITION_DURATION);
                self.partition(at, duration);
            }
            7 => self.add(at, Action::ResetLink { a: node, b: node % nodes + 1 }),
            8 => self.pause(at, node),
            9 => {
                let duration = self.duration(USUAL_STALL_DURATION);
                self.add(at, Action::StallDisk { node, duration });
            }
            // The machine is lost permanently, and a spare one has to replace it.
            10 if self.size.spare > 0 => self.add(at, Action::Lose { node }),
            _ => self.fault_on_acknowledgement(at),
        }
    }

    /// Pauses one process, or sometimes all.
    fn pause(&mut self, at: Millis, node: u8) {
        let pauses_all = self.rng.random_ratio(1, 6);
        let nodes = if pauses_all { self.all_nodes() } else { vec![node] };
        let duration = self.duration(USUAL_PAUSE_DURATION);
        self.add(at, Action::Pause { nodes, duration });
    }

    /// Adds a fault that happens as soon as a change is acknowledged.
    fn fault_on_acknowledgement(&mut self, at: Millis) {
        let first = self.events.len();
        self.fault(at);
        if let Some(Event { action, .. }) = self.events.get_mut(first) {
            if !matches!(action, Action::OnAcknowledged { .. }) {
                *action = Action::OnAcknowledged { then: Box::new(action.clone()) };
            }
        }
    }

    // ---- Kinds of schedules ----

    /// Adds faults at random intervals from a range.
    fn faults(&mut self, from: Millis, until: Millis, interval: Range<Millis>) {
        let mut at = from;
        while at < until {
            self.fault(at);
            at += self.rng.random_range(interval.clone());
        }
    }

    /// Adds faults that happen soon after a change was sent.
    fn faults_after_changes(&mut self, from: Millis, until: Millis) {
        let mut at = from;
        while at < until {
            self.change(at);
            let soon = at + self.rng.random_range(5..400);
            self.fault(soon);
            at += self.rng.random_range(500..2500);
        }
    }

    /// Partitions one link, one machine or a part of the cluster from `from` to `until`, and adds other faults after a
    /// third of that time.
    fn long_partition(&mut self, from: Millis, until: Millis) {
        let duration = until - from;
        self.partition(from, duration);
        self.faults(from + duration / 3, until, 800..3000);
    }

    /// Removes a machine permanently, starts its successor, and as soon as that has synchronized wipes as many disks as
    /// the user documentation permits, sometimes while all machines crash. Returns when faults end.
    fn loss_after_repair(&mut self, from: Millis) -> Millis {
        let lost = self.rng.random_range(1..=self.size.voters());
        let successor = self.size.nodes();
        self.add(from, Action::Lose { node: lost });
        let starts_at = from + self.rng.random_range(0..1500);
        self.events.retain(|event| event.action != Action::PowerOn { nodes: vec![successor] });
        self.add(starts_at, Action::PowerOn { nodes: vec![successor] });
        let second_loss_at = starts_at + SYNC_TIME + STEP_INTERVAL + self.rng.random_range(0..300);
        let nodes = (0..2 * self.size.losses).map(|_| self.any_node()).collect();
        self.add(second_loss_at, Action::WipeAfterRepair { nodes });
        if self.rng.random_ratio(3, 10) {
            self.crash(second_loss_at, self.all_nodes());
        }
        second_loss_at + TIME_AFTER_SECOND_LOSS
    }
}

/// Returns each pair of a machine of one side and a machine of the other.
fn pairs_between(from: RangeInclusive<u8>, to: RangeInclusive<u8>) -> Vec<MachinePair> {
    from.flat_map(|from| to.clone().map(move |to| MachinePair { from, to })).collect()
}

impl Schedule {
    /// Generates a schedule with 20 s of faults, one every 1.3 s on average, and 8 s of recovery.
    pub fn long(seed: u64) -> Schedule {
        let size = LONG_SIZES[(seed % LONG_SIZES.len() as u64) as usize];
        let mut generator = Generator::new(seed, size, rng::EVENT_STREAM);
        generator.start_spares();
        for at in (OPERATOR_INTERVAL..=LONG_FAULTS_END).step_by(OPERATOR_INTERVAL as usize) {
            generator.add_operator_requests(at);
        }
        generator.faults(1500, LONG_FAULTS_END, 100..2500);
        generator.finish(seed, LONG_FAULTS_END, RECOVERY_TIMEOUT)
    }

    /// Generates a schedule of a kind that the seed selects; most are short.
    pub fn generate(seed: u64) -> Schedule {
        match seed.is_multiple_of(SEEDS_PER_KIND) {
            true => Schedule::long(seed),
            false => Schedule::short(seed),
        }
    }

    fn short(seed: u64) -> Schedule {
        let size = SHORT_SIZES[(seed % SHORT_SIZES.len() as u64) as usize];
        let mut generator = Generator::new(seed, size, rng::EVENT_STREAM);
        generator.start_spares();
        let faults_begin_at = generator.rng.random_range(300..1200);
        let random_end = generator.rng.random_range(SHORT_FAULTS_END);
        let is_repair = seed % SEEDS_PER_KIND == LOSS_AFTER_REPAIR_REMAINDER && size.spare > 0;
        let faults_end_at =
            if is_repair { generator.loss_after_repair(faults_begin_at + 1000) } else { random_end };
        let mut at = 200;
        while at < faults_end_at {
            generator.add_operator_requests(at);
            at += generator.rng.random_range(50..500);
        }
        match generator.rng.random_range(0..8) {
            _ if is_repair => {}
            0..=3 => generator.faults(faults_begin_at, faults_end_at, 50..1600),
            4..=6 => generator.faults_after_changes(faults_begin_at, faults_end_at),
            _ => generator.long_partition(faults_begin_at, faults_end_at),
        }
        generator.finish(seed, faults_end_at, SHORT_RECOVERY)
    }
}
