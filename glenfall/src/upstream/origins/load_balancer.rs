//! Load balancing among the servers of a service: a weighted random choice.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use glenfall_balancer::splitmix64;
use glenfall_control_plane::fleet::edge_hash;
use glenfall_control_plane::messages::Server;
use tokio::time::Instant;

use super::local_subsets::{LocalSubsets, ServerCapacity};
use super::origin::Origin;
use super::outlier_ejection::SendOutcome;
use super::scoring::Scoring;

/// The server that a request is to be sent to.
#[derive(Clone, Debug)]
pub struct SelectedOrigin {
    /// The server's id.
    pub id: String,
    /// The address that it listens at.
    pub addr: SocketAddrV4,
}

/// All known servers, and what this process has observed of each.
pub struct OriginBalancer {
    zone: String,
    prefers_own_zone: bool,
    origins: RefCell<BTreeMap<String, Origin>>,
    local_subsets: RefCell<LocalSubsets>,
    /// State of the random number generator.
    random_state: RefCell<u64>,
}

impl OriginBalancer {
    /// A balancer without servers. With `prefer_own_zone`, it prefers servers of its own zone, for a process that
    /// fetches large responses. `node_name` seeds the random choice: each machine has a random sequence of its own,
    /// which is the same in each run.
    pub fn new(zone: &str, prefer_own_zone: bool, node_name: &str) -> Self {
        let node_hash = edge_hash(node_name);
        OriginBalancer {
            zone: zone.to_owned(),
            prefers_own_zone: prefer_own_zone,
            origins: RefCell::default(),
            local_subsets: RefCell::new(LocalSubsets::new(node_hash)),
            random_state: RefCell::new(node_hash),
        }
    }

    /// Replaces the servers by those of a fleet, which the given edges share. Returns the addresses at which no server
    /// accepts requests any more.
    pub fn update(&self, now: Instant, servers: &[Server], edges: &[u64]) -> Vec<SocketAddrV4> {
        let mut origins = self.origins.borrow_mut();
        let mut no_longer_ready: Vec<SocketAddrV4> = ready_addresses(&origins).collect();
        // Hash sets, because with a thousand servers, linear searches would dominate the cost of an update.
        let listed: HashSet<&str> = servers.iter().map(|server| &server.id[..]).collect();
        origins.retain(|id, _| listed.contains(&id[..]));
        for server in servers {
            match origins.get_mut(&server.id) {
                Some(origin) => origin.update(now, server),
                None => {
                    origins.insert(server.id.clone(), Origin::new(now, server));
                }
            }
        }
        self.local_subsets.borrow_mut().fleet_changed(edges);
        let ready_now: HashSet<SocketAddrV4> = ready_addresses(&origins).collect();
        no_longer_ready.retain(|address| !ready_now.contains(address));
        no_longer_ready
    }

    /// Chooses a ready server of the service that is not among those `tried`, and advances the random sequence. While a
    /// server of this machine's subset has free capacity, the choice is limited to the subset. `has_idle_connection`
    /// returns whether there is an idle connection to an address. Returns `None` if no server can be chosen.
    pub fn choose(
        &self,
        now: Instant,
        service: &str,
        tried: &[String],
        has_idle_connection: impl Fn(SocketAddr) -> bool,
    ) -> Option<SelectedOrigin> {
        let origins = self.origins.borrow();
        let candidates = self.candidates(now, &origins, service, tried);
        let preferred_zone = self.prefers_own_zone.then_some(&self.zone[..]);
        let scoring = Scoring::new(now, preferred_zone, &candidates);
        let mut scores = Vec::with_capacity(candidates.len());
        for candidate in scoring.candidates() {
            let address = candidate.origin.server().addr;
            scores.push(scoring.score(candidate, has_idle_connection(address.into())));
        }
        let position = self.next_random() * scores.iter().sum::<f64>();
        let selected = candidates[weighted_index(&scores, position)?].server();
        Some(SelectedOrigin { id: selected.id.clone(), addr: selected.addr })
    }

    /// Ready servers of the service that were not tried; only those of this machine's subset if one of them has free
    /// capacity.
    fn candidates<'a>(
        &self,
        now: Instant,
        origins: &'a BTreeMap<String, Origin>,
        service: &str,
        tried: &[String],
    ) -> Vec<&'a Origin> {
        let ready_origins = || origins.values().filter(|origin| origin.serves(service));
        let mut candidates: Vec<&Origin> =
            ready_origins().filter(|origin| !tried.contains(&origin.server().id)).collect();
        let mut local_subsets = self.local_subsets.borrow_mut();
        let subset = local_subsets.subset_of(now, service, || {
            let capacity = |origin: &Origin| ServerCapacity {
                id: origin.server().id.clone(),
                capacity: origin.server().capacity,
            };
            ready_origins().map(capacity).collect()
        });
        if let Some(subset) = subset {
            let is_local = |origin: &&Origin| subset.contains(&origin.server().id);
            if candidates.iter().any(|origin| is_local(origin) && origin.has_capacity(now)) {
                candidates.retain(is_local);
            }
        }
        candidates
    }

    /// The next random number, from 0 up to but not including 1.
    pub fn next_random(&self) -> f64 {
        let mut state = self.random_state.borrow_mut();
        *state = state.wrapping_add(1);
        // Uses the upper 53 bits, as the mantissa of an `f64` has 53.
        (splitmix64(*state) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether the server is known and accepts requests.
    pub fn is_ready(&self, id: &str) -> bool {
        self.origins.borrow().get(id).is_some_and(|origin| origin.server().ready)
    }

    /// When the slow start of a server ends; `None` for an unknown server.
    pub fn slow_start_ends_at(&self, id: &str) -> Option<Instant> {
        self.origins.borrow().get(id).map(Origin::slow_start_ends_at)
    }

    /// Requests in flight to all servers together.
    pub fn in_flight(&self) -> u32 {
        self.origins.borrow().values().map(Origin::in_flight).sum()
    }

    /// Adds a request to those in flight to a server.
    pub fn request_started(&self, id: &str) {
        if let Some(origin) = self.origins.borrow_mut().get_mut(id) {
            origin.request_started();
        }
    }

    /// Removes a request from those in flight to a server.
    pub fn request_finished(&self, id: &str) {
        if let Some(origin) = self.origins.borrow_mut().get_mut(id) {
            origin.request_finished();
        }
    }

    /// Records the outcome of a request to a server, and how long it took.
    pub fn record_outcome(&self, now: Instant, id: &str, outcome: SendOutcome, latency: Duration) {
        if let Some(origin) = self.origins.borrow_mut().get_mut(id) {
            origin.record(now, outcome, latency);
        }
    }

    /// Counts a request as in flight to a server until the returned guard is dropped.
    pub fn track<'a>(&'a self, id: &'a str) -> InFlight<'a> {
        self.request_started(id);
        InFlight { balancer: self, id, started_at: Instant::now() }
    }
}

fn ready_addresses(origins: &BTreeMap<String, Origin>) -> impl Iterator<Item = SocketAddrV4> + '_ {
    origins.values().map(Origin::server).filter(|server| server.ready).map(|server| server.addr)
}

/// The index of the score whose interval contains `position`, with the intervals of all scores laid end to end from 0.
/// The last positive score if `position` lies beyond all of them because of rounding; `None` if no score is positive.
fn weighted_index(scores: &[f64], mut position: f64) -> Option<usize> {
    let mut last = None;
    for (index, score) in scores.iter().enumerate().filter(|(_, score)| **score > 0.0) {
        last = Some(index);
        if position < *score {
            break;
        }
        position -= score;
    }
    last
}

/// A request in flight to a server. It is dropped without an outcome when the client disconnects: nothing is then
/// recorded about the server.
pub struct InFlight<'a> {
    balancer: &'a OriginBalancer,
    id: &'a str,
    started_at: Instant,
}

impl InFlight<'_> {
    /// Records the outcome of the request, with the time since it was sent.
    pub fn finish(self, outcome: SendOutcome) {
        let now = Instant::now();
        self.balancer.record_outcome(now, self.id, outcome, now - self.started_at);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.balancer.request_finished(self.id);
    }
}
