//! The fleet on its way from control to the proxy.

use glenfall_control_plane::fleet::{Fleet, FleetUpdate, VersionedFleet};
use glenfall_control_plane::known_fleet::KnownFleet;
use glenfall_control_plane::messages::Server;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support;

fn server(id: &str, port: u16, ready: bool) -> Server {
    Server { ready, ..support::server(id, port) }
}

fn fleet(complete: bool, servers: Vec<Server>) -> Fleet {
    Fleet { complete, servers, shields: Vec::new(), edges: vec![1], cores: 1 }
}

#[test]
fn a_control_node_that_has_just_started_takes_nobody_off() {
    let known = fleet(true, vec![server("a", 1, true), server("b", 2, true), server("c", 3, true)]);
    // `b` drains, and a new server has the address of `c`.
    let new = fleet(false, vec![server("b", 2, false), server("d", 3, true)]);
    let merged_ids = |new| {
        let (mut relayed, mut proxy) = (KnownFleet::default(), VersionedFleet::default());
        for fleet in [known.clone(), new] {
            let told =
                relayed.apply_update(FleetUpdate::Snapshot { version: 1, fleet }).unwrap().expect("a change");
            proxy.apply_update(told).unwrap();
        }
        let servers = proxy.fleet().servers.iter();
        servers.map(|server| (server.id.clone(), server.ready)).collect::<Vec<_>>()
    };
    let told = |id: &str, ready| (id.to_owned(), ready);
    assert_eq!(merged_ids(new.clone()), [told("a", true), told("b", false), told("d", true)]);
    assert_eq!(merged_ids(Fleet { complete: true, ..new }), [told("b", false), told("d", true)]);
}

#[test]
fn the_proxy_is_told_all_once_and_then_what_changes() {
    let mut control = VersionedFleet::default();
    let mut relayed = KnownFleet::default();
    let mut proxy = VersionedFleet::default();
    control.advance_to(fleet(true, vec![server("a", 1, true), server("b", 2, true)]));
    let first = relayed.apply_update(control.snapshot()).unwrap().expect("all of it");
    assert!(matches!(first, FleetUpdate::Snapshot { .. }));
    proxy.apply_update(first).unwrap();
    let told = control.advance_to(fleet(true, vec![server("b", 2, false), server("c", 3, true)])).unwrap();
    proxy.apply_update(relayed.apply_update(told).unwrap().expect("a change")).unwrap();
    assert_eq!(proxy.fleet(), control.fleet());
    // Another control node, which has just started and counts from the beginning, tells nothing new.
    let mut other = VersionedFleet::default();
    other.advance_to(fleet(false, vec![server("c", 3, true)]));
    let told = relayed.apply_update(other.snapshot()).unwrap().expect("it is not complete");
    proxy.apply_update(told).unwrap();
    let ids: Vec<_> = proxy.fleet().servers.iter().map(|server| &server.id[..]).collect();
    assert_eq!((ids, proxy.fleet().complete), (vec!["b", "c"], false));
    // What builds on what the first one told is turned away.
    let late = control.advance_to(fleet(true, Vec::new())).unwrap();
    assert!(relayed.apply_update(late).is_err());
}

/// A control node's fleet after something has happened to it.
fn altered(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Fleet {
    let mut next = fleet.clone();
    for _ in 0..rng.random_range(1..4) {
        let number = rng.random_range(0..12);
        match rng.random_range(0..6) {
            0 | 1 => {
                next.servers.insert(0, server(&format!("i-{number}"), 1 + number / 2, rng.random_bool(0.8)));
            }
            2 => next.servers.retain(|server| server.id != format!("i-{number}")),
            3 => next.edges.push(u64::from(number)),
            4 => next.edges.retain(|edge| *edge != u64::from(number)),
            _ => next.complete |= rng.random_bool(0.2),
        }
    }
    next.sort();
    next
}

/// What is relayed change by change is what follows from being told all each time, whichever control node tells it.
#[test]
fn a_relayed_change_comes_to_the_same_as_being_told_all() {
    for seed in 0..2000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut by_changes, mut by_wholes) = (KnownFleet::default(), KnownFleet::default());
        let (mut proxy, mut reference) = (VersionedFleet::default(), VersionedFleet::default());
        let mut controls = [VersionedFleet::default(), VersionedFleet::default()];
        for control in &mut controls {
            control.advance_to(altered(&fleet(false, Vec::new()), &mut rng));
        }
        let mut at = usize::MAX;
        for step in 0..30 {
            let told = if at == usize::MAX || rng.random_bool(0.1) {
                at = *[0, 1].choose(&mut rng).expect("two");
                Some(controls[at].snapshot())
            } else {
                let next = altered(controls[at].fleet(), &mut rng);
                controls[at].advance_to(next)
            };
            let Some(told) = told else { continue };
            if let Some(told) = by_changes.apply_update(told).expect("it builds on what is there") {
                proxy.apply_update(told).expect("it builds on what is there");
            }
            if let Some(told) = by_wholes.apply_update(controls[at].snapshot()).expect("all of it") {
                reference.apply_update(told).expect("it builds on what is there");
            }
            assert_eq!(proxy.fleet(), reference.fleet(), "seed {seed}, step {step}");
        }
    }
}
