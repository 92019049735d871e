//! Subsets of a service's servers: which servers an edge sends its requests to first.
//!
//! With as many edges as servers, and each edge using all servers, an edge sends to a given server so seldom that no
//! connection stays open from one request to the next: connections, and the connections that a server has to accept, grow
//! with edges times servers. So each edge has a *subset* of the servers (SRE, chapter 20). All edges compute the same
//! subsets from the same fleet, without coordination:
//!
//! - Servers have points on a consistent-hashing ring, in proportion to their capacity. Each edge starts at points of its
//!   own and takes the next server along the ring with a free slot. A server has slots in proportion to its capacity, so
//!   that every server is in about equally many subsets, and none is in no subset.
//! - An edge or server that is added or removed changes the subsets near it on the ring, and hardly any others.
//!
//! The size of a subset grows with the number of servers for each edge, so that every server is used by at least
//! [`MIN_EDGES_PER_SERVER`] edges, whose different loads even out. In a small system a subset has all servers.

use std::collections::BTreeMap;

use glenfall_balancer::mix;

use crate::fleet::edge_hash;

/// Edges that use a server, at least. Clients are not spread evenly over edges; with eight edges the difference in load
/// between servers is a third.
pub const MIN_EDGES_PER_SERVER: usize = 8;
/// Servers in a subset, at least: two may fail, and there is still a choice of two.
pub const MIN_SUBSET_SIZE: usize = 4;
/// Points on the ring of a server with the mean capacity.
const POINTS_PER_SERVER: usize = 32;

/// A server of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetServer<'a> {
    /// Id of the server.
    pub id: &'a str,
    /// Number of requests that the server processes concurrently; 0 counts as 1.
    pub capacity: u32,
}

impl SubsetServer<'_> {
    fn capacity(&self) -> f64 {
        f64::from(self.capacity.max(1))
    }
}

/// Number of servers in the subset of each edge.
pub fn size(edges: usize, servers: usize) -> usize {
    (MIN_EDGES_PER_SERVER * servers).div_ceil(edges.max(1)).max(MIN_SUBSET_SIZE).min(servers)
}

/// The subset of each edge, as indexes into `servers`. Edges are identified by their hashes, see [`edge_hash`].
pub fn subsets(edges: &[u64], servers: &[SubsetServer]) -> BTreeMap<u64, Vec<usize>> {
    let size = size(edges.len(), servers.len());
    if size == servers.len() {
        return edges.iter().map(|edge| (*edge, (0..servers.len()).collect())).collect();
    }
    let total_capacity: f64 = servers.iter().map(SubsetServer::capacity).sum();
    let ring = Ring::new(servers, total_capacity);
    let mut free_slots = slots(edges.len() * size, servers, total_capacity);
    let mut edges = edges.to_vec();
    edges.sort_unstable_by_key(|edge| mix(*edge));
    let mut subsets: BTreeMap<u64, Vec<usize>> = edges.iter().map(|edge| (*edge, Vec::new())).collect();
    // Edges choose one server each in turn, so that no edge is left with the servers that all others have rejected.
    for turn in 0..size {
        for edge in &edges {
            let Some(subset) = subsets.get_mut(edge) else { continue };
            let start = mix(edge ^ mix(turn as u64 + 1));
            if let Some(server) = ring.choose(start, subset, &free_slots) {
                free_slots[server] = free_slots[server].saturating_sub(1);
                subset.push(server);
            }
        }
    }
    subsets
}

/// Slots of each server: how many subsets it may be in, of `total` in all.
fn slots(total: usize, servers: &[SubsetServer], total_capacity: f64) -> Vec<usize> {
    let slots = |server: &SubsetServer| {
        let share = total as f64 * server.capacity() / total_capacity;
        share.round().max(1.0) as usize
    };
    servers.iter().map(slots).collect()
}

/// A point of a server on the ring. Points are ordered by hash first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    /// Index of the server.
    server: usize,
}

/// The points of all servers, sorted.
struct Ring(Vec<Point>);

impl Ring {
    fn new(servers: &[SubsetServer], total_capacity: f64) -> Self {
        let mean_capacity = total_capacity / servers.len() as f64;
        let mut points = Vec::new();
        for (index, server) in servers.iter().enumerate() {
            let count = (POINTS_PER_SERVER as f64 * server.capacity() / mean_capacity).ceil() as u64;
            let server_hash = edge_hash(server.id);
            let hashes = (0..count).map(|point| mix(server_hash ^ mix(point + 1)));
            points.extend(hashes.map(|hash| Point { hash, server: index }));
        }
        points.sort_unstable();
        Ring(points)
    }

    /// The next server from `start` on that is not in the subset and has a free slot. Slots are rounded: where no server
    /// has a free slot, the next one that is not in the subset.
    fn choose(&self, start: u64, subset: &[usize], free_slots: &[usize]) -> Option<usize> {
        let first = self.0.partition_point(|point| point.hash < start);
        let (before, after) = self.0.split_at(first);
        let mut candidates =
            after.iter().chain(before).map(|point| point.server).filter(|server| !subset.contains(server));
        let with_free_slot = candidates.clone().find(|server| free_slots[*server] > 0);
        with_free_slot.or_else(|| candidates.next())
    }
}
