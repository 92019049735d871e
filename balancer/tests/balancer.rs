//! Tests of the balancer as a state machine, one file per topic, with helpers that they share.

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

/// The keys of server 1 among the first `key_count` keys. Runs housekeeping after every 20 requests, so that slow-start
/// allowances are refilled.
fn paced_keys_of_server_one(node: &mut Node, from: u64, key_count: u64) -> Vec<u64> {
    let mut owned = Vec::new();
    for n in 0..key_count {
        if n.is_multiple_of(20) {
            node.event(Event::Timer(TimerToken(0)));
        }
        if node.home(from + n, n) == id(1) {
            owned.push(n);
        }
    }
    owned
}

/// Serves reads in 50 ms each, so that the node has measured a mean answer time.
fn record_usual_latency(node: &mut Node) {
    for n in 500_000..500_100 {
        node.request(read(n, n));
        node.now += 0.05;
        node.serve(n);
    }
}

/// One of 100 nodes, in cache-aside mode and allowed to notify its peers.
fn node_in_large_deployment(entries: Vec<RosterEntry>) -> Node {
    let limits = Limits { peer_messages: true, ..settings().limits };
    let cache = cache_aside_mode();
    Node::with(Settings { nodes: 100, cache, limits, ..settings() }, 1, entries)
}

/// At most `max_keys` keys of server 1 among the first `key_count` keys.
fn keys_of_server_one(node: &mut Node, key_count: u64, max_keys: usize) -> Vec<u64> {
    (0..key_count).filter(|&n| node.home(n, n) == id(1)).take(max_keys).collect()
}

/// How many of 60 reads of uncached keys are sent immediately.
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

/// The peer message that reports a failing server.
fn failing_message(server: &ServerId) -> Vec<u8> {
    server.0.as_bytes().to_vec()
}

/// The outcome of the first attempt of a request; the node may not know the request any more.
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
