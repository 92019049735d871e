//! The module without any bench, a file to each topic.

mod common;

mod balance {
    mod cold;
    mod connections;
    mod crowded;
    mod discovery;
    mod failures;
    mod origin;
    mod placement;
    mod rules;
}

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use glenfall_balancer::*;

fn fleet(n: u64) -> Vec<RosterEntry> {
    (1..=n).map(entry).collect()
}

/// The keys of server 1 among so many, asked for 100 to a step of housekeeping, so that allowances refill.
fn at_once(node: &mut Node, from: u64, keys: u64) -> Vec<u64> {
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

/// Reads answered in 50 ms each, so that the node has a usual answer time to rest by.
fn warm_up(node: &mut Node) {
    for n in 500_000..500_100 {
        node.request(read(n, n));
        node.now += 0.05;
        node.serve(n);
    }
}

/// A node among 100, with an origin, that may talk to the others.
fn one_of_many(entries: Vec<RosterEntry>) -> Node {
    let limits = Limits { peer_messages: true, ..settings().limits };
    let cache = at_origin();
    Node::with(Settings { nodes: 100, cache, limits, ..settings() }, 1, entries)
}

/// The keys of server 1 among the first so many: the first of them, so many at most.
fn keys_of_one(node: &mut Node, among: u64, most: usize) -> Vec<u64> {
    (0..among).filter(|&n| node.home(n, n) == id(1)).take(most).collect()
}

/// How many of sixty reads of unknown keys are sent at once.
fn unknown_keys_sent(node: &mut Node) -> usize {
    (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count()
}

fn at_origin() -> CacheMode {
    CacheMode::Aside { origin_kind: "origin".into() }
}

/// Settings with caches beside the way to the origin.
fn aside() -> Settings {
    Settings { cache: at_origin(), ..settings() }
}

fn fleet_and_origin(n: u64) -> Vec<RosterEntry> {
    fleet(n).into_iter().chain([origin()]).collect()
}

/// What nodes tell of a server that fails.
fn failing(server: &ServerId) -> Vec<u8> {
    server.0.as_bytes().to_vec()
}

/// The first attempt of a request ends, whatever has become of the request.
fn first_ended(request: u64, status: Status, elapsed: Seconds) -> Event {
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
