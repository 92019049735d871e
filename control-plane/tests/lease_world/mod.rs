//! Control nodes, agents and proxies with the real leases, on clocks of their own rates and links of their own delays, in
//! simulated time. What they say is said as in the system: connections keep order, and end at each side at another time.

mod control;
mod sessions;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use glenfall_control_plane::lease::Lease;
use glenfall_control_plane::messages::ProcessId;
use glenfall_control_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use control::Control;
use sessions::Sessions;

/// Microseconds that passed, by no process's clock.
pub type Time = u64;
pub const MS: Time = 1000;

const CONTROLS: usize = 3;
const AGENTS: usize = 3;
const PROCESSES: usize = CONTROLS + 2 * AGENTS;
const TICK: Time = 100 * MS;

/// What is taken out of the mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakenOut {
    Nothing,
    /// Nobody waits for leases of sessions that ended.
    WaitForSessions,
    /// Nobody waits for leases of control nodes that were lost.
    WaitForPeers,
    /// A restarted control node does not reckon with what the process before it granted.
    WaitAfterStart,
    /// A restarted control node passes for the process before it.
    Lives,
    /// A lease counts from the receipt of the grant.
    SentMoment,
    /// A renewal is granted in full, whatever is left of the granter's own lease.
    PartOfOwn,
    /// Contact that was lost leaves the lease.
    EndWithContact,
}

#[derive(Clone, Debug)]
pub enum Message {
    Hello,
    Renew { sent: Millis },
    Granted { sent: Millis, lasts: Millis },
    Push { number: u64, purges: BTreeSet<u32>, in_touch: bool },
    Applied(u64),
    Released,
    Open { life: u64, purges: BTreeSet<u32>, back: bool },
    Purges(BTreeSet<u32>),
    PeerRenew { life: u64, sent: Millis },
    PeerGranted { life: u64, sent: Millis, lasts: Millis },
    Purge { id: u64, purge: u32, asked: Option<Vec<ProcessId>> },
    Done { id: u64, complete: bool },
}

enum Event {
    Deliver { connection: usize, to: usize, message: Message },
    Closed { connection: usize, at: usize },
    Tick(usize),
}

pub struct Connection {
    ends: [usize; 2],
    stands: bool,
    /// What was on its way when it ended arrives until then.
    lost_from: Time,
    /// When what was last said to each end arrives.
    arrives: [Time; 2],
}

#[derive(Clone, Copy)]
struct Clock {
    offset: Millis,
    parts_per_million: i64,
}

impl Clock {
    fn read(self, at: Time) -> Millis {
        self.offset + (at as i64 * (1_000_000 + self.parts_per_million) / 1_000_000_000) as Millis
    }
}

pub struct Process {
    clock: Clock,
    life: u64,
    paused_until: Time,
    purges: BTreeSet<u32>,
    /// Of the lower side: connection upwards, contact, lease.
    up: Option<usize>,
    in_touch: bool,
    lease: Lease,
    sessions: Sessions,
    /// A change that an agent has taken and its proxies have not, and what came after it.
    applying: Option<(u64, Vec<(usize, u64)>)>,
    waiting: VecDeque<Message>,
    /// The connection that an agent gives its lease back on, once its proxies serve from copies no more.
    releasing: Option<(usize, Vec<(usize, u64)>)>,
    control: Control,
}

pub struct World {
    pub now: Time,
    rng: ChaCha8Rng,
    out: TakenOut,
    queue: BTreeMap<(Time, u64), Event>,
    events: u64,
    connections: Vec<Connection>,
    processes: Vec<Process>,
    /// Pairs of machines that don't reach each other.
    cut: BTreeSet<(usize, usize)>,
    pub acknowledged: BTreeSet<u32>,
    asked: u32,
    /// What was found first: a proxy, and a purge that it serves in spite of.
    pub broken: Option<(usize, u32)>,
}

impl World {
    pub fn new(seed: u64, out: TakenOut) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let clock = |rng: &mut ChaCha8Rng| Clock {
            offset: rng.random_range(0..1_000_000),
            parts_per_million: rng.random_range(-4500..=4500),
        };
        let mut clocks: Vec<Clock> = (0..PROCESSES).map(|_| clock(&mut rng)).collect();
        // A proxy is on the machine of its agent.
        for agent in CONTROLS..CONTROLS + AGENTS {
            clocks[agent + AGENTS] = clocks[agent];
        }
        let process = |clock: Clock| Process {
            clock,
            life: 1,
            paused_until: 0,
            purges: BTreeSet::new(),
            up: None,
            in_touch: false,
            lease: Lease::default(),
            sessions: Sessions::default(),
            applying: None,
            waiting: VecDeque::new(),
            releasing: None,
            control: Control::default(),
        };
        let mut world = World {
            now: 0,
            rng,
            out,
            queue: BTreeMap::new(),
            events: 0,
            connections: Vec::new(),
            processes: clocks.into_iter().map(process).collect(),
            cut: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            asked: 0,
            broken: None,
        };
        (0..PROCESSES).for_each(|process| world.at(process as Time, Event::Tick(process)));
        world
    }

    /// Plays random troubles for so long, and says whether a proxy could serve what was purged.
    pub fn play(&mut self, until: Time) -> bool {
        while self.now < until && self.broken.is_none() {
            let Some(((at, number), event)) = self.queue.pop_first() else { break };
            self.now = at;
            self.happen(number, event);
            if self.rng.random_bool(0.012) {
                self.trouble();
            }
            self.look();
        }
        self.broken.is_some()
    }

    fn look(&mut self) {
        for proxy in CONTROLS + AGENTS..PROCESSES {
            let process = &self.processes[proxy];
            let serves = process.in_touch && process.lease.is_valid(process.clock.read(self.now));
            let missed = self.acknowledged.difference(&process.purges).next();
            if let (true, true, Some(purge)) = (serves, process.paused_until <= self.now, missed) {
                self.broken = Some((proxy, *purge));
            }
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.events += 1;
        self.queue.insert((at, self.events), event);
    }

    fn clock(&self, process: usize) -> Millis {
        self.processes[process].clock.read(self.now)
    }

    fn machine(process: usize) -> usize {
        if process >= CONTROLS + AGENTS {
            process - AGENTS
        } else {
            process
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (Self::machine(a), Self::machine(b));
        !self.cut.contains(&(a.min(b), a.max(b)))
    }

    // ---- Connections ----

    fn connect(&mut self, from: usize, to: usize, first: Message) -> usize {
        self.connections.push(Connection {
            ends: [from, to],
            stands: true,
            lost_from: 0,
            arrives: [self.now; 2],
        });
        let connection = self.connections.len() - 1;
        self.say(from, connection, first);
        connection
    }

    fn say(&mut self, from: usize, connection: usize, message: Message) {
        let link = &mut self.connections[connection];
        if !link.stands {
            return;
        }
        let side = usize::from(link.ends[0] == from);
        let to = link.ends[side];
        // The sender may be stopped between what it decides and what it says.
        let said = self.now.max(self.processes[from].paused_until);
        let delay = if self.rng.random_bool(0.03) { 300 * MS } else { 5 * MS };
        let arrives = (said + self.rng.random_range(MS / 10..delay)).max(link.arrives[side] + 1);
        link.arrives[side] = arrives;
        self.at(arrives, Event::Deliver { connection, to, message });
    }

    /// Ends a connection; each side that is there notices at a time of its own.
    fn end(&mut self, connection: usize, at_once: Option<usize>) {
        if !std::mem::replace(&mut self.connections[connection].stands, false) {
            return;
        }
        self.connections[connection].lost_from = self.now + self.rng.random_range(0..400 * MS);
        for end in self.connections[connection].ends {
            let most = if at_once == Some(end) { 1 } else { 1500 * MS };
            let notices = self.now + self.rng.random_range(0..most);
            self.at(notices, Event::Closed { connection, at: end });
        }
    }

    fn is_lost(&self, connection: usize) -> bool {
        let connection = &self.connections[connection];
        !connection.stands && self.now >= connection.lost_from
    }

    fn happen(&mut self, number: u64, event: Event) {
        let (Event::Deliver { to: process, .. } | Event::Closed { at: process, .. } | Event::Tick(process)) =
            event;
        let resumes = self.processes[process].paused_until;
        if resumes > self.now {
            // With its number, so that what waits keeps its order.
            self.queue.insert((resumes, number), event);
            return;
        }
        match event {
            Event::Deliver { connection, .. } if self.is_lost(connection) => {}
            Event::Deliver { connection, to, message } => self.deliver(connection, to, message),
            Event::Closed { connection, at } => self.closed(connection, at),
            Event::Tick(process) => {
                self.tick(process);
                self.at(self.now + TICK, Event::Tick(process));
            }
        }
        if process < CONTROLS {
            self.settle(process);
        }
        self.settle_agents();
    }

    fn deliver(&mut self, connection: usize, to: usize, message: Message) {
        let [lower, upper] = self.connections[connection].ends;
        match (lower < CONTROLS, to == upper) {
            (true, _) => self.hear_control(to, connection, if to == upper { lower } else { upper }, message),
            (false, true) => self.hear_lower(to, connection, message),
            (false, false) => self.hear_upper(to, connection, message),
        }
    }

    fn closed(&mut self, connection: usize, at: usize) {
        if self.connections[connection].ends[0] < CONTROLS {
            self.link_closed(at, connection);
        } else {
            self.session_closed(connection, at);
        }
    }

    fn tick(&mut self, process: usize) {
        if process < CONTROLS {
            self.tick_control(process)
        } else {
            self.tick_lower(process)
        }
    }

    // ---- Troubles ----

    fn trouble(&mut self) {
        let process = self.rng.random_range(0..PROCESSES);
        match self.rng.random_range(0..11) {
            0..4 => self.ask_purge(),
            10 => self.move_agent(CONTROLS + process % AGENTS),
            4..6 => {
                let pause = self.rng.random_range(50..3000) * MS;
                let until = &mut self.processes[process].paused_until;
                *until = (self.now + pause).max(*until);
            }
            6..8 => self.crash(process),
            8 => {
                let (a, b) = (self.rng.random_range(0..CONTROLS), Self::machine(process));
                if a != b {
                    self.cut.insert((a.min(b), a.max(b)));
                    self.end_cut();
                }
            }
            _ => self.cut.clear(),
        }
    }

    fn end_cut(&mut self) {
        for connection in 0..self.connections.len() {
            let [a, b] = self.connections[connection].ends;
            if !self.reaches(a, b) {
                self.end(connection, None);
            }
        }
    }

    fn crash(&mut self, process: usize) {
        for connection in 0..self.connections.len() {
            if self.connections[connection].ends.contains(&process) {
                self.end(connection, Some(process));
            }
        }
        let control = Control::started(self.clock(process));
        let crashed = &mut self.processes[process];
        // Control nodes have their purges on disk or from a majority; proxies begin without copies.
        crashed.life += 1;
        (crashed.up, crashed.in_touch, crashed.lease) = (None, false, Lease::default());
        (crashed.sessions, crashed.applying, crashed.control) = (Sessions::default(), None, control);
        crashed.waiting.clear();
        crashed.releasing = None;
        if process >= CONTROLS + AGENTS {
            crashed.purges = (0..self.asked).collect();
        }
    }
}
