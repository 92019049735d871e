//! The registry of servers. A control node that was partitioned or stopped may send old entries when it returns, and
//! may receive old heartbeats from its socket buffers; neither may revive a server.

use std::net::SocketAddrV4;

use glenfall_control_plane::registry::{
    EntryStatus, ExpiredServer, HeartbeatOutcome, ObservedServer, Registry, ServerEntry,
};
use glenfall_control_plane::Millis;

const HEARTBEAT_INTERVAL: Millis = 1500;

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

fn expired(id: &str, last_heartbeat_age_ms: Millis) -> ExpiredServer {
    ExpiredServer { id: id.into(), backend: "s".into(), status: EntryStatus::Ready, last_heartbeat_age_ms }
}

fn ready(registry: &Registry, now: Millis) -> Vec<String> {
    registry.servers(now, false).into_iter().filter(|server| server.ready).map(|server| server.id).collect()
}

#[test]
fn a_delayed_heartbeat_does_not_undo_a_drain_and_a_deregistration_is_final() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    assert_eq!(registry.observe(0, 0, entry("a", 1, EntryStatus::Ready, 1)), HeartbeatOutcome::Changed);
    assert_eq!(registry.observe(10, 0, entry("a", 1, EntryStatus::Draining, 3)), HeartbeatOutcome::Changed);
    assert_eq!(registry.observe(20, 0, entry("a", 1, EntryStatus::Ready, 2)), HeartbeatOutcome::Stale);
    assert_eq!(ready(&registry, 20), Vec::<String>::new());
    // An unknown server may be in the registry of a node that is partitioned.
    for id in ["a", "b"] {
        assert_eq!(registry.deregister(30, id).map(|entry| entry.status), Some(EntryStatus::Deregistered));
        assert_eq!(registry.observe(40, 0, entry(id, 1, EntryStatus::Ready, 9)), HeartbeatOutcome::Stale);
    }
    assert!(registry.servers(40, false).is_empty());
    // With an incomplete list, a receiver retains the servers that are missing in it, unless it gets their tombstones.
    let with_tombstones = registry.servers(40, true);
    assert_eq!(
        with_tombstones.iter().map(|server| (&server.id[..], server.ready)).collect::<Vec<_>>(),
        [("a", false), ("b", false)]
    );
}

#[test]
fn a_status_stays_replicated_until_it_changes() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.observe(0, 0, entry("a", 1, EntryStatus::Draining, 1));
    assert!(!registry.is_replicated("a"));
    registry.mark_replicated("a", EntryStatus::Draining);
    registry.observe(10, 0, entry("a", 1, EntryStatus::Draining, 2));
    assert!(registry.is_replicated("a"));
    // The server deregistered while its drain was being replicated.
    registry.deregister(20, "a");
    registry.mark_replicated("a", EntryStatus::Draining);
    assert!(!registry.is_replicated("a"));
    registry.mark_replicated("a", EntryStatus::Deregistered);
    registry.deregister(30, "a");
    assert!(registry.is_replicated("a"));
}

#[test]
fn a_new_server_at_an_address_deregisters_the_previous_one() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.observe(0, 0, entry("a", 1, EntryStatus::Ready, 1));
    registry.observe(100, 0, entry("b", 1, EntryStatus::Ready, 1));
    assert_eq!(ready(&registry, 100), ["b"]);
}

#[test]
fn a_server_expires_after_missed_heartbeats_and_its_slow_start_ends_with_time() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.observe(0, 0, entry("a", 1, EntryStatus::Ready, 1));
    registry.observe(4000, 0, entry("b", 2, EntryStatus::Ready, 1));
    assert_eq!(
        registry.observe(4000, 500, entry("a", 1, EntryStatus::Ready, 2)),
        HeartbeatOutcome::Refreshed
    );
    assert!(registry.expire(9000).is_empty());
    let warmup: Vec<u64> = registry.servers(5000, false).iter().map(|server| server.warmup_left_ms).collect();
    assert_eq!(warmup, [1500, 2000]);
    assert_eq!(registry.expire(9600), [expired("a", 6100)]);
    assert_eq!(ready(&registry, 9600), ["b"]);
}

#[test]
fn an_old_snapshot_does_not_revive_servers_or_undo_a_drain() {
    let mut majority = Registry::new(HEARTBEAT_INTERVAL);
    let mut partitioned = Registry::new(HEARTBEAT_INTERVAL);
    for (id, port) in [("gone", 1), ("drained", 2), ("crashed", 3), ("alive", 4)] {
        majority.observe(0, 0, entry(id, port, EntryStatus::Ready, 5));
        partitioned.observe(0, 0, entry(id, port, EntryStatus::Ready, 5));
    }
    // Observed only by the partitioned node, before it detected the partition.
    assert_eq!(
        partitioned.observe(500, 0, entry("early", 5, EntryStatus::Ready, 1)),
        HeartbeatOutcome::Changed
    );
    majority.observe(1000, 0, entry("drained", 2, EntryStatus::Draining, 6));
    assert!(majority.deregister(2000, "gone").is_some());
    assert!(majority.deregister(2000, "early").is_some(), "an unknown server gets a tombstone");
    // The address of the crashed server has a new owner.
    majority.observe(4000, 0, entry("new", 3, EntryStatus::Ready, 1));
    majority.observe(4500, 0, entry("alive", 4, EntryStatus::Ready, 8));
    for observed in partitioned.snapshot(5000) {
        let alive = observed.entry.id == "alive";
        assert_eq!(
            majority.observe(5000, observed.age_ms, observed.entry),
            HeartbeatOutcome::Stale,
            "alive: {alive}"
        );
    }
    assert_eq!(ready(&majority, 5000), ["alive", "new"]);
    for observed in majority.snapshot(5000) {
        partitioned.observe(5000, observed.age_ms, observed.entry);
    }
    assert_eq!(ready(&partitioned, 5000), ["alive", "new"]);
}

#[test]
fn heartbeats_that_arrive_late_do_not_revive_an_expired_server() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.observe(0, 0, entry("s", 1, EntryStatus::Ready, 9));
    assert_eq!(registry.expire(4 * HEARTBEAT_INTERVAL), [expired("s", 4 * HEARTBEAT_INTERVAL)]);
    // The last call and an earlier one arrive late, and a peer sends an entry that is old enough to have expired.
    let now = 5 * HEARTBEAT_INTERVAL;
    assert_eq!(registry.observe(now, 0, entry("s", 1, EntryStatus::Ready, 9)), HeartbeatOutcome::Stale);
    assert_eq!(registry.observe(now, 0, entry("s", 1, EntryStatus::Draining, 8)), HeartbeatOutcome::Stale);
    assert_eq!(
        registry.observe(now, 4 * HEARTBEAT_INTERVAL, entry("t", 2, EntryStatus::Ready, 3)),
        HeartbeatOutcome::Stale
    );
    assert_eq!(registry.servers(now, true), []);
    // The server was partitioned rather than crashed, and sends a new heartbeat.
    assert_eq!(registry.observe(now, 0, entry("s", 1, EntryStatus::Ready, 10)), HeartbeatOutcome::Changed);
}

#[test]
fn an_address_stays_with_the_server_observed_last() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.observe(3000, 0, entry("new", 1, EntryStatus::Ready, 1));
    assert_eq!(registry.observe(4000, 2000, entry("old", 1, EntryStatus::Ready, 9)), HeartbeatOutcome::Stale);
    assert_eq!(ready(&registry, 4000), ["new"]);
}

/// State of a control node during a phase of a test.
#[derive(Clone, Copy)]
enum NodeState {
    /// The node accepts heartbeats.
    Accepting,
    /// The node rejects heartbeats, as it has no quorum.
    Rejecting,
    /// The process of the node is stopped.
    Stopped,
}

/// Content of a node's registry at the end of a test.
#[derive(Debug, PartialEq, Eq)]
struct RegistryState {
    /// Whether the server whose only heartbeat arrived at time 0 is still listed as ready.
    server_is_ready: bool,
    registry_is_complete: bool,
}

/// Simulates a node that goes through these states, each of which lasts until the given time.
fn registry_state_after(states: &[(NodeState, Millis)]) -> RegistryState {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.observe(0, 0, entry("s", 1, EntryStatus::Ready, 1));
    registry.set_accepting(0, true);
    let mut now = 0;
    for (state, until) in states {
        while now < *until {
            now += if matches!(state, NodeState::Stopped) { *until - now } else { 25 };
            registry.set_accepting(now, !matches!(state, NodeState::Rejecting));
            registry.expire(now);
        }
    }
    RegistryState {
        server_is_ready: !ready(&registry, now).is_empty(),
        registry_is_complete: registry.is_complete(now, 0),
    }
}

#[test]
fn a_heartbeat_counts_as_missed_only_while_the_node_accepts_heartbeats() {
    use NodeState::{Accepting, Rejecting, Stopped};
    struct Case {
        name: &'static str,
        states: &'static [(NodeState, Millis)],
        server_is_ready: bool,
        registry_is_complete: bool,
    }
    let case = |name, states, server_is_ready, registry_is_complete| Case {
        name,
        states,
        server_is_ready,
        registry_is_complete,
    };
    let cases = [
        case("accepts for less than four intervals", &[(Accepting, 5900)], true, false),
        case("accepts for four intervals", &[(Accepting, 6000)], false, true),
        case("rejects for long", &[(Rejecting, 60_000)], true, false),
        case("is stopped for long", &[(Stopped, 60_000)], true, false),
        case(
            "rejects, then accepts for less than four intervals",
            &[(Rejecting, 9000), (Accepting, 14_900)],
            true,
            false,
        ),
        case("rejects, then accepts for four", &[(Rejecting, 9000), (Accepting, 15_000)], false, true),
        case("is stopped, then accepts for four", &[(Stopped, 9000), (Accepting, 15_000)], false, true),
        // For missed heartbeats, the time before the downtime and the time after it are added up.
        case(
            "is stopped in between",
            &[(Accepting, 3000), (Stopped, 9000), (Accepting, 12_000)],
            false,
            false,
        ),
        // A downtime shorter than a heartbeat interval does not make the registry incomplete.
        case("rejects for a moment", &[(Accepting, 5000), (Rejecting, 6000), (Accepting, 6500)], true, true),
    ];
    for Case { name, states, server_is_ready, registry_is_complete } in cases {
        assert_eq!(
            registry_state_after(states),
            RegistryState { server_is_ready, registry_is_complete },
            "{name}"
        );
    }
}

#[test]
fn an_entry_that_arrives_over_two_paths_is_newer_only_once() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    let observed = |call_seq| entry("s", 1, EntryStatus::Ready, call_seq);
    assert!(registry.is_newer(&observed(1)));
    registry.observe(0, 0, observed(1));
    assert!(!registry.is_newer(&observed(1)), "the same entry over another path");
    assert!(registry.is_newer(&observed(2)));
    registry.observe(10, 0, observed(3));
    assert!(!registry.is_newer(&observed(2)), "a later entry is known already");
    registry.deregister(20, "s");
    assert!(!registry.is_newer(&observed(3)));
}

#[test]
fn an_expired_tombstone_is_reported_as_deregistered() {
    let mut registry = Registry::new(HEARTBEAT_INTERVAL);
    registry.observe(0, 0, entry("a", 1, EntryStatus::Ready, 1));
    registry.deregister(1000, "a");
    assert_eq!(registry.expire(60_999), []);
    let tombstone = ExpiredServer { status: EntryStatus::Deregistered, ..expired("a", 60_000) };
    assert_eq!(registry.expire(61_000), [tombstone]);
}

/// Guards against a departure that is forgotten as all control nodes restart.
#[test]
fn a_restored_departure_outlasts_late_heartbeats_and_keeps_no_address() {
    let mut before = Registry::new(HEARTBEAT_INTERVAL);
    before.observe(0, 0, entry("gone", 1, EntryStatus::Ready, 5));
    before.observe(0, 0, entry("drained", 2, EntryStatus::Draining, 5));
    assert!(before.deregister(1_000, "gone").is_some());
    // Stored a second before the end of a tombstone's retention; heartbeats of draining servers are not stored.
    let now = 600_000;
    let departed: Vec<ObservedServer> = before
        .snapshot(1_000)
        .into_iter()
        .map(|departed| ObservedServer { age_ms: 59_000, ..departed })
        .collect();
    let mut restarted = Registry::new(HEARTBEAT_INTERVAL);
    restarted.restore(now, departed);
    for id in ["gone", "drained"] {
        let late = entry(id, 1, EntryStatus::Ready, 4);
        assert_eq!(restarted.observe(now, 0, late), HeartbeatOutcome::Stale, "{id}");
    }
    assert_eq!(ready(&restarted, now), [""; 0]);
    let addresses = |registry: &Registry| {
        let servers = registry.servers(now, true);
        servers.into_iter().map(|server| (server.id, server.addr.port())).collect::<Vec<_>>()
    };
    assert_eq!(addresses(&restarted), [("drained".to_owned(), 2), ("gone".to_owned(), 0)]);
    // What stays possible: a later call of a server that only drained, and a new server at the address of the other.
    restarted.observe(now, 0, entry("drained", 2, EntryStatus::Ready, 6));
    restarted.observe(now, 0, entry("new", 1, EntryStatus::Ready, 0));
    assert_eq!(ready(&restarted, now), ["drained", "new"]);
    assert_eq!(restarted.expire(now + 1_000).len(), 1, "the tombstone, at the end of its retention");
}
