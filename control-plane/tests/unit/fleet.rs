//! Snapshots and deltas of the fleet and of the member lists.

use std::net::SocketAddrV4;

use glenfall_control_plane::fleet::{edge_hash, Fleet, MembersUpdate, VersionMismatch, VersionedFleet};
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

fn random_fleet(rng: &mut ChaCha8Rng) -> Fleet {
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
fn applying_each_delta_reproduces_the_publishers_fleet() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut publisher, mut receiver) = (VersionedFleet::default(), VersionedFleet::default());
    receiver.apply_update(publisher.snapshot()).unwrap();
    let mut changes = 0;
    for _ in 0..5000 {
        let next = random_fleet(&mut rng);
        if let Some(update) = publisher.replace(next.clone()) {
            receiver.apply_update(update).unwrap();
            changes += 1;
        }
        assert_eq!(receiver.fleet(), &next);
        assert_eq!(publisher.replace(next), None, "nothing has changed");
    }
    assert!(changes > 4900);
}

#[test]
fn a_delta_with_another_base_version_is_rejected_and_changes_nothing() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let (mut publisher, mut receiver) = (VersionedFleet::default(), VersionedFleet::default());
    let first = publisher.replace(random_fleet(&mut rng)).unwrap();
    let missed = publisher.replace(random_fleet(&mut rng)).unwrap();
    let third = publisher.replace(random_fleet(&mut rng)).unwrap();
    receiver.apply_update(first).unwrap();
    let before = receiver.fleet().clone();
    assert_eq!(
        receiver.apply_update(third.clone()),
        Err(VersionMismatch { base_version: 2, local_version: 1 })
    );
    assert_eq!(receiver.fleet(), &before);
    receiver.apply_update(missed).unwrap();
    receiver.apply_update(third).unwrap();
    assert_eq!(receiver.fleet(), publisher.fleet());
}

#[test]
fn remaining_slow_start_is_sent_with_new_servers_but_alone_causes_no_update() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let warming_up = |left| Server { warmup_left_ms: left, ready: true, ..server(1, &mut rng.clone()) };
    let fleet = |servers| Fleet { servers, ..Fleet::default() };
    let (mut publisher, mut receiver) = (VersionedFleet::default(), VersionedFleet::default());
    receiver.apply_update(publisher.replace(fleet(vec![warming_up(3000)])).unwrap()).unwrap();
    assert_eq!(receiver.fleet().servers[0].warmup_left_ms, 3000);
    assert_eq!(publisher.replace(fleet(vec![warming_up(1000)])), None);
    let next = fleet(vec![warming_up(500), server(2, &mut rng)]);
    receiver.apply_update(publisher.replace(next).unwrap()).unwrap();
    assert_eq!(receiver.fleet().servers.len(), 2);
}

#[test]
fn applying_each_member_delta_reproduces_the_list() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let (mut sent, mut received) = (Vec::new(), vec![member(99, true)]);
    MembersUpdate::snapshot(&sent).apply(&mut received);
    for _ in 0..2000 {
        // A member that moves to another control node has two sessions for a short time, and is listed twice.
        let members = (0..8).map(|_| member(rng.random_range(0..6), rng.random())).collect();
        let next = MembersUpdate::sorted_by_name(members);
        match MembersUpdate::delta(&sent, &next) {
            Some(delta) => delta.apply(&mut received),
            None => assert_eq!(sent, next),
        }
        assert_eq!(received, next);
        sent = next;
    }
}
