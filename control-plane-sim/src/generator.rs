//! Generates schedules of faults and operators from a seed, of several kinds.

use glenfall_control_plane::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::losses::SYNC;
use crate::schedule::{MENDED, OPERATE};
use crate::{rng, Action, Content, Event, Schedule, Size, TICK};

/// How long the mended cluster is watched at least in a short schedule.
pub(crate) const WATCHED: Millis = 1_500;
/// How long faults go on in a long schedule, and at most in a short one.
const LONG: Millis = 20_000;
const SHORT: std::ops::Range<Millis> = 4_000..9_000;
/// So many seeds share the kinds of schedules.
const KINDS: u64 = 16;
/// Of those this one is a loss right after a repair, where a machine stands by.
const REPAIR: u64 = 4;

/// Builds the events of a schedule.
pub(crate) struct Generator {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) size: Size,
    events: Vec<Event>,
}

impl Generator {
    /// Draws from one of the random streams of a seed.
    pub(crate) fn new(seed: u64, size: Size, stream: u64) -> Generator {
        Generator { rng: rng::stream(seed, stream), size, events: Vec::new() }
    }

    /// Machines that stand by start early on.
    fn start_spares(&mut self) {
        for standing_by in self.size.voters() + 1..=self.size.nodes() {
            self.power_on_later(0, standing_by);
        }
    }

    pub(crate) fn any_node(&mut self) -> u8 {
        self.rng.random_range(1..=self.size.nodes())
    }

    pub(crate) fn all_nodes(&self) -> Vec<u8> {
        (1..=self.size.nodes()).collect()
    }

    pub(crate) fn add(&mut self, at: Millis, action: Action) {
        self.events.push(Event { at, action });
    }

    pub(crate) fn finish(mut self, seed: u64, troubles: Millis, watched: Millis) -> Schedule {
        self.events.sort_by_key(|event| event.at);
        Schedule { seed, size: self.size, fault: None, troubles, watched, events: self.events }
    }

    // ---- Operators ----

    fn content(&mut self) -> Content {
        match self.rng.random_range(0..20) {
            0 => Content::Invalid,
            1..8 => Content::Patch,
            _ => Content::Put,
        }
    }

    fn change(&mut self, at: Millis) {
        let (node, raise, content) = (self.any_node(), self.rng.random_range(1..4), self.content());
        let lost = if self.rng.random_ratio(1, 8) { self.rng.random_range(1..4) } else { 0 };
        self.add(at, Action::Change { at: node, raise, content, lost });
    }

    /// Operators change, read, and ask for other voters.
    pub(crate) fn operate(&mut self, at: Millis) {
        for _ in 0..self.rng.random_range(1..=2) {
            if self.rng.random_ratio(1, 4) {
                let (node, raise) = (self.any_node(), self.rng.random_range(1..9));
                self.add(at, Action::ChangeOnce { at: node, raise });
            } else {
                self.change(at);
            }
        }
        if self.rng.random_ratio(1, 40) {
            for _ in 0..8 {
                let soon = at + self.rng.random_range(0..100);
                self.change(soon);
            }
        }
        if self.rng.random_ratio(1, 5) {
            let (node, most) = (self.any_node(), if self.rng.random_ratio(1, 4) { 400 } else { 8 });
            let back = self.rng.random_range(0..most);
            self.add(at, Action::Resend { at: node, back });
        }
        if self.size.spare > 0 && self.rng.random_ratio(1, 10) {
            self.ask_voters(at);
        }
        let (reader, opens) = (self.any_node(), self.any_node());
        self.add(at, Action::Read { at: reader });
        self.add(at, Action::OpenSession { at: opens });
    }

    fn ask_voters(&mut self, at: Millis) {
        let (asked, node) = (self.any_node(), self.any_node());
        let add = self.rng.random();
        self.add(
            at,
            match add {
                true => Action::AddVoter { at: asked, node },
                false => Action::RemoveVoter { at: asked, node },
            },
        );
    }

    // ---- Faults ----

    /// A machine without power gets it back after half a second on average.
    fn power_on_later(&mut self, at: Millis, node: u8) {
        let mut back = at;
        while !self.rng.random_ratio(1, 50) {
            back += TICK;
        }
        self.add(back, Action::PowerOn { nodes: vec![node] });
    }

    fn crash(&mut self, at: Millis, nodes: Vec<u8>) {
        let (kill, all) = (self.rng.random(), nodes.clone());
        self.add(at, if kill { Action::Kill { nodes: all } } else { Action::PowerOff { nodes: all } });
        for node in nodes {
            self.power_on_later(at, node);
        }
    }

    /// How long a fault lasts: at times it ends soon, or lasts longer.
    fn duration(&mut self, usual: Millis) -> Millis {
        match self.rng.random_range(0..8) {
            0 => self.rng.random_range(50..1500),
            1 => usual * 2,
            _ => usual,
        }
    }

    /// All links of a machine, the cluster in two, or one link; both ways or one.
    fn partition(&mut self, at: Millis, lasts: Millis) {
        let (nodes, n) = (self.size.nodes(), self.any_node());
        let pairs: Vec<(u8, u8)> = match self.rng.random_range(0..3) {
            0 => vec![(n, n % nodes + 1)],
            1 => (1..=nodes).filter(|other| *other != n).map(|other| (n, other)).collect(),
            _ => {
                let side = self.rng.random_range(1..nodes.max(2));
                (1..=side).flat_map(|a| (side + 1..=nodes).map(move |b| (a, b))).collect()
            }
        };
        match self.rng.random_range(0..4) {
            0 => self.add(at, Action::PartitionOneWay { channels: pairs, lasts }),
            1 => {
                let channels = pairs.into_iter().map(|(a, b)| (b, a)).collect();
                self.add(at, Action::PartitionOneWay { channels, lasts });
            }
            _ => self.add(at, Action::Partition { pairs, lasts }),
        }
    }

    /// As many disks as may be, and at times the others lose power with them.
    fn wipe(&mut self, at: Millis) {
        let nodes = (0..self.size.losses).map(|_| self.any_node()).collect();
        self.add(at, Action::Wipe { nodes });
        if self.rng.random_ratio(3, 10) {
            self.crash(at, self.all_nodes());
        }
    }

    fn fault(&mut self, at: Millis) {
        let nodes = self.size.nodes();
        let n = self.any_node();
        match self.rng.random_range(0..12) {
            0 | 1 => self.crash(at, vec![n]),
            2 => self.crash(at, self.all_nodes()),
            3 => self.wipe(at),
            4..=6 => {
                let lasts = self.duration(2500);
                self.partition(at, lasts);
            }
            7 => self.add(at, Action::ResetLink { a: n, b: n % nodes + 1 }),
            8 => {
                let all = self.rng.random_ratio(1, 6);
                let nodes = if all { self.all_nodes() } else { vec![n] };
                let lasts = self.duration(1800);
                self.add(at, Action::Pause { nodes, lasts });
            }
            9 => {
                let lasts = self.duration(1500);
                self.add(at, Action::StallDisk { node: n, lasts });
            }
            // Lost for good; one that stands by has to take its place.
            10 if self.size.spare > 0 => self.add(at, Action::Lose { node: n }),
            _ => self.fault_on_acknowledgement(at),
        }
    }

    /// A fault as soon as something was acknowledged.
    fn fault_on_acknowledgement(&mut self, at: Millis) {
        let from = self.events.len();
        self.fault(at);
        if let Some(Event { action, .. }) = self.events.get_mut(from) {
            if !matches!(action, Action::OnAcknowledged { .. }) {
                *action = Action::OnAcknowledged { then: Box::new(action.clone()) };
            }
        }
    }

    // ---- Kinds of schedules ----

    fn faults(&mut self, from: Millis, until: Millis, pause: std::ops::Range<Millis>) {
        let mut at = from;
        while at < until {
            self.fault(at);
            at += self.rng.random_range(pause.clone());
        }
    }

    /// Faults that come soon after a change was sent.
    fn faults_after_changes(&mut self, from: Millis, until: Millis) {
        let mut at = from;
        while at < until {
            self.change(at);
            let soon = at + self.rng.random_range(5..400);
            self.fault(soon);
            at += self.rng.random_range(500..2500);
        }
    }

    /// A machine or a half is cut off for most of the time, and operators go on asking there.
    fn long_partition(&mut self, from: Millis, until: Millis) {
        let lasts = until - from;
        self.partition(from, lasts);
        self.faults(from + lasts / 3, until, 800..3000);
    }

    /// A machine is lost for good, its successor starts, and as soon as that has had its time as many disks are lost as
    /// may be, at times while the others lose power. Returns when faults end.
    fn loss_after_repair(&mut self, from: Millis) -> Millis {
        let (lost, successor) = (self.rng.random_range(1..=self.size.voters()), self.size.nodes());
        self.add(from, Action::Lose { node: lost });
        let starts = from + self.rng.random_range(0..1500);
        self.events.retain(|event| event.action != Action::PowerOn { nodes: vec![successor] });
        self.add(starts, Action::PowerOn { nodes: vec![successor] });
        let second = starts + SYNC + TICK + self.rng.random_range(0..300);
        let nodes = (0..2 * self.size.losses).map(|_| self.any_node()).collect();
        self.add(second, Action::WipeAfterRepair { nodes });
        if self.rng.random_ratio(3, 10) {
            self.crash(second, self.all_nodes());
        }
        second + 1500
    }
}

impl Schedule {
    /// One of 20 s, with a fault every 1.3 s, and 8 s after that.
    pub fn long(seed: u64) -> Schedule {
        let sizes = [(1, 0), (2, 0), (2, 2), (1, 1), (3, 1)].map(|(losses, spare)| Size { losses, spare });
        let mut generator = Generator::new(seed, sizes[(seed % sizes.len() as u64) as usize], rng::EVENTS);
        generator.start_spares();
        for at in (OPERATE..=LONG).step_by(OPERATE as usize) {
            generator.operate(at);
        }
        generator.faults(1500, LONG, 100..2500);
        generator.finish(seed, LONG, MENDED)
    }

    /// A short one in most cases, of one of several kinds.
    pub fn generate(seed: u64) -> Schedule {
        if seed.is_multiple_of(KINDS) {
            return Schedule::long(seed);
        }
        let sizes = [(1, 0), (2, 0), (1, 1), (2, 2), (1, 2), (3, 1), (2, 1)];
        let (losses, spare) = sizes[(seed % sizes.len() as u64) as usize];
        let mut generator = Generator::new(seed, Size { losses, spare }, rng::EVENTS);
        generator.start_spares();
        let (from, until) = (generator.rng.random_range(300..1200), generator.rng.random_range(SHORT));
        let repair = seed % KINDS == REPAIR && spare > 0;
        let until = if repair { generator.loss_after_repair(from + 1000) } else { until };
        let mut at = 200;
        while at < until {
            generator.operate(at);
            at += generator.rng.random_range(50..500);
        }
        match generator.rng.random_range(0..8) {
            _ if repair => {}
            0..=3 => generator.faults(from, until, 50..1600),
            4..=6 => generator.faults_after_changes(from, until),
            _ => generator.long_partition(from, until),
        }
        generator.finish(seed, until, WATCHED)
    }
}
