//! Which servers of a service an edge goes to first.
//!
//! With as many edges as servers, and each edge at all servers, a pair meets so seldom that no connection lives from
//! one request to the next: connections grow with edges x servers, and so does what a server has to accept. So each
//! edge has a *subset*. All edges work out the same subsets from the same list, without a word between them:
//!
//! - Servers have points on a ring, by their capacity. Each edge begins at points of its own and takes the next
//!   servers along the ring that have room; a server has room for its part of all places. So every server is in about
//!   equally many subsets, and none goes without.
//! - Whoever comes or goes changes the subsets near it on the ring, and hardly any others.
//!
//! A subset grows with the servers for each edge, so that every server serves [`MIN_EDGES_PER_SERVER`] edges at least: what
//! one edge has more of than another evens out. In a small system it is all servers.

use std::collections::BTreeMap;

use glenfall_balancer::mix;

use crate::fleet::edge_hash;

/// Edges that share a server, at least. Clients don't spread evenly over edges; over eight the difference is a third.
pub const MIN_EDGES_PER_SERVER: usize = 8;
/// Servers that a subset has at least: two may fail and there is still a choice.
pub const MIN_SUBSET_SIZE: usize = 4;
/// Points on the ring of a server of the usual capacity.
const POINTS: usize = 32;

/// How many servers each edge has.
pub fn size(edges: usize, servers: usize) -> usize {
    (MIN_EDGES_PER_SERVER * servers).div_ceil(edges.max(1)).max(MIN_SUBSET_SIZE).min(servers)
}

/// The subset of each edge: places in `servers`, which holds names and capacities. Edges are given by their marks.
pub fn subsets(edges: &[u64], servers: &[(&str, u32)]) -> BTreeMap<u64, Vec<usize>> {
    let size = size(edges.len(), servers.len());
    if size == servers.len() {
        return edges.iter().map(|edge| (*edge, (0..servers.len()).collect())).collect();
    }
    let all: f64 = servers.iter().map(|(_, capacity)| f64::from((*capacity).max(1))).sum();
    let usual = all / servers.len() as f64;
    let places = (edges.len() * size) as f64;
    let mut ring = Vec::new();
    let mut room = Vec::new();
    for (at, (id, capacity)) in servers.iter().enumerate() {
        let capacity = f64::from((*capacity).max(1));
        room.push((places * capacity / all).round().max(1.0) as usize);
        let points = (POINTS as f64 * capacity / usual).ceil() as usize;
        let mark = edge_hash(id);
        ring.extend((0..points).map(|point| (mix(mark ^ mix(point as u64 + 1)), at)));
    }
    ring.sort_unstable();
    let mut edges = edges.to_vec();
    edges.sort_unstable_by_key(|edge| mix(*edge));
    let mut subsets: BTreeMap<u64, Vec<usize>> = edges.iter().map(|edge| (*edge, Vec::new())).collect();
    // One place after the other, so that no edge finds only what all others have left.
    for turn in 0..size {
        for edge in &edges {
            let Some(subset) = subsets.get_mut(edge) else { continue };
            let begin = mix(edge ^ mix(turn as u64 + 1));
            let begin = ring.partition_point(|(point, _)| *point < begin);
            let mut along = ring[begin..].iter().chain(&ring[..begin]).map(|(_, at)| *at);
            // Rooms are whole numbers: where all are full, one place more at any of them.
            let next = along.clone().find(|at| room[*at] > 0 && !subset.contains(at));
            if let Some(at) = next.or_else(|| along.find(|at| !subset.contains(at))) {
                room[at] = room[at].saturating_sub(1);
                subset.push(at);
            }
        }
    }
    subsets
}
