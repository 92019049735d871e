//! Subsets of a service's servers: which servers an edge sends its requests to first.
//!
//! If every edge used all servers, the number of connections would grow with edges times servers. With as many edges as
//! servers, an edge would send to a given server so rarely that no connection stays open until the next request.
//! Therefore, each edge uses a *subset* of the servers (Site Reliability Engineering, chapter 20). All edges compute
//! the same subsets from the same fleet, without coordination:
//!
//! - Servers have points on a consistent-hashing ring, in proportion to their capacity. Each edge starts at its own
//!   points and takes the next server along the ring that has a free slot. A server has slots in proportion to its
//!   capacity, so that servers of equal capacity are in about equally many subsets, and every server is in at least
//!   one.
//! - Adding or removing an edge or server changes the subsets near it on the ring, and hardly any others.
//!
//! The size of a subset grows with the ratio of servers to edges, so that each server is used by
//! [`MIN_EDGES_PER_SERVER`] or more edges on average. The different loads of these edges even out. In a small system, a
//! subset contains all servers.

use std::collections::BTreeMap;

use glenfall_balancer::splitmix64;

use crate::fleet::edge_hash;

/// Minimum number of edges that use a server, on average. Clients are not distributed evenly over edges; with eight
/// edges for each server, the loads of the servers differ by a third.
pub const MIN_EDGES_PER_SERVER: usize = 8;
/// Minimum number of servers in a subset: if two fail, there is still a choice of two.
pub const MIN_SUBSET_SIZE: usize = 4;
/// Number of points on the ring for a server with the mean capacity.
const POINTS_PER_SERVER: usize = 32;

/// A server that may be in subsets.
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

/// Computes the subset of each edge, as indexes into `servers`. Edges are identified by their hashes, see
/// [`edge_hash`].
pub fn subsets(edges: &[u64], servers: &[SubsetServer]) -> BTreeMap<u64, Vec<usize>> {
    let size = size(edges.len(), servers.len());
    if size == servers.len() {
        return edges.iter().map(|edge| (*edge, (0..servers.len()).collect())).collect();
    }
    let total_capacity: f64 = servers.iter().map(SubsetServer::capacity).sum();
    let ring = Ring::new(servers, total_capacity);
    let mut free_slots = slots(edges.len() * size, servers, total_capacity);
    let mut edges = edges.to_vec();
    edges.sort_unstable_by_key(|edge| splitmix64(*edge));
    let mut subsets: BTreeMap<u64, Vec<usize>> = edges.iter().map(|edge| (*edge, Vec::new())).collect();
    // In each turn, every edge chooses one server, so that no edge has to take all its servers from the last free
    // slots.
    for turn in 0..size {
        for edge in &edges {
            let Some(subset) = subsets.get_mut(edge) else { continue };
            let start = splitmix64(edge ^ splitmix64(turn as u64 + 1));
            if let Some(server) = ring.choose(start, subset, &free_slots) {
                free_slots[server] = free_slots[server].saturating_sub(1);
                subset.push(server);
            }
        }
    }
    subsets
}

/// Number of slots of each server, which is the number of subsets that it should be in. `total` is the sum over all
/// servers, before rounding.
fn slots(total: usize, servers: &[SubsetServer], total_capacity: f64) -> Vec<usize> {
    let slots = |server: &SubsetServer| {
        let share = total as f64 * server.capacity() / total_capacity;
        share.round().max(1.0) as usize
    };
    servers.iter().map(slots).collect()
}

/// A point of a server on the ring. The order of the fields matters: points are sorted by hash.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    /// Index of the server.
    server: usize,
}

/// Consistent-hashing ring: the points of all servers, sorted.
struct Ring(Vec<Point>);

impl Ring {
    fn new(servers: &[SubsetServer], total_capacity: f64) -> Self {
        let mean_capacity = total_capacity / servers.len() as f64;
        let mut points = Vec::new();
        for (index, server) in servers.iter().enumerate() {
            let count = (POINTS_PER_SERVER as f64 * server.capacity() / mean_capacity).ceil() as u64;
            let server_hash = edge_hash(server.id);
            let hashes = (0..count).map(|point| splitmix64(server_hash ^ splitmix64(point + 1)));
            points.extend(hashes.map(|hash| Point { hash, server: index }));
        }
        points.sort_unstable();
        Ring(points)
    }

    /// The next server from `start` on that is not in the subset and has a free slot. As slots are rounded, there may
    /// be no server with a free slot; then it is the next one that is not in the subset.
    fn choose(&self, start: u64, subset: &[usize], free_slots: &[usize]) -> Option<usize> {
        let first = self.0.partition_point(|point| point.hash < start);
        let (before, after) = self.0.split_at(first);
        let mut candidates =
            after.iter().chain(before).map(|point| point.server).filter(|server| !subset.contains(server));
        let with_free_slot = candidates.clone().find(|server| free_slots[*server] > 0);
        with_free_slot.or_else(|| candidates.next())
    }
}
