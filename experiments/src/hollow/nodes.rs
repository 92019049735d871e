//! Hollow nodes: what an agent and its edge are to control, and nothing else. Each has a real session, takes what it is
//! pushed, says what it has applied, and turns to another control node when its own is lost. Many to a thread.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use glenfall::session::lease::HeldLease;
use glenfall::session::link::{self, Outbox};
use glenfall::session::subscriber;
use glenfall_control_plane::fleet::{edge_hash, VersionedFleet};
use glenfall_control_plane::messages::{
    AgedPurge, ConnectionOpening, Member, ProxyRole, PublisherMessage, Purge, SubscriberMessage, Update,
};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// Pauses before control is called again, as an agent has them.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Counters of an edge and its agent, about so many.
const COUNTERS: usize = 40;
/// Nodes that share themselves out move within this time.
pub const MOVES: Duration = Duration::from_secs(5);
/// A node that is started again is away for so long.
const AWAY: Duration = Duration::from_millis(300);
/// What labels of purges begin with; a number follows.
pub const LABEL: &str = "hollow-";
/// Numbers of purges that are counted.
const MOST_PURGES: usize = 1 << 16;

/// What all nodes of a run have seen.
pub struct Seen {
    began: Instant,
    /// Nodes that have heard all they need to serve, and those of them that know every server and every edge.
    pub in_touch: AtomicU32,
    pub know_all: AtomicU32,
    /// Sessions lost since the start.
    pub lost: AtomicU32,
    /// Which nodes have taken each purge: a bit for each.
    purges: Vec<Vec<AtomicU64>>,
    contacts: Vec<Contact>,
    /// Versions as they were taken, and when, in seconds of the run.
    applied: Mutex<Vec<(u64, f64)>>,
    servers: usize,
    edges: usize,
}

/// What a node knows of its own contact.
#[derive(Default)]
struct Contact {
    /// It takes its session for alive.
    in_touch: AtomicBool,
    /// Until when it may serve from copies, in microseconds of the run.
    lease_until: AtomicU64,
}

/// Nodes that had not taken a purge when it was acknowledged.
#[derive(Clone, Copy, Default)]
pub struct Early {
    /// They could serve from copies.
    pub leased: u32,
    /// They took their sessions for alive, whatever their leases.
    pub in_touch: u32,
}

impl Seen {
    pub fn new(servers: u32, nodes: u32, edges: u32) -> Arc<Seen> {
        let words = nodes.div_ceil(u64::BITS);
        Arc::new(Seen {
            began: Instant::now(),
            in_touch: AtomicU32::new(0),
            know_all: AtomicU32::new(0),
            lost: AtomicU32::new(0),
            purges: (0..MOST_PURGES).map(|_| (0..words).map(|_| AtomicU64::new(0)).collect()).collect(),
            contacts: (0..nodes).map(|_| Contact::default()).collect(),
            applied: Mutex::default(),
            servers: servers as usize,
            edges: edges as usize,
        })
    }

    /// Seconds of the run.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn microseconds(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.began).as_micros() as u64
    }

    /// Counts nodes that have not taken a purge that has just been acknowledged. Contact is read before what was taken,
    /// as nodes write it after.
    pub fn early(&self, number: usize) -> Early {
        let mut early = Early::default();
        let now = self.microseconds(Instant::now());
        for (node, contact) in self.contacts.iter().enumerate() {
            let in_touch = contact.in_touch.load(Ordering::SeqCst);
            let leased = in_touch && now < contact.lease_until.load(Ordering::SeqCst);
            if in_touch && !self.took_purge(number, node) {
                early.in_touch += 1;
                early.leased += u32::from(leased);
            }
        }
        early
    }

    fn took_purge(&self, number: usize, node: usize) -> bool {
        let taken = self.purges.get(number).and_then(|nodes| nodes.get(node / u64::BITS as usize));
        taken.is_some_and(|word| word.load(Ordering::SeqCst) >> (node % u64::BITS as usize) & 1 == 1)
    }

    /// When nodes took a version.
    pub fn took_version(&self, rev: u64) -> Vec<f64> {
        let applied = self.applied.lock().unwrap_or_else(|broken| broken.into_inner());
        applied.iter().filter(|(taken, _)| *taken == rev).map(|(_, at)| *at).collect()
    }

    /// Notes what a node takes.
    fn purged(&self, purges: &[AgedPurge], node: usize) {
        for aged in purges {
            let Purge::Label(label) = &aged.purge else { continue };
            let number = label.strip_prefix(LABEL).and_then(|number| number.parse::<usize>().ok());
            let nodes = number.and_then(|number| self.purges.get(number));
            if let Some(word) = nodes.and_then(|nodes| nodes.get(node / u64::BITS as usize)) {
                word.fetch_or(1 << (node % u64::BITS as usize), Ordering::SeqCst);
            }
        }
    }
}

/// Where control is.
#[derive(Clone)]
pub struct Control {
    pub seeds: Vec<Ipv4Addr>,
    pub port: u16,
    pub zones: u8,
    /// Nodes share themselves out over all control nodes that they have heard of: a trial of what agents don't do yet.
    pub spread: bool,
}

/// Nodes of one thread: those whose numbers are `first`, `first + step` and so on below `all`. Ends when `restarts` does;
/// it names nodes that start again.
pub fn run(
    control: Control,
    seen: Arc<Seen>,
    (first, step, all): (u32, u32, u32),
    mut restarts: mpsc::UnboundedReceiver<u32>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let nodes: Vec<Rc<Node>> = (first..all)
            .step_by(step as usize)
            .map(|number| Rc::new(Node::new(number, control.clone(), Arc::clone(&seen))))
            .collect();
        for node in &nodes {
            spawn_local(Rc::clone(node).run());
        }
        while let Some(number) = restarts.recv().await {
            if let Some(node) = nodes.get(((number.saturating_sub(first)) / step) as usize) {
                node.restart.notify_one();
            }
        }
    });
    Ok(())
}

#[derive(Default)]
struct Known {
    rev: u64,
    fleet: VersionedFleet,
    fleet_known: bool,
    controls: Vec<Ipv4Addr>,
    in_touch: bool,
    /// As they are counted in `Seen`.
    counted: (bool, bool),
}

struct Node {
    number: usize,
    name: String,
    zone: String,
    control: Control,
    seen: Arc<Seen>,
    known: RefCell<Known>,
    lease: HeldLease,
    changed: Notify,
    restart: Notify,
    moved: Cell<bool>,
}

impl Node {
    fn new(number: u32, control: Control, seen: Arc<Seen>) -> Node {
        Node {
            number: number as usize,
            name: format!("hollow-{number:04}"),
            zone: format!("zone-{}", number % u32::from(control.zones.max(1)) + 1),
            control,
            seen,
            known: RefCell::default(),
            lease: HeldLease::default(),
            changed: Notify::new(),
            restart: Notify::new(),
            moved: Cell::new(false),
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.follow_control() => {}
                () = self.restart.notified() => {
                    self.count_lost();
                    self.known.take();
                    self.moved.set(false);
                    sleep(AWAY).await;
                }
            }
        }
    }

    /// Calls control nodes in the order in which an agent does.
    async fn follow_control(&self) {
        let mut pause = PAUSE;
        let mut turn = match self.control.spread {
            true => 0,
            false => self.name.bytes().map(usize::from).sum::<usize>(),
        };
        loop {
            let controls = self.controls();
            let mut met = false;
            for step in 0..controls.len() {
                let addr = controls[(turn + step) % controls.len()];
                let Ok((read, write)) = link::open(addr, &ConnectionOpening::Session).await else { continue };
                met = true;
                let outbox = Outbox::start(write);
                let take = async |down| self.take(down);
                let frames = link::FrameReader::new(read);
                let (hello, now) = (|| self.hello(), || self.lease.now());
                tokio::select! {
                    () = self.moves(addr) => {}
                    () = subscriber::follow(frames, outbox.clone(), hello, now, &self.changed, take) => {}
                    () = subscriber::send_reports(&outbox, report) => {}
                }
                self.seen.lost.fetch_add(1, Ordering::Relaxed);
                self.count_lost();
                // Nothing below it serves from copies.
                let _ = outbox.send(SubscriberMessage::LeaseReleased);
                turn = if self.control.spread { 0 } else { turn + step + 1 };
                break;
            }
            pause = if met { PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            sleep(pause).await;
        }
    }

    fn controls(&self) -> Vec<SocketAddrV4> {
        let known = self.known.borrow();
        let mut addrs: Vec<SocketAddrV4> = Vec::new();
        for ip in known.controls.iter().chain(&self.control.seeds) {
            let addr = SocketAddrV4::new(*ip, self.control.port);
            if !addrs.contains(&addr) {
                addrs.push(addr);
            }
        }
        if self.control.spread {
            // By the highest of what names make together: each node has an order of its own.
            addrs.sort_by_key(|addr| edge_hash(&format!("{}{}", self.name, addr.ip())));
        }
        addrs
    }

    /// Ends once this node should be elsewhere, at a moment of its own.
    async fn moves(&self, here: SocketAddrV4) {
        // Once: whoever would go back to a node that is gone again and again brings no session to rest.
        if !self.control.spread || self.moved.get() {
            return std::future::pending().await;
        }
        while self.known.borrow().controls.is_empty() || self.controls().first() == Some(&here) {
            sleep(LONGEST_PAUSE).await;
        }
        let part = (edge_hash(&self.name) >> 11) as f64 / (1u64 << 53) as f64;
        sleep(MOVES.mul_f64(part)).await;
        self.moved.set(true);
    }

    fn hello(&self) -> SubscriberMessage {
        let known = self.known.borrow();
        let member = Member {
            node: self.name.clone(),
            zone: self.zone.clone(),
            proxy: ProxyRole::Edge,
            // Nobody calls it.
            http: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
            ready: known.rev > 0 && known.fleet_known,
            incarnation: 1,
        };
        SubscriberMessage::Hello { node: self.name.clone(), member: Some(member) }
    }

    fn take(&self, down: PublisherMessage) -> bool {
        let mut known = self.known.borrow_mut();
        let was_ready = known.rev > 0 && known.fleet_known;
        match down {
            PublisherMessage::ControlNodes(controls) => known.controls = controls,
            PublisherMessage::Push { update: Update::Config { rev, .. }, .. } if rev > known.rev => {
                known.rev = rev;
                let at = self.seen.now();
                self.seen.applied.lock().unwrap_or_else(|broken| broken.into_inner()).push((rev, at));
            }
            PublisherMessage::Push { update: Update::Fleet(told), .. } => {
                if known.fleet.apply_update(told).is_err() {
                    return false;
                }
                known.fleet_known = true;
            }
            PublisherMessage::Push { update: Update::Purges(purges), .. } => {
                self.seen.purged(&purges, self.number);
            }
            PublisherMessage::Push { update: Update::Connected(yes), .. } => known.in_touch = yes,
            PublisherMessage::LeaseGranted { sent_at, duration: lasts } => self.lease.renew(sent_at, lasts),
            PublisherMessage::Push { .. } | PublisherMessage::Draining | PublisherMessage::Ping => {}
        }
        if !was_ready && known.rev > 0 && known.fleet_known {
            self.changed.notify_one();
        }
        self.count(&mut known);
        true
    }

    fn count(&self, known: &mut Known) {
        let fleet = known.fleet.fleet();
        let in_touch = known.in_touch && known.rev > 0 && known.fleet_known;
        let whole = fleet.complete && fleet.servers.len() >= self.seen.servers;
        let know_all = in_touch && whole && fleet.edges.len() >= self.seen.edges;
        let set = |count: &AtomicU32, was: bool, is: bool| match (was, is) {
            (false, true) => drop(count.fetch_add(1, Ordering::Relaxed)),
            (true, false) => drop(count.fetch_sub(1, Ordering::Relaxed)),
            _ => {}
        };
        set(&self.seen.in_touch, known.counted.0, in_touch);
        set(&self.seen.know_all, known.counted.1, know_all);
        known.counted = (in_touch, know_all);
        if let Some(contact) = self.seen.contacts.get(self.number) {
            let until = self.seen.microseconds(self.lease.until().into_std());
            contact.lease_until.store(until, Ordering::SeqCst);
            contact.in_touch.store(in_touch, Ordering::SeqCst);
        }
    }

    fn count_lost(&self) {
        let mut known = self.known.borrow_mut();
        known.in_touch = false;
        self.lease.end();
        self.count(&mut known);
    }
}

fn report() -> Vec<(String, u64)> {
    (0..COUNTERS).map(|n| (format!("hollow_counter_{n:02}"), 100_000)).collect()
}
