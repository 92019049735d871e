//! Simulation of control nodes, agents and proxies with the leases of the library, on clocks with different rates and links
//! with different delays. As in the system, connections keep the order of messages, and the two ends of a connection
//! notice its loss at different times.

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

/// Simulated time in microseconds. Processes read it only through their clocks.
pub type Time = u64;
pub const MILLISECOND: Time = 1000;

const CONTROL_NODE_COUNT: usize = 3;
const AGENT_COUNT: usize = 3;
const PROCESS_COUNT: usize = CONTROL_NODE_COUNT + 2 * AGENT_COUNT;
const TICK_INTERVAL: Time = 100 * MILLISECOND;

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
    /// A lease remains valid after the connection to its granter is lost.
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
    Open { incarnation: u64, purges: BTreeSet<u32>, is_reply: bool },
    Purges(BTreeSet<u32>),
    PeerRenew { incarnation: u64, sent: Millis },
    PeerGranted { incarnation: u64, sent: Millis, duration: Millis },
    Purge { id: u64, purge: u32, already_notified: Option<Vec<ProcessId>> },
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
    /// After the connection has ended, messages in transit arrive until this time.
    lost_from: Time,
    /// When the last message to each of the `ends` arrives.
    last_arrival: [Time; 2],
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
    /// The connection to the publisher.
    upstream: Option<usize>,
    /// Whether the publisher has reported that it is connected to control.
    connected: bool,
    lease: Lease,
    sessions: Sessions,
    /// The number of an update that an agent has applied and its proxies have not, and the session updates that it waits
    /// for.
    pending_update: Option<(u64, Vec<(usize, u64)>)>,
    queued_messages: VecDeque<Message>,
    /// The connection on which an agent releases its lease once its proxies serve no stored responses, and the session
    /// updates that it waits for.
    pending_release: Option<(usize, Vec<(usize, u64)>)>,
    control: Control,
}

pub struct World {
    pub now: Time,
    rng: ChaCha8Rng,
    disabled: Disabled,
    queue: BTreeMap<(Time, u64), Event>,
    last_event: u64,
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
        let mut clocks: Vec<Clock> = (0..PROCESS_COUNT).map(|_| clock(&mut rng)).collect();
        // A proxy runs on the machine of its agent, and so has the same clock.
        for agent in CONTROL_NODE_COUNT..CONTROL_NODE_COUNT + AGENT_COUNT {
            clocks[agent + AGENT_COUNT] = clocks[agent];
        }
        let process = |clock: Clock| Process {
            clock,
            incarnation: 1,
            paused_until: 0,
            purges: BTreeSet::new(),
            upstream: None,
            connected: false,
            lease: Lease::default(),
            sessions: Sessions::default(),
            pending_update: None,
            queued_messages: VecDeque::new(),
            pending_release: None,
            control: Control::default(),
        };
        let mut world = World {
            now: 0,
            rng,
            disabled,
            queue: BTreeMap::new(),
            last_event: 0,
            connections: Vec::new(),
            processes: clocks.into_iter().map(process).collect(),
            partitioned: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            requested_purges: 0,
            violation: None,
        };
        (0..PROCESS_COUNT).for_each(|process| world.schedule(process as Time, Event::Tick(process)));
        world
    }

    /// Injects random faults until a time, and returns whether a proxy could serve a purged response.
    pub fn run(&mut self, until: Time) -> bool {
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
        for proxy in CONTROL_NODE_COUNT + AGENT_COUNT..PROCESS_COUNT {
            let process = &self.processes[proxy];
            let serves = process.connected && process.lease.is_valid(process.clock.read(self.now));
            let missed_purge = self.acknowledged.difference(&process.purges).next();
            if let (true, true, Some(purge)) = (serves, process.paused_until <= self.now, missed_purge) {
                self.violation = Some((proxy, *purge));
            }
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.last_event += 1;
        self.queue.insert((at, self.last_event), event);
    }

    fn clock(&self, process: usize) -> Millis {
        self.processes[process].clock.read(self.now)
    }

    fn machine(process: usize) -> usize {
        if process >= CONTROL_NODE_COUNT + AGENT_COUNT {
            process - AGENT_COUNT
        } else {
            process
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (Self::machine(a), Self::machine(b));
        !self.partitioned.contains(&(a.min(b), a.max(b)))
    }

    // ---- Connections ----

    fn connect(&mut self, from: usize, to: usize, first_message: Message) -> usize {
        self.connections.push(Connection {
            ends: [from, to],
            is_up: true,
            lost_from: 0,
            last_arrival: [self.now; 2],
        });
        let connection = self.connections.len() - 1;
        self.send(from, connection, first_message);
        connection
    }

    fn send(&mut self, from: usize, connection: usize, message: Message) {
        let link = &mut self.connections[connection];
        if !link.is_up {
            return;
        }
        let side = usize::from(link.ends[0] == from);
        let to = link.ends[side];
        // The sender may be paused between its decision to send and the transmission.
        let sent_at = self.now.max(self.processes[from].paused_until);
        let delay = if self.rng.random_bool(0.03) { 300 * MILLISECOND } else { 5 * MILLISECOND };
        let arrives_at =
            (sent_at + self.rng.random_range(MILLISECOND / 10..delay)).max(link.last_arrival[side] + 1);
        link.last_arrival[side] = arrives_at;
        self.schedule(arrives_at, Event::Deliver { connection, to, message });
    }

    /// Ends a connection. Each end notices after a delay of its own; `closed_by` is the end that notices at once.
    fn end_connection(&mut self, connection: usize, closed_by: Option<usize>) {
        if !std::mem::replace(&mut self.connections[connection].is_up, false) {
            return;
        }
        self.connections[connection].lost_from = self.now + self.rng.random_range(0..400 * MILLISECOND);
        for end in self.connections[connection].ends {
            let max_delay = if closed_by == Some(end) { 1 } else { 1500 * MILLISECOND };
            let notices_at = self.now + self.rng.random_range(0..max_delay);
            self.schedule(notices_at, Event::Closed { connection, at: end });
        }
    }

    fn is_lost(&self, connection: usize) -> bool {
        let connection = &self.connections[connection];
        !connection.is_up && self.now >= connection.lost_from
    }

    fn handle(&mut self, number: u64, event: Event) {
        let (Event::Deliver { to: process, .. } | Event::Closed { at: process, .. } | Event::Tick(process)) =
            event;
        let resumes_at = self.processes[process].paused_until;
        if resumes_at > self.now {
            // The event keeps its number, so that delayed events keep their order.
            self.queue.insert((resumes_at, number), event);
            return;
        }
        match event {
            Event::Deliver { connection, .. } if self.is_lost(connection) => {}
            Event::Deliver { connection, to, message } => self.deliver(connection, to, message),
            Event::Closed { connection, at } => self.connection_closed(connection, at),
            Event::Tick(process) => {
                self.tick(process);
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(process));
            }
        }
        if process < CONTROL_NODE_COUNT {
            self.complete_purges(process);
        }
        self.complete_agents();
    }

    fn deliver(&mut self, connection: usize, to: usize, message: Message) {
        let [initiator, acceptor] = self.connections[connection].ends;
        match (initiator < CONTROL_NODE_COUNT, to == acceptor) {
            (true, _) => {
                self.handle_control(
                    to,
                    connection,
                    if to == acceptor { initiator } else { acceptor },
                    message,
                );
            }
            (false, true) => self.handle_from_subscriber(to, connection, message),
            (false, false) => self.handle_from_publisher(to, connection, message),
        }
    }

    fn connection_closed(&mut self, connection: usize, at: usize) {
        if self.connections[connection].ends[0] < CONTROL_NODE_COUNT {
            self.link_closed(at, connection);
        } else {
            self.session_closed(connection, at);
        }
    }

    fn tick(&mut self, process: usize) {
        if process < CONTROL_NODE_COUNT {
            self.tick_control(process);
        } else {
            self.tick_subscriber(process);
        }
    }

    // ---- Faults ----

    fn inject_fault(&mut self) {
        let process = self.rng.random_range(0..PROCESS_COUNT);
        match self.rng.random_range(0..11) {
            0..4 => self.request_purge(),
            10 => self.move_agent(CONTROL_NODE_COUNT + process % AGENT_COUNT),
            4..6 => {
                let pause = self.rng.random_range(50..3000) * MILLISECOND;
                let until = &mut self.processes[process].paused_until;
                *until = (self.now + pause).max(*until);
            }
            6..8 => self.crash(process),
            8 => {
                let (a, b) = (self.rng.random_range(0..CONTROL_NODE_COUNT), Self::machine(process));
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
                self.end_connection(connection, None);
            }
        }
    }

    fn crash(&mut self, process: usize) {
        for connection in 0..self.connections.len() {
            if self.connections[connection].ends.contains(&process) {
                self.end_connection(connection, Some(process));
            }
        }
        let control = Control::started(self.clock(process));
        let crashed = &mut self.processes[process];
        // Control nodes recover their purges from disk or from a quorum. Proxies start without stored responses, and so
        // count as having applied all purges.
        crashed.incarnation += 1;
        (crashed.upstream, crashed.connected, crashed.lease) = (None, false, Lease::default());
        (crashed.sessions, crashed.pending_update, crashed.control) = (Sessions::default(), None, control);
        crashed.queued_messages.clear();
        crashed.pending_release = None;
        if process >= CONTROL_NODE_COUNT + AGENT_COUNT {
            crashed.purges = (0..self.requested_purges).collect();
        }
    }
}
