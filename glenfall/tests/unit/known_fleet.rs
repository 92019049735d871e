//! How an agent merges the fleets that control nodes publish, and relays the result to its proxies.

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

/// A control node that has just started does not know all servers yet, and marks its fleet as incomplete.
#[test]
fn only_a_complete_fleet_removes_known_servers() {
    let previous = fleet(true, vec![server("a", 1, true), server("b", 2, true), server("c", 3, true)]);
    // In the new fleet `a` is missing, `b` drains, and another server has the address of `c`.
    let new = fleet(false, vec![server("b", 2, false), server("d", 3, true)]);
    let merged_ids = |new| {
        let (mut known_fleet, mut proxy) = (KnownFleet::default(), VersionedFleet::default());
        for fleet in [previous.clone(), new] {
            let update = known_fleet
                .apply_update(FleetUpdate::Snapshot { version: 1, fleet })
                .unwrap()
                .expect("a change");
            proxy.apply_update(update).unwrap();
        }
        let servers = proxy.fleet().servers.iter();
        servers.map(|server| (server.id.clone(), server.ready)).collect::<Vec<_>>()
    };
    let server_state = |id: &str, ready| (id.to_owned(), ready);
    assert_eq!(
        merged_ids(new.clone()),
        [server_state("a", true), server_state("b", false), server_state("d", true)]
    );
    assert_eq!(
        merged_ids(Fleet { complete: true, ..new }),
        [server_state("b", false), server_state("d", true)]
    );
}

#[test]
fn a_proxy_receives_one_snapshot_and_then_deltas() {
    let mut control = VersionedFleet::default();
    let mut known_fleet = KnownFleet::default();
    let mut proxy = VersionedFleet::default();
    control.replace(fleet(true, vec![server("a", 1, true), server("b", 2, true)]));
    let first = known_fleet.apply_update(control.snapshot()).unwrap().expect("a snapshot");
    assert!(matches!(first, FleetUpdate::Snapshot { .. }));
    proxy.apply_update(first).unwrap();
    let update = control.replace(fleet(true, vec![server("b", 2, false), server("c", 3, true)])).unwrap();
    proxy.apply_update(known_fleet.apply_update(update).unwrap().expect("a change")).unwrap();
    assert_eq!(proxy.fleet(), control.fleet());
    // The fleet of another control node, which has just started and counts its versions from 1, adds and removes
    // nothing: only its incompleteness is passed on.
    let mut other = VersionedFleet::default();
    other.replace(fleet(false, vec![server("c", 3, true)]));
    let update = known_fleet.apply_update(other.snapshot()).unwrap().expect("it is not complete");
    proxy.apply_update(update).unwrap();
    let ids: Vec<_> = proxy.fleet().servers.iter().map(|server| &server.id[..]).collect();
    assert_eq!((ids, proxy.fleet().complete), (vec!["b", "c"], false));
    // A delta that builds on a version of the first control node is rejected.
    let stale_delta = control.replace(fleet(true, Vec::new())).unwrap();
    assert!(known_fleet.apply_update(stale_delta).is_err());
}

/// The fleet of a control node after one to three random changes.
fn apply_random_changes(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Fleet {
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

/// The fleet that a proxy builds from deltas equals the one that it builds from a snapshot at each step, also when the
/// agent switches between control nodes.
#[test]
fn relayed_deltas_give_the_same_fleet_as_snapshots() {
    for seed in 0..2000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut from_deltas, mut from_snapshots) = (KnownFleet::default(), KnownFleet::default());
        let (mut proxy, mut reference) = (VersionedFleet::default(), VersionedFleet::default());
        let mut controls = [VersionedFleet::default(), VersionedFleet::default()];
        for control in &mut controls {
            control.replace(apply_random_changes(&fleet(false, Vec::new()), &mut rng));
        }
        let mut connected = usize::MAX;
        for step in 0..30 {
            let update = if connected == usize::MAX || rng.random_bool(0.1) {
                connected = *[0, 1].choose(&mut rng).expect("two");
                Some(controls[connected].snapshot())
            } else {
                let next = apply_random_changes(controls[connected].fleet(), &mut rng);
                controls[connected].replace(next)
            };
            let Some(update) = update else { continue };
            if let Some(update) = from_deltas.apply_update(update).expect("it builds on the previous version")
            {
                proxy.apply_update(update).expect("it builds on the previous version");
            }
            if let Some(update) =
                from_snapshots.apply_update(controls[connected].snapshot()).expect("a snapshot")
            {
                reference.apply_update(update).expect("it builds on the previous version");
            }
            assert_eq!(proxy.fleet(), reference.fleet(), "seed {seed}, step {step}");
        }
    }
}
