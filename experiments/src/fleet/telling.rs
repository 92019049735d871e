//! What control tells: to edges down their sessions, and between control nodes, while the fleet starts, rests, has its
//! servers replaced, and is rolled. Bytes are those of the frames that the processes would write.

use std::net::{Ipv4Addr, SocketAddrV4};

use glenfall_control_plane::fleet::{edge_hash, Fleet, MembersUpdate, VersionedFleet};
use glenfall_control_plane::messages::{Member, PeerMessage, ProxyRole, PublisherMessage, Update};
use glenfall_control_plane::registry::{EntryStatus, ObservedServer, Registry, ServerEntry};
use glenfall_control_plane::Millis;
use serde::{Deserialize, Serialize};

use super::FleetPlan;

/// Changes of the fleet within this time are pushed as one.
const GATHER: Millis = 10;
/// Length in front of a frame.
const LENGTH: usize = 4;
/// All edges start within this time, and servers call for the first time.
const START: Millis = 1000;
const REST: Millis = 10_000;
/// Between two servers that are replaced, or edges that are started again, so that each takes as long whatever the
/// size: a tenth of the fleet is under way at a time.
const ROLL: Millis = 10_000;

/// What was told in one part of the play.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    pub name: String,
    pub to_edge: f64,
    pub bytes_to_edge: f64,
    /// What it would be if each change told the whole fleet.
    pub whole_bytes_to_edge: f64,
    pub bytes_between_controls: u64,
}

fn bytes(message: &impl Serialize) -> usize {
    postcard::to_allocvec(message).map_or(0, |frame| LENGTH + frame.len())
}

struct Node {
    registry: Registry,
    fleet: VersionedFleet,
    /// Edges with their sessions here, as peers have been told.
    told: Vec<Member>,
    sessions: Vec<Member>,
    /// Members at the others.
    others: Vec<Vec<Member>>,
    dirty: bool,
}

struct Play {
    now: Millis,
    cores: u8,
    nodes: Vec<Node>,
    messages: u64,
    down: u64,
    whole: u64,
    between: u64,
}

fn edge(n: u32) -> Member {
    let http = SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 + n), 8161);
    let zone = format!("zone-{}", n % 4);
    Member {
        node: format!("edge-{zone}-{n}"),
        zone,
        proxy: ProxyRole::Edge,
        http,
        ready: true,
        incarnation: 1,
    }
}

fn server(n: u32, status: EntryStatus, call_seq: u64) -> ServerEntry {
    ServerEntry {
        id: format!("i-{:010x}", u64::from(n) * 0x9e37_79b9),
        backend: "orders".into(),
        addr: SocketAddrV4::new(Ipv4Addr::from(0x0a02_0000 + n), 8080),
        zone: format!("zone-{}", n % 4),
        capacity: 2,
        status,
        warmup_left_ms: 0,
        call_seq,
    }
}

impl Play {
    /// To how many control nodes each one speaks.
    fn peers(&self) -> u64 {
        self.nodes.len() as u64 - 1
    }

    /// An edge's session at its control node begins or ends.
    fn session(&mut self, n: u32, there: bool) {
        let at = n as usize % self.nodes.len();
        let node = &mut self.nodes[at];
        if there {
            node.sessions.push(edge(n));
            let greeting = PublisherMessage::Push { number: 1, update: Update::Fleet(node.fleet.snapshot()) };
            self.messages += 1;
            self.down += bytes(&greeting) as u64;
            self.whole += bytes(&greeting) as u64;
        } else {
            node.sessions.retain(|member| member.node != edge(n).node);
        }
        let members = MembersUpdate::listed(node.sessions.clone());
        let change = MembersUpdate::delta(&node.told, &members);
        node.told = members;
        node.dirty = true;
        if let Some(change) = change {
            self.between += self.peers() * bytes(&PeerMessage::Members(change.clone())) as u64;
            for to in (0..self.nodes.len()).filter(|to| *to != at) {
                change.apply(&mut self.nodes[to].others[at]);
                self.nodes[to].dirty = true;
            }
        }
    }

    /// A server calls one control node, which passes it on.
    fn hear(&mut self, entry: &ServerEntry) {
        self.between +=
            self.peers() * bytes(&PeerMessage::Servers(vec![ObservedServer::now(entry.clone())])) as u64;
        for node in &mut self.nodes {
            let heard = node.registry.observe(self.now, 0, entry.clone());
            node.dirty |= heard == glenfall_control_plane::registry::HeartbeatOutcome::Changed;
        }
    }

    /// Lets time pass; each node pushes what has changed.
    fn pass(&mut self, time: Millis) {
        self.now += time;
        for node in self.nodes.iter_mut().filter(|node| node.dirty) {
            node.dirty = false;
            let edges = node.sessions.iter().chain(node.others.iter().flatten());
            let mut fleet = Fleet {
                complete: true,
                servers: node.registry.servers(self.now, false),
                shields: Vec::new(),
                edges: edges.map(|edge| edge_hash(&edge.node)).collect(),
                cores: u32::from(self.cores),
            };
            fleet.sort();
            if let Some(told) = node.fleet.advance_to(fleet) {
                let sessions = node.sessions.len() as u64;
                let push = |told| {
                    bytes(&PublisherMessage::Push { number: 1000, update: Update::Fleet(told) }) as u64
                };
                self.messages += sessions;
                self.down += sessions * push(told);
                self.whole += sessions * push(node.fleet.snapshot());
            }
        }
    }

    fn told(&mut self, name: &str, edges: u32) -> Phase {
        let each = |count: &mut u64| std::mem::take(count) as f64 / f64::from(edges);
        Phase {
            name: name.to_owned(),
            to_edge: each(&mut self.messages),
            bytes_to_edge: each(&mut self.down),
            whole_bytes_to_edge: each(&mut self.whole),
            bytes_between_controls: std::mem::take(&mut self.between),
        }
    }
}

pub fn play(plan: &FleetPlan, edges: u32) -> Vec<Phase> {
    let cores = usize::from(plan.cores);
    let node = |_| Node {
        registry: Registry::new(plan.writes.beat_ms),
        fleet: VersionedFleet::default(),
        told: Vec::new(),
        sessions: Vec::new(),
        others: vec![Vec::new(); cores],
        dirty: false,
    };
    let nodes = (0..cores).map(node).collect();
    let mut play = Play { now: 0, cores: plan.cores, nodes, messages: 0, down: 0, whole: 0, between: 0 };
    let servers = plan.servers(edges);
    let mut phases = Vec::new();
    // Which of so many come up in a step of a phase of so long.
    let due = |count: u32, step: Millis, length: Millis| {
        let before = |step: Millis| (u64::from(count) * step * GATHER / length) as u32;
        before(step)..before(step + 1)
    };
    for step in 0..START / GATHER {
        due(servers, step, START).for_each(|n| play.hear(&server(n, EntryStatus::Ready, 1)));
        due(edges, step, START).for_each(|n| play.session(n, true));
        play.pass(GATHER);
    }
    phases.push(play.told("start", edges));
    let beats = REST / plan.writes.beat_ms;
    for beat in 0..beats {
        (0..servers).for_each(|n| play.hear(&server(n, EntryStatus::Ready, 2 + beat)));
        play.pass(plan.writes.beat_ms);
    }
    phases.push(play.told("rest", edges));
    for step in 0..ROLL / GATHER {
        for n in due(servers, step, ROLL) {
            // The new one starts first, the old one drains, and the one before that has gone.
            play.hear(&server(servers + n, EntryStatus::Ready, 1));
            play.hear(&server(n, EntryStatus::Draining, 1000));
            if let Some(before) = n.checked_sub(servers.div_ceil(10)) {
                play.hear(&server(before, EntryStatus::Deregistered, 1001));
            }
        }
        play.pass(GATHER);
    }
    phases.push(play.told("release", edges));
    for step in 0..ROLL / GATHER {
        due(edges, step, ROLL).for_each(|n| play.session(n, false));
        if let Some(back) = step.checked_sub(ROLL / GATHER / 20) {
            due(edges, back, ROLL).for_each(|n| play.session(n, true));
        }
        play.pass(GATHER);
    }
    phases.push(play.told("roll", edges));
    phases
}
