//! Overloaded servers: load reports, reduced key shares and peer messages.

use crate::*;

fn overloaded_message(server: &ServerId) -> Vec<u8> {
    [b"~", server.0.as_bytes()].concat()
}

/// Which of `keys` are sent to `server` while nothing is in flight.
fn keys_at(node: &mut Node, keys: &[u64], from: u64, server: &ServerId) -> BTreeSet<u64> {
    let requests = (from..).zip(keys);
    requests.filter(|(n, &key)| node.home(*n, key) == *server).map(|(_, &key)| key).collect()
}

/// Guards against detecting overload by slow answers only: 100 nodes that each send a request now and then queued
/// many seconds of work at a server before any of them had seen more than one slow answer.
#[test]
fn a_server_that_reports_a_queue_takes_a_stable_share_of_its_keys_at_all_notified_nodes() {
    let mut node = node_in_large_deployment(fleet(10));
    let keys = keys_of_server_one(&mut node, 1000, usize::MAX);
    node.request(read(5000, keys[0]));
    let notification = Action::NotifyPeers(overloaded_message(&id(1)));
    assert!(node.serve_with_load_report(5000, 30.0, 60.0).contains(&notification));
    let own_keys = keys_at(&mut node, &keys, 10_000, &id(1));
    let share = own_keys.len() as f64 / keys.len() as f64;
    assert!((0.55..0.85).contains(&share), "{share} of the keys");
    assert_eq!(own_keys, keys_at(&mut node, &keys, 20_000, &id(1)), "the same keys again");

    let mut other = node_in_large_deployment(fleet(10));
    other.event(Event::Message { from: 3, bytes: overloaded_message(&id(1)) });
    assert_eq!(own_keys, keys_at(&mut other, &keys, 30_000, &id(1)), "the same keys elsewhere");
    let others: Vec<u64> = (0..1000).filter(|key| !keys.contains(key)).collect();
    let mut fresh = node_in_large_deployment(fleet(10));
    for (n, key) in others.into_iter().enumerate() {
        let n = 40_000 + n as u64;
        assert_eq!(other.home(n, key), fresh.home(n, key), "other keys stay");
    }
    // Without further reports the server gets all of its keys again.
    other.advance(8.0);
    assert_eq!(keys_at(&mut other, &keys, 50_000, &id(1)).len(), keys.len());
}

#[test]
fn an_overload_that_all_nodes_observe_at_once_counts_once_and_peers_are_not_notified_again() {
    let mut node = node_in_large_deployment(fleet(10));
    let keys = keys_of_server_one(&mut node, 1000, usize::MAX);
    for from in 0..50 {
        node.event(Event::Message { from, bytes: overloaded_message(&id(1)) });
    }
    node.request(read(5000, keys[0]));
    let actions = node.serve_with_load_report(5000, 30.0, 60.0);
    assert!(!actions.iter().any(|a| matches!(a, Action::NotifyPeers(_))), "{actions:?}");
    let share = keys_at(&mut node, &keys, 10_000, &id(1)).len() as f64 / keys.len() as f64;
    assert!(share > 0.55, "{share} of the keys");
}

#[test]
fn reports_of_busy_servers_without_a_queue_change_nothing() {
    let mut node = node_in_large_deployment(fleet(10));
    for (n, (in_flight, rate)) in [(0.0, 0.0), (3.0, 1.0), (20.0, 400.0)].into_iter().enumerate() {
        node.request(read(n as u64, n as u64));
        let actions = node.serve_with_load_report(n as u64, in_flight, rate);
        assert!(!actions.iter().any(|a| matches!(a, Action::NotifyPeers(_))), "{in_flight} {rate}");
    }
}

/// Guards against small key shares at all servers, where requests found no server although none was down.
#[test]
fn a_fleet_that_is_overloaded_throughout_takes_all_of_its_keys() {
    let (mut node, mut fresh) = (node_in_large_deployment(fleet(10)), node_in_large_deployment(fleet(10)));
    for _ in 0..10 {
        for server in 1..=10 {
            node.event(Event::Message { from: 7, bytes: overloaded_message(&id(server)) });
        }
        node.advance(0.5);
    }
    for n in 0..500 {
        assert_eq!(node.home(n, n), fresh.home(n, n));
    }
}
