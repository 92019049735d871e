//! Slow start of servers that have just started.

use crate::*;

#[test]
fn a_just_started_server_owns_a_growing_part_of_its_keys() {
    let owned = |age: Seconds| {
        let mut entries = fleet(8);
        entries[0].started = Some(100.0 - age);
        let mut node = Node::with(settings(), 1, entries);
        paced_keys_of_server_one(&mut node, 0, 3000).len()
    };
    let (started_now, started_4_s_ago, started_9_s_ago) = (owned(0.0), owned(4.0), owned(9.0));
    assert!(started_now > 0 && started_now * 3 < started_9_s_ago, "{started_now} of {started_9_s_ago}");
    assert!(
        started_now < started_4_s_ago && started_4_s_ago < started_9_s_ago,
        "{started_now} {started_4_s_ago} {started_9_s_ago}"
    );
}

#[test]
fn a_server_that_is_warming_up_takes_no_overflow() {
    let mut entries = fleet(4);
    entries[0].started = Some(100.0);
    let mut node = Node::with(settings(), 1, entries.clone());
    let home_keys = keys_of_server_one(&mut node, 4000, usize::MAX);
    let mut node = Node::with(settings(), 1, entries);
    for n in (0..600).filter(|n| !home_keys.contains(n)) {
        assert!(sent(&node.request(read(n, n))).iter().all(|s| *s != id(1)), "key {n}");
    }
}

/// A new start time clears the failures of the previous process.
#[test]
fn a_restart_clears_the_failures_of_the_last_process() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let keys = keys_of_server_one(&mut node, 400, 5);
    record_usual_latency(&mut node);
    for (n, &key) in keys.iter().enumerate() {
        let n = 1000 + n as u64;
        let mut server = sent(&node.request(read(n, key)));
        node.now += 0.01;
        while server == [id(1)] {
            server = sent(&node.outcome(n, Status::Broken, None));
        }
        node.serve(n);
    }
    assert!(
        (0..60).filter(|&n| node.home(2000 + n, n) == id(1)).count() <= 2,
        "an ejected server gets almost no requests"
    );
    let started = RosterEntry { started: Some(node.now), ..entry(1) };
    node.event(Event::Roster(RosterUpdate::Delta(vec![started])));
    assert!(!paced_keys_of_server_one(&mut node, 3000, 400).is_empty());
}

/// Guards against popular keys overloading their restarted home server when hundreds of nodes each send little.
#[test]
fn many_nodes_together_do_not_overload_a_started_server_with_popular_keys() {
    let mut other = Node::with(settings(), 1, fleet(10));
    let keys = keys_of_server_one(&mut other, 4000, 60);
    let requests_at_started: usize = (0..100)
        .map(|seed| {
            let mut node = Node::with(Settings { nodes: 100, ..settings() }, seed, fleet(10));
            // 20 reads a second, all for keys of one server, which is restarted after 100 reads.
            let mut second = |from: usize| {
                let step =
                    |n: usize| (node.home((from + n) as u64, keys[(from + n) % 60]), node.advance(0.05)).0;
                let requests_at_started = (0..20).map(step).filter(|server| *server == id(1)).count();
                if from == 80 {
                    let started = RosterEntry { started: Some(node.now), ..entry(1) };
                    node.event(Event::Roster(RosterUpdate::Delta(vec![started])));
                }
                requests_at_started
            };
            (0..6).map(|n| second(20 * n)).last().unwrap_or_default()
        })
        .sum();
    // In the last second a warmed-up server gets 2 of a node's 20 reads and a started one a quarter of that; the
    // slow-start rule allows three times as much.
    assert!((1..=150).contains(&requests_at_started), "{requests_at_started} reads of 100 nodes");
}

/// Guards against slow-start allowances that depend only on a node's recent request rate, which a node that is new
/// or gets few requests underestimates. With six of ten servers just started, their keys then overloaded the other
/// four.
#[test]
fn nodes_that_have_observed_little_traffic_use_started_servers_by_their_capacity() {
    let mut entries = fleet(10);
    entries[..6].iter_mut().for_each(|e| e.started = Some(100.0));
    let tenants = vec![Tenant { name: "all".into(), quota: 600.0 }];
    let settings_for_many = Settings { nodes: 100, tenants, ..settings() };
    let (mut at_started, mut all) = (0, 0);
    for seed in 0..100 {
        let mut node = Node::with(settings_for_many.clone(), seed, entries.clone());
        for n in 0..12 {
            node.advance(0.3);
            let home = node.home(n, (100 * seed + n) * 7919);
            at_started += u32::from((1..=6).any(|server| home == id(server)));
            all += 1;
        }
    }
    // Six servers that start at a quarter of their capacity have 1.5 of 5.5, and more later.
    let share = f64::from(at_started) / f64::from(all);
    assert!((0.18..0.45).contains(&share), "{share} of all");
}

/// The slow-start rule: in any window of `overload_duration`, 100 nodes together send a started server less than
/// `overload_multiple` times its present capacity, however popular its keys are.
#[test]
fn all_nodes_together_keep_the_slow_start_rule_when_every_request_is_for_a_started_server() {
    let quota = 600.0;
    let tenants = vec![Tenant { name: "all".into(), quota }];
    let settings_for_many = Settings { nodes: 100, tenants, ..settings() };
    let started = RosterEntry { started: Some(110.0), ..entry(1) };
    let mut other = Node::with(settings(), 1, fleet(10));
    let keys = keys_of_server_one(&mut other, 4000, 60);
    let mut sends: Vec<Seconds> = Vec::new();
    for seed in 0..100 {
        let mut node = Node::with(settings_for_many.clone(), seed, fleet(10));
        node.advance(10.0);
        node.event(Event::Roster(RosterUpdate::Delta(vec![started.clone()])));
        for n in 0..160 {
            if node.home(n, keys[(n + seed) as usize % 60]) == id(1) {
                sends.push(node.now);
            }
            node.advance(0.05);
        }
    }
    sends.sort_by(f64::total_cmp);
    assert!(sends.len() > 100, "{} sends", sends.len());
    let rules = &settings_for_many.guarantees;
    for (n, &from) in sends.iter().enumerate() {
        let in_window =
            sends[n..].iter().take_while(|&&at| at < from + rules.overload_duration).count() as f64;
        let warmed_up_share = rules.initial_capacity_share
            + (1.0 - rules.initial_capacity_share) * ((from - 110.0) / rules.slow_start_duration).min(1.0);
        let allowed = rules.overload_multiple * warmed_up_share * quota / 10.0 * rules.overload_duration;
        assert!(in_window < allowed, "{in_window} sends from {from}, {allowed} allowed");
    }
}
