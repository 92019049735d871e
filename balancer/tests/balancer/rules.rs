//! Rules on answers, retries, the retry budget, draining servers and refusals.

use crate::*;

#[test]
fn without_servers_a_request_is_queued_for_part_of_its_latency_target_and_then_refused() {
    let mut node = Node::new(settings(), 1);
    assert!(sent(&node.request(read(1, 1))).is_empty());
    assert!(refused(&node.advance(0.5)));

    let mut node = Node::new(settings(), 1);
    node.request(read(1, 1));
    let actions = node.event(Event::Roster(RosterUpdate::Complete(fleet(2))));
    assert_eq!(sent(&actions).len(), 1);
}

#[test]
fn every_request_is_answered_before_its_deadline_even_if_nothing_answers() {
    for class in [READ_CLASS, KEYED_CLASS, UNSAFE_CLASS] {
        let mut node = Node::with(settings(), 1, fleet(4));
        node.request(NewRequest { class: Some(class), ..read(1, 1) });
        node.now += 1.0 - 0.01;
        let actions = node.event(Event::Timer(TimerToken(2)));
        assert!(refused(&actions) || failed(&actions), "{class:?}");
        assert!(sent(&actions).is_empty());
        // A delayed batch reports the timeout after the final answer; it is ignored.
        node.now += 0.02;
        let delayed = node.outcome(1, Status::TimedOut, None);
        assert!(!refused(&delayed) && !failed(&delayed) && sent(&delayed).is_empty());
    }
}

#[test]
fn events_of_unknown_or_ended_requests_are_ignored() {
    let mut node = Node::with(settings(), 1, fleet(4));
    assert!(node.event(Event::RequestCancelled(RequestId(7))).is_empty());
    assert!(node.event(Event::Timer(TimerToken(77))).is_empty());
    assert!(node.event(Event::HealthChecked { server: id(200), status: Status::Success }).is_empty());
    assert!(node.event(Event::StreamStarted { request: RequestId(7), attempt: AttemptId(0) }).is_empty());
    assert!(node.event(first_attempt_ended(7, Status::TimedOut, 0.1)).is_empty());
    node.request(read(1, 1));
    node.serve(1);
    assert!(node.event(first_attempt_ended(1, Status::TimedOut, 0.1)).is_empty());
}

#[test]
fn a_started_stream_is_not_interrupted() {
    let mut node = Node::with(settings(), 1, fleet(4));
    node.request(read(1, 1));
    node.event(Event::StreamStarted { request: RequestId(1), attempt: AttemptId(0) });
    node.now += 5.0;
    assert!(node.event(Event::Timer(TimerToken(2))).is_empty());
}

const ALL_STATUSES: [Status; 11] = [
    Status::Success,
    Status::Error,
    Status::Overloaded,
    Status::TimedOut,
    Status::Unreachable,
    Status::Broken,
    Status::Cancelled,
    Status::NotSent,
    Status::NotCached,
    Status::Malformed,
    Status::Unknown,
];

#[test]
fn no_status_leads_to_a_retry_that_the_effect_of_the_request_forbids() {
    for status in ALL_STATUSES {
        for class in [READ_CLASS, KEYED_CLASS, UNSAFE_CLASS] {
            let mut node = Node::with(settings(), 1, fleet(6));
            let first = sent(&node.request(NewRequest { class: Some(class), ..read(1, 5) }))[0].clone();
            node.now += 0.01;
            let actions = node.outcome(1, status, None);
            let again = sent(&actions);
            if status == Status::Success {
                assert!(again.is_empty() && !refused(&actions) && !failed(&actions));
            } else if status.may_have_run() && class == UNSAFE_CLASS {
                assert!(again.is_empty() && !refused(&actions), "{status:?} {actions:?}");
            } else if status.may_have_run() && class == KEYED_CLASS {
                // Zones alternate by server number; keyed requests may be retried in the same zone only.
                let zone = |s: &ServerId| s.0.trim_end_matches(":80").ends_with(['0', '2', '4', '6', '8']);
                assert!(again.iter().all(|s| zone(s) == zone(&first)), "{status:?} {again:?}");
                assert!(!refused(&actions), "{status:?}");
            }
            assert!(again.len() <= 1);
        }
    }
}

#[test]
fn a_keyed_request_is_not_retried_after_its_window() {
    let mut node = Node::with(settings(), 1, fleet(6));
    node.request(NewRequest { class: Some(KEYED_CLASS), time_left: 2.0, ..read(1, 5) });
    node.now += 1.2;
    let actions = node.outcome(1, Status::Broken, None);
    assert!(sent(&actions).is_empty());
}

#[test]
fn a_drain_just_before_a_send_prevents_the_send() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut node = Node::with(settings(), 1, fleet(4));
        let home = node.home(1, 9);
        let n = (1..=4).find(|&n| id(n) == home).unwrap();
        node.event(Event::Roster(RosterUpdate::Delta(vec![RosterEntry { state, ..entry(n) }])));
        for request in 2..40 {
            assert!(sent(&node.request(read(request, 9))).iter().all(|s| *s != home));
        }
    }
}

#[test]
fn a_server_absent_from_a_complete_list_has_left() {
    let mut node = Node::with(settings(), 1, fleet(4));
    node.event(Event::Roster(RosterUpdate::Complete(fleet(3))));
    assert!((1..200).all(|n| node.home(n, n) != id(4)));
}

#[test]
fn an_emptied_list_sends_nothing_and_a_new_one_serves_again() {
    let mut node = Node::with(settings(), 1, fleet(4));
    node.event(Event::Roster(RosterUpdate::Complete(vec![])));
    assert!(sent(&node.request(read(1, 1))).is_empty());
    node.event(Event::Roster(RosterUpdate::Complete(fleet(4))));
    assert_eq!(sent(&node.request(read(2, 2))).len(), 1);
}

/// Guards against a token bucket, which fills during idle times and then allows more retries in a window than the
/// rule does.
#[test]
fn retries_stay_within_the_budget_in_any_window() {
    let mut settings_with_budget = settings();
    settings_with_budget.guarantees.retry_budget =
        Some(RetryBudgetRule { window: 5.0, min_retries: 2.0, retry_ratio: 0.1 });
    let mut node = Node::with(settings_with_budget, 1, fleet(8));
    let (mut accepted, mut retries) = (Vec::new(), Vec::new());
    for n in 0..600 {
        // Constant load, a pause that empties the window, and then a burst of failures.
        let failing = n >= 300;
        node.now += if n == 300 { 4.0 } else { 0.01 };
        accepted.push(node.now);
        let mut actions = node.request(read(n, n));
        while !sent(&actions).is_empty() {
            node.now += 0.001;
            let status = if failing { Status::Overloaded } else { Status::Success };
            actions = node.outcome(n, status, Some(CacheStatus::Hit));
            if !sent(&actions).is_empty() {
                retries.push(node.now);
                let within = |times: &[f64]| times.iter().filter(|&&t| t > node.now - 5.0).count() as f64;
                assert!(within(&retries) <= 2.0 + 0.1 * within(&accepted), "request {n}");
            }
        }
    }
    assert!(retries.len() > 20, "{} retries", retries.len());
}

#[test]
fn a_not_cached_answer_allows_one_retry_outside_the_budget() {
    let mut settings = cache_aside_settings();
    settings.guarantees.retry_budget =
        Some(RetryBudgetRule { window: 5.0, min_retries: 0.0, retry_ratio: 0.0 });
    let entries = fleet_and_origin(4);
    let mut node = Node::with(settings, 1, entries);
    node.request(read(1, 3));
    assert_eq!(sent(&node.outcome(1, Status::NotCached, None)), [origin().server]);
    let after = node.outcome(1, Status::Overloaded, None);
    assert!(sent(&after).is_empty() && refused(&after), "no budget is left for one more");
}

#[test]
fn connections_to_a_draining_server_are_closed_at_the_notice_and_after_each_outcome() {
    let mut closing = settings();
    closing.guarantees.close_on_drain = Some(1.0);
    let closes = |actions: &[Action], n| actions.contains(&Action::CloseIdle(id(n)));
    let mut node = Node::with(closing, 1, fleet(4));
    let key = keys_of_server_one(&mut node, 400, 1)[0];
    node.request(NewRequest { time_left: 1.9, ..read(900, key) });
    let drain = RosterEntry { state: ServerState::Draining, ..entry(1) };
    assert!(closes(&node.event(Event::Roster(RosterUpdate::Delta(vec![drain.clone()]))), 1));
    // With ordered answers a connection may become idle unnoticed, so closing is repeated while it is listed.
    assert!(closes(&node.advance(0.4), 1));
    assert!(closes(&node.event(Event::Roster(RosterUpdate::Delta(vec![drain]))), 1), "a repeated notice");
    assert!(
        closes(&node.event(Event::Roster(RosterUpdate::Complete(fleet(4)[1..].to_vec()))), 1),
        "a list without it"
    );
    node.advance(1.0);
    assert!(closes(&node.serve(900), 1), "an outcome after it left the list");
    assert!(!closes(&node.advance(2.0), 2), "connections to a server that is not draining stay open");
}

#[test]
fn retries_are_budgeted() {
    let mut node = Node::with(settings(), 1, fleet(8));
    let mut retries = 0;
    for n in 0..1000 {
        let mut actions = node.request(read(n, n));
        while !sent(&actions).is_empty() {
            node.now += 0.01;
            actions = node.outcome(n, Status::Overloaded, None);
            retries += sent(&actions).len();
        }
    }
    assert!((20..=125).contains(&retries), "{retries} retries of 1000 requests");
}

#[test]
fn invalid_settings_are_errors_that_name_the_value() {
    let error_of = |change: &dyn Fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Balancer::new(s, 1).err().expect("an error").to_string()
    };
    assert!(error_of(&|s| s.nodes = 0).contains("balancers"));
    assert!(error_of(&|s| s.classes.clear()).contains("classes"));
    assert!(error_of(&|s| s.guarantees.slow_start_duration = -1.0).contains("ramp"));
    assert!(error_of(&|s| s.guarantees.initial_capacity_share = f64::NAN).contains("cold-from"));
    assert!(error_of(&|s| s.classes[0].deadline = 0.0).contains("read"));
}

#[test]
fn a_refusal_advises_a_retry_time_that_clients_follow() {
    let advice = |limits: Limits| {
        let mut node = Node::with(Settings { limits, ..settings() }, 1, vec![]);
        node.request(read(1, 1));
        node.advance(0.5).iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    };
    let with_advice = Limits { retry_after: true, max_retry_after: 0.05, ..settings().limits };
    assert_eq!(advice(with_advice.clone()), Some(Some(0.05)));
    let usual = advice(Limits { max_retry_after: 10.0, ..with_advice.clone() }).flatten();
    assert!(usual.is_some_and(|after| after > 0.05 && after < 1.0), "{usual:?}");
    assert_eq!(advice(Limits { retry_after: false, ..with_advice }), Some(None));
}

/// Guards against each answer dispatching all queued requests: as each of them tries all slots, this used more CPU
/// than the node has.
#[test]
fn an_answer_dispatches_only_a_few_of_the_queued_requests() {
    let cache = cache_aside_mode();
    let mut node = Node::with(Settings { cache, ..settings() }, 1, fleet(1));
    assert_eq!(sent(&node.request(NewRequest { time_left: 30.0, ..read(1, 1) })).len(), 1);
    // Two failures eject the only server for at most 5 s.
    for from in [3, 4] {
        node.event(Event::Message { from, bytes: failing_message(&id(1)) });
    }
    node.now += 2.9;
    for n in 2..20 {
        let queued = NewRequest { time_left: 30.0, ..read(n, n) };
        assert!(sent(&node.request(queued)).is_empty(), "{n} is queued");
    }
    node.now += 2.2;
    assert_eq!(sent(&node.serve(1)).len(), 2);
    node.now += 0.05;
    assert!(sent(&node.event(Event::Timer(TimerToken(0)))).len() > 2, "the others at the next housekeeping");
}
