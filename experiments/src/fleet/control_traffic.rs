//! Simulates control-plane traffic: to edges over their sessions, and between control nodes, while the fleet starts, is
//! idle, has its servers replaced, and has its edges restarted. Byte counts are those of the frames that the real
//! processes would write.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;

use glenfall_control_plane::fleet::{edge_hash, Fleet, FleetUpdate, MembersUpdate, VersionedFleet};
use glenfall_control_plane::messages::{Member, PeerMessage, ProxyRole, PublisherMessage, Update};
use glenfall_control_plane::registry::{
    EntryStatus, HeartbeatOutcome, ObservedServer, Registry, ServerEntry,
};
use glenfall_control_plane::Millis;
use serde::{Deserialize, Serialize};

use super::FleetPlan;

/// Fleet changes within this time are coalesced into one push.
const COALESCING_TIME: Millis = 10;
/// The size of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;
/// All edges start, and all servers send their first heartbeat, within this time.
const START_DURATION: Millis = 1000;
/// The duration of the idle phase.
const IDLE_DURATION: Millis = 10_000;
/// All servers are replaced, or all edges restarted, within this time at every size: a tenth of the fleet per second.
const ROLLOUT_DURATION: Millis = 10_000;
/// A restarting edge is down for [`ROLLOUT_DURATION`] divided by this.
const RESTART_DOWNTIME_DIVISOR: Millis = 20;
/// An old server drains until further servers have been replaced: as many as the total number divided by this.
const DRAINING_TIME_DIVISOR: u32 = 10;
/// The push number in the frames of an established session; it affects their encoded length.
const TYPICAL_PUSH_NUMBER: u64 = 1000;
/// The address of the first edge; the others follow it.
const FIRST_EDGE_ADDRESS: u32 = 0x0a01_0000;
/// The address of the first server; the others follow it.
const FIRST_SERVER_ADDRESS: u32 = 0x0a02_0000;
/// The number of zones of edges and servers.
const ZONE_COUNT: u32 = 4;

/// Control-plane traffic in one phase of the simulation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PhaseTraffic {
    /// The name of the phase: `start`, `rest` (idle), `release` (servers are replaced) or `roll` (edges are restarted).
    pub name: String,
    /// Messages sent to each edge, mean.
    #[serde(rename = "to_edge")]
    pub messages_to_edge: f64,
    /// Bytes sent to each edge, mean.
    pub bytes_to_edge: f64,
    /// Bytes that would be sent to each edge if each push were a snapshot of the fleet instead of a delta.
    #[serde(rename = "whole_bytes_to_edge")]
    pub snapshot_bytes_to_edge: f64,
    /// Bytes sent between control nodes, total.
    pub bytes_between_controls: u64,
}

fn frame_bytes(message: &impl Serialize) -> u64 {
    postcard::to_allocvec(message).map_or(0, |frame| LENGTH_PREFIX_BYTES + frame.len()) as u64
}

fn push(number: u64, update: FleetUpdate) -> PublisherMessage {
    PublisherMessage::Push { number, update: Update::Fleet(update) }
}

struct ControlNode {
    registry: Registry,
    fleet: VersionedFleet,
    /// The edges with sessions at this node, as last sent to its peers.
    published_sessions: Vec<Member>,
    /// The edges with sessions at this node now.
    sessions: Vec<Member>,
    /// The edges with sessions at each peer, by the index of the peer.
    peer_sessions: Vec<Vec<Member>>,
    /// Whether the fleet may have changed since the last push.
    dirty: bool,
}

impl ControlNode {
    fn new(plan: &FleetPlan) -> ControlNode {
        ControlNode {
            registry: Registry::new(plan.writes.heartbeat_ms),
            fleet: VersionedFleet::default(),
            published_sessions: Vec::new(),
            sessions: Vec::new(),
            peer_sessions: vec![Vec::new(); usize::from(plan.cores)],
            dirty: false,
        }
    }

    /// Returns the fleet as this node knows it at `now`.
    fn current_fleet(&self, now: Millis, cores: u8) -> Fleet {
        let edges = self.sessions.iter().chain(self.peer_sessions.iter().flatten());
        let mut fleet = Fleet {
            complete: true,
            servers: self.registry.servers(now, false),
            shields: Vec::new(),
            edges: edges.map(|edge| edge_hash(&edge.node)).collect(),
            cores: u32::from(cores),
        };
        fleet.sort();
        fleet
    }
}

/// Traffic since the start of the current phase.
#[derive(Default)]
struct Traffic {
    messages_to_edges: u64,
    bytes_to_edges: u64,
    snapshot_bytes_to_edges: u64,
    bytes_between_controls: u64,
}

struct ControlSimulation {
    now: Millis,
    cores: u8,
    nodes: Vec<ControlNode>,
    traffic: Traffic,
}

fn edge(number: u32) -> Member {
    let zone = format!("zone-{}", number % ZONE_COUNT);
    Member {
        node: format!("edge-{zone}-{number}"),
        zone,
        proxy: ProxyRole::Edge,
        http: SocketAddrV4::new(Ipv4Addr::from(FIRST_EDGE_ADDRESS + number), 8161),
        ready: true,
        incarnation: 1,
    }
}

fn server(number: u32, status: EntryStatus, call_seq: u64) -> ServerEntry {
    ServerEntry {
        id: format!("i-{:010x}", u64::from(number) * 0x9e37_79b9),
        backend: "orders".into(),
        addr: SocketAddrV4::new(Ipv4Addr::from(FIRST_SERVER_ADDRESS + number), 8080),
        zone: format!("zone-{}", number % ZONE_COUNT),
        capacity: 2,
        status,
        warmup_left_ms: 0,
        call_seq,
    }
}

/// Returns which of `count` events, spread evenly over a phase, are due in a step of [`COALESCING_TIME`].
fn due_in_step(count: u32, step: Millis, phase_duration: Millis) -> Range<u32> {
    let due_before = |step: Millis| (u64::from(count) * step * COALESCING_TIME / phase_duration) as u32;
    due_before(step)..due_before(step + 1)
}

impl ControlSimulation {
    fn new(plan: &FleetPlan) -> ControlSimulation {
        let nodes = (0..plan.cores).map(|_| ControlNode::new(plan)).collect();
        ControlSimulation { now: 0, cores: plan.cores, nodes, traffic: Traffic::default() }
    }

    /// Returns the number of peers of a control node.
    fn peers(&self) -> u64 {
        self.nodes.len() as u64 - 1
    }

    fn node_of(&self, edge_number: u32) -> usize {
        edge_number as usize % self.nodes.len()
    }

    /// Opens the session of an edge at its control node, which pushes it a snapshot of the fleet.
    fn open_session(&mut self, edge_number: u32) {
        let index = self.node_of(edge_number);
        let node = &mut self.nodes[index];
        node.sessions.push(edge(edge_number));
        let bytes = frame_bytes(&push(1, node.fleet.snapshot()));
        self.traffic.messages_to_edges += 1;
        self.traffic.bytes_to_edges += bytes;
        self.traffic.snapshot_bytes_to_edges += bytes;
        self.publish_sessions(index);
    }

    fn close_session(&mut self, edge_number: u32) {
        let index = self.node_of(edge_number);
        let name = edge(edge_number).node;
        self.nodes[index].sessions.retain(|member| member.node != name);
        self.publish_sessions(index);
    }

    /// Sends the peers of a control node the change of its sessions, if there is one.
    fn publish_sessions(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let members = MembersUpdate::sorted_by_name(node.sessions.clone());
        let delta = MembersUpdate::delta(&node.published_sessions, &members);
        node.published_sessions = members;
        node.dirty = true;
        let Some(delta) = delta else { return };
        self.traffic.bytes_between_controls +=
            self.peers() * frame_bytes(&PeerMessage::Members(delta.clone()));
        for (peer_index, peer) in self.nodes.iter_mut().enumerate() {
            if peer_index != index {
                delta.apply(&mut peer.peer_sessions[index]);
                peer.dirty = true;
            }
        }
    }

    /// Simulates a heartbeat of a server to one control node, which forwards it to its peers.
    fn heartbeat(&mut self, entry: &ServerEntry) {
        let message = PeerMessage::Servers(vec![ObservedServer::now(entry.clone())]);
        self.traffic.bytes_between_controls += self.peers() * frame_bytes(&message);
        for node in &mut self.nodes {
            let outcome = node.registry.observe(self.now, 0, entry.clone());
            node.dirty |= outcome == HeartbeatOutcome::Changed;
        }
    }

    /// Advances the clock; then each control node pushes its fleet changes to its sessions.
    fn advance(&mut self, time: Millis) {
        self.now += time;
        for node in self.nodes.iter_mut().filter(|node| node.dirty) {
            node.dirty = false;
            let fleet = node.current_fleet(self.now, self.cores);
            let Some(update) = node.fleet.replace(fleet) else { continue };
            let sessions = node.sessions.len() as u64;
            let snapshot = node.fleet.snapshot();
            self.traffic.messages_to_edges += sessions;
            self.traffic.bytes_to_edges += sessions * frame_bytes(&push(TYPICAL_PUSH_NUMBER, update));
            self.traffic.snapshot_bytes_to_edges +=
                sessions * frame_bytes(&push(TYPICAL_PUSH_NUMBER, snapshot));
        }
    }

    /// Returns the traffic of the phase that ends, and resets the counts for the next one.
    fn end_phase(&mut self, name: &str, edges: u32) -> PhaseTraffic {
        let traffic = std::mem::take(&mut self.traffic);
        let per_edge = |count: u64| count as f64 / f64::from(edges);
        PhaseTraffic {
            name: name.to_owned(),
            messages_to_edge: per_edge(traffic.messages_to_edges),
            bytes_to_edge: per_edge(traffic.bytes_to_edges),
            snapshot_bytes_to_edge: per_edge(traffic.snapshot_bytes_to_edges),
            bytes_between_controls: traffic.bytes_between_controls,
        }
    }

    // ---- Phases ----

    fn start(&mut self, edges: u32, servers: u32) {
        for step in 0..START_DURATION / COALESCING_TIME {
            for number in due_in_step(servers, step, START_DURATION) {
                self.heartbeat(&server(number, EntryStatus::Ready, 1));
            }
            for number in due_in_step(edges, step, START_DURATION) {
                self.open_session(number);
            }
            self.advance(COALESCING_TIME);
        }
    }

    fn idle(&mut self, servers: u32, heartbeat_ms: Millis) {
        for heartbeat in 0..IDLE_DURATION / heartbeat_ms {
            for number in 0..servers {
                self.heartbeat(&server(number, EntryStatus::Ready, 2 + heartbeat));
            }
            self.advance(heartbeat_ms);
        }
    }

    /// Replaces all servers: a new server becomes ready, then the old one drains, and later deregisters.
    fn replace_servers(&mut self, servers: u32) {
        for step in 0..ROLLOUT_DURATION / COALESCING_TIME {
            for number in due_in_step(servers, step, ROLLOUT_DURATION) {
                self.heartbeat(&server(servers + number, EntryStatus::Ready, 1));
                self.heartbeat(&server(number, EntryStatus::Draining, 1000));
                if let Some(earlier) = number.checked_sub(servers.div_ceil(DRAINING_TIME_DIVISOR)) {
                    self.heartbeat(&server(earlier, EntryStatus::Deregistered, 1001));
                }
            }
            self.advance(COALESCING_TIME);
        }
    }

    fn restart_edges(&mut self, edges: u32) {
        let steps = ROLLOUT_DURATION / COALESCING_TIME;
        for step in 0..steps {
            for number in due_in_step(edges, step, ROLLOUT_DURATION) {
                self.close_session(number);
            }
            if let Some(earlier_step) = step.checked_sub(steps / RESTART_DOWNTIME_DIVISOR) {
                for number in due_in_step(edges, earlier_step, ROLLOUT_DURATION) {
                    self.open_session(number);
                }
            }
            self.advance(COALESCING_TIME);
        }
    }
}

/// Simulates the control plane of a fleet of `edges` edges, and returns the traffic of each phase.
pub fn run(plan: &FleetPlan, edges: u32) -> Vec<PhaseTraffic> {
    let servers = plan.servers(edges);
    let mut run = ControlSimulation::new(plan);
    run.start(edges, servers);
    let start = run.end_phase("start", edges);
    run.idle(servers, plan.writes.heartbeat_ms);
    let idle = run.end_phase("rest", edges);
    run.replace_servers(servers);
    let release = run.end_phase("release", edges);
    run.restart_edges(edges);
    let roll = run.end_phase("roll", edges);
    vec![start, idle, release, roll]
}
