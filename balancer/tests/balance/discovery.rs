//! Lists of servers: asked for in time, and old ones.

use crate::*;

fn asking() -> Settings {
    Settings { membership: Membership::OnRequest, ..settings() }
}

fn asks(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Subscribe | Action::FetchRoster)).count()
}

#[test]
fn an_asking_node_subscribes_at_once_and_repeats_failed_calls() {
    let mut node = Node::new(asking(), 1);
    assert_eq!(asks(&node.event(Event::Roster(RosterUpdate::Cached(fleet(4))))), 1);
    for _ in 0..5 {
        node.event(Event::Roster(RosterUpdate::Failed));
        assert_eq!(asks(&node.pass(3.0)), 1);
    }
    node.event(Event::Roster(RosterUpdate::Delta(vec![])));
    assert_eq!(asks(&node.pass(60.0)), 0, "a subscription is not asked for twice");
    node.event(Event::Roster(RosterUpdate::Failed));
    assert_eq!(asks(&node.pass(3.0)), 1, "a broken one is asked for again");
}

#[test]
fn a_call_that_is_never_answered_is_made_again_before_the_time_to_ask_has_run_out() {
    let mut node = Node::new(asking(), 1);
    node.event(Event::Roster(RosterUpdate::Cached(fleet(4))));
    assert!(asks(&node.pass(9.0)) >= 1);
}

/// A restarted node has only its last list: it works by it, asks at once, and a start that the list hid counts from the
/// moment that it is told.
#[test]
fn a_restarted_node_works_by_its_old_list_until_it_is_told_more() {
    let mut node = Node::new(asking(), 7);
    let first = node.event(Event::Roster(RosterUpdate::Cached(fleet(8))));
    assert_eq!(asks(&first), 1);
    let owned = |node: &mut Node, from: u64| at_once(node, from, 2000).len();
    let before = owned(&mut node, 0);
    let started = RosterEntry { started: Some(99.0), ..entry(1) };
    let gone = RosterEntry { state: ServerState::Gone, ..entry(2) };
    node.event(Event::Roster(RosterUpdate::Delta(vec![started, gone])));
    let after = owned(&mut node, 10_000);
    assert!(after > 0 && after * 2 < before, "{after} of {before}");
    assert!((0..500).all(|n| node.home(20_000 + n, n) != id(2)));
}

/// 70 of 100 nodes came back at once and asked for the list at once, and again at each failure: discovery, which
/// works through calls in turn, fell ever further behind, and 62 nodes had no list for the rest of the day.
#[test]
fn many_nodes_spread_their_calls_for_the_list_and_ask_within_half_the_time_allowed() {
    let calls = |balancers| -> Vec<Seconds> {
        let first = |seed| {
            let mut node = Node::new(Settings { nodes: balancers, ..asking() }, seed);
            let start = node.now;
            let mut actions = node.event(Event::Roster(RosterUpdate::Cached(fleet(8))));
            while asks(&actions) == 0 {
                actions = node.pass(0.05);
                assert!(node.now - start <= 5.1, "asked too late");
            }
            let asked = node.now - start;
            // And after a failure, spread alike.
            node.event(Event::Roster(RosterUpdate::Failed));
            let failed = node.now;
            while asks(&node.pass(0.05)) == 0 {
                assert!(node.now - failed <= 8.0, "asked again too late");
            }
            (balancers <= 10 || node.now - failed >= 2.0).then_some(asked).expect("not at once again")
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
