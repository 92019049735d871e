//! The server list: subscribe calls and outdated lists.

use crate::*;

fn on_request() -> Settings {
    Settings { membership: Membership::OnRequest, ..settings() }
}

fn count_roster_calls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Subscribe | Action::FetchRoster)).count()
}

#[test]
fn an_on_request_node_subscribes_at_once_and_retries_failed_calls() {
    let mut node = Node::new(on_request(), 1);
    assert_eq!(count_roster_calls(&node.event(Event::Roster(RosterUpdate::Cached(fleet(4))))), 1);
    for _ in 0..5 {
        node.event(Event::Roster(RosterUpdate::Failed));
        assert_eq!(count_roster_calls(&node.advance(3.0)), 1);
    }
    node.event(Event::Roster(RosterUpdate::Delta(vec![])));
    assert_eq!(count_roster_calls(&node.advance(60.0)), 0, "a subscription is not requested twice");
    node.event(Event::Roster(RosterUpdate::Failed));
    assert_eq!(count_roster_calls(&node.advance(3.0)), 1, "a broken one is requested again");
}

#[test]
fn a_call_that_is_never_answered_is_retried_within_the_subscription_gap() {
    let mut node = Node::new(on_request(), 1);
    node.event(Event::Roster(RosterUpdate::Cached(fleet(4))));
    assert!(count_roster_calls(&node.advance(9.0)) >= 1);
}

/// A restarted node has only its cached list. It uses that list and calls for an update immediately. A server start
/// that the list did not show takes effect when the update arrives.
#[test]
fn a_restarted_node_uses_its_cached_list_until_an_update_arrives() {
    let mut node = Node::new(on_request(), 7);
    let first = node.event(Event::Roster(RosterUpdate::Cached(fleet(8))));
    assert_eq!(count_roster_calls(&first), 1);
    let owned = |node: &mut Node, from: u64| paced_keys_of_server_one(node, from, 2000).len();
    let before = owned(&mut node, 0);
    let started = RosterEntry { started: Some(99.0), ..entry(1) };
    let gone = RosterEntry { state: ServerState::Gone, ..entry(2) };
    node.event(Event::Roster(RosterUpdate::Delta(vec![started, gone])));
    let after = owned(&mut node, 10_000);
    assert!(after > 0 && after * 2 < before, "{after} of {before}");
    assert!((0..500).all(|n| node.home(20_000 + n, n) != id(2)));
}

/// Guards against 70 of 100 nodes that restart at the same time calling discovery at the same time, and again
/// after each failure. Discovery handles calls one at a time and fell further and further behind, so that 62
/// nodes never got a list.
#[test]
fn many_nodes_distribute_their_calls_for_the_list_over_half_the_subscription_gap() {
    let calls = |balancers| -> Vec<Seconds> {
        let first = |seed| {
            let mut node = Node::new(Settings { nodes: balancers, ..on_request() }, seed);
            let start = node.now;
            let mut actions = node.event(Event::Roster(RosterUpdate::Cached(fleet(8))));
            while count_roster_calls(&actions) == 0 {
                actions = node.advance(0.05);
                assert!(node.now - start <= 5.1, "called too late");
            }
            let first_call = node.now - start;
            // Calls after a failure are spread in the same way.
            node.event(Event::Roster(RosterUpdate::Failed));
            let failed = node.now;
            while count_roster_calls(&node.advance(0.05)) == 0 {
                assert!(node.now - failed <= 8.0, "called again too late");
            }
            (balancers <= 10 || node.now - failed >= 2.0)
                .then_some(first_call)
                .expect("the call after a failure is delayed")
        };
        (0..100).map(first).collect()
    };
    assert!(calls(3).iter().all(|&at| at == 0.0));
    let mut many = calls(100);
    many.sort_by(f64::total_cmp);
    for second in 0..5 {
        let from = f64::from(second);
        let count = many.iter().filter(|&&at| (from..from + 1.0).contains(&at)).count();
        assert!((10..=32).contains(&count), "{count} calls in second {second}");
    }
}
