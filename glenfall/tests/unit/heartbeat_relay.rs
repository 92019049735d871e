//! Heartbeats that a control node collects for its peers.

use std::net::SocketAddrV4;

use glenfall::control::heartbeat_relay::{HeartbeatRelay, MAX_PENDING_HEARTBEATS};
use glenfall_control_plane::messages::PeerMessage;
use glenfall_control_plane::registry::{EntryStatus, HeartbeatOutcome, Registry, ServerEntry};

fn entry(number: usize, call_seq: u64) -> ServerEntry {
    ServerEntry {
        id: format!("s{number}"),
        backend: "b".into(),
        addr: SocketAddrV4::new([127, 0, 0, 1].into(), number as u16 + 1),
        zone: "z".into(),
        capacity: 1,
        status: EntryStatus::Ready,
        warmup_left_ms: 0,
        call_seq,
    }
}

fn take_entries(relay: &HeartbeatRelay, now: u64) -> Vec<(ServerEntry, u64)> {
    match relay.take(now) {
        Some(PeerMessage::Servers(servers)) => {
            servers.into_iter().map(|server| (server.entry, server.age_ms)).collect()
        }
        None => Vec::new(),
        Some(other) => panic!("{other:?} does not carry server entries"),
    }
}

#[test]
fn the_latest_heartbeat_of_each_server_is_sent_once_with_its_age() {
    let relay = HeartbeatRelay::default();
    relay.add(100, entry(1, 7));
    relay.add(150, entry(2, 3));
    relay.add(180, entry(1, 8));
    assert_eq!(take_entries(&relay, 200), [(entry(2, 3), 50), (entry(1, 8), 20)]);
    assert_eq!(take_entries(&relay, 400), []);
}

#[test]
fn pending_heartbeats_are_bounded() {
    let relay = HeartbeatRelay::default();
    (0..MAX_PENDING_HEARTBEATS + 5).for_each(|number| relay.add(0, entry(number, 1)));
    let heartbeats = take_entries(&relay, 0);
    assert_eq!((heartbeats.len(), &heartbeats[0].0), (MAX_PENDING_HEARTBEATS, &entry(5, 1)));
}

/// A later status of a server may reach a peer before a heartbeat that was pending.
#[test]
fn a_pending_heartbeat_overwrites_no_later_status() {
    let relay = HeartbeatRelay::default();
    let mut peer = Registry::new(500);
    peer.observe(0, 0, entry(1, 1));
    relay.add(10, entry(1, 2));
    let draining = ServerEntry { status: EntryStatus::Draining, ..entry(1, 3) };
    assert_eq!(peer.observe(20, 0, draining.clone()), HeartbeatOutcome::Changed);
    for (heartbeat, age) in take_entries(&relay, 60) {
        assert_eq!(peer.observe(60, age, heartbeat), HeartbeatOutcome::Stale);
    }
    assert_eq!(peer.entry("s1"), Some(&draining));
}
