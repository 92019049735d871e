//! What a control node that was out of touch brings back of servers does no harm: its list may be old, and so may the
//! calls that it finds waiting when it wakes.

use std::net::SocketAddrV4;

use glenfall_plane::chain::{Beat, Chain, Durable, Members, Message, NodeId, Start, Terms};
use glenfall_plane::registry::{Entry, EntryStatus, Heard, Registry};

const BEAT: u64 = 1500;

fn entry(id: &str, port: u16, status: EntryStatus, call_seq: u64) -> Entry {
    Entry {
        id: id.into(),
        backend: "s".into(),
        addr: SocketAddrV4::new([10, 0, 0, 1].into(), port),
        zone: "z".into(),
        capacity: 4,
        status,
        warmup_left_ms: 0,
        call_seq,
    }
}

fn ready(registry: &Registry, now: u64) -> Vec<String> {
    let servers = registry.servers(now).into_iter();
    servers.filter(|server| server.ready).map(|server| server.id).collect()
}

#[test]
fn an_old_list_revives_nobody_and_takes_back_no_drain() {
    let mut majority = Registry::new(BEAT);
    let mut away = Registry::new(BEAT);
    for (id, port) in [("gone", 1), ("drained", 2), ("crashed", 3), ("alive", 4)] {
        majority.hear(0, 0, entry(id, port, EntryStatus::Ready, 5));
        away.hear(0, 0, entry(id, port, EntryStatus::Ready, 5));
    }
    // Told to the one that is cut off alone, in the second before it knew.
    assert_eq!(away.hear(500, 0, entry("early", 5, EntryStatus::Ready, 1)), Heard::Changed);
    majority.hear(1000, 0, entry("drained", 2, EntryStatus::Draining, 6));
    assert!(majority.leave(2000, "gone").is_some());
    assert!(majority.leave(2000, "early").is_some(), "remembered, though not known");
    // The address of the one that crashed has a new owner.
    majority.hear(4000, 0, entry("new", 3, EntryStatus::Ready, 1));
    majority.hear(4500, 0, entry("alive", 4, EntryStatus::Ready, 8));
    for (told, age) in away.all(5000) {
        let alive = told.id == "alive";
        assert_eq!(majority.hear(5000, age, told), Heard::Late, "alive: {alive}");
    }
    assert_eq!(ready(&majority, 5000), ["alive", "new"]);
    for (told, age) in majority.all(5000) {
        away.hear(5000, age, told);
    }
    assert_eq!(ready(&away, 5000), ["alive", "new"]);
}

#[test]
fn what_a_frozen_node_finds_waiting_does_not_bring_back_who_has_fallen_silent() {
    let mut registry = Registry::new(BEAT);
    registry.hear(0, 0, entry("s", 1, EntryStatus::Ready, 9));
    assert!(registry.expire(4 * BEAT));
    // The same call as before, or an older one, heard late; and an entry as old as its age tells.
    let now = 5 * BEAT;
    assert_eq!(registry.hear(now, 0, entry("s", 1, EntryStatus::Ready, 9)), Heard::Late);
    assert_eq!(registry.hear(now, 0, entry("s", 1, EntryStatus::Draining, 8)), Heard::Late);
    assert_eq!(registry.hear(now, 4 * BEAT, entry("t", 2, EntryStatus::Ready, 3)), Heard::Late);
    assert_eq!(registry.servers(now), []);
    // It was cut off itself, and goes on.
    assert_eq!(registry.hear(now, 0, entry("s", 1, EntryStatus::Ready, 10)), Heard::Changed);
}

#[test]
fn an_address_stays_with_its_newest_owner() {
    let mut registry = Registry::new(BEAT);
    registry.hear(3000, 0, entry("new", 1, EntryStatus::Ready, 1));
    assert_eq!(registry.hear(4000, 2000, entry("old", 1, EntryStatus::Ready, 9)), Heard::Late);
    assert_eq!(ready(&registry, 4000), ["new"]);
}

#[test]
fn who_was_replaced_meanwhile_does_not_count_a_majority_of_the_old_set() {
    let node = |n: u8| NodeId::from([10, 0, 0, n]);
    let old = Members::of(vec![node(1), node(2), node(3)]);
    let kept =
        Durable { members: old.clone(), votes: true, promised: 1, accepted: 1, record: Default::default() };
    let terms = Terms { losses: 1, eligible: true, ..Terms::default() };
    let mut back = Chain::new(node(1), terms, Start::Kept(kept));
    back.peer_up(0, node(2));
    let mut says = |members: Members| {
        let beat = Beat { members, hears: vec![node(1)], ..Beat::default() };
        back.message(10, node(2), Message::Heartbeat(beat));
        back.is_quorum(&[node(2)])
    };
    assert!(says(old));
    assert!(!says(Members::of(vec![node(2), node(3), node(4)])));
    // On the way from one set to the other it takes a majority of both.
    let both = |voters: [u8; 3], before: [u8; 3]| {
        let set = |nodes: [u8; 3]| nodes.map(node).to_vec();
        Members { voters: set(voters), before: set(before) }
    };
    assert!(!says(both([2, 3, 4], [1, 2, 3])));
}
