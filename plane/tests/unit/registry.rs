//! The registry of servers.

use std::net::SocketAddrV4;

use glenfall_plane::registry::{Entry, EntryStatus, Heard, Registry};
use glenfall_plane::Millis;

fn entry(id: &str, port: u16, status: EntryStatus, call_seq: u64) -> Entry {
    Entry {
        id: id.into(),
        backend: "s".into(),
        addr: SocketAddrV4::new([127, 0, 0, 1].into(), port),
        zone: "z".into(),
        capacity: 4,
        status,
        warmup_left_ms: 3000,
        call_seq,
    }
}

fn ready(registry: &Registry, now: Millis) -> Vec<String> {
    registry.servers(now).into_iter().filter(|server| server.ready).map(|server| server.id).collect()
}

#[test]
fn a_late_beat_does_not_take_back_a_drain_and_nothing_takes_back_a_goodbye() {
    let mut registry = Registry::new(1500);
    assert_eq!(registry.hear(0, 0, entry("a", 1, EntryStatus::Ready, 1)), Heard::Changed);
    assert_eq!(registry.hear(10, 0, entry("a", 1, EntryStatus::Draining, 3)), Heard::Changed);
    assert_eq!(registry.hear(20, 0, entry("a", 1, EntryStatus::Ready, 2)), Heard::Late);
    assert_eq!(ready(&registry, 20), Vec::<String>::new());
    // One that is not known may be on the list of a node that is cut off.
    for id in ["a", "b"] {
        assert_eq!(registry.leave(30, id).map(|entry| entry.status), Some(EntryStatus::Gone));
        assert_eq!(registry.hear(40, 0, entry(id, 1, EntryStatus::Ready, 9)), Heard::Late);
    }
    assert!(registry.servers(40).is_empty());
}

#[test]
fn what_others_were_told_holds_until_the_status_changes() {
    let mut registry = Registry::new(1500);
    registry.hear(0, 0, entry("a", 1, EntryStatus::Draining, 1));
    assert!(!registry.is_spread("a"));
    registry.spread("a", EntryStatus::Draining);
    registry.hear(10, 0, entry("a", 1, EntryStatus::Draining, 2));
    assert!(registry.is_spread("a"));
    // It said goodbye while others were being told that it drains.
    registry.leave(20, "a");
    registry.spread("a", EntryStatus::Draining);
    assert!(!registry.is_spread("a"));
    registry.spread("a", EntryStatus::Gone);
    registry.leave(30, "a");
    assert!(registry.is_spread("a"));
}

#[test]
fn a_new_server_at_an_address_ends_the_one_before() {
    let mut registry = Registry::new(1500);
    registry.hear(0, 0, entry("a", 1, EntryStatus::Ready, 1));
    registry.hear(100, 0, entry("b", 1, EntryStatus::Ready, 1));
    assert_eq!(ready(&registry, 100), ["b"]);
}

#[test]
fn the_silent_are_forgotten_after_some_beats_and_warmth_comes_with_time() {
    let mut registry = Registry::new(1500);
    registry.hear(0, 0, entry("a", 1, EntryStatus::Ready, 1));
    registry.hear(4000, 0, entry("b", 2, EntryStatus::Ready, 1));
    assert_eq!(registry.hear(4000, 500, entry("a", 1, EntryStatus::Ready, 2)), Heard::Alive);
    assert!(!registry.expire(9000));
    let warmup: Vec<u64> = registry.servers(5000).iter().map(|server| server.warmup_left_ms).collect();
    assert_eq!(warmup, [1500, 2000]);
    assert!(registry.expire(9600));
    assert_eq!(ready(&registry, 9600), ["b"]);
}
