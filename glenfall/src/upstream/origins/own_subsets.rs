//! This machine's subset of the servers of each service. It is worked out when a request asks for it, and not anew with
//! each change of the fleet: with thousands of servers that would take all of the processor while they start. An old
//! subset costs a few connections; whether a server takes requests does not go by it.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::subset;
use tokio::time::Instant;

/// A subset is worked out anew this long after the last time at the earliest.
const LEAST_GAP: Duration = Duration::from_secs(1);

/// What a subset follows from: the edges, and the names and capacities of the service's servers.
#[derive(PartialEq, Eq)]
struct Basis {
    edges: Rc<[u64]>,
    servers: Vec<(String, u32)>,
}

struct OwnSubset {
    basis: Basis,
    /// `None`: any server. Control has not heard of this machine yet, or all are in each subset.
    servers: Option<HashSet<String>>,
    /// The fleet that it was last compared with.
    fleet: u64,
    divided: Instant,
}

/// The subsets of this machine, by service.
pub struct OwnSubsets {
    /// What this machine is among the edges.
    mark: u64,
    edges: Rc<[u64]>,
    /// Counts the fleets that were told.
    fleet: u64,
    by_service: HashMap<String, OwnSubset>,
}

impl OwnSubsets {
    pub fn new(mark: u64) -> Self {
        OwnSubsets { mark, edges: Rc::default(), fleet: 0, by_service: HashMap::new() }
    }

    /// Servers or edges may be others now.
    pub fn changed(&mut self, edges: &[u64]) {
        if *self.edges != *edges {
            self.edges = edges.into();
        }
        self.fleet += 1;
    }

    /// This machine's servers of a service, `None` for any of them. `servers` gives those that take requests, and is
    /// asked only where it may matter.
    pub fn of(
        &mut self,
        now: Instant,
        service: &str,
        servers: impl FnOnce() -> Vec<(String, u32)>,
    ) -> Option<&HashSet<String>> {
        let known = self.by_service.get(service);
        let is_due = known.is_none_or(|own| {
            own.fleet != self.fleet && now.saturating_duration_since(own.divided) >= LEAST_GAP
        });
        if is_due {
            let basis = Basis { edges: Rc::clone(&self.edges), servers: servers() };
            self.divide(now, service, basis);
        }
        self.by_service.get(service)?.servers.as_ref()
    }

    fn divide(&mut self, now: Instant, service: &str, basis: Basis) {
        if let Some(own) = self.by_service.get_mut(service).filter(|own| own.basis == basis) {
            own.fleet = self.fleet;
            return;
        }
        let servers = self.subset(&basis);
        let own = OwnSubset { basis, servers, fleet: self.fleet, divided: now };
        self.by_service.insert(service.to_owned(), own);
    }

    fn subset(&self, basis: &Basis) -> Option<HashSet<String>> {
        let servers: Vec<(&str, u32)> = basis.servers.iter().map(|(id, places)| (&id[..], *places)).collect();
        if subset::size(basis.edges.len(), servers.len()) == servers.len() {
            return None;
        }
        let own = subset::subsets(&basis.edges, &servers).remove(&self.mark)?;
        Some(own.into_iter().map(|at| servers[at].0.to_owned()).collect())
    }
}
