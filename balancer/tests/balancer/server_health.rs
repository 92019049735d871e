//! Servers that fail, time out, reject requests or send malformed answers.

use crate::*;

/// Two failures eject a server for some seconds.
#[test]
fn a_server_that_fails_is_ejected_and_used_again_later() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let keys = keys_of_server_one(&mut node, 400, 20);
    record_usual_latency(&mut node);
    let sends_to_server_one = |node: &mut Node, from: u64, status| {
        let mut count = 0;
        for (n, &key) in keys.iter().enumerate() {
            let n = from + n as u64;
            let mut server = sent(&node.request(read(n, key)));
            node.now += 0.02;
            count += usize::from(server == [id(1)]);
            while server == [id(1)] && status != Status::Success {
                server = sent(&node.outcome(n, status, None));
            }
            if node.sends.contains_key(&RequestId(n)) {
                node.serve(n);
            }
        }
        count
    };
    let failing = sends_to_server_one(&mut node, 1000, Status::Broken);
    assert!((2..12).contains(&failing), "{failing} of 20 sent to a server that breaks");
    for round in 0..20 {
        node.advance(1.0);
        sends_to_server_one(&mut node, 2000 + 100 * round, Status::Success);
    }
    assert_eq!(sends_to_server_one(&mut node, 9000, Status::Success), 20);
}

/// Guards against malformed answers counting as failures: a few from every server ejected one server after
/// another, and most requests were refused.
#[test]
fn a_malformed_answer_is_retried_at_its_server_once_and_does_not_affect_its_health() {
    let mut node = Node::with(settings(), 1, fleet(6));
    record_usual_latency(&mut node);
    let key = keys_of_server_one(&mut node, 400, 1)[0];
    for n in 1000..1010 {
        assert_eq!(sent(&node.request(read(n, key))), [id(1)], "{n}");
        node.now += 0.01;
        assert_eq!(sent(&node.outcome(n, Status::Malformed, None)), [id(1)], "{n}");
        node.serve(n);
    }
    node.request(read(2000, key));
    node.outcome(2000, Status::Malformed, None);
    let third = sent(&node.outcome(2000, Status::Malformed, None));
    assert!(third.len() == 1 && third != [id(1)], "the third attempt goes to another server: {third:?}");
}

/// Guards against timeouts of requests that were sent only milliseconds before their deadline, after waiting for
/// a fetch, ejecting the servers.
#[test]
fn time_outs_of_requests_with_little_time_left_do_not_eject_a_server() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let mut keys = keys_of_server_one(&mut node, 400, usize::MAX).into_iter();
    record_usual_latency(&mut node);
    for n in 1000..1006 {
        let hurried = NewRequest { time_left: 0.06, ..read(n, keys.next().unwrap()) };
        assert_eq!(sent(&node.request(hurried)), [id(1)], "{n}");
        node.now += 0.05;
        node.outcome(n, Status::TimedOut, None);
    }
}

/// Work is heavy-tailed: an answer that took as long as its work hint does not indicate overload.
#[test]
fn expensive_requests_do_not_count_as_overload() {
    let sent_in_parallel = |work| {
        let mut node = Node::with(settings(), 1, fleet(1));
        for n in 0..40 {
            node.request(NewRequest { work_hint: work, ..read(n, 1) });
            node.now += 0.4;
            if node.sends.contains_key(&RequestId(n)) {
                node.serve(n);
            }
        }
        (100..140).filter(|&n| !sent(&node.request(read(n, 1))).is_empty()).count()
    };
    let (with_hints, without_hints) = (sent_in_parallel(Some(0.3)), sent_in_parallel(None));
    assert!(with_hints > without_hints, "{with_hints} at once with hints, {without_hints} without");
}

/// Guards against each node detecting an overloaded server by its own timeouts only: 36 nodes together sent it
/// enough requests to keep it overloaded. Two timeouts, at any nodes, must eject it at all nodes.
#[test]
fn a_server_with_two_time_outs_is_ejected_and_peers_are_notified() {
    let mut settings_with_peers = settings();
    settings_with_peers.limits.peer_messages = true;
    let mut node = Node::with(settings_with_peers, 1, fleet(6));
    record_usual_latency(&mut node);
    let keys = keys_of_server_one(&mut node, 400, 3);
    node.request(read(1000, keys[0]));
    node.now += 0.9;
    let notification = Action::NotifyPeers(failing_message(&id(1)));
    assert!(node.outcome(1000, Status::TimedOut, None).contains(&notification));
    node.advance(0.5);
    assert_eq!(node.home(2000, keys[1]), id(1), "one time-out does not eject the server");
    // Another node reports a timeout too; messages that name no server are ignored.
    for bytes in [failing_message(&id(1)), b"\xff\xfe".to_vec(), b"nobody".to_vec()] {
        node.event(Event::Message { from: 3, bytes });
    }
    node.advance(1.0);
    assert!(sent(&node.request(read(3000, keys[1]))).iter().all(|s| *s != id(1)));
    node.advance(6.0);
    assert_eq!(node.home(4000, keys[2]), id(1), "used again after its ejection");
}

/// If peer messages are not allowed, each node uses its own observations only.
#[test]
fn peers_are_not_notified_where_it_is_not_allowed() {
    let mut node = Node::with(settings(), 1, fleet(1));
    node.request(read(1, 1));
    node.now += 0.9;
    assert!(!node.outcome(1, Status::TimedOut, None).iter().any(|a| matches!(a, Action::NotifyPeers(_))));
}

/// Many nodes can overload a small server even with one request each.
#[test]
fn a_server_that_keeps_rejecting_requests_gets_few() {
    let mut node = Node::with(settings(), 1, fleet(1));
    let mut sends = 0;
    for n in 0..1000 {
        let actions = node.request(read(n, n));
        node.now += 0.005;
        if !sent(&actions).is_empty() {
            sends += 1;
            node.outcome(n, Status::Overloaded, None);
        }
    }
    assert!((2..60).contains(&sends), "{sends} sends in 5 s");
}

/// With hundreds of nodes, one request from each overloads a server: a node's concurrency limit is then below one.
#[test]
fn with_hundreds_of_nodes_a_server_gets_one_request_and_then_a_pause() {
    let mut node = Node::with(Settings { nodes: 300, ..settings() }, 1, fleet(1));
    let sends = |node: &mut Node, n: u64| {
        let count = sent(&node.request(read(n, n))).len();
        if count == 1 {
            node.serve(n);
        }
        count
    };
    let burst = (1..20).map(|n| sends(&mut node, n)).sum::<usize>();
    assert!((1..=6).contains(&burst), "{burst} of 20 requests sent in the burst");
    node.advance(3.0);
    assert_eq!(sends(&mut node, 30), 1);
}

/// Guards against attempts at dead servers using up the retry budget: nodes with an outdated list tried several
/// dead servers in a row, and up to 40 % of requests were refused unsent while most servers were idle.
#[test]
fn unreachable_attempts_do_not_count_against_the_default_retry_budget() {
    let mut node = node_in_large_deployment(fleet(20));
    let dead: BTreeSet<ServerId> = (1..=6).map(id).collect();
    let mut served = 0;
    for n in 0..200 {
        let mut to = sent(&node.request(read(n, n)));
        while let [server] = &to[..] {
            if !dead.contains(server) {
                node.serve(n);
                served += 1;
                break;
            }
            to = sent(&node.outcome(n, Status::Unreachable, None));
        }
        node.advance(0.05);
    }
    assert!(served > 190, "{served} of 200 served");
}

/// With many nodes, each tries a dead server only rarely: two refused connections, at any nodes, eject it at all
/// nodes.
#[test]
fn among_many_nodes_a_server_that_refuses_two_connections_is_ejected() {
    let mut node = node_in_large_deployment(fleet(10));
    let keys = keys_of_server_one(&mut node, 1000, 3);
    node.request(read(5000, keys[0]));
    let notification = Action::NotifyPeers(failing_message(&id(1)));
    assert!(node.outcome(5000, Status::Unreachable, None).contains(&notification));
    node.serve(5000);
    node.advance(0.5);
    assert_eq!(node.home(5001, keys[1]), id(1), "one refused connection does not eject the server");
    node.event(Event::Message { from: 9, bytes: failing_message(&id(1)) });
    assert_ne!(node.home(5002, keys[1]), id(1));
    node.advance(6.0);
    assert_eq!(node.home(5003, keys[1]), id(1), "used again later");
}

/// Guards against timeouts at any two of 100 nodes ejecting a server at all nodes: half of the fleet was ejected
/// and the other half overloaded.
#[test]
fn among_many_nodes_time_outs_do_not_eject_a_server() {
    let mut node = node_in_large_deployment(fleet(10));
    record_usual_latency(&mut node);
    let keys = keys_of_server_one(&mut node, 2000, usize::MAX);
    let mut requests = 0;
    for (n, &key) in (5000..5040).zip(&keys) {
        let to = sent(&node.request(read(n, key)));
        node.now += 0.9;
        if to == [id(1)] {
            requests += 1;
            let actions = node.outcome(n, Status::TimedOut, None);
            assert!(
                !actions.contains(&Action::NotifyPeers(failing_message(&id(1)))),
                "peers are notified of a failure"
            );
        }
        node.advance(0.1);
    }
    // The server continues to get requests for a decreasing share of its keys.
    assert!((4..30).contains(&requests), "{requests} requests");
}
