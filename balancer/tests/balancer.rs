//! The balancer without sockets, a file for each topic.

mod common;

mod balancer {
    mod connections;
    mod origin_fetches;
    mod overload;
    mod placement;
    mod roster;
    mod rules;
    mod server_health;
    mod slow_start;
}

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use glenfall_balancer::*;

fn fleet(n: u64) -> Vec<RosterEntry> {
    (1..=n).map(entry).collect()
}

/// The keys of server 1 among so many, requested 100 in each housekeeping interval, so that allowances refill.
fn paced_keys_of_server_one(node: &mut Node, from: u64, keys: u64) -> Vec<u64> {
    let mut owned = Vec::new();
    for n in 0..keys {
        if n.is_multiple_of(20) {
            node.event(Event::Timer(TimerToken(0)));
        }
        if node.home(from + n, n) == id(1) {
            owned.push(n);
        }
    }
    owned
}

/// Reads answered in 50 ms each, so that the node has a usual answer time to pause by.
fn record_usual_latency(node: &mut Node) {
    for n in 500_000..500_100 {
        node.request(read(n, n));
        node.now += 0.05;
        node.serve(n);
    }
}

/// A node among 100, with an origin, that may notify its peers.
fn node_in_large_deployment(entries: Vec<RosterEntry>) -> Node {
    let limits = Limits { peer_messages: true, ..settings().limits };
    let cache = cache_aside_mode();
    Node::with(Settings { nodes: 100, cache, limits, ..settings() }, 1, entries)
}

/// The keys of server 1 among the first so many: the first of them, so many at most.
fn keys_of_server_one(node: &mut Node, among: u64, most: usize) -> Vec<u64> {
    (0..among).filter(|&n| node.home(n, n) == id(1)).take(most).collect()
}

/// How many of sixty reads of unknown keys are sent at once.
fn unknown_keys_sent(node: &mut Node) -> usize {
    (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count()
}

fn cache_aside_mode() -> CacheMode {
    CacheMode::Aside { origin_kind: "origin".into() }
}

/// Settings of cache-aside mode.
fn cache_aside_settings() -> Settings {
    Settings { cache: cache_aside_mode(), ..settings() }
}

fn fleet_and_origin(n: u64) -> Vec<RosterEntry> {
    fleet(n).into_iter().chain([origin()]).collect()
}

/// The message of nodes about a server that fails.
fn failing_message(server: &ServerId) -> Vec<u8> {
    server.0.as_bytes().to_vec()
}

/// The first attempt of a request ends, whatever has become of the request.
fn first_attempt_ended(request: u64, status: Status, elapsed: Seconds) -> Event {
    Event::Outcome(Outcome {
        request: RequestId(request),
        attempt: AttemptId(0),
        status,
        elapsed,
        finished: false,
        cache_status: None,
        load: None,
    })
}
