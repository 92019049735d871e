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
//! A subset grows with the servers for each edge, so that every server serves [`HOLDERS`] edges at least: what
//! one edge has more of than another evens out. In a small system it is all servers.

use std::collections::BTreeMap;

use mallowpaddle::mix;

use crate::fleet::edge_mark;

/// Edges that share a server, at least. Clients don't spread evenly over edges; over eight the difference is a third.
pub const HOLDERS: usize = 8;
/// Servers that a subset has at least: two may fail and there is still a choice.
pub const LEAST: usize = 4;
/// Points on the ring of a server of the usual capacity.
const POINTS: usize = 32;

/// How many servers each edge has.
pub fn size(edges: usize, servers: usize) -> usize {
    (HOLDERS * servers).div_ceil(edges.max(1)).max(LEAST).min(servers)
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
        let mark = edge_mark(id);
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

#[cfg(test)]
mod tests {
    use super::*;

    fn edges(count: usize) -> Vec<u64> {
        (0..count).map(|n| edge_mark(&format!("edge-{n}"))).collect()
    }

    fn names(count: usize) -> Vec<String> {
        (0..count).map(|n| format!("i-{n}")).collect()
    }

    fn subsets_of(edges: &[u64], names: &[String]) -> BTreeMap<u64, Vec<String>> {
        let servers: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 2)).collect();
        let named = |subset: Vec<usize>| subset.into_iter().map(|at| names[at].clone()).collect();
        subsets(edges, &servers).into_iter().map(|(edge, subset)| (edge, named(subset))).collect()
    }

    fn holders(subsets: &BTreeMap<u64, Vec<String>>, name: &str) -> usize {
        subsets.values().filter(|subset| subset.iter().any(|server| server == name)).count()
    }

    #[test]
    fn every_server_is_in_about_equally_many_subsets_and_every_edge_has_a_whole_one() {
        for (edge_count, server_count) in [(90, 49), (62, 25), (900, 510), (10, 100), (1000, 10), (7, 6)] {
            let names = names(server_count);
            let subsets = subsets_of(&edges(edge_count), &names);
            let size = size(edge_count, server_count);
            let mean = (edge_count * size) as f64 / server_count as f64;
            assert!(mean >= HOLDERS.min(edge_count) as f64 || size == server_count);
            for subset in subsets.values() {
                let mut sorted = subset.clone();
                sorted.sort();
                sorted.dedup();
                assert_eq!(sorted.len(), size, "{edge_count} edges, {server_count} servers");
            }
            for name in &names {
                let holders = holders(&subsets, name) as f64;
                let bounds = (mean * 0.4).floor()..=(mean * 1.2).ceil();
                assert!(bounds.contains(&holders), "{edge_count} x {server_count}: {holders} of {mean}");
            }
        }
    }

    #[test]
    fn a_server_with_twice_the_capacity_is_in_about_twice_as_many() {
        let names = names(40);
        let servers: Vec<(&str, u32)> =
            names.iter().enumerate().map(|(n, name)| (name.as_str(), if n < 20 { 4 } else { 2 })).collect();
        let subsets = subsets(&edges(90), &servers);
        let places = |at: std::ops::Range<usize>| {
            subsets.values().flatten().filter(|place| at.contains(place)).count() as f64
        };
        let times = places(0..20) / places(20..40);
        assert!((1.7..2.4).contains(&times), "{times}");
    }

    #[test]
    fn whoever_comes_or_goes_changes_few_subsets() {
        let (edges, names) = (edges(90), names(49));
        let before = subsets_of(&edges, &names);
        let places: usize = before.values().map(Vec::len).sum();
        let moved = |after: &BTreeMap<u64, Vec<String>>| {
            let stays = |edge: &u64, server: &String| after.get(edge).is_some_and(|s| s.contains(server));
            let gone =
                before.iter().flat_map(|(edge, subset)| subset.iter().filter(move |s| !stays(edge, s)));
            gone.count() as f64 / places as f64
        };
        let (mut by_server, mut by_edge) = (Vec::new(), Vec::new());
        for at in 0..20 {
            let mut fewer = names.clone();
            fewer.remove(at);
            by_server.push(moved(&subsets_of(&edges, &fewer)));
            let mut fewer = edges.clone();
            fewer.remove(at);
            by_edge.push(moved(&subsets_of(&fewer, &names)));
        }
        // One of 49 servers has a forty-ninth of all places, one of 90 edges a ninetieth.
        let mean = |parts: &[f64]| parts.iter().sum::<f64>() / parts.len() as f64;
        assert!(mean(&by_server) < 0.15, "{by_server:?}");
        assert!(mean(&by_edge) < 0.10, "{by_edge:?}");
    }
}
