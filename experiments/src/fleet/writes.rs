//! Simulates writes to a service: the real load balancer of each edge, with emulated connections and servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use glenfall::upstream::origins::{OriginBalancer, SendOutcome};
use glenfall_control_plane::fleet::edge_hash;
use glenfall_control_plane::messages::Server;
use glenfall_control_plane::subset::{self, SubsetServer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::FleetPlan;

/// The only service of the simulation.
const SERVICE_NAME: &str = "orders";
/// The most servers that one write is sent to.
const MAX_SERVERS_TRIED: usize = 2;
/// The address of the first server; the others follow it.
const FIRST_SERVER_ADDRESS: u32 = 0x0a02_0000;
const SERVER_PORT: u16 = 8080;
/// The one zone of all servers and edges.
const ZONE_NAME: &str = "z";
/// The least divisor, as a mean may be 0.
const MIN_DIVISOR: f64 = 1e-9;

/// The results of the writes at one fleet size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WriteReport {
    /// The number of writes.
    pub writes: u64,
    /// Opened connections, divided by the number of writes.
    pub opened_per_write: f64,
    /// The most concurrent connections of a server.
    #[serde(rename = "most_at_a_server")]
    pub max_connections: u32,
    /// Connections that were opened to a server beyond its connection limit.
    #[serde(rename = "over_cap")]
    pub connections_over_limit: u64,
    /// The writes of the busiest server, divided by the mean of all servers.
    #[serde(rename = "busiest")]
    pub busiest_over_mean: f64,
    /// Rejections by servers, divided by the number of writes; one write may be rejected by several servers.
    #[serde(rename = "turned_away")]
    pub rejected_share: f64,
    /// The share of writes that no server accepted.
    #[serde(rename = "not_served")]
    pub failed_share: f64,
    /// The most subsets that a server is in, divided by the mean of all servers.
    #[serde(rename = "subset_most")]
    pub subsets_max_over_mean: f64,
}

/// Virtual microseconds since the start.
type Micros = u64;

const MICROS_PER_S: f64 = 1e6;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A write arrives at an edge.
    Arrival { edge: usize },
    /// A server completes a write, and starts the next one in its queue.
    Completion { server: usize, write: usize },
    /// An idle connection times out, unless it has been used since `idle_since`.
    IdleTimeout { edge: usize, server: usize, idle_since: Micros },
}

/// An event and its time. Events at the same time are ordered by when they were scheduled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Micros,
    number: u64,
    event: Event,
}

#[derive(Default)]
struct EmulatedServer {
    running: u32,
    queue: VecDeque<usize>,
    connections: u32,
    served: u64,
}

struct Write {
    edge: usize,
    /// The ids of the servers it was sent to, in order.
    tried: Vec<String>,
    /// When it was last sent to a server.
    sent_at: Micros,
}

/// Identifies the connections between an edge and a server, by their indices.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ConnectionKey {
    edge: usize,
    server: usize,
}

struct WriteSimulation<'a> {
    plan: &'a FleetPlan,
    began_at: Instant,
    now: Micros,
    rng: ChaCha8Rng,
    work_ms: LogNormal<f64>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled: u64,
    balancers: Vec<OriginBalancer>,
    /// The index of each server, by its id.
    server_index: HashMap<String, usize>,
    servers: Vec<EmulatedServer>,
    /// When each idle connection became idle; the most recent one is last.
    idle: HashMap<ConnectionKey, Vec<Micros>>,
    writes: HashMap<usize, Write>,
    arrived: u64,
    opened: u64,
    max_connections: u32,
    connections_over_limit: u64,
    rejected: u64,
    failed: u64,
}

fn server_address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(FIRST_SERVER_ADDRESS + number), SERVER_PORT)
}

/// Returns the index of the server at an address.
fn index_of_address(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - FIRST_SERVER_ADDRESS) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl WriteSimulation<'_> {
    fn instant(&self) -> Instant {
        self.began_at + Duration::from_micros(self.now)
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(ScheduledEvent { at, number: self.scheduled, event }));
    }

    /// Handles events in order of time until none is left.
    fn run(&mut self) {
        while let Some(Reverse(scheduled)) = self.events.pop() {
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { edge } => {
                let number = self.arrived as usize;
                self.arrived += 1;
                self.writes.insert(number, Write { edge, tried: Vec::new(), sent_at: self.now });
                self.send(number);
            }
            Event::Completion { server, write } => self.complete(server, write),
            Event::IdleTimeout { edge, server, idle_since } => {
                self.close_idle(ConnectionKey { edge, server }, idle_since);
            }
        }
    }

    /// Sends a write to a server chosen by its edge; it fails if no server can be chosen.
    fn send(&mut self, number: usize) {
        let Some(chosen) = self.choose(number) else {
            self.failed += 1;
            self.writes.remove(&number);
            return;
        };
        let Some(write) = self.writes.get_mut(&number) else { return };
        let edge = write.edge;
        write.sent_at = self.now;
        write.tried.push(chosen.clone());
        let index = self.server_index[&chosen];
        self.take_connection(ConnectionKey { edge, server: index });
        self.balancers[edge].request_started(&chosen);
        let server = &mut self.servers[index];
        if server.running < self.plan.writes.slots {
            server.running += 1;
            self.start_work(index, number);
        } else if server.queue.len() < self.plan.writes.queue as usize {
            server.queue.push_back(number);
        } else {
            self.rejected += 1;
            self.respond(index, number, SendOutcome::Rejected);
            self.send(number);
        }
    }

    /// Returns the id of the server to send a write to next; `None` if the write has been sent to [`MAX_SERVERS_TRIED`]
    /// servers, or no server is available.
    fn choose(&self, number: usize) -> Option<String> {
        let write = self.writes.get(&number)?;
        if write.tried.len() >= MAX_SERVERS_TRIED {
            return None;
        }
        let has_idle_connection = |address| {
            let key = ConnectionKey { edge: write.edge, server: index_of_address(address) };
            self.idle.get(&key).is_some_and(|idle| !idle.is_empty())
        };
        let balancer = &self.balancers[write.edge];
        let chosen = balancer.choose(self.instant(), SERVICE_NAME, &write.tried, has_idle_connection)?;
        Some(chosen.id.clone())
    }

    /// Takes the most recently used idle connection, or opens a new one.
    fn take_connection(&mut self, key: ConnectionKey) {
        if self.idle.get_mut(&key).and_then(Vec::pop).is_some() {
            return;
        }
        self.opened += 1;
        let server = &mut self.servers[key.server];
        self.connections_over_limit += u64::from(server.connections >= self.plan.writes.max_connections);
        server.connections += 1;
        self.max_connections = self.max_connections.max(server.connections);
    }

    fn start_work(&mut self, server: usize, write: usize) {
        let work = Duration::from_secs_f64(self.work_ms.sample(&mut self.rng) / 1000.0);
        self.schedule(self.now + work.as_micros() as Micros, Event::Completion { server, write });
    }

    fn complete(&mut self, server: usize, write: usize) {
        self.servers[server].served += 1;
        self.respond(server, write, SendOutcome::Success);
        self.writes.remove(&write);
        match self.servers[server].queue.pop_front() {
            Some(next) => self.start_work(server, next),
            None => self.servers[server].running -= 1,
        }
    }

    /// Delivers the response to a write to its edge; the connection becomes idle.
    fn respond(&mut self, server: usize, number: usize, outcome: SendOutcome) {
        let Some(write) = self.writes.get(&number) else { return };
        let (edge, latency) = (write.edge, Duration::from_micros(self.now - write.sent_at));
        if let Some(id) = write.tried.last() {
            let now = self.instant();
            self.balancers[edge].record_outcome(now, id, outcome, latency);
            self.balancers[edge].request_finished(id);
        }
        let idle_since = self.now;
        self.idle.entry(ConnectionKey { edge, server }).or_default().push(idle_since);
        let idle_timeout = (self.plan.writes.idle_timeout_s * MICROS_PER_S) as Micros;
        self.schedule(idle_since + idle_timeout, Event::IdleTimeout { edge, server, idle_since });
    }

    fn close_idle(&mut self, key: ConnectionKey, idle_since: Micros) {
        let Some(idle) = self.idle.get_mut(&key) else { return };
        if let Some(index) = idle.iter().position(|since| *since == idle_since) {
            idle.remove(index);
            self.servers[key.server].connections -= 1;
        }
    }

    fn report(&self, servers: &[Server], edge_hashes: &[u64]) -> WriteReport {
        let served = || self.servers.iter().map(|server| server.served);
        let mean = |sum: f64| (sum / servers.len() as f64).max(MIN_DIVISOR);
        let share = |part: u64| part as f64 / self.arrived.max(1) as f64;
        let busiest = served().max().unwrap_or(0) as f64;
        let memberships = subset_memberships(servers, edge_hashes);
        let most_subsets = memberships.iter().copied().max().unwrap_or(0);
        let all_subsets: f64 = memberships.iter().map(|count| f64::from(*count)).sum();
        WriteReport {
            writes: self.arrived,
            opened_per_write: share(self.opened),
            max_connections: self.max_connections,
            connections_over_limit: self.connections_over_limit,
            busiest_over_mean: busiest / mean(served().sum::<u64>() as f64),
            rejected_share: share(self.rejected),
            failed_share: share(self.failed),
            subsets_max_over_mean: f64::from(most_subsets) / mean(all_subsets),
        }
    }
}

/// Returns the number of subsets that each server is in.
fn subset_memberships(servers: &[Server], edge_hashes: &[u64]) -> Vec<u32> {
    let subset_servers: Vec<_> =
        servers.iter().map(|server| SubsetServer { id: &server.id, capacity: server.capacity }).collect();
    let mut memberships = vec![0u32; servers.len()];
    for server in subset::subsets(edge_hashes, &subset_servers).values().flatten() {
        memberships[*server] += 1;
    }
    memberships
}

fn server(plan: &FleetPlan, number: u32) -> Server {
    Server {
        id: format!("i-{number}"),
        backend: SERVICE_NAME.into(),
        addr: server_address(number),
        zone: ZONE_NAME.into(),
        capacity: plan.writes.slots,
        ready: true,
        warmup_left_ms: 0,
    }
}

/// Simulates the writes of a fleet of `edges` edges.
pub fn run(plan: &FleetPlan, edges: u32) -> WriteReport {
    let servers: Vec<Server> = (0..plan.servers(edges)).map(|number| server(plan, number)).collect();
    let edge_names: Vec<String> = (0..edges).map(|number| format!("edge-{number}")).collect();
    let mut edge_hashes: Vec<u64> = edge_names.iter().map(|name| edge_hash(name)).collect();
    edge_hashes.sort_unstable();
    // Any instant works: virtual time is only added to it.
    let began_at = Instant::now();
    let balancer = |name: &String| {
        let balancer = OriginBalancer::new(ZONE_NAME, false, name);
        balancer.update(began_at, &servers, &edge_hashes);
        balancer
    };
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    // The distributions of a validated plan are always valid.
    let log_mean = plan.writes.work_ms.ln() - plan.writes.work_log_deviation.powi(2) / 2.0;
    let Ok(work_ms) = LogNormal::new(log_mean, plan.writes.work_log_deviation) else {
        return WriteReport::default();
    };
    let Ok(intervals) = Exp::new(plan.writes.per_s) else { return WriteReport::default() };
    let mut run = WriteSimulation {
        plan,
        began_at,
        now: 0,
        rng: ChaCha8Rng::seed_from_u64(rng.random()),
        work_ms,
        events: BinaryHeap::new(),
        scheduled: 0,
        balancers: edge_names.iter().map(balancer).collect(),
        server_index: servers.iter().zip(0..).map(|(server, index)| (server.id.clone(), index)).collect(),
        servers: servers.iter().map(|_| EmulatedServer::default()).collect(),
        idle: HashMap::new(),
        writes: HashMap::new(),
        arrived: 0,
        opened: 0,
        max_connections: 0,
        connections_over_limit: 0,
        rejected: 0,
        failed: 0,
    };
    for edge in 0..edges as usize {
        let mut at_s = intervals.sample(&mut rng);
        while at_s < plan.seconds {
            run.schedule((at_s * MICROS_PER_S) as Micros, Event::Arrival { edge });
            at_s += intervals.sample(&mut rng);
        }
    }
    run.run();
    run.report(&servers, &edge_hashes)
}
