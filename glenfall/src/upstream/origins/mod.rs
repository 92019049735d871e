//! The servers as one process sees them, and the choice among those of a service. Callers say what time it is.

mod own_subsets;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use glenfall_balancer::mix;
use glenfall_control_plane::fleet::edge_hash;
use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::Server;
use tokio::time::Instant;

use self::own_subsets::OwnSubsets;

/// How long a server is left alone that gave no connection or no answer.
pub const REST: Duration = Duration::from_millis(1500);
/// The same for one that was full: a place is free again about when a request ends.
const FULL: Duration = Duration::from_millis(60);
/// Weight of a new answer time in the smoothed one.
const SMOOTH: f64 = 0.15;
/// The time after which half of what is known of a server's answer times is forgotten. One slow answer, as with a
/// connection or a machine that has just started, would keep requests away for good otherwise, and nothing would
/// tell that it is fast by now.
const TIMES_FORGOTTEN: Duration = Duration::from_secs(10);
/// A server that is slow from its start takes about this part of what it takes when warm.
const COLD: f64 = 0.4;
/// A server in another zone, for those whom its bytes cost: taken when those of the own zone are crowded.
const FAR: f64 = 0.1;
/// A server to which a connection lies idle takes so many times as much: a new one costs the way there and back, and
/// may hold a place at the server.
const WARM: f64 = 4.0;
/// Weight of a request's end in the part that a server fails, and the time after which half of what is held against
/// it is forgotten: it is tried again then, by few requests.
const BLAME: f64 = 0.3;
const FORGIVEN: Duration = Duration::from_secs(4);
/// How steeply a server that fails requests falls behind the others: one that fails a third of them gets a fifth.
const SHY: i32 = 4;

struct Known {
    server: Server,
    warm_at: Instant,
    in_flight: u32,
    /// Smoothed answer time in seconds, 0 while unknown.
    time: f64,
    /// Its logarithm.
    log_time: f64,
    /// When the last answer came.
    timed: Instant,
    rests_until: Instant,
    /// Part of the requests that it failed of late, as it was at `blamed`.
    failing: f64,
    blamed: Instant,
}

impl Known {
    /// How far its answer time is still believed, from 1 down to 0.
    fn time_trust(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.timed).as_secs_f64();
        0.5f64.powf(passed / TIMES_FORGOTTEN.as_secs_f64())
    }

    fn failing_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.blamed).as_secs_f64();
        self.failing * 0.5f64.powf(passed / FORGIVEN.as_secs_f64())
    }
}

/// Where a request may go.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The server's id.
    pub id: String,
    /// Where it is reached.
    pub addr: SocketAddrV4,
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// With a success, or an error that is the client's.
    Success,
    /// Answered with an error of its own. That says nothing of its speed: a server that fails all may do so at once.
    ServerError,
    /// Turned away: full, or not the one that was meant.
    Rejected,
    /// No connection, or no answer that could be read.
    Failed,
}

/// The servers that are known, and how each has done.
pub struct OriginBalancer {
    zone: String,
    /// Prefers servers of its own zone: what it fetches is large.
    near: bool,
    known: RefCell<BTreeMap<String, Known>>,
    own_subsets: RefCell<OwnSubsets>,
    rng: RefCell<u64>,
}

impl OriginBalancer {
    /// `node` is the name of this machine: each draws in an order of its own, the same one every time.
    pub fn new(zone: &str, near: bool, node: &str) -> Self {
        let mark = edge_hash(node);
        let zone = zone.to_owned();
        let own_subsets = RefCell::new(OwnSubsets::new(mark));
        OriginBalancer { zone, near, known: RefCell::default(), own_subsets, rng: RefCell::new(mark) }
    }

    /// Takes the servers of a fleet and the edges that share them; returns the addresses that take nothing more.
    pub fn update(&self, now: Instant, servers: &[Server], edges: &[u64]) -> Vec<SocketAddrV4> {
        let mut known = self.known.borrow_mut();
        let mut closed: Vec<SocketAddrV4> =
            known.values().filter(|k| k.server.ready).map(|k| k.server.addr).collect();
        // Sets: with a thousand servers, a look through the list for each of them is what a change costs most.
        let listed: HashSet<&str> = servers.iter().map(|server| &server.id[..]).collect();
        known.retain(|id, _| listed.contains(&id[..]));
        for server in servers {
            let warm_at = now + Duration::from_millis(server.warmup_left_ms);
            let fresh = || Known {
                server: server.clone(),
                warm_at,
                in_flight: 0,
                time: 0.0,
                log_time: 0.0,
                timed: now,
                rests_until: now,
                failing: 0.0,
                blamed: now,
            };
            let k = known.entry(server.id.clone()).or_insert_with(fresh);
            // How warm it is was told when it came or changed, and runs off since.
            if k.server != *server {
                let back = !k.server.ready && server.ready;
                Invariant::DrainIsFinal.check(!back, || server.id.clone());
                (k.server, k.warm_at) = (server.clone(), warm_at);
            }
        }
        self.own_subsets.borrow_mut().changed(edges);
        let open: HashSet<SocketAddrV4> =
            known.values().filter(|k| k.server.ready).map(|k| k.server.addr).collect();
        closed.retain(|addr| !open.contains(addr));
        closed
    }

    /// A server of the service that takes requests, none of those `tried`: one of this machine's subset where one of
    /// them has room. `warm` says whether a connection to a server lies idle.
    pub fn choose(
        &self,
        now: Instant,
        service: &str,
        tried: &[String],
        warm: impl Fn(SocketAddr) -> bool,
    ) -> Option<Chosen> {
        let known = self.known.borrow();
        let mut open: Vec<&Known> = known
            .values()
            .filter(|k| k.server.ready && k.server.backend == service && !tried.contains(&k.server.id))
            .collect();
        let has_room = |k: &&Known| k.rests_until <= now && k.in_flight < k.server.capacity.max(1);
        let mut own_subsets = self.own_subsets.borrow_mut();
        let own = own_subsets.of(now, service, || {
            let ready = known.values().filter(|k| k.server.ready && k.server.backend == service);
            ready.map(|k| (k.server.id.clone(), k.server.capacity)).collect()
        });
        if let Some(own) = own {
            let is_own = |k: &&Known| own.contains(&k.server.id);
            if open.iter().any(|k| is_own(k) && has_room(k)) {
                open.retain(is_own);
            }
        }
        // Where all rest, each is as good as the next.
        let awake = open.iter().any(|k| k.rests_until <= now);
        let trusts: Vec<f64> = open.iter().map(|k| k.time_trust(now)).collect();
        let known_times = || open.iter().zip(&trusts).filter(|(k, _)| k.time > 0.0);
        let trust_sum: f64 = known_times().map(|(_, trust)| trust).sum();
        // The logarithm of the usual answer time: what is hardly believed any more hardly counts.
        let usual = known_times().map(|(k, trust)| k.log_time * trust).sum::<f64>() / trust_sum.max(1e-9);
        let weigh = |k: &Known, trust: f64| {
            if awake && k.rests_until > now {
                return 0.0;
            }
            let room = 1.0 / (1.0 + f64::from(k.in_flight) * 4.0 / f64::from(k.server.capacity.max(1)));
            let cold = if k.warm_at > now { COLD } else { 1.0 };
            let far = if self.near && k.server.zone != self.zone { FAR } else { 1.0 };
            let warm = if warm(k.server.addr.into()) { WARM } else { 1.0 };
            // Squared: faster and emptier servers take more than their share of what others would queue.
            let speed = if k.time > 0.0 { (2.0 * trust * (usual - k.log_time)).exp() } else { 1.0 };
            let weight = f64::from(k.server.capacity.max(1)) * room * room * speed;
            let well = (1.0 - k.failing_at(now)).powi(SHY);
            (weight * well * cold * far * warm).max(1e-9)
        };
        let weights: Vec<f64> = open.iter().zip(&trusts).map(|(k, trust)| weigh(k, *trust)).collect();
        let mut left = self.draw() * weights.iter().sum::<f64>();
        let mut last = None;
        for (k, weight) in open.iter().zip(&weights).filter(|(_, weight)| **weight > 0.0) {
            last = Some(Chosen { id: k.server.id.clone(), addr: k.server.addr });
            if left < *weight {
                break;
            }
            left -= weight;
        }
        last
    }

    /// From 0 to 1.
    pub fn draw(&self) -> f64 {
        let mut rng = self.rng.borrow_mut();
        *rng = rng.wrapping_add(1);
        (mix(*rng) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether the server still takes requests.
    pub fn takes(&self, id: &str) -> bool {
        self.known.borrow().get(id).is_some_and(|k| k.server.ready)
    }

    /// When a server will be warm.
    pub fn warm_at(&self, id: &str) -> Option<Instant> {
        self.known.borrow().get(id).map(|k| k.warm_at)
    }

    /// Requests at all servers together.
    pub fn in_flight(&self) -> u32 {
        self.known.borrow().values().map(|k| k.in_flight).sum()
    }

    /// A request goes to a server.
    pub fn enter(&self, id: &str) {
        if let Some(k) = self.known.borrow_mut().get_mut(id) {
            k.in_flight += 1;
        }
    }

    /// It is there no longer.
    pub fn exit(&self, id: &str) {
        if let Some(k) = self.known.borrow_mut().get_mut(id) {
            k.in_flight = k.in_flight.saturating_sub(1);
        }
    }

    /// How a request ended at a server, and how long that took.
    pub fn heard(&self, now: Instant, id: &str, end: SendOutcome, took: Duration) {
        let mut known = self.known.borrow_mut();
        let Some(k) = known.get_mut(id) else { return };
        let failed = match end {
            SendOutcome::Success => Some(0.0),
            SendOutcome::ServerError | SendOutcome::Failed => Some(1.0),
            SendOutcome::Rejected => None,
        };
        if let Some(failed) = failed {
            let before = k.failing_at(now);
            (k.failing, k.blamed) = (before + BLAME * (failed - before), now);
        }
        match end {
            SendOutcome::ServerError => {}
            SendOutcome::Success => {
                let took = took.as_secs_f64();
                // The longer ago the last answer, the more the new one says.
                let part = 1.0 - (1.0 - SMOOTH) * k.time_trust(now);
                k.time = if k.time > 0.0 { k.time + part * (took - k.time) } else { took };
                k.log_time = k.time.max(1e-6).ln();
                k.timed = now;
            }
            SendOutcome::Rejected => k.rests_until = now + FULL,
            SendOutcome::Failed => k.rests_until = now + REST,
        }
    }

    /// A request goes to a server. It is counted there until what this gives is dropped.
    pub fn begin<'a>(&'a self, id: &'a str) -> InFlight<'a> {
        self.enter(id);
        InFlight { origins: self, id, began: Instant::now() }
    }
}

/// A request at a server. Dropped without an end, its client has gone, which tells nothing of the server.
pub struct InFlight<'a> {
    origins: &'a OriginBalancer,
    id: &'a str,
    began: Instant,
}

impl InFlight<'_> {
    /// It has ended like this.
    pub fn ended(self, end: SendOutcome) {
        let now = Instant::now();
        self.origins.heard(now, self.id, end, now - self.began);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.origins.exit(self.id);
    }
}
