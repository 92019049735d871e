//! Fleets and members, told by what has changed.

use std::net::SocketAddrV4;

use glenfall_control_plane::fleet::{edge_hash, Fleet, Gap, MembersUpdate, VersionedFleet};
use glenfall_control_plane::messages::{Member, ProxyRole, Server};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn server(n: u16, rng: &mut ChaCha8Rng) -> Server {
    Server {
        id: format!("s{n}"),
        backend: "b".into(),
        addr: SocketAddrV4::new([127, 0, 0, 1].into(), n),
        zone: "z".into(),
        capacity: rng.random_range(1..3),
        ready: rng.random(),
        warmup_left_ms: 0,
    }
}

fn member(n: u16, ready: bool) -> Member {
    let http = SocketAddrV4::new([127, 0, 0, 1].into(), n);
    Member { node: format!("m{n}"), zone: "z".into(), proxy: ProxyRole::Shield, http, ready, incarnation: 1 }
}

fn drawn(rng: &mut ChaCha8Rng) -> Fleet {
    let mut fleet = Fleet { complete: rng.random(), cores: rng.random_range(3..5), ..Fleet::default() };
    for n in 0..8 {
        if rng.random() {
            fleet.servers.push(server(n, rng));
        }
        if rng.random() {
            fleet.shields.push(member(n, rng.random()));
        }
        if rng.random() {
            fleet.edges.push(edge_hash(&format!("e{n}")));
        }
    }
    fleet.sort();
    fleet
}

#[test]
fn changes_make_the_fleet_that_was_meant_whatever_it_is() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut here, mut there) = (VersionedFleet::default(), VersionedFleet::default());
    there.apply_update(here.snapshot()).unwrap();
    let mut changes = 0;
    for _ in 0..5000 {
        let next = drawn(&mut rng);
        if let Some(told) = here.advance_to(next.clone()) {
            there.apply_update(told).unwrap();
            changes += 1;
        }
        assert_eq!(there.fleet(), &next);
        assert_eq!(here.advance_to(next), None, "nothing has changed");
    }
    assert!(changes > 4900);
}

#[test]
fn a_change_that_builds_on_another_fleet_is_turned_away_and_changes_nothing() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let (mut here, mut there) = (VersionedFleet::default(), VersionedFleet::default());
    let first = here.advance_to(drawn(&mut rng)).unwrap();
    let missed = here.advance_to(drawn(&mut rng)).unwrap();
    let third = here.advance_to(drawn(&mut rng)).unwrap();
    there.apply_update(first).unwrap();
    let before = there.fleet().clone();
    assert_eq!(there.apply_update(third.clone()), Err(Gap { expected: 2, here: 1 }));
    assert_eq!(there.fleet(), &before);
    there.apply_update(missed).unwrap();
    there.apply_update(third).unwrap();
    assert_eq!(there.fleet(), here.fleet());
}

#[test]
fn warmth_that_passes_is_no_change_and_comes_with_a_server() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let cold = |left| Server { warmup_left_ms: left, ready: true, ..server(1, &mut rng.clone()) };
    let fleet = |servers| Fleet { servers, ..Fleet::default() };
    let (mut here, mut there) = (VersionedFleet::default(), VersionedFleet::default());
    there.apply_update(here.advance_to(fleet(vec![cold(3000)])).unwrap()).unwrap();
    assert_eq!(there.fleet().servers[0].warmup_left_ms, 3000);
    assert_eq!(here.advance_to(fleet(vec![cold(1000)])), None);
    let next = fleet(vec![cold(500), server(2, &mut rng)]);
    there.apply_update(here.advance_to(next).unwrap()).unwrap();
    assert_eq!(there.fleet().servers.len(), 2);
}

#[test]
fn members_are_told_by_what_has_changed() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let (mut told, mut known) = (Vec::new(), vec![member(99, true)]);
    MembersUpdate::snapshot(&told).apply(&mut known);
    for _ in 0..2000 {
        // One that moves has two sessions for a moment.
        let drawn = (0..8).map(|_| member(rng.random_range(0..6), rng.random())).collect();
        let next = MembersUpdate::listed(drawn);
        match MembersUpdate::delta(&told, &next) {
            Some(change) => change.apply(&mut known),
            None => assert_eq!(told, next),
        }
        assert_eq!(known, next);
        told = next;
    }
}
