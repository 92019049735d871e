//! Subsets of servers, one for each edge.

use std::collections::BTreeMap;

use glenfall_control_plane::fleet::edge_hash;
use glenfall_control_plane::subset::{size, subsets, SubsetServer, MIN_EDGES_PER_SERVER};

fn edges(count: usize) -> Vec<u64> {
    (0..count).map(|number| edge_hash(&format!("edge-{number}"))).collect()
}

fn server_ids(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("i-{number}")).collect()
}

fn subsets_of(edges: &[u64], server_ids: &[String]) -> BTreeMap<u64, Vec<String>> {
    let servers: Vec<SubsetServer> = server_ids.iter().map(|id| SubsetServer { id, capacity: 2 }).collect();
    let ids_of = |subset: Vec<usize>| subset.into_iter().map(|index| server_ids[index].clone()).collect();
    subsets(edges, &servers).into_iter().map(|(edge, subset)| (edge, ids_of(subset))).collect()
}

fn subset_count(subsets: &BTreeMap<u64, Vec<String>>, id: &str) -> usize {
    subsets.values().filter(|subset| subset.iter().any(|server| server == id)).count()
}

#[test]
fn every_server_is_in_about_equally_many_subsets_and_every_edge_has_a_full_one() {
    for (edge_count, server_count) in [(90, 49), (62, 25), (900, 510), (10, 100), (1000, 10), (7, 6)] {
        let server_ids = server_ids(server_count);
        let subsets = subsets_of(&edges(edge_count), &server_ids);
        let size = size(edge_count, server_count);
        let mean = (edge_count * size) as f64 / server_count as f64;
        assert!(mean >= MIN_EDGES_PER_SERVER.min(edge_count) as f64 || size == server_count);
        for subset in subsets.values() {
            let mut sorted = subset.clone();
            sorted.sort();
            sorted.dedup();
            assert_eq!(sorted.len(), size, "{edge_count} edges, {server_count} servers");
        }
        for id in &server_ids {
            let subset_count = subset_count(&subsets, id) as f64;
            let bounds = (mean * 0.4).floor()..=(mean * 1.2).ceil();
            assert!(
                bounds.contains(&subset_count),
                "{edge_count} x {server_count}: {subset_count} of {mean}"
            );
        }
    }
}

#[test]
fn a_server_with_twice_the_capacity_is_in_about_twice_as_many_subsets() {
    let server_ids = server_ids(40);
    let mut servers: Vec<SubsetServer> =
        server_ids.iter().map(|id| SubsetServer { id, capacity: 2 }).collect();
    servers[..20].iter_mut().for_each(|server| server.capacity = 4);
    let subsets = subsets(&edges(90), &servers);
    let slots_of = |servers: std::ops::Range<usize>| {
        subsets.values().flatten().filter(|server| servers.contains(server)).count() as f64
    };
    let ratio = slots_of(0..20) / slots_of(20..40);
    assert!((1.7..2.4).contains(&ratio), "{ratio}");
}

#[test]
fn a_server_or_edge_that_is_removed_changes_few_subsets() {
    let (edges, server_ids) = (edges(90), server_ids(49));
    let before = subsets_of(&edges, &server_ids);
    let total_slots: usize = before.values().map(Vec::len).sum();
    let moved_share = |after: &BTreeMap<u64, Vec<String>>| {
        let stays =
            |edge: &u64, server: &String| after.get(edge).is_some_and(|subset| subset.contains(server));
        let removed =
            before.iter().flat_map(|(edge, subset)| subset.iter().filter(move |server| !stays(edge, server)));
        removed.count() as f64 / total_slots as f64
    };
    let (mut by_server, mut by_edge) = (Vec::new(), Vec::new());
    for index in 0..20 {
        let mut fewer = server_ids.clone();
        fewer.remove(index);
        by_server.push(moved_share(&subsets_of(&edges, &fewer)));
        let mut fewer = edges.clone();
        fewer.remove(index);
        by_edge.push(moved_share(&subsets_of(&fewer, &server_ids)));
    }
    // For comparison: one of 49 servers has 1/49 of all slots, and one of 90 edges has 1/90.
    let mean = |shares: &[f64]| shares.iter().sum::<f64>() / shares.len() as f64;
    assert!(mean(&by_server) < 0.15, "{by_server:?}");
    assert!(mean(&by_edge) < 0.10, "{by_edge:?}");
}
