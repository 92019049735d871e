//! The servers as one process sees them, and the choice among those of a service.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use glenfall_plane::messages::Server;
use mallowpaddle::mix;
use tokio::time::Instant;

/// How long a server is left alone that gave no connection or no answer.
const REST: Duration = Duration::from_millis(1500);
/// The same for one that was full: a place is free again about when a request ends.
const FULL: Duration = Duration::from_millis(60);
/// Weight of a new answer time in the smoothed one.
const SMOOTH: f64 = 0.15;
/// A server that is slow from its start takes about this part of what it takes when warm.
const COLD: f64 = 0.4;
/// A server in another zone, for those whom its bytes cost: taken when those of the own zone are crowded.
const FAR: f64 = 0.1;

struct Known {
    server: Server,
    warm_at: Instant,
    in_flight: u32,
    /// Smoothed answer time in seconds, 0 while unknown.
    time: f64,
    rests_until: Instant,
}

/// Where a request may go.
#[derive(Clone, Debug)]
pub struct Chosen {
    pub id: String,
    pub addr: SocketAddrV4,
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Answered,
    /// Turned away: full, or not the one that was meant.
    TurnedAway,
    Failed,
}

pub struct Origins {
    zone: String,
    /// Prefers servers of its own zone: what it fetches is large.
    near: bool,
    known: RefCell<BTreeMap<String, Known>>,
    rng: RefCell<u64>,
}

impl Origins {
    /// `node` is the name of this machine: each draws in an order of its own, the same one every time.
    pub fn new(zone: &str, near: bool, node: &str) -> Self {
        let seed = node.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        Origins { zone: zone.to_owned(), near, known: RefCell::default(), rng: RefCell::new(seed) }
    }

    /// Takes the servers of a fleet; returns the addresses that take nothing more.
    pub fn update(&self, servers: &[Server]) -> Vec<SocketAddrV4> {
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        let mut closed: Vec<SocketAddrV4> =
            known.values().filter(|k| k.server.ready).map(|k| k.server.addr).collect();
        known.retain(|id, _| servers.iter().any(|server| server.id == *id));
        for server in servers {
            let warm_at = now + Duration::from_millis(server.warmup_left_ms);
            let fresh =
                || Known { server: server.clone(), warm_at, in_flight: 0, time: 0.0, rests_until: now };
            let k = known.entry(server.id.clone()).or_insert_with(fresh);
            (k.server, k.warm_at) = (server.clone(), warm_at);
        }
        closed.retain(|addr| !known.values().any(|k| k.server.ready && k.server.addr == *addr));
        closed
    }

    /// A server of the service that takes requests, none of those `tried`.
    pub fn choose(&self, service: &str, tried: &[String]) -> Option<Chosen> {
        let now = Instant::now();
        let known = self.known.borrow();
        let open: Vec<&Known> = known
            .values()
            .filter(|k| k.server.ready && k.server.backend == service && !tried.contains(&k.server.id))
            .collect();
        // Where all rest, each is as good as the next.
        let awake = open.iter().any(|k| k.rests_until <= now);
        let usual = {
            let times: Vec<f64> = open.iter().map(|k| k.time).filter(|time| *time > 0.0).collect();
            if times.is_empty() {
                1.0
            } else {
                times.iter().sum::<f64>() / times.len() as f64
            }
        };
        let weigh = |k: &Known| {
            if awake && k.rests_until > now {
                return 0.0;
            }
            let time = if k.time > 0.0 { k.time } else { usual };
            let room = 1.0 / (1.0 + f64::from(k.in_flight) * 4.0 / f64::from(k.server.capacity.max(1)));
            let cold = if k.warm_at > now { COLD } else { 1.0 };
            let far = if self.near && k.server.zone != self.zone { FAR } else { 1.0 };
            // Squared: faster and emptier servers take more than their share of what others would queue.
            (f64::from(k.server.capacity.max(1)) * room * room * cold * far * (usual / time).powi(2))
                .max(1e-9)
        };
        let weights: Vec<f64> = open.iter().map(|k| weigh(k)).collect();
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

    #[cfg(test)]
    pub fn in_flight(&self) -> u32 {
        self.known.borrow().values().map(|k| k.in_flight).sum()
    }

    /// A request goes to a server. It is counted there until what this gives is dropped.
    pub fn begin<'a>(&'a self, id: &'a str) -> InFlight<'a> {
        if let Some(k) = self.known.borrow_mut().get_mut(id) {
            k.in_flight += 1;
        }
        InFlight { origins: self, id, began: Instant::now() }
    }
}

/// A request at a server. Dropped without an end, its client has gone, which tells nothing of the server.
pub struct InFlight<'a> {
    origins: &'a Origins,
    id: &'a str,
    began: Instant,
}

impl InFlight<'_> {
    pub fn ended(self, end: End) {
        let now = Instant::now();
        if let Some(k) = self.origins.known.borrow_mut().get_mut(self.id) {
            match end {
                End::Answered => {
                    let took = now.duration_since(self.began).as_secs_f64();
                    k.time = if k.time > 0.0 { k.time + SMOOTH * (took - k.time) } else { took };
                }
                End::TurnedAway => k.rests_until = now + FULL,
                End::Failed => k.rests_until = now + REST,
            }
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if let Some(k) = self.origins.known.borrow_mut().get_mut(self.id) {
            k.in_flight = k.in_flight.saturating_sub(1);
        }
    }
}
