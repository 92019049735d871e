//! How edges go to the servers of a service of writes: the real choice among servers, with connections and servers
//! emulated.

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

const SERVICE: &str = "orders";
/// Servers that one write may be sent to.
const TRIES: usize = 2;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Writes {
    pub writes: u64,
    pub opened_per_write: f64,
    pub most_at_a_server: u32,
    /// Connections opened to a server that had as many as it accepts.
    pub over_cap: u64,
    pub busiest: f64,
    pub turned_away: f64,
    pub not_served: f64,
    /// Of how many subsets the server in most of them is one, over the mean.
    pub subset_most: f64,
}

/// Microseconds since the start.
type Micros = u64;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Comes { edge: usize },
    Ends { server: usize, write: usize },
    Closes { edge: usize, server: usize, since: Micros },
}

struct Emulated {
    working: u32,
    waiting: VecDeque<usize>,
    connections: u32,
    served: u64,
}

struct Write {
    edge: usize,
    tried: Vec<String>,
    began: Micros,
}

struct Play<'a> {
    plan: &'a FleetPlan,
    began: Instant,
    now: Micros,
    rng: ChaCha8Rng,
    work: LogNormal<f64>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    number: u64,
    origins: Vec<OriginBalancer>,
    names: HashMap<String, usize>,
    servers: Vec<Emulated>,
    /// Idle connections, by edge and server: since when.
    idle: HashMap<(usize, usize), Vec<Micros>>,
    writes: HashMap<usize, Write>,
    found: Writes,
    opened: u64,
    turned_away: u64,
    lost: u64,
}

fn addr(n: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a02_0000 + n), 8080)
}

impl Play<'_> {
    fn moment(&self) -> Instant {
        self.began + Duration::from_micros(self.now)
    }

    fn at(&mut self, when: Micros, event: Event) {
        self.number += 1;
        self.events.push(Reverse((when, self.number, event)));
    }

    /// Sends a write to a server: the connection it goes on, and what the server does with it.
    fn send(&mut self, number: usize) {
        let Some(write) = self.writes.get(&number) else { return };
        let edge = write.edge;
        let (idle, names) = (&self.idle, &self.names);
        let place = |addr: SocketAddr| match addr {
            SocketAddr::V4(addr) => (u32::from(*addr.ip()) - 0x0a02_0000) as usize,
            SocketAddr::V6(_) => usize::MAX,
        };
        let warm = |addr| idle.get(&(edge, place(addr))).is_some_and(|idle| !idle.is_empty());
        let chosen = (write.tried.len() < TRIES)
            .then(|| self.origins[edge].choose(self.moment(), SERVICE, &write.tried, warm))
            .flatten();
        let Some(chosen) = chosen else {
            self.lost += 1;
            self.writes.remove(&number);
            return;
        };
        let at = names[&chosen.id];
        if self.idle.get_mut(&(edge, at)).and_then(Vec::pop).is_none() {
            self.opened += 1;
            let server = &mut self.servers[at];
            self.found.over_cap += u64::from(server.connections >= self.plan.writes.max_conns);
            server.connections += 1;
            self.found.most_at_a_server = self.found.most_at_a_server.max(server.connections);
        }
        self.origins[edge].enter(&chosen.id);
        if let Some(write) = self.writes.get_mut(&number) {
            (write.began, write.tried) =
                (self.now, [&write.tried[..], std::slice::from_ref(&chosen.id)].concat());
        }
        let server = &mut self.servers[at];
        if server.working < self.plan.writes.slots {
            server.working += 1;
            self.work_on(at, number);
        } else if server.waiting.len() < self.plan.writes.queue as usize {
            server.waiting.push_back(number);
        } else {
            self.turned_away += 1;
            self.leave(at, number, SendOutcome::Rejected);
            self.send(number);
        }
    }

    fn work_on(&mut self, server: usize, write: usize) {
        let work = Duration::from_secs_f64(self.work.sample(&mut self.rng) / 1000.0);
        self.at(self.now + work.as_micros() as Micros, Event::Ends { server, write });
    }

    /// A write has its answer, and its connection lies idle.
    fn leave(&mut self, at: usize, number: usize, end: SendOutcome) {
        let Some(write) = self.writes.get(&number) else { return };
        let (edge, took) = (write.edge, Duration::from_micros(self.now - write.began));
        if let Some(id) = write.tried.last() {
            self.origins[edge].heard(self.moment(), id, end, took);
            self.origins[edge].exit(id);
        }
        self.idle.entry((edge, at)).or_default().push(self.now);
        let keep = (self.plan.writes.keep_s * 1e6) as Micros;
        self.at(self.now + keep, Event::Closes { edge, server: at, since: self.now });
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Comes { edge } => {
                let number = self.found.writes as usize;
                self.found.writes += 1;
                self.writes.insert(number, Write { edge, tried: Vec::new(), began: self.now });
                self.send(number);
            }
            Event::Ends { server, write } => {
                self.servers[server].served += 1;
                self.leave(server, write, SendOutcome::Success);
                self.writes.remove(&write);
                match self.servers[server].waiting.pop_front() {
                    Some(next) => self.work_on(server, next),
                    None => self.servers[server].working -= 1,
                }
            }
            Event::Closes { edge, server, since } => {
                let Some(idle) = self.idle.get_mut(&(edge, server)) else { return };
                if let Some(place) = idle.iter().position(|at| *at == since) {
                    idle.remove(place);
                    self.servers[server].connections -= 1;
                }
            }
        }
    }
}

fn server(plan: &FleetPlan, n: u32) -> Server {
    Server {
        id: format!("i-{n}"),
        backend: SERVICE.into(),
        addr: addr(n),
        zone: "z".into(),
        capacity: plan.writes.slots,
        ready: true,
        warmup_left_ms: 0,
    }
}

pub fn play(plan: &FleetPlan, edges: u32) -> Writes {
    // Any moment: the play only adds to it.
    let began = Instant::now();
    let servers: Vec<Server> = (0..plan.servers(edges)).map(|n| server(plan, n)).collect();
    let names: Vec<String> = (0..edges).map(|n| format!("edge-{n}")).collect();
    let mut marks: Vec<u64> = names.iter().map(|name| edge_hash(name)).collect();
    marks.sort_unstable();
    let origin = |name: &String| {
        let origins = OriginBalancer::new("z", false, name);
        origins.update(began, &servers, &marks);
        origins
    };
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    // `check` has seen to it that these laws exist.
    let mean = plan.writes.work_ms.ln() - plan.writes.spread.powi(2) / 2.0;
    let (Ok(work), Ok(pause)) = (LogNormal::new(mean, plan.writes.spread), Exp::new(plan.writes.per_s))
    else {
        return Writes::default();
    };
    let emulated = |_: &Server| Emulated { working: 0, waiting: VecDeque::new(), connections: 0, served: 0 };
    let mut play = Play {
        plan,
        began,
        now: 0,
        work,
        events: BinaryHeap::new(),
        number: 0,
        origins: names.iter().map(origin).collect(),
        names: servers.iter().enumerate().map(|(at, server)| (server.id.clone(), at)).collect(),
        servers: servers.iter().map(emulated).collect(),
        idle: HashMap::new(),
        writes: HashMap::new(),
        found: Writes::default(),
        opened: 0,
        turned_away: 0,
        lost: 0,
        rng: ChaCha8Rng::seed_from_u64(rng.random()),
    };
    for edge in 0..edges as usize {
        let mut at = pause.sample(&mut rng);
        while at < plan.seconds {
            play.at((at * 1e6) as Micros, Event::Comes { edge });
            at += pause.sample(&mut rng);
        }
    }
    while let Some(Reverse((when, _, event))) = play.events.pop() {
        play.now = when;
        play.event(event);
    }
    play.found(&servers, &marks)
}

impl Play<'_> {
    /// What the play came to.
    fn found(&self, servers: &[Server], marks: &[u64]) -> Writes {
        let served = self.servers.iter().map(|server| server.served);
        let (most, all) = (served.clone().max().unwrap_or(0), served.sum::<u64>());
        let places: Vec<_> =
            servers.iter().map(|server| SubsetServer { id: &server.id, capacity: server.capacity }).collect();
        let mut holders = vec![0u32; servers.len()];
        subset::subsets(marks, &places).values().flatten().for_each(|at| holders[*at] += 1);
        let mean = |sum: f64| sum / servers.len() as f64;
        let of_all = |part: u64| part as f64 / self.found.writes.max(1) as f64;
        Writes {
            opened_per_write: of_all(self.opened),
            turned_away: of_all(self.turned_away),
            not_served: of_all(self.lost),
            busiest: most as f64 / mean(all as f64).max(1e-9),
            subset_most: f64::from(holders.iter().copied().max().unwrap_or(0))
                / mean(holders.iter().map(|holders| f64::from(*holders)).sum()).max(1e-9),
            ..self.found.clone()
        }
    }
}
