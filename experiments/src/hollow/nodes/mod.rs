//! Hollow nodes: each looks like an edge and its agent to the control plane, but serves no traffic. It has a real
//! session, applies and acknowledges pushes, and connects to another control node when its session is lost. Many nodes
//! share a thread.

mod threads;

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use glenfall::session::lease::HeldLease;
use glenfall::session::link::{self, Outbox};
use glenfall::session::subscriber;
use glenfall_control_plane::fleet::{edge_hash, VersionedFleet};
use glenfall_control_plane::messages::{
    ConnectionOpening, Member, ProxyRole, PublisherMessage, SubscriberMessage, Update,
};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::observations::Observations;
pub use threads::NodeThreads;

/// The initial backoff before reconnecting to control, as in agents.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff before reconnecting to control, as in agents.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(800);
/// The number of counters in a report, about as many as an edge and its agent have.
const COUNTERS_PER_NODE: usize = 40;
/// The value of each counter.
const COUNTER_VALUE: u64 = 100_000;
/// The longest delay before a node moves to its preferred control node, where nodes distribute themselves.
pub const MAX_MOVE_DELAY: Duration = Duration::from_secs(5);
/// The downtime of a node during a restart.
const RESTART_DOWNTIME: Duration = Duration::from_millis(300);

/// The addresses of control nodes, and how hollow nodes choose one.
#[derive(Clone)]
pub struct ControlAccess {
    /// The seed nodes: the control nodes known from the settings.
    pub seeds: Vec<Ipv4Addr>,
    /// The port of control nodes for sessions.
    pub port: u16,
    /// The number of zones of the hollow nodes.
    pub zones: u8,
    /// Whether nodes distribute themselves over all known control nodes, which real agents do not do yet.
    pub distributed: bool,
}

/// The state that a node has received over its session.
#[derive(Default)]
struct NodeState {
    rev: u64,
    fleet: VersionedFleet,
    fleet_known: bool,
    controls: Vec<Ipv4Addr>,
    connected: bool,
    counted: CountedAs,
}

impl NodeState {
    fn is_ready(&self) -> bool {
        self.rev > 0 && self.fleet_known
    }
}

/// The counts of the observations in which a node is included.
#[derive(Clone, Copy, Default)]
struct CountedAs {
    connected: bool,
    has_full_fleet: bool,
}

struct HollowNode {
    number: usize,
    name: String,
    zone: String,
    access: ControlAccess,
    observations: Arc<Observations>,
    state: RefCell<NodeState>,
    lease: HeldLease,
    /// Notified when the node becomes ready, so that its session reports it.
    became_ready: Notify,
    restart: Notify,
    has_moved: Cell<bool>,
}

impl HollowNode {
    fn new(number: u32, access: ControlAccess, observations: Arc<Observations>) -> HollowNode {
        HollowNode {
            number: number as usize,
            name: format!("hollow-{number:04}"),
            zone: format!("zone-{}", number % u32::from(access.zones.max(1)) + 1),
            access,
            observations,
            state: RefCell::default(),
            lease: HeldLease::default(),
            became_ready: Notify::new(),
            restart: Notify::new(),
            has_moved: Cell::new(false),
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.follow_control() => {}
                () = self.restart.notified() => {
                    self.mark_disconnected();
                    self.state.take();
                    self.has_moved.set(false);
                    sleep(RESTART_DOWNTIME).await;
                }
            }
        }
    }

    // ---- Sessions ----

    /// Connects to control nodes in the same order as an agent until one accepts, and again when the session is lost.
    async fn follow_control(&self) {
        let mut pause = RECONNECT_BACKOFF;
        let mut first = match self.access.distributed {
            true => 0,
            false => self.name.bytes().map(usize::from).sum::<usize>(),
        };
        loop {
            let controls = self.controls();
            let mut was_connected = false;
            for offset in 0..controls.len() {
                let control = controls[(first + offset) % controls.len()];
                if self.follow(control).await {
                    was_connected = true;
                    first = if self.access.distributed { 0 } else { first + offset + 1 };
                    break;
                }
            }
            pause = if was_connected { RECONNECT_BACKOFF } else { (pause * 2).min(MAX_RECONNECT_BACKOFF) };
            sleep(pause).await;
        }
    }

    /// Connects to a control node, and applies its pushes until the session is lost. Returns whether it could connect.
    async fn follow(&self, control: SocketAddrV4) -> bool {
        let Ok((read, write)) = link::open(control, &ConnectionOpening::Session).await else { return false };
        let outbox = Outbox::start(write);
        let apply = async |message| self.apply(message);
        let frames = link::FrameReader::new(read);
        let (hello, now) = (|| self.hello(), || self.lease.now());
        tokio::select! {
            () = self.wait_for_move(control) => {}
            () = subscriber::run_session(frames, outbox.clone(), hello, now, &self.became_ready, apply) => {}
            () = subscriber::send_counters(&outbox, counters) => {}
        }
        self.observations.lost_sessions.fetch_add(1, Ordering::Relaxed);
        self.mark_disconnected();
        // A hollow node serves no stored responses, so it can release its lease at once.
        let _ = outbox.send(SubscriberMessage::LeaseReleased);
        true
    }

    /// Returns the addresses of control nodes in the order in which the node tries them.
    fn controls(&self) -> Vec<SocketAddrV4> {
        let state = self.state.borrow();
        let mut controls: Vec<SocketAddrV4> = Vec::new();
        for ip in state.controls.iter().chain(&self.access.seeds) {
            let address = SocketAddrV4::new(*ip, self.access.port);
            if !controls.contains(&address) {
                controls.push(address);
            }
        }
        if self.access.distributed {
            // Rendezvous hashing: each node has its own order.
            controls.sort_by_key(|address| edge_hash(&format!("{}{}", self.name, address.ip())));
        }
        controls
    }

    /// Waits until the node should move from `current` to its preferred control node, plus a delay that differs by node.
    async fn wait_for_move(&self, current: SocketAddrV4) {
        // A node moves only once: returning to a control node that fails repeatedly would lose its session each time.
        if !self.access.distributed || self.has_moved.get() {
            return std::future::pending().await;
        }
        while self.state.borrow().controls.is_empty() || self.controls().first() == Some(&current) {
            sleep(MAX_RECONNECT_BACKOFF).await;
        }
        // The highest 53 bits of a hash are a fraction that an f64 holds exactly.
        let fraction = (edge_hash(&self.name) >> 11) as f64 / (1u64 << 53) as f64;
        sleep(MAX_MOVE_DELAY.mul_f64(fraction)).await;
        self.has_moved.set(true);
    }

    fn hello(&self) -> SubscriberMessage {
        let member = Member {
            node: self.name.clone(),
            zone: self.zone.clone(),
            proxy: ProxyRole::Edge,
            // Not used, as no requests are sent to hollow nodes.
            http: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
            ready: self.state.borrow().is_ready(),
            incarnation: 1,
        };
        SubscriberMessage::Hello { node: self.name.clone(), member: Some(member) }
    }

    // ---- Messages ----

    /// Applies a message from a control node. Returns false if a fleet update does not apply to the known fleet.
    fn apply(&self, message: PublisherMessage) -> bool {
        let mut state = self.state.borrow_mut();
        let was_ready = state.is_ready();
        match message {
            PublisherMessage::ControlNodes(controls) => state.controls = controls,
            PublisherMessage::Push { update, .. } => {
                if !self.apply_update(&mut state, update) {
                    return false;
                }
            }
            PublisherMessage::LeaseGranted { sent_at, duration } => self.lease.renew(sent_at, duration),
            PublisherMessage::Draining | PublisherMessage::Ping => {}
        }
        if !was_ready && state.is_ready() {
            self.became_ready.notify_one();
        }
        self.update_counts(&mut state);
        true
    }

    fn apply_update(&self, state: &mut NodeState, update: Update) -> bool {
        match update {
            Update::Config { rev, .. } if rev > state.rev => {
                state.rev = rev;
                self.observations.add_applied(rev);
            }
            Update::Fleet(update) => {
                if state.fleet.apply_update(update).is_err() {
                    return false;
                }
                state.fleet_known = true;
            }
            Update::Purges(purges) => self.observations.add_purges(&purges, self.number),
            Update::Connected(connected) => state.connected = connected,
            Update::Config { .. } => {}
        }
        true
    }

    // ---- Observations ----

    /// Updates the observations from the state of the node.
    fn update_counts(&self, state: &mut NodeState) {
        let fleet = state.fleet.fleet();
        let connected = state.connected && state.is_ready();
        let fleet_is_complete =
            fleet.complete && self.observations.is_full_fleet(fleet.servers.len(), fleet.edges.len());
        let counted = CountedAs { connected, has_full_fleet: connected && fleet_is_complete };
        let before = std::mem::replace(&mut state.counted, counted);
        update_count(&self.observations.connected, before.connected, counted.connected);
        update_count(&self.observations.with_full_fleet, before.has_full_fleet, counted.has_full_fleet);
        self.observations.set_connection_state(self.number, connected, self.lease.expires_at().into_std());
    }

    fn mark_disconnected(&self) {
        let mut state = self.state.borrow_mut();
        state.connected = false;
        self.lease.end();
        self.update_counts(&mut state);
    }
}

fn update_count(count: &AtomicU32, was_counted: bool, is_counted: bool) {
    match (was_counted, is_counted) {
        (false, true) => {
            count.fetch_add(1, Ordering::Relaxed);
        }
        (true, false) => {
            count.fetch_sub(1, Ordering::Relaxed);
        }
        _ => {}
    }
}

/// Returns the counters that a node reports.
fn counters() -> Vec<(String, u64)> {
    (0..COUNTERS_PER_NODE).map(|number| (format!("hollow_counter_{number:02}"), COUNTER_VALUE)).collect()
}
