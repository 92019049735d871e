//! The chain on a simulated network and disk, under fixed seeds: links that delay, fail and recover, partitions, paused
//! processes, power losses of single nodes and of all, wiped disks, two operators whose changes race, and voters that are
//! replaced. Clusters have three, five and seven voters with standbys, and lose at most as many disks as they tolerate.
//!
//! A failing seed is printed and replays exactly: `CHAIN_SEED=n cargo test -p glenfall-control-plane --test chain`.
//! `CHAIN_RUNS=n` sets the number of schedules.

use std::collections::VecDeque;
use std::sync::Arc;

use glenfall_control_plane::chain::{
    Call, Chain, Claim, HardState, Heartbeat, JointConfig, Message, NodeId, Outcome, Output, Record, Start,
    View, VoterChange, VoterChangeError,
};
use glenfall_control_plane::config::ConfigChange;
use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable, IdempotencyKey, LogEntry};
use glenfall_control_plane::messages::CallId;
use glenfall_control_plane_sim::{node, seeds, ClusterSize, Schedule, World};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const THREE_VOTERS: ClusterSize = ClusterSize { losses: 1, spare: 0 };

fn run_schedule(seed: u64) -> u64 {
    match Schedule::long(seed).run() {
        Ok(coverage) => coverage.changes,
        Err(failed_run) => panic!("{} at {} ms\n{}", failed_run.violation, failed_run.at, failed_run.nodes),
    }
}

/// Advances the simulation by one step, and checks all properties.
fn step(world: &mut World) {
    world.step().expect("all properties hold");
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn no_acknowledged_change_is_lost_under_the_promised_faults() {
    if let Some(seed) = env_number("CHAIN_SEED") {
        println!("seed {seed}: {} changes", run_schedule(seed));
        return;
    }
    let runs = env_number("CHAIN_RUNS").unwrap_or(3000);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let run_share = |first: u64| {
        let run_seed = |seed| {
            let changes = std::panic::catch_unwind(|| run_schedule(seed));
            changes.unwrap_or_else(|_| panic!("seed {seed} failed; see above"))
        };
        (first..runs).step_by(threads as usize).map(run_seed).sum::<u64>()
    };
    let changes: u64 = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|first| scope.spawn(move || run_share(first))).collect();
        workers.into_iter().map(|worker| worker.join().expect("a schedule failed")).sum()
    });
    println!("{changes} changes acknowledged");
    assert!(changes > 1000, "only {changes} changes were acknowledged");
}

#[test]
fn a_change_is_committed_within_a_second_of_the_start() {
    let mut world = World::new(1, THREE_VOTERS);
    while world.now < 1000 {
        step(&mut world);
        if world.now.is_multiple_of(100) {
            world.run_operators();
        }
    }
    assert!(world.coverage.changes > 0);
    assert!(world.in_one_view());
}

#[test]
fn a_draining_member_leaves_the_chain_before_a_failure_would_be_detected() {
    let mut world = World::new(2, THREE_VOTERS);
    while world.now < 1000 {
        step(&mut world);
    }
    let now = world.now;
    world.with_chain(1, glenfall_control_plane::chain::Chain::start_draining);
    let needed = |world: &World| world.chain(1).is_some_and(Chain::is_needed);
    while needed(&world) && world.now < now + 600 {
        step(&mut world);
    }
    assert!(!needed(&world), "the chain still needs the draining node after 600 ms");
}

#[test]
fn changes_are_committed_only_once_enough_voters_are_reachable() {
    let mut world = World::new(4, ClusterSize { losses: 2, spare: 0 });
    world.isolate(5, 10_000);
    while world.now < 10_000 {
        step(&mut world);
        if world.now.is_multiple_of(50) {
            world.run_operators();
        }
    }
    assert_eq!(
        world.coverage.changes, 0,
        "a change was acknowledged, though four voters do not survive two losses"
    );
    while world.now < 14_000 {
        step(&mut world);
        if world.now.is_multiple_of(250) {
            world.run_operators();
        }
    }
    assert!(world.in_one_view());
    assert!(world.coverage.changes > 5, "only {} changes were acknowledged", world.coverage.changes);
}

/// Advances the simulation until a node knows a view that has these voters, and no outgoing ones.
fn await_voters(world: &mut World, at: u8, voters: &[u8]) {
    let until = world.now + 3000;
    let wanted: Vec<NodeId> = voters.iter().copied().map(node).collect();
    let has_voters = |world: &World| {
        let chain = world.chain(at).expect("the node runs");
        let members = chain.members();
        members.voters == wanted && members.outgoing.is_empty() && chain.view().is_some()
    };
    while !has_voters(world) {
        assert!(world.now < until, "node {at} knows no view of the voters {voters:?} after 3 s");
        step(world);
    }
}

#[test]
fn an_operator_adds_and_removes_voters_and_unsafe_requests_are_rejected() {
    let mut world = World::new(5, ClusterSize { losses: 1, spare: 2 });
    for n in 4..=5 {
        world.power_on(n);
    }
    while world.now < 3000 {
        step(&mut world);
        if world.now.is_multiple_of(250) {
            world.run_operators();
        }
    }
    let request = |world: &mut World, at: u8, change| {
        // The node may not have learned yet that the last reconfiguration is complete: retries for a second.
        let until = world.now + 1000;
        let result = loop {
            let now = world.now;
            let chain = world.machine(at).chain.as_mut().expect("the node runs");
            let result = chain.request_voter_change(now, change);
            if !matches!(result, Err(VoterChangeError::NoView | VoterChangeError::InProgress)) || now >= until
            {
                assert!(
                    result.is_err()
                        || chain.request_voter_change(now, change) == Err(VoterChangeError::InProgress)
                );
                break result;
            }
            step(world);
        };
        result.map(|voters| voters.into_iter().map(|voter| voter.octets()[3]).collect::<Vec<u8>>())
    };
    await_voters(&mut world, 1, &[1, 2, 3]);
    assert_eq!(
        request(&mut world, 1, VoterChange::Add(node(2))),
        Err(VoterChangeError::AlreadyVoter(node(2)))
    );
    assert_eq!(
        request(&mut world, 1, VoterChange::Add(node(9))),
        Err(VoterChangeError::Unreachable(node(9)))
    );
    assert_eq!(
        request(&mut world, 1, VoterChange::Remove(node(4))),
        Err(VoterChangeError::NotVoter(node(4)))
    );
    assert_eq!(
        request(&mut world, 4, VoterChange::Remove(node(1))),
        Err(VoterChangeError::NoView),
        "a node without a vote accepts no request"
    );
    // One of three voters is removed: a standby replaces it, also where the request is sent to the removed voter.
    assert_eq!(request(&mut world, 2, VoterChange::Remove(node(2))), Ok(vec![1, 3, 4]));
    await_voters(&mut world, 1, &[1, 3, 4]);
    assert_eq!(request(&mut world, 3, VoterChange::Add(node(5))), Ok(vec![1, 3, 4, 5]));
    await_voters(&mut world, 1, &[1, 3, 4, 5]);
    // There are more voters than needed: one is removed without a replacement.
    assert_eq!(request(&mut world, 1, VoterChange::Remove(node(3))), Ok(vec![1, 4, 5]));
    await_voters(&mut world, 4, &[1, 4, 5]);
    // Without a running standby, a voter that is needed cannot be removed.
    for n in 2..=3 {
        world.power_off(n, false);
    }
    while world.now < 9000 {
        step(&mut world);
    }
    let no_standby = VoterChangeError::NoStandby { left: 2, needed: 3, losses: 1 };
    assert_eq!(request(&mut world, 1, VoterChange::Remove(node(5))), Err(no_standby));
    let changes_before = world.coverage.changes;
    for _ in 0..100 {
        step(&mut world);
        if world.now.is_multiple_of(250) {
            world.run_operators();
        }
    }
    assert!(world.coverage.changes > changes_before, "no change was acknowledged after the rejected request");
}

#[test]
fn a_failed_surplus_voter_without_a_standby_is_removed() {
    let mut world = World::new(6, ClusterSize { losses: 1, spare: 1 });
    let run_until = |world: &mut World, end| {
        while world.now < end {
            step(world);
        }
    };
    run_until(&mut world, 1500);
    world.remove(3);
    world.power_on(4);
    run_until(&mut world, 2900);
    // An operator adds the standby as a fourth voter, so that it does not replace the failed one.
    world.request_voter_change(1, VoterChange::Add(node(4)));
    await_voters(&mut world, 1, &[1, 2, 3, 4]);
    // The failed voter is removed, so that the other three survive the loss of one more disk.
    run_until(&mut world, 5500);
    await_voters(&mut world, 1, &[1, 2, 4]);
}

/// A random message, whose numbers and lists may be out of range.
fn random_message(rng: &mut ChaCha8Rng) -> Message {
    let number = |rng: &mut ChaCha8Rng| match rng.random_range(0..5) {
        0 => rng.random(),
        1 => u64::MAX,
        2 => 1 << 62,
        _ => rng.random_range(0..200),
    };
    let call_id = |rng: &mut ChaCha8Rng| CallId { incarnation: number(rng), number: number(rng) };
    let nodes = |rng: &mut ChaCha8Rng| -> Vec<NodeId> {
        let count = if rng.random_bool(0.1) { 100 } else { rng.random_range(0..4) };
        (0..count).map(|_| node(rng.random_range(0..6))).collect()
    };
    let record = |rng: &mut ChaCha8Rng| {
        let document = (0..rng.random_range(0..40)).map(|_| rng.random()).collect();
        let rev = number(rng);
        let newest = if rng.random_bool(0.1) { number(rng) } else { rev };
        let order = AppliedOrder { rev: newest, key: IdempotencyKey([1; 32]) };
        let applied_orders =
            DeduplicationTable::from_orders(number(rng), &[order]).expect("a table of one order is valid");
        Arc::new(Record { seq: number(rng), rev, document, applied_orders })
    };
    let members = |rng: &mut ChaCha8Rng| JointConfig { voters: nodes(rng), outgoing: nodes(rng) };
    let view = |rng: &mut ChaCha8Rng| View { number: number(rng), chain: nodes(rng), members: members(rng) };
    let change = |rng: &mut ChaCha8Rng| {
        let bytes = (0..rng.random_range(0..40)).map(|_| rng.random()).collect();
        Call::Change { builds_on: number(rng), change: ConfigChange::Put(bytes) }
    };
    match rng.random_range(0..13) {
        0 => Message::Heartbeat(Heartbeat {
            members: members(rng),
            eligible: rng.random(),
            promised: number(rng),
            view: rng.random_bool(0.5).then(|| view(rng)),
            reachable_peers: nodes(rng),
            wiped: rng.random(),
            unfit: rng.random(),
            draining: rng.random(),
            committed: number(rng),
        }),
        1 => Message::Prepare { view: number(rng) },
        2 => {
            let accepted = rng.random_bool(0.5).then(|| number(rng));
            Message::Promise { view: number(rng), accepted, members: members(rng), record: record(rng) }
        }
        3 => Message::Nack { promised: number(rng) },
        4 => Message::Install { view: view(rng), record: record(rng) },
        5 => Message::Installed { view: number(rng) },
        6 => Message::StartView { view: view(rng) },
        7 => {
            let order = AppliedOrder { rev: number(rng), key: IdempotencyKey([2; 32]) };
            let entry = LogEntry { seq: number(rng), document: record(rng).document.clone(), order };
            Message::Update { view: number(rng), entry: Arc::new(entry) }
        }
        8 => Message::Acked { view: number(rng), seq: number(rng) },
        9 => Message::Committed { record: record(rng) },
        10 => Message::Forward { id: call_id(rng), call: change(rng) },
        11 => {
            let claim = match rng.random_range(0..4) {
                0 => Claim::Committed { newer_than: None },
                1 => Claim::Committed { newer_than: Some(number(rng)) },
                2 => Claim::Decided(Outcome::Conflict { current: number(rng) }),
                _ => Claim::Decided(Outcome::Unchanged),
            };
            Message::Confirm { view: number(rng), origin: node(1), id: call_id(rng), claim }
        }
        _ => Message::Answer { id: call_id(rng), outcome: Outcome::Conflict { current: number(rng) } },
    }
}

#[test]
fn malformed_messages_have_no_effect() {
    let mut world = World::new(3, THREE_VOTERS);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut ignored = 0;
    while world.now < 6000 {
        step(&mut world);
        let now = world.now;
        for message in (0..9).map(|_| random_message(&mut rng)).filter(|message| !message.is_well_formed()) {
            let chain = world.machines[0].chain.as_mut().expect("the node runs");
            assert_eq!(chain.message_received(now, node(2), message), []);
            ignored += 1;
        }
        if world.now.is_multiple_of(100) {
            world.run_operators();
        }
    }
    assert!(
        ignored > 1000 && world.coverage.changes > 20,
        "{ignored} messages ignored, {} changes acknowledged",
        world.coverage.changes
    );
    assert!(world.in_one_view());
}

#[test]
fn well_formed_messages_of_a_faulty_peer_cause_no_panic() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut chain = Chain::new(node(1), THREE_VOTERS.settings(), Start::Fresh(seeds()));
        let mut pending_writes = VecDeque::new();
        for now in 0..2000 {
            let from = node(rng.random_range(1..5));
            let outputs = match rng.random_range(0..20) {
                0 => chain.peer_connected(now, from),
                1 => chain.peer_disconnected(now, from),
                2 => chain.call(now, now, Call::Read),
                3 => chain.tick(now),
                4 => {
                    pending_writes.pop_front().map_or(Vec::new(), |number| chain.write_completed(now, number))
                }
                _ => chain.message_received(now, from, random_message(&mut rng)),
            };
            assert!(outputs.len() < 200, "seed {seed}: {} outputs of one event", outputs.len());
            for output in outputs {
                if let Output::Persist(number, _) = output {
                    pending_writes.push_back(number);
                }
            }
        }
    }
}

/// Delivers a message and completes the disk writes that it causes. Returns all other outputs.
fn outputs_for(chain: &mut Chain, now: u64, from: u8, message: Message) -> Vec<Output> {
    let mut outputs = Vec::new();
    for output in chain.message_received(now, node(from), message) {
        match output {
            Output::Persist(number, _) => outputs.extend(chain.write_completed(now, number)),
            output => outputs.push(output),
        }
    }
    outputs
}

fn record(seq: u64) -> Arc<Record> {
    let document = format!("{{\"rev\":{seq}}}").into_bytes();
    Arc::new(Record { seq, rev: seq, document, applied_orders: DeduplicationTable::default() })
}

#[test]
fn a_confirm_or_update_in_a_view_proves_that_the_view_has_started() {
    let members = JointConfig::of(seeds());
    let view = View { number: 3 << 32, chain: seeds(), members: members.clone() };
    // The tail, which has restarted from its disk and knows no committed record, installs the view.
    let restarted_tail = || {
        let disk =
            HardState { members: members.clone(), votes: true, promised: 1, accepted: 1, record: record(6) };
        let mut chain = Chain::new(node(3), THREE_VOTERS.settings(), Start::Recovered(disk));
        for peer in 1..=2 {
            chain.peer_connected(0, node(peer));
        }
        outputs_for(&mut chain, 1, 1, Message::Install { view: view.clone(), record: record(6) });
        chain
    };
    let mut chain = restarted_tail();
    let id = CallId { incarnation: 0, number: 9 };
    let claim = Claim::Committed { newer_than: None };
    let read = Message::Confirm { view: view.number, origin: node(2), id, claim };
    let answer = Message::Answer { id, outcome: Outcome::Document(record(6)) };
    assert!(
        outputs_for(&mut chain, 2, 2, read).contains(&Output::Send(node(2), answer)),
        "the tail does not answer with the record that the view began with"
    );

    // At a member in the middle of the chain, a later `StartView` does not commit a change that is in flight.
    let middle_view = View { chain: vec![node(1), node(3), node(2)], ..view.clone() };
    let mut chain = restarted_tail();
    let install =
        Message::Install { view: View { number: 4 << 32, ..middle_view.clone() }, record: record(6) };
    outputs_for(&mut chain, 2, 2, install);
    let entry = LogEntry {
        seq: 7,
        document: record(7).document.clone(),
        order: AppliedOrder { rev: 7, key: IdempotencyKey([7; 32]) },
    };
    let update = Message::Update { view: 4 << 32, entry: Arc::new(entry) };
    let outputs = outputs_for(&mut chain, 3, 1, update);
    assert!(outputs.contains(&Output::Publish(record(6))), "{outputs:?}");
    let outputs_after_start =
        outputs_for(&mut chain, 4, 2, Message::StartView { view: View { number: 4 << 32, ..middle_view } });
    let publishes_next = |output: &Output| matches!(output, Output::Publish(record) if record.seq == 7);
    assert!(!outputs_after_start.iter().any(publishes_next), "{outputs_after_start:?}");
}

#[test]
fn a_promise_is_discarded_when_the_link_to_its_sender_is_lost() {
    let mut chain = Chain::new(node(1), THREE_VOTERS.settings(), Start::Fresh(seeds()));
    let heartbeat = |reachable: [u8; 2], wiped| {
        let reachable_peers = reachable.map(node).to_vec();
        Message::Heartbeat(Heartbeat {
            members: JointConfig::of(seeds()),
            reachable_peers,
            wiped,
            ..Heartbeat::default()
        })
    };
    for peer in 2..=3 {
        chain.peer_connected(0, node(peer));
        chain.message_received(0, node(peer), heartbeat([1, 5 - peer], false));
    }
    // The node proposes a view, and its own disk is slow. Node 3 promises, and node 2 does not answer.
    let mut pending_writes = Vec::new();
    let mut view = None;
    for now in (0..200).step_by(20) {
        for output in chain.tick(now) {
            match output {
                Output::Send(_, Message::Prepare { view: number }) => view = Some(number),
                Output::Persist(number, _) => pending_writes.push(number),
                _ => {}
            }
        }
    }
    let view = view.expect("the node proposes");
    let promise = Message::Promise {
        view,
        accepted: Some(0),
        members: JointConfig::of(seeds()),
        record: Arc::default(),
    };
    assert_eq!(chain.message_received(200, node(3), promise), []);
    // Node 3 loses its disk, and with it any promise, and is back at once.
    chain.peer_disconnected(210, node(3));
    chain.peer_connected(220, node(3));
    chain.message_received(220, node(3), heartbeat([1, 2], true));
    let mut outputs: Vec<Output> =
        pending_writes.iter().flat_map(|number| chain.write_completed(230, *number)).collect();
    for now in (240..700).step_by(20) {
        outputs.extend(chain.tick(now));
    }
    let installs = |output: &&Output| matches!(output, Output::Send(_, Message::Install { .. }));
    assert_eq!(
        outputs.iter().find(installs),
        None,
        "the majority includes a promise that its sender may have forgotten"
    );
}

#[test]
fn an_excluded_node_that_reports_an_old_view_does_not_prevent_a_new_one() {
    let members = JointConfig::of(seeds());
    let disk =
        HardState { members: members.clone(), votes: true, promised: 1, accepted: 1, record: record(6) };
    let mut chain = Chain::new(node(1), THREE_VOTERS.settings(), Start::Recovered(disk));
    let view = View { number: 5 << 32, chain: seeds(), members: members.clone() };
    // Node 4 was a member of an older view without node 1, and has received nothing since.
    let old_view = View { number: 3 << 32, chain: [2, 3, 4].map(node).to_vec(), ..view.clone() };
    let deliver_heartbeats = |chain: &mut Chain, now| {
        for (peer, view) in [(2, &view), (3, &view), (4, &old_view)] {
            let others = (1..=4).filter(|n| *n != peer).map(node).collect();
            let heartbeat = Heartbeat {
                members: members.clone(),
                view: Some(view.clone()),
                reachable_peers: others,
                ..Heartbeat::default()
            };
            outputs_for(chain, now, peer, Message::Heartbeat(heartbeat));
        }
    };
    for peer in 2..=4 {
        chain.peer_connected(0, node(peer));
    }
    outputs_for(&mut chain, 10, 2, Message::Install { view: view.clone(), record: record(6) });
    outputs_for(&mut chain, 20, 2, Message::StartView { view: view.clone() });
    deliver_heartbeats(&mut chain, 30);
    // A link is lost for a moment. The other nodes may not have noticed, or see all links up again.
    chain.peer_disconnected(50, node(2));
    chain.peer_connected(60, node(2));
    let mut proposes = false;
    for now in (60..2000).step_by(20) {
        deliver_heartbeats(&mut chain, now);
        let outputs = chain.tick(now);
        proposes |= outputs.iter().any(|output| matches!(output, Output::Send(_, Message::Prepare { .. })));
    }
    assert!(proposes, "no view is proposed after the link was lost");
}
