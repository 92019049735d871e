//! Dead connections, hedged reads and closing of idle connections.

use crate::*;

/// Guards against single connection resets, as from a middlebox, ejecting healthy servers at all nodes and
/// sending each retry to a server that does not have the key.
#[test]
fn resets_between_answers_do_not_eject_a_server_and_are_retried_there() {
    for status in [Status::Broken, Status::Unreachable] {
        let mut node = Node::with(settings(), 1, fleet(6));
        let keys = keys_of_server_one(&mut node, 800, usize::MAX);
        record_usual_latency(&mut node);
        for (n, &key) in (1000..1012).zip(&keys) {
            assert_eq!(sent(&node.request(read(n, key))), [id(1)], "{status:?} {n}");
            node.now += 0.01;
            assert_eq!(sent(&node.outcome(n, status, None)), [id(1)], "{status:?} {n}");
            // Every other request gets two resets in a row.
            if n % 2 == 0 {
                node.outcome(n, status, None);
            }
            node.serve(n);
            assert_eq!(node.home(n + 1000, key), id(1), "{status:?} {n}");
            node.advance(0.2);
        }
    }
}

/// Guards against silently dropped idle connections: a node that used a server every few seconds sent nearly
/// every request on a dead connection. The resets ejected healthy servers and moved their keys to servers that
/// do not have them.
#[test]
fn a_connection_that_was_idle_as_long_as_a_dead_one_is_closed_before_the_next_send() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let key = keys_of_server_one(&mut node, 400, 1)[0];
    let closes = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::CloseIdle(_)));
    node.advance(2.0);
    assert!(!closes(&node.request(read(1000, key))), "nothing is suspected yet");
    node.now += 0.01;
    let again = node.outcome(1000, Status::Broken, None);
    assert_eq!(sent(&again), [id(1)], "the server did not fail: the same one is used again");
    node.serve(1000);
    node.advance(0.3);
    assert!(!closes(&node.request(read(1001, key))), "a short idle time is harmless");
    node.serve(1001);
    node.advance(3.0);
    let actions = node.request(read(1002, key));
    let close = actions.iter().position(|a| *a == Action::CloseIdle(id(1)));
    let send = actions.iter().position(|a| matches!(a, Action::Send { .. }));
    assert!(close.is_some() && close < send, "{actions:?}");
    node.serve(1002);
    node.advance(60.0);
    assert!(!closes(&node.request(read(1003, key))), "the suspicion no longer applies");
}

/// A dead idle connection may also show as a timeout without a reset, while later attempts are answered.
#[test]
fn a_time_out_on_an_idle_connection_closes_it_if_the_server_answers_other_requests() {
    let mut node = Node::with(settings(), 1, fleet(1));
    node.home(1, 1);
    node.advance(1.0);
    node.request(read(2, 1));
    node.now += 0.1;
    node.request(read(3, 1));
    node.serve(3);
    node.now += 0.8;
    let actions = node.outcome(2, Status::TimedOut, None);
    assert!(actions.contains(&Action::CloseIdle(id(1))), "{actions:?}");
}

/// Guards against a read that waits until its timeout on a dead connection, while its server answers all later
/// requests.
#[test]
fn an_overtaken_read_is_hedged_once_and_an_unsafe_request_never() {
    let settings = cache_aside_settings();
    let mut node = Node::with(settings, 1, vec![entry(1), origin()]);
    let serve_later_request = |node: &mut Node, n| {
        node.advance(0.2);
        node.request(read(n, n));
        node.serve(n);
        sent(&node.advance(0.05))
    };
    node.request(read(1, 1));
    node.request(NewRequest { class: Some(UNSAFE_CLASS), ..read(2, 2) });
    assert_eq!(serve_later_request(&mut node, 3), [], "overtaken by less than half a latency target");
    assert_eq!(serve_later_request(&mut node, 4), [id(1)]);
    assert_eq!(serve_later_request(&mut node, 5), [], "a hedged read is not hedged again");
    // The key that the hedged attempt did not find is missing for the first attempt too: that one is cancelled,
    // and then the request goes to the origin.
    let actions = node.outcome(1, Status::NotCached, Some(CacheStatus::Miss));
    let cancel = Action::Cancel { request: RequestId(1), attempt: AttemptId(0) };
    assert!(actions.contains(&cancel) && sent(&actions).is_empty(), "{actions:?}");
    assert_eq!(sent(&node.event(first_attempt_ended(1, Status::Cancelled, 0.7))), [origin().server]);
}

/// Guards against hedged requests using up the budget, so that none is left for retries after resets.
#[test]
fn hedged_requests_use_at_most_half_of_the_retry_budget() {
    let mut settings = settings();
    settings.guarantees.retry_budget =
        Some(RetryBudgetRule { window: 10.0, min_retries: 4.0, retry_ratio: 0.0 });
    let mut node = Node::with(settings, 1, vec![entry(1)]);
    for n in 1..4 {
        assert_eq!(sent(&node.request(read(n, n))), [id(1)]);
    }
    node.advance(0.3);
    node.request(read(4, 4));
    node.serve(4);
    assert_eq!(sent(&node.advance(0.1)).len(), 2);
}

/// On a slow server expensive reads are overtaken all the time; hedging them would make it slower.
#[test]
fn a_server_that_is_slow_on_average_gets_no_hedged_requests() {
    let mut node = Node::with(settings(), 1, vec![entry(1)]);
    for n in 100..140 {
        node.request(read(n, n));
        node.now += 0.22;
        node.serve(n);
    }
    node.request(read(1, 1));
    node.advance(0.3);
    node.request(read(2, 2));
    node.advance(0.3);
    node.request(read(3, 3));
    node.serve(3);
    assert!(sent(&node.advance(0.1)).is_empty());
}

/// Guards against each node holding a rarely used connection open: two thirds of all attempts then got no
/// connection.
#[test]
fn idle_connections_are_closed_where_connections_are_scarce() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let closed = |node: &mut Node, n| {
        node.request(read(n, n));
        node.serve(n).iter().any(|a| matches!(a, Action::CloseIdle(_)))
    };
    assert!(!closed(&mut node, 1));
    for n in 100..110 {
        node.request(read(n, n));
        node.outcome(n, Status::Unreachable, None);
        node.serve(n);
    }
    assert!(closed(&mut node, 2));
    assert!(
        !(200..260).all(|n| closed(&mut node, n)),
        "they stay open once connections are no longer scarce"
    );
}

/// With many nodes open connections cost more than new ones and are closed; with few nodes they stay open.
#[test]
fn idle_connections_are_closed_where_they_cost_more_than_new_ones() {
    let closes = |nodes| {
        let prices = Prices { connection: 0.1, handshake: 0.1 };
        let mut node = Node::with(Settings { nodes, prices, ..settings() }, 1, fleet(4));
        node.request(read(1, 1));
        node.serve(1).contains(&Action::CloseIdle(node.sends[&RequestId(1)][0].0.clone()))
    };
    assert!(closes(500));
    assert!(!closes(3));
}
