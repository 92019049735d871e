//! Control nodes, agents and proxies with the real leases, on clocks with different rates and links with different delays, in
//! simulated time. As in the system, connections keep the order of messages, and each end notices the loss of a connection
//! at another time.

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

/// Simulated time in microseconds, which no process reads directly.
pub type Time = u64;
pub const MS: Time = 1000;

const CONTROLS: usize = 3;
const AGENTS: usize = 3;
const PROCESSES: usize = CONTROLS + 2 * AGENTS;
const TICK: Time = 100 * MS;

/// The part of the mechanism that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// No process waits for the leases of sessions that have ended.
    SessionLeaseWait,
    /// No process waits for the leases of control nodes that it does not reach.
    PeerLeaseWait,
    /// A restarted control node does not wait for leases that the previous process granted.
    StartWait,
    /// A restarted control node has the incarnation of the previous process.
    Incarnations,
    /// A lease counts from the receipt of the grant.
    SendTime,
    /// A renewal is granted in full, whatever time is left of the granter's own lease.
    NestedExpiry,
    /// A lease stays valid when the connection is lost.
    EndOnDisconnect,
}

#[derive(Clone, Debug)]
pub enum Message {
    Hello,
    Renew { sent: Millis },
    Granted { sent: Millis, duration: Millis },
    Push { number: u64, purges: BTreeSet<u32>, connected: bool },
    Applied(u64),
    Released,
    Open { incarnation: u64, purges: BTreeSet<u32>, back: bool },
    Purges(BTreeSet<u32>),
    PeerRenew { incarnation: u64, sent: Millis },
    PeerGranted { incarnation: u64, sent: Millis, duration: Millis },
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
    is_up: bool,
    /// Messages in transit when the connection ended arrive until then.
    lost_from: Time,
    /// When the last message to each end arrives.
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
    incarnation: u64,
    paused_until: Time,
    purges: BTreeSet<u32>,
    /// The connection to the publisher, its state, and the lease.
    up: Option<usize>,
    connected: bool,
    lease: Lease,
    sessions: Sessions,
    /// An update that an agent has applied and its proxies have not, and the sessions that it waits for.
    applying: Option<(u64, Vec<(usize, u64)>)>,
    waiting: VecDeque<Message>,
    /// The connection on which an agent releases its lease, once its proxies serve no stored responses.
    releasing: Option<(usize, Vec<(usize, u64)>)>,
    control: Control,
}

pub struct World {
    pub now: Time,
    rng: ChaCha8Rng,
    disabled: Disabled,
    queue: BTreeMap<(Time, u64), Event>,
    events: u64,
    connections: Vec<Connection>,
    processes: Vec<Process>,
    /// Pairs of machines that do not reach each other.
    partitioned: BTreeSet<(usize, usize)>,
    pub acknowledged: BTreeSet<u32>,
    requested_purges: u32,
    /// The first violation: a proxy, and an acknowledged purge that it has not applied while it has a lease.
    pub violation: Option<(usize, u32)>,
}

impl World {
    pub fn new(seed: u64, disabled: Disabled) -> World {
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
            incarnation: 1,
            paused_until: 0,
            purges: BTreeSet::new(),
            up: None,
            connected: false,
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
            disabled,
            queue: BTreeMap::new(),
            events: 0,
            connections: Vec::new(),
            processes: clocks.into_iter().map(process).collect(),
            partitioned: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            requested_purges: 0,
            violation: None,
        };
        (0..PROCESSES).for_each(|process| world.at(process as Time, Event::Tick(process)));
        world
    }

    /// Injects random faults until a time, and returns whether a proxy could serve a purged response.
    pub fn play(&mut self, until: Time) -> bool {
        while self.now < until && self.violation.is_none() {
            let Some(((at, number), event)) = self.queue.pop_first() else { break };
            self.now = at;
            self.handle(number, event);
            if self.rng.random_bool(0.012) {
                self.inject_fault();
            }
            self.check_proxies();
        }
        self.violation.is_some()
    }

    fn check_proxies(&mut self) {
        for proxy in CONTROLS + AGENTS..PROCESSES {
            let process = &self.processes[proxy];
            let serves = process.connected && process.lease.is_valid(process.clock.read(self.now));
            let missed = self.acknowledged.difference(&process.purges).next();
            if let (true, true, Some(purge)) = (serves, process.paused_until <= self.now, missed) {
                self.violation = Some((proxy, *purge));
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
        !self.partitioned.contains(&(a.min(b), a.max(b)))
    }

    // ---- Connections ----

    fn connect(&mut self, from: usize, to: usize, first: Message) -> usize {
        self.connections.push(Connection {
            ends: [from, to],
            is_up: true,
            lost_from: 0,
            arrives: [self.now; 2],
        });
        let connection = self.connections.len() - 1;
        self.send(from, connection, first);
        connection
    }

    fn send(&mut self, from: usize, connection: usize, message: Message) {
        let link = &mut self.connections[connection];
        if !link.is_up {
            return;
        }
        let side = usize::from(link.ends[0] == from);
        let to = link.ends[side];
        // The sender may be stopped between its decision and the message.
        let said = self.now.max(self.processes[from].paused_until);
        let delay = if self.rng.random_bool(0.03) { 300 * MS } else { 5 * MS };
        let arrives = (said + self.rng.random_range(MS / 10..delay)).max(link.arrives[side] + 1);
        link.arrives[side] = arrives;
        self.at(arrives, Event::Deliver { connection, to, message });
    }

    /// Ends a connection. Each running side notices at a time of its own.
    fn end(&mut self, connection: usize, at_once: Option<usize>) {
        if !std::mem::replace(&mut self.connections[connection].is_up, false) {
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
        !connection.is_up && self.now >= connection.lost_from
    }

    fn handle(&mut self, number: u64, event: Event) {
        let (Event::Deliver { to: process, .. } | Event::Closed { at: process, .. } | Event::Tick(process)) =
            event;
        let resumes = self.processes[process].paused_until;
        if resumes > self.now {
            // With its number, so that waiting events keep their order.
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
            self.complete_purges(process);
        }
        self.complete_agents();
    }

    fn deliver(&mut self, connection: usize, to: usize, message: Message) {
        let [lower, upper] = self.connections[connection].ends;
        match (lower < CONTROLS, to == upper) {
            (true, _) => {
                self.handle_control(to, connection, if to == upper { lower } else { upper }, message);
            }
            (false, true) => self.handle_from_subscriber(to, connection, message),
            (false, false) => self.handle_from_publisher(to, connection, message),
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
            self.tick_control(process);
        } else {
            self.tick_subscriber(process);
        }
    }

    // ---- Faults ----

    fn inject_fault(&mut self) {
        let process = self.rng.random_range(0..PROCESSES);
        match self.rng.random_range(0..11) {
            0..4 => self.request_purge(),
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
                    self.partitioned.insert((a.min(b), a.max(b)));
                    self.end_partitioned();
                }
            }
            _ => self.partitioned.clear(),
        }
    }

    fn end_partitioned(&mut self) {
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
        // Control nodes have their purges on disk or from a quorum; proxies start without stored responses.
        crashed.incarnation += 1;
        (crashed.up, crashed.connected, crashed.lease) = (None, false, Lease::default());
        (crashed.sessions, crashed.applying, crashed.control) = (Sessions::default(), None, control);
        crashed.waiting.clear();
        crashed.releasing = None;
        if process >= CONTROLS + AGENTS {
            crashed.purges = (0..self.requested_purges).collect();
        }
    }
}
