//! Deterministic subsetting: the subset of each service's servers that this machine sends requests to.
//!
//! A subset is computed when a request needs it, and not on each change of the fleet: while thousands of servers start,
//! that would take all CPU time. An outdated subset costs a few connections only, as whether a server is ready is
//! checked independently of it.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::subset::{self, SubsetServer};
use tokio::time::Instant;

/// Minimum time between two computations of the subset of one service.
const MIN_RECOMPUTE_INTERVAL: Duration = Duration::from_secs(1);

/// Id and capacity of a server, the input for computing a subset.
#[derive(PartialEq, Eq)]
pub struct ServerCapacity {
    /// The server's id.
    pub id: String,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
}

/// What a subset is computed from: the edges, and the servers of the service.
#[derive(PartialEq, Eq)]
struct SubsetInput {
    edges: Rc<[u64]>,
    servers: Vec<ServerCapacity>,
}

struct LocalSubset {
    input: SubsetInput,
    /// `None` allows any server: control does not know this machine yet, or each subset contains all servers.
    server_ids: Option<HashSet<String>>,
    /// The generation of the fleet that the input was last compared with.
    fleet_generation: u64,
    computed_at: Instant,
}

/// The subsets of this machine, by service.
pub struct LocalSubsets {
    /// Identifies this machine among the edges.
    node_hash: u64,
    edges: Rc<[u64]>,
    /// Number of fleet updates received.
    fleet_generation: u64,
    by_service: HashMap<String, LocalSubset>,
}

impl LocalSubsets {
    /// Subsets of the machine with this hash, before any fleet is known.
    pub fn new(node_hash: u64) -> Self {
        LocalSubsets { node_hash, edges: Rc::default(), fleet_generation: 0, by_service: HashMap::new() }
    }

    /// Sets the edges of a new fleet. All subsets count as outdated then, as the servers may have changed as well.
    pub fn fleet_changed(&mut self, edges: &[u64]) {
        if *self.edges != *edges {
            self.edges = edges.into();
        }
        self.fleet_generation += 1;
    }

    /// The ids of this machine's servers of a service; `None` if it may use any server. `ready_servers` lists the
    /// servers of the service that accept requests; it is called only if the subset has to be checked.
    pub fn subset_of(
        &mut self,
        now: Instant,
        service: &str,
        ready_servers: impl FnOnce() -> Vec<ServerCapacity>,
    ) -> Option<&HashSet<String>> {
        if self.is_due(now, service) {
            let input = SubsetInput { edges: Rc::clone(&self.edges), servers: ready_servers() };
            self.recompute(now, service, input);
        }
        self.by_service.get(service)?.server_ids.as_ref()
    }

    fn is_due(&self, now: Instant, service: &str) -> bool {
        let Some(subset) = self.by_service.get(service) else { return true };
        let is_outdated = subset.fleet_generation != self.fleet_generation;
        is_outdated && now.saturating_duration_since(subset.computed_at) >= MIN_RECOMPUTE_INTERVAL
    }

    fn recompute(&mut self, now: Instant, service: &str, input: SubsetInput) {
        if let Some(subset) = self.by_service.get_mut(service).filter(|subset| subset.input == input) {
            subset.fleet_generation = self.fleet_generation;
            return;
        }
        let server_ids = self.compute(&input);
        let subset =
            LocalSubset { input, server_ids, fleet_generation: self.fleet_generation, computed_at: now };
        self.by_service.insert(service.to_owned(), subset);
    }

    fn compute(&self, input: &SubsetInput) -> Option<HashSet<String>> {
        let servers: Vec<SubsetServer> = input
            .servers
            .iter()
            .map(|server| SubsetServer { id: &server.id, capacity: server.capacity })
            .collect();
        if subset::size(input.edges.len(), servers.len()) == servers.len() {
            return None;
        }
        let indices = subset::subsets(&input.edges, &servers).remove(&self.node_hash)?;
        Some(indices.into_iter().map(|index| servers[index].id.to_owned()).collect())
    }
}
