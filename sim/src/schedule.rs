//! A schedule: what goes wrong and what operators do, each at its time. It is drawn from a seed before it is played,
//! and what it says of a machine holds whatever else happens, so that some of it can be left out.

use std::panic::{catch_unwind, AssertUnwindSafe};

use glenfall_plane::chain::Seat;
use glenfall_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{node, Content, Fault, Size, Violation, World, SYNC, TICK};

/// How long the mended system has to take one more change and to be in one chain, and how long it is watched at least.
const MENDED: Millis = 8_000;
const WATCHED: Millis = 1_500;
/// Operators act so often in long schedules, and once all is mended.
const OPERATE: Millis = 250;
/// How long troubles go on in a long schedule, and at most in a short one.
const LONG: Millis = 20_000;
const SHORT: std::ops::Range<Millis> = 4_000..9_000;
/// Of sixteen seeds this one is a loss right after a repair, where a machine stands by.
const REPAIR: u64 = 4;

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
    Again {
        at: u8,
        back: usize,
    },
    Read {
        at: u8,
    },
    /// An operator at a node asks for other voters.
    Add {
        at: u8,
        node: u8,
    },
    Remove {
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
    /// Power and disks go, of so many of these as the core is to outlive now; power is back at once.
    Wipe {
        nodes: Vec<u8>,
    },
    /// The same, of as many as may be lost as the users' pages count: a machine that was removed counts no more once its
    /// successor has had its time.
    WipeAgain {
        nodes: Vec<u8>,
    },
    /// As one wipe, but the machine does not come back.
    Lose {
        node: u8,
    },
    Cut {
        pairs: Vec<(u8, u8)>,
        lasts: Millis,
    },
    /// Nothing of the first comes to the second of each.
    Mute {
        ways: Vec<(u8, u8)>,
        lasts: Millis,
    },
    LoseLink {
        a: u8,
        b: u8,
    },
    Freeze {
        nodes: Vec<u8>,
        lasts: Millis,
    },
    Stall {
        node: u8,
        lasts: Millis,
    },
    /// Once the next change is acknowledged.
    Acknowledged {
        then: Box<Action>,
    },
}

impl Action {
    /// How long it lasts, or by how much it raises the version.
    fn figure(&self) -> u64 {
        match self {
            Action::Change { raise, lost, .. } => (*raise).max(u64::from(*lost)),
            Action::ChangeOnce { raise, .. } => *raise,
            Action::Cut { lasts, .. }
            | Action::Mute { lasts, .. }
            | Action::Freeze { lasts, .. }
            | Action::Stall { lasts, .. } => *lasts,
            Action::Acknowledged { then } => then.figure(),
            _ => 0,
        }
    }

    /// Those that it names.
    fn machines(&self) -> Vec<u8> {
        match self {
            Action::Change { at, .. }
            | Action::ChangeOnce { at, .. }
            | Action::Again { at, .. }
            | Action::Read { at } => vec![*at],
            Action::Add { at, node } | Action::Remove { at, node } => vec![*at, *node],
            Action::Kill { nodes }
            | Action::PowerOff { nodes }
            | Action::PowerOn { nodes }
            | Action::Wipe { nodes }
            | Action::WipeAgain { nodes }
            | Action::Freeze { nodes, .. } => nodes.clone(),
            Action::Lose { node } | Action::Stall { node, .. } => vec![*node],
            Action::Cut { pairs: ends, .. } | Action::Mute { ways: ends, .. } => {
                ends.iter().flat_map(|(a, b)| [*a, *b]).collect()
            }
            Action::LoseLink { a, b } => vec![*a, *b],
            Action::Acknowledged { then } => then.machines(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    pub at: Millis,
    pub action: Action,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Of delays and of what operators do once all is mended.
    pub seed: u64,
    pub size: Size,
    /// What the simulated machines do wrong on purpose.
    pub fault: Option<Fault>,
    /// Troubles end then.
    pub troubles: Millis,
    /// The mended system is watched for so long, if nothing is wrong.
    pub watched: Millis,
    pub events: Vec<Event>,
}

/// Why a schedule can't be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Nonsense {
    #[error("size: 1 to {MOST_LOSSES} losses and at most {MOST_SPARE} machines that stand by expected")]
    Size,
    #[error("troubles, watched: {LONGEST} ms at most expected")]
    Time,
    #[error("event at {0} ms: no machine has that number")]
    Machine(Millis),
    #[error("event at {0} ms: out of order")]
    Order(Millis),
    #[error("event at {0} ms: lasts, raise, lost: {LONGEST} at most expected")]
    Figure(Millis),
}

/// What a file may ask for.
const MOST_LOSSES: u8 = 3;
const MOST_SPARE: u8 = 3;
const LONGEST: Millis = 600_000;

/// What a schedule that held brought about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Played {
    /// Changes acknowledged, reads answered, orders refused, orders sent again.
    pub changes: u64,
    pub reads: u64,
    pub refusals: u64,
    pub repeats: u64,
    /// Views that stood, changes of who counts, and changes of voters begun at an operator's word.
    pub views: u64,
    pub member_changes: u64,
    pub seats: u64,
}

impl std::ops::AddAssign for Played {
    fn add_assign(&mut self, other: Played) {
        self.changes += other.changes;
        self.reads += other.reads;
        self.refusals += other.refusals;
        self.repeats += other.repeats;
        self.views += other.views;
        self.member_changes += other.member_changes;
        self.seats += other.seats;
    }
}

/// A property that was broken, when, and the state of all nodes at that moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub violation: Violation,
    pub at: Millis,
    pub nodes: String,
}

/// Draws the events.
struct Drawing {
    rng: ChaCha8Rng,
    size: Size,
    events: Vec<Event>,
}

impl Drawing {
    fn new(seed: u64, size: Size) -> Drawing {
        let mut drawing = Drawing { rng: ChaCha8Rng::seed_from_u64(seed), size, events: Vec::new() };
        // Not a stream that the world draws from.
        drawing.rng.set_stream(1);
        for standing_by in size.voters() + 1..=size.nodes() {
            drawing.back(0, standing_by);
        }
        drawing
    }

    fn any(&mut self) -> u8 {
        self.rng.random_range(1..=self.size.nodes())
    }

    fn add(&mut self, at: Millis, action: Action) {
        self.events.push(Event { at, action });
    }

    /// A machine without power gets it back after half a second on average.
    fn back(&mut self, at: Millis, node: u8) {
        let mut back = at;
        while !self.rng.random_ratio(1, 50) {
            back += TICK;
        }
        self.add(back, Action::PowerOn { nodes: vec![node] });
    }

    fn off(&mut self, at: Millis, nodes: Vec<u8>) {
        let (kill, all) = (self.rng.random(), nodes.clone());
        self.add(at, if kill { Action::Kill { nodes: all } } else { Action::PowerOff { nodes: all } });
        for node in nodes {
            self.back(at, node);
        }
    }

    fn all(&self) -> Vec<u8> {
        (1..=self.size.nodes()).collect()
    }

    fn content(&mut self) -> Content {
        match self.rng.random_range(0..20) {
            0 => Content::Invalid,
            1..8 => Content::Patch,
            _ => Content::Put,
        }
    }

    fn change(&mut self, at: Millis) {
        let (node, raise, content) = (self.any(), self.rng.random_range(1..4), self.content());
        let lost = if self.rng.random_ratio(1, 8) { self.rng.random_range(1..4) } else { 0 };
        self.add(at, Action::Change { at: node, raise, content, lost });
    }

    /// Operators change, read, and ask for other voters.
    fn operate(&mut self, at: Millis) {
        for _ in 0..self.rng.random_range(1..=2) {
            if self.rng.random_ratio(1, 4) {
                let (node, raise) = (self.any(), self.rng.random_range(1..9));
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
            let (node, most) = (self.any(), if self.rng.random_ratio(1, 4) { 400 } else { 8 });
            let back = self.rng.random_range(0..most);
            self.add(at, Action::Again { at: node, back });
        }
        if self.size.spare > 0 && self.rng.random_ratio(1, 10) {
            let (at_node, node) = (self.any(), self.any());
            let add = self.rng.random();
            let seat =
                if add { Action::Add { at: at_node, node } } else { Action::Remove { at: at_node, node } };
            self.add(at, seat);
        }
        let reader = self.any();
        self.add(at, Action::Read { at: reader });
    }

    /// One that ends soon, or lasts.
    fn lasts(&mut self, usual: Millis) -> Millis {
        match self.rng.random_range(0..8) {
            0 => self.rng.random_range(50..1500),
            1 => usual * 2,
            _ => usual,
        }
    }

    fn cut_off(&self, n: u8) -> Vec<(u8, u8)> {
        (1..=self.size.nodes()).filter(|other| *other != n).map(|other| (n, other)).collect()
    }

    /// All links of a machine, the core in two, or one link; both ways or one.
    fn cut(&mut self, at: Millis, lasts: Millis) {
        let (nodes, n) = (self.size.nodes(), self.any());
        let pairs: Vec<(u8, u8)> = match self.rng.random_range(0..3) {
            0 => vec![(n, n % nodes + 1)],
            1 => self.cut_off(n),
            _ => {
                let side = self.rng.random_range(1..nodes.max(2));
                (1..=side).flat_map(|a| (side + 1..=nodes).map(move |b| (a, b))).collect()
            }
        };
        match self.rng.random_range(0..4) {
            0 => self.add(at, Action::Mute { ways: pairs, lasts }),
            1 => {
                let ways = pairs.into_iter().map(|(a, b)| (b, a)).collect();
                self.add(at, Action::Mute { ways, lasts });
            }
            _ => self.add(at, Action::Cut { pairs, lasts }),
        }
    }

    fn wipe(&mut self, at: Millis) {
        // As many disks as may be, and at times the others lose power with them.
        let nodes = (0..self.size.losses).map(|_| self.any()).collect();
        self.add(at, Action::Wipe { nodes });
        if self.rng.random_ratio(3, 10) {
            self.off(at, self.all());
        }
    }

    fn trouble(&mut self, at: Millis) {
        let nodes = self.size.nodes();
        let n = self.any();
        match self.rng.random_range(0..12) {
            0 | 1 => self.off(at, vec![n]),
            2 => self.off(at, self.all()),
            3 => self.wipe(at),
            4..=6 => {
                let lasts = self.lasts(2500);
                self.cut(at, lasts);
            }
            7 => self.add(at, Action::LoseLink { a: n, b: n % nodes + 1 }),
            8 => {
                let all = self.rng.random_ratio(1, 6);
                let (nodes, lasts) = (if all { self.all() } else { vec![n] }, self.lasts(1800));
                self.add(at, Action::Freeze { nodes, lasts });
            }
            9 => {
                let lasts = self.lasts(1500);
                self.add(at, Action::Stall { node: n, lasts });
            }
            // Lost for good; one that stands by has to take its place.
            10 if self.size.spare > 0 => self.add(at, Action::Lose { node: n }),
            // As soon as something was acknowledged.
            _ => {
                let from = self.events.len();
                self.trouble(at);
                if let Some(Event { action, .. }) = self.events.get_mut(from) {
                    if !matches!(action, Action::Acknowledged { .. }) {
                        *action = Action::Acknowledged { then: Box::new(action.clone()) };
                    }
                }
            }
        }
    }

    fn troubles(&mut self, from: Millis, until: Millis, pause: std::ops::Range<Millis>) {
        let mut at = from;
        while at < until {
            self.trouble(at);
            at += self.rng.random_range(pause.clone());
        }
    }

    /// Troubles that come soon after a change was sent.
    fn aimed(&mut self, from: Millis, until: Millis) {
        let mut at = from;
        while at < until {
            self.change(at);
            let soon = at + self.rng.random_range(5..400);
            self.trouble(soon);
            at += self.rng.random_range(500..2500);
        }
    }

    /// A machine or a half is cut off for most of the time, and operators go on asking there.
    fn long_cut(&mut self, from: Millis, until: Millis) {
        let lasts = until - from;
        self.cut(from, lasts);
        self.troubles(from + lasts / 3, until, 800..3000);
    }

    /// A machine is lost for good, its successor starts, and as soon as that has had its time as many disks are lost as
    /// may be, at times while the others lose power.
    fn repair(&mut self, from: Millis) -> Millis {
        let (lost, successor) = (self.rng.random_range(1..=self.size.voters()), self.size.nodes());
        self.add(from, Action::Lose { node: lost });
        let starts = from + self.rng.random_range(0..1500);
        self.events.retain(|event| event.action != Action::PowerOn { nodes: vec![successor] });
        self.add(starts, Action::PowerOn { nodes: vec![successor] });
        let second = starts + SYNC + TICK + self.rng.random_range(0..300);
        let nodes = (0..2 * self.size.losses).map(|_| self.any()).collect();
        self.add(second, Action::WipeAgain { nodes });
        if self.rng.random_ratio(3, 10) {
            self.off(second, self.all());
        }
        second + 1500
    }

    fn finish(mut self, seed: u64, troubles: Millis, watched: Millis) -> Schedule {
        self.events.sort_by_key(|event| event.at);
        Schedule { seed, size: self.size, fault: None, troubles, watched, events: self.events }
    }
}

impl Schedule {
    /// One of 20 s, with a trouble every 1.3 s, and 8 s after that.
    pub fn long(seed: u64) -> Schedule {
        let sizes = [(1, 0), (2, 0), (2, 2), (1, 1), (3, 1)].map(|(losses, spare)| Size { losses, spare });
        let mut drawing = Drawing::new(seed, sizes[(seed % sizes.len() as u64) as usize]);
        for at in (OPERATE..=LONG).step_by(OPERATE as usize) {
            drawing.operate(at);
        }
        drawing.troubles(1500, LONG, 100..2500);
        drawing.finish(seed, LONG, MENDED)
    }

    /// A short one in most cases, of one of several kinds.
    pub fn drawn(seed: u64) -> Schedule {
        if seed.is_multiple_of(16) {
            return Schedule::long(seed);
        }
        let sizes = [(1, 0), (2, 0), (1, 1), (2, 2), (1, 2), (3, 1), (2, 1)];
        let (losses, spare) = sizes[(seed % sizes.len() as u64) as usize];
        let mut drawing = Drawing::new(seed, Size { losses, spare });
        let (from, until) = (drawing.rng.random_range(300..1200), drawing.rng.random_range(SHORT));
        let repair = seed % 16 == REPAIR && spare > 0;
        let until = if repair { drawing.repair(from + 1000) } else { until };
        let mut at = 200;
        while at < until {
            drawing.operate(at);
            at += drawing.rng.random_range(50..500);
        }
        match drawing.rng.random_range(0..8) {
            _ if repair => {}
            0..=3 => drawing.troubles(from, until, 50..1600),
            4..=6 => drawing.aimed(from, until),
            _ => drawing.long_cut(from, until),
        }
        drawing.finish(seed, until, WATCHED)
    }

    /// Whether it can be played, where it does not come from a drawing.
    pub fn check(&self) -> Result<(), Nonsense> {
        if !(1..=MOST_LOSSES).contains(&self.size.losses) || self.size.spare > MOST_SPARE {
            return Err(Nonsense::Size);
        }
        if self.troubles.max(self.watched) > LONGEST {
            return Err(Nonsense::Time);
        }
        let nodes = 1..=self.size.nodes();
        if let Some(event) =
            self.events.iter().find(|e| !e.action.machines().iter().all(|n| nodes.contains(n)))
        {
            return Err(Nonsense::Machine(event.at));
        }
        if let Some(event) = self.events.iter().find(|event| event.action.figure() > LONGEST) {
            return Err(Nonsense::Figure(event.at));
        }
        let out_of_order = self.events.windows(2).find(|pair| pair[0].at > pair[1].at);
        out_of_order.map_or(Ok(()), |pair| Err(Nonsense::Order(pair[1].at)))
    }

    /// Plays it from the start.
    pub fn play(&self) -> Result<Played, Broken> {
        let mut world = World::new(self.seed, self.size);
        world.fault = self.fault;
        let run = catch_unwind(AssertUnwindSafe(|| self.run(&mut world)));
        let run = run.unwrap_or_else(|panic| {
            let told = panic.downcast_ref::<String>().cloned();
            let told = told.or_else(|| panic.downcast_ref::<&str>().map(|told| (*told).to_owned()));
            Err(Violation::Panic(told.unwrap_or_default()))
        });
        match run {
            Ok(()) => Ok(world.played()),
            Err(violation) => Err(Broken { violation, at: world.now, nodes: world.describe() }),
        }
    }

    fn run(&self, world: &mut World) -> Result<(), Violation> {
        let mut events = self.events.iter().peekable();
        while world.now < self.troubles {
            world.step()?;
            while let Some(event) = events.next_if(|event| event.at <= world.now) {
                world.act(&event.action);
            }
        }
        world.settle();
        let (done, from) = (world.done, world.now);
        while world.now < from + MENDED {
            world.step()?;
            if world.now.is_multiple_of(OPERATE) {
                world.operate();
            }
            if world.now >= from + self.watched && world.done > done && world.in_one_view() {
                break;
            }
        }
        world.check()?;
        if world.done == done {
            return Err(Violation::Stuck(MENDED));
        }
        world.in_one_view().then_some(()).ok_or(Violation::Apart)
    }
}

impl World {
    fn played(&self) -> Played {
        Played {
            changes: self.done,
            reads: self.reads,
            refusals: self.refusals,
            repeats: self.repeats,
            views: self.views,
            member_changes: self.member_changes,
            seats: self.seats,
        }
    }

    pub fn act(&mut self, action: &Action) {
        match action {
            Action::Change { at, raise, content, lost } => self.insist(*at, *raise, *content, *lost),
            Action::ChangeOnce { at, raise } => {
                self.change(*at, *raise);
            }
            Action::Again { at, back } => self.again(*at, *back),
            Action::Read { at } => {
                self.read(*at);
            }
            Action::Add { at, node: n } => self.ask_voters(*at, Seat::Add(node(*n))),
            Action::Remove { at, node: n } => self.ask_voters(*at, Seat::Remove(node(*n))),
            Action::Kill { nodes } => nodes.iter().for_each(|n| self.kill(*n)),
            Action::PowerOff { nodes } => nodes.iter().for_each(|n| self.power_off(*n, false)),
            Action::PowerOn { nodes } => nodes.iter().for_each(|n| self.power_on(*n)),
            Action::Wipe { nodes } => {
                for n in nodes {
                    if self.disks_to_lose() > 0 {
                        self.power_off(*n, true);
                        self.power_on(*n);
                    }
                }
            }
            Action::WipeAgain { nodes } => {
                for n in nodes {
                    if self.machines_to_lose() > 0 && self.chain(*n).is_some() {
                        self.power_off(*n, true);
                        self.power_on(*n);
                    }
                }
            }
            Action::Lose { node } => {
                if self.disks_to_lose() > 0 {
                    self.remove(*node);
                }
            }
            Action::Cut { pairs, lasts } => pairs.iter().for_each(|(a, b)| self.cut(*a, *b, *lasts)),
            Action::Mute { ways, lasts } => ways.iter().for_each(|(a, b)| self.mute(*a, *b, *lasts)),
            Action::LoseLink { a, b } => self.lose_link(*a, *b),
            Action::Freeze { nodes, lasts } => nodes.iter().for_each(|n| self.freeze(*n, *lasts)),
            Action::Stall { node, lasts } => self.stall(*node, *lasts),
            Action::Acknowledged { then } => self.armed.push((**then).clone()),
        }
    }
}
