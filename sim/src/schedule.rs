//! A schedule: what goes wrong and what operators do, each at its time. It is drawn from a seed before it is played,
//! and what it says of a machine holds whatever else happens, so that some of it can be left out.

use glenfall_plane::chain::Seat;
use glenfall_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{node, Size, Violation, World};

/// How long troubles go on, and how long the mended system then has to take one more change.
const TROUBLES: Millis = 20_000;
const MENDED: Millis = 8_000;
/// Operators act so often.
const OPERATE: Millis = 250;

/// What happens. Machines go by their numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// An operator at a node changes the newest version that operators know, to one higher by `raise`.
    Change {
        at: u8,
        raise: u64,
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
    PowerOff {
        nodes: Vec<u8>,
    },
    PowerOn {
        node: u8,
    },
    /// Power and disks go, of so many of these as the core is to outlive now; power is back at once.
    Wipe {
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
    LoseLink {
        a: u8,
        b: u8,
    },
    Freeze {
        node: u8,
        lasts: Millis,
    },
    Stall {
        node: u8,
        lasts: Millis,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    pub at: Millis,
    #[serde(flatten)]
    pub action: Action,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Of delays and of what operators do once all is mended.
    pub seed: u64,
    pub size: Size,
    /// Troubles end then.
    pub troubles: Millis,
    pub events: Vec<Event>,
}

/// What a schedule that held brought about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// Changes acknowledged, reads answered, changes of voters begun at an operator's word.
    pub changes: u64,
    pub reads: u64,
    pub seats: u64,
}

impl std::ops::AddAssign for Played {
    fn add_assign(&mut self, other: Played) {
        self.changes += other.changes;
        self.reads += other.reads;
        self.seats += other.seats;
    }
}

/// Draws the events.
struct Drawing {
    rng: ChaCha8Rng,
    size: Size,
    events: Vec<Event>,
}

impl Drawing {
    fn any(&mut self) -> u8 {
        self.rng.random_range(1..=self.size.nodes())
    }

    fn add(&mut self, at: Millis, action: Action) {
        self.events.push(Event { at, action });
    }

    /// A machine without power gets it back after half a second on average.
    fn back(&mut self, at: Millis, node: u8) {
        let mut back = at;
        while !self.rng.random_bool(0.02) {
            back += crate::TICK;
        }
        self.add(back, Action::PowerOn { node });
    }

    fn off(&mut self, at: Millis, nodes: Vec<u8>) {
        self.add(at, Action::PowerOff { nodes: nodes.clone() });
        for node in nodes {
            self.back(at, node);
        }
    }

    fn operate(&mut self, at: Millis) {
        for _ in 0..self.rng.random_range(1..=2) {
            let (node, raise) = (self.any(), self.rng.random_range(1..9));
            self.add(at, Action::Change { at: node, raise });
        }
        if self.size.spare > 0 && self.rng.random_bool(0.1) {
            let (asked, node) = (self.any(), self.any());
            let add = self.rng.random();
            let action =
                if add { Action::Add { at: asked, node } } else { Action::Remove { at: asked, node } };
            self.add(at, action);
        }
        let reader = self.any();
        self.add(at, Action::Read { at: reader });
    }

    fn trouble(&mut self, at: Millis) {
        let nodes = self.size.nodes();
        let n = self.any();
        let other = n % nodes + 1;
        match self.rng.random_range(0..11) {
            0 | 1 => self.off(at, vec![n]),
            2 => self.off(at, (1..=nodes).collect()),
            3 => {
                // As many disks as may be, and at times the others lose power with them.
                let lost = (0..self.size.losses).map(|_| self.any()).collect();
                self.add(at, Action::Wipe { nodes: lost });
                if self.rng.random_bool(0.3) {
                    self.off(at, (1..=nodes).collect());
                }
            }
            4 => self.add(at, Action::Cut { pairs: vec![(n, other)], lasts: 2500 }),
            5 => {
                let pairs = (1..=nodes).filter(|other| *other != n).map(|other| (n, other)).collect();
                self.add(at, Action::Cut { pairs, lasts: 2500 });
            }
            6 => self.add(at, Action::LoseLink { a: n, b: other }),
            7 => self.add(at, Action::Freeze { node: n, lasts: 1800 }),
            8 => self.add(at, Action::Stall { node: n, lasts: 1500 }),
            9 => {
                // The core in two.
                let side = self.rng.random_range(1..nodes.max(2));
                let pairs = (1..=side).flat_map(|a| (side + 1..=nodes).map(move |b| (a, b))).collect();
                self.add(at, Action::Cut { pairs, lasts: 2500 });
            }
            // Lost for good; one that stands by has to take its place.
            _ if self.size.spare > 0 => self.add(at, Action::Lose { node: n }),
            _ => {}
        }
    }
}

impl Schedule {
    pub fn drawn(seed: u64) -> Schedule {
        let sizes = [(1, 0), (2, 0), (2, 2), (1, 1), (3, 1)].map(|(losses, spare)| Size { losses, spare });
        let size = sizes[(seed % sizes.len() as u64) as usize];
        // Not the stream that the world draws from.
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(1);
        let mut drawing = Drawing { rng, size, events: Vec::new() };
        for standing_by in size.voters() + 1..=size.nodes() {
            drawing.back(0, standing_by);
        }
        for at in (OPERATE..=TROUBLES).step_by(OPERATE as usize) {
            drawing.operate(at);
        }
        let mut at = 1500;
        while at < TROUBLES {
            drawing.trouble(at);
            at += drawing.rng.random_range(100..2500);
        }
        let mut events = drawing.events;
        events.sort_by_key(|event| event.at);
        Schedule { seed, size, troubles: TROUBLES, events }
    }

    /// Plays it from the start. With the property that was broken comes the state of all nodes at that moment.
    pub fn play(&self) -> Result<Played, (Violation, String)> {
        let mut world = World::new(self.seed, self.size);
        let told = |violation, world: &World| (violation, world.describe());
        self.run(&mut world).map_err(|violation| told(violation, &world))?;
        Ok(Played { changes: world.done, reads: world.reads, seats: world.seats })
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
        let done = world.done;
        let until = world.now + MENDED;
        while world.now < until {
            world.step()?;
            if world.now.is_multiple_of(OPERATE) {
                world.operate();
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
    pub fn act(&mut self, action: &Action) {
        match action {
            Action::Change { at, raise } => {
                self.change(*at, *raise);
            }
            Action::Read { at } => {
                self.read(*at);
            }
            Action::Add { at, node: n } => self.ask_voters(*at, Seat::Add(node(*n))),
            Action::Remove { at, node: n } => self.ask_voters(*at, Seat::Remove(node(*n))),
            Action::PowerOff { nodes } => {
                for n in nodes {
                    self.power_off(*n, false);
                }
            }
            Action::PowerOn { node } => self.power_on(*node),
            Action::Wipe { nodes } => {
                for n in nodes {
                    if self.disks_to_lose() > 0 {
                        self.power_off(*n, true);
                        self.power_on(*n);
                    }
                }
            }
            Action::Lose { node } => {
                if self.disks_to_lose() > 0 {
                    self.power_off(*node, true);
                    self.machine(*node).gone = true;
                }
            }
            Action::Cut { pairs, lasts } => {
                for (a, b) in pairs {
                    self.cut(*a, *b, *lasts);
                }
            }
            Action::LoseLink { a, b } => self.lose_link(*a, *b),
            Action::Freeze { node, lasts } => self.freeze(*node, *lasts),
            Action::Stall { node, lasts } => self.stall(*node, *lasts),
        }
    }
}
