//! Beats that are gathered for the peers of a control node.

use std::net::SocketAddrV4;

use glenfall::control::relay::{BeatRelay, MOST};
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

fn told(relay: &BeatRelay, now: u64) -> Vec<(ServerEntry, u64)> {
    match relay.take(now) {
        Some(PeerMessage::Servers(beats)) => {
            beats.into_iter().map(|observed| (observed.entry, observed.age_ms)).collect()
        }
        None => Vec::new(),
        Some(other) => panic!("{other:?} is no list of servers"),
    }
}

#[test]
fn the_last_beat_of_each_server_is_told_once_with_its_age() {
    let relay = BeatRelay::default();
    relay.add(100, entry(1, 7));
    relay.add(150, entry(2, 3));
    relay.add(180, entry(1, 8));
    assert_eq!(told(&relay, 200), [(entry(2, 3), 50), (entry(1, 8), 20)]);
    assert_eq!(told(&relay, 400), []);
}

#[test]
fn beats_that_nobody_is_told_of_are_bounded() {
    let relay = BeatRelay::default();
    (0..MOST + 5).for_each(|number| relay.add(0, entry(number, 1)));
    let beats = told(&relay, 0);
    assert_eq!((beats.len(), &beats[0].0), (MOST, &entry(5, 1)));
}

/// What a server said later may reach a peer before a beat that was gathered.
#[test]
fn a_beat_that_was_gathered_takes_back_nothing_that_was_said_since() {
    let relay = BeatRelay::default();
    let mut peer = Registry::new(500);
    peer.observe(0, 0, entry(1, 1));
    relay.add(10, entry(1, 2));
    let draining = ServerEntry { status: EntryStatus::Draining, ..entry(1, 3) };
    assert_eq!(peer.observe(20, 0, draining.clone()), HeartbeatOutcome::Changed);
    for (beat, age) in told(&relay, 60) {
        assert_eq!(peer.observe(60, age, beat), HeartbeatOutcome::Stale);
    }
    assert_eq!(peer.entry("s1"), Some(&draining));
}
