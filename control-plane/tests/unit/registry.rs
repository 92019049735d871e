//! The registry of servers, and what a control node that was out of touch brings back of them: its list may be old, and so
//! may the calls that it finds waiting when it wakes.

use std::net::SocketAddrV4;

use glenfall_control_plane::registry::{EntryStatus, HeartbeatOutcome, Registry, ServerEntry};
use glenfall_control_plane::Millis;

const BEAT: Millis = 1500;

fn entry(id: &str, port: u16, status: EntryStatus, call_seq: u64) -> ServerEntry {
    ServerEntry {
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
    registry.servers(now, false).into_iter().filter(|server| server.ready).map(|server| server.id).collect()
}

#[test]
fn a_late_beat_does_not_take_back_a_drain_and_nothing_takes_back_a_goodbye() {
    let mut registry = Registry::new(BEAT);
    assert_eq!(registry.observe(0, 0, entry("a", 1, EntryStatus::Ready, 1)), HeartbeatOutcome::Changed);
    assert_eq!(registry.observe(10, 0, entry("a", 1, EntryStatus::Draining, 3)), HeartbeatOutcome::Changed);
    assert_eq!(registry.observe(20, 0, entry("a", 1, EntryStatus::Ready, 2)), HeartbeatOutcome::Stale);
    assert_eq!(ready(&registry, 20), Vec::<String>::new());
    // One that is not known may be on the list of a node that is cut off.
    for id in ["a", "b"] {
        assert_eq!(registry.deregister(30, id).map(|entry| entry.status), Some(EntryStatus::Deregistered));
        assert_eq!(registry.observe(40, 0, entry(id, 1, EntryStatus::Ready, 9)), HeartbeatOutcome::Stale);
    }
    assert!(registry.servers(40, false).is_empty());
    // Whoever keeps what a list lacks has to be told.
    let ended = registry.servers(40, true);
    assert_eq!(ended.iter().map(|s| (&s.id[..], s.ready)).collect::<Vec<_>>(), [("a", false), ("b", false)]);
}

#[test]
fn what_others_were_told_holds_until_the_status_changes() {
    let mut registry = Registry::new(BEAT);
    registry.observe(0, 0, entry("a", 1, EntryStatus::Draining, 1));
    assert!(!registry.is_replicated("a"));
    registry.mark_replicated("a", EntryStatus::Draining);
    registry.observe(10, 0, entry("a", 1, EntryStatus::Draining, 2));
    assert!(registry.is_replicated("a"));
    // It said goodbye while others were being told that it drains.
    registry.deregister(20, "a");
    registry.mark_replicated("a", EntryStatus::Draining);
    assert!(!registry.is_replicated("a"));
    registry.mark_replicated("a", EntryStatus::Deregistered);
    registry.deregister(30, "a");
    assert!(registry.is_replicated("a"));
}

#[test]
fn a_new_server_at_an_address_ends_the_one_before() {
    let mut registry = Registry::new(BEAT);
    registry.observe(0, 0, entry("a", 1, EntryStatus::Ready, 1));
    registry.observe(100, 0, entry("b", 1, EntryStatus::Ready, 1));
    assert_eq!(ready(&registry, 100), ["b"]);
}

#[test]
fn the_silent_are_forgotten_after_some_beats_and_warmth_comes_with_time() {
    let mut registry = Registry::new(BEAT);
    registry.observe(0, 0, entry("a", 1, EntryStatus::Ready, 1));
    registry.observe(4000, 0, entry("b", 2, EntryStatus::Ready, 1));
    assert_eq!(
        registry.observe(4000, 500, entry("a", 1, EntryStatus::Ready, 2)),
        HeartbeatOutcome::Refreshed
    );
    assert!(registry.expire(9000).is_empty());
    let warmup: Vec<u64> = registry.servers(5000, false).iter().map(|server| server.warmup_left_ms).collect();
    assert_eq!(warmup, [1500, 2000]);
    assert_eq!(registry.expire(9600), ["a"]);
    assert_eq!(ready(&registry, 9600), ["b"]);
}

#[test]
fn an_old_list_revives_nobody_and_takes_back_no_drain() {
    let mut majority = Registry::new(BEAT);
    let mut away = Registry::new(BEAT);
    for (id, port) in [("gone", 1), ("drained", 2), ("crashed", 3), ("alive", 4)] {
        majority.observe(0, 0, entry(id, port, EntryStatus::Ready, 5));
        away.observe(0, 0, entry(id, port, EntryStatus::Ready, 5));
    }
    // Told to the one that is cut off alone, in the second before it knew.
    assert_eq!(away.observe(500, 0, entry("early", 5, EntryStatus::Ready, 1)), HeartbeatOutcome::Changed);
    majority.observe(1000, 0, entry("drained", 2, EntryStatus::Draining, 6));
    assert!(majority.deregister(2000, "gone").is_some());
    assert!(majority.deregister(2000, "early").is_some(), "remembered, though not known");
    // The address of the one that crashed has a new owner.
    majority.observe(4000, 0, entry("new", 3, EntryStatus::Ready, 1));
    majority.observe(4500, 0, entry("alive", 4, EntryStatus::Ready, 8));
    for (told, age) in away.snapshot(5000) {
        let alive = told.id == "alive";
        assert_eq!(majority.observe(5000, age, told), HeartbeatOutcome::Stale, "alive: {alive}");
    }
    assert_eq!(ready(&majority, 5000), ["alive", "new"]);
    for (told, age) in majority.snapshot(5000) {
        away.observe(5000, age, told);
    }
    assert_eq!(ready(&away, 5000), ["alive", "new"]);
}

#[test]
fn what_a_frozen_node_finds_waiting_does_not_bring_back_who_has_fallen_silent() {
    let mut registry = Registry::new(BEAT);
    registry.observe(0, 0, entry("s", 1, EntryStatus::Ready, 9));
    assert_eq!(registry.expire(4 * BEAT), ["s"]);
    // The same call as before, or an older one, heard late; and an entry as old as its age tells.
    let now = 5 * BEAT;
    assert_eq!(registry.observe(now, 0, entry("s", 1, EntryStatus::Ready, 9)), HeartbeatOutcome::Stale);
    assert_eq!(registry.observe(now, 0, entry("s", 1, EntryStatus::Draining, 8)), HeartbeatOutcome::Stale);
    assert_eq!(
        registry.observe(now, 4 * BEAT, entry("t", 2, EntryStatus::Ready, 3)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(registry.servers(now, true), []);
    // It was cut off itself, and goes on.
    assert_eq!(registry.observe(now, 0, entry("s", 1, EntryStatus::Ready, 10)), HeartbeatOutcome::Changed);
}

#[test]
fn an_address_stays_with_its_newest_owner() {
    let mut registry = Registry::new(BEAT);
    registry.observe(3000, 0, entry("new", 1, EntryStatus::Ready, 1));
    assert_eq!(registry.observe(4000, 2000, entry("old", 1, EntryStatus::Ready, 9)), HeartbeatOutcome::Stale);
    assert_eq!(ready(&registry, 4000), ["new"]);
}

/// What a node does from one moment to the next.
#[derive(Clone, Copy)]
enum Does {
    /// It takes what servers say.
    Listens,
    /// It turns them away, as it reaches no majority.
    TurnsAway,
    /// It is stopped, and looks at nothing.
    Stands,
}

/// Plays what a node does, each until a moment; then whether it knows a server that it heard at 0, and all there are.
fn after(does: &[(Does, Millis)]) -> (bool, bool) {
    let mut registry = Registry::new(BEAT);
    registry.observe(0, 0, entry("s", 1, EntryStatus::Ready, 1));
    registry.set_accepting(0, true);
    let mut now = 0;
    for (does, until) in does {
        while now < *until {
            now += if matches!(does, Does::Stands) { *until - now } else { 25 };
            registry.set_accepting(now, !matches!(does, Does::TurnsAway));
            registry.expire(now);
        }
    }
    (!ready(&registry, now).is_empty(), registry.is_complete(now, 0))
}

#[test]
fn silence_counts_only_while_a_node_could_have_heard() {
    use Does::{Listens, Stands, TurnsAway};
    type Row<'a> = (&'a str, &'a [(Does, Millis)], (bool, bool));
    let table: [Row; 9] = [
        ("it listens", &[(Listens, 5900)], (true, false)),
        ("long enough", &[(Listens, 6000)], (false, true)),
        ("deaf for long", &[(TurnsAway, 60_000)], (true, false)),
        ("stopped for long", &[(Stands, 60_000)], (true, false)),
        (
            "deaf, then it listens for less than four beats",
            &[(TurnsAway, 9000), (Listens, 14_900)],
            (true, false),
        ),
        ("deaf, then for four", &[(TurnsAway, 9000), (Listens, 15_000)], (false, true)),
        ("stopped, then for four", &[(Stands, 9000), (Listens, 15_000)], (false, true)),
        // What it heard before and after counts together.
        ("between", &[(Listens, 3000), (Stands, 9000), (Listens, 12_000)], (false, false)),
        // A moment in which it hears nothing leaves its list as whole as it was.
        ("a moment", &[(Listens, 5000), (TurnsAway, 6000), (Listens, 6500)], (true, true)),
    ];
    for (name, does, expected) in table {
        assert_eq!(after(does), expected, "{name}");
    }
}

#[test]
fn what_is_told_by_two_ways_is_news_once() {
    let mut registry = Registry::new(BEAT);
    let told = |call_seq| entry("s", 1, EntryStatus::Ready, call_seq);
    assert!(registry.is_newer(&told(1)));
    registry.observe(0, 0, told(1));
    assert!(!registry.is_newer(&told(1)), "the same by another way");
    assert!(registry.is_newer(&told(2)));
    registry.observe(10, 0, told(3));
    assert!(!registry.is_newer(&told(2)), "overtaken");
    registry.deregister(20, "s");
    assert!(!registry.is_newer(&told(3)));
}
