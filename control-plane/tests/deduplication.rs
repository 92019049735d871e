//! Deduplication of orders that are retried concurrently, at any node, and across view changes and reconfigurations, and
//! orders that compete for the same version. The first tests use one record alone. The others use a chain on a network
//! without delay, on which each message is encoded and decoded.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_control_plane::chain::{
    Call, Chain, ChainSettings, HardState, JointConfig, Message, NodeId, Outcome, Output, Record, Start,
    View, VoterChange,
};
use glenfall_control_plane::config::{ConfigChange, InvalidConfig, MAX_DOCUMENT_BYTES};
use glenfall_control_plane::deduplication::{
    AppliedOrder, DeduplicationTable, IdempotencyKey, InvalidTable, LogEntry, MAX_APPLIED_ORDERS,
    ORDERS_PER_CHUNK,
};
use glenfall_control_plane::messages::MAX_FRAME_BYTES;
use glenfall_control_plane::record::Decision;
use glenfall_control_plane::Millis;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The table retains the key of an order at least until so many later orders are applied.
const MIN_RETAINED: usize = MAX_APPLIED_ORDERS - ORDERS_PER_CHUNK;

type Order = (u64, ConfigChange);

fn put(builds_on: u64, rev: u64, note: u64) -> Order {
    (builds_on, ConfigChange::Put(format!("{{\"rev\":{rev},\"note\":{note}}}").into_bytes()))
}

fn patch(builds_on: u64, rev: u64, note: u64) -> Order {
    (builds_on, ConfigChange::Patch(format!("{{\"rev\":{rev},\"upsert\":{{\"note\":{note}}}}}").into_bytes()))
}

fn apply(record: &mut Record, order: &Order) {
    match record.decide(order.0, &order.1) {
        Decision::New(entry) => *record = record.with_entry_applied(&entry),
        other => panic!("{order:?} was not applied to version {}: {other:?}", record.rev),
    }
}

fn decide(record: &Record, order: &Order) -> Decision {
    record.decide(order.0, &order.1)
}

/// Applies PUT and PATCH orders in turn. Each builds on the current version and raises it by 2.
fn apply_orders(record: &mut Record, order_count: usize) {
    for n in 0..order_count {
        let (rev, make) = (record.rev, if n % 2 == 0 { put } else { patch });
        apply(record, &make(rev, rev + 2, 0));
    }
}

#[test]
fn a_retried_order_is_recognised_while_its_key_is_in_the_table_and_expires_afterwards() {
    for make in [put, patch] {
        let mut record = Record::default();
        apply_orders(&mut record, 3);
        let order = make(record.rev, record.rev + 3, 7);
        apply(&mut record, &order);
        let rev = record.rev;
        let mut applied_count = 0;
        for later_orders in [0, 1, 64, 65, 1000, MIN_RETAINED] {
            apply_orders(&mut record, later_orders - applied_count);
            applied_count = later_orders;
            assert_eq!(
                decide(&record, &order),
                Decision::AlreadyApplied { rev },
                "after {later_orders} later orders"
            );
            // Another order that makes the same version is never confirmed, whether it differs in method, content or base
            // version.
            let others = [put(order.0, rev, 8), patch(order.0, rev, 8), put(order.0 - 1, rev, 7)];
            let other_method = if matches!(order.1, ConfigChange::Put(_)) { patch } else { put };
            for other in others.iter().chain([&other_method(order.0, rev, 7)]) {
                assert_eq!(
                    decide(&record, other),
                    Decision::Stale { current: record.rev },
                    "after {later_orders} later orders"
                );
            }
        }
        for later_orders in [MAX_APPLIED_ORDERS, 5000, 9000] {
            apply_orders(&mut record, later_orders - applied_count);
            applied_count = later_orders;
            let up_to = record.applied_orders.horizon();
            assert!(up_to >= rev && record.applied_orders.len() <= MAX_APPLIED_ORDERS);
            assert_eq!(
                decide(&record, &order),
                Decision::Expired { up_to },
                "after {later_orders} later orders"
            );
            assert_eq!(decide(&record, &put(order.0, rev, 8)), Decision::Expired { up_to });
            // An order that makes no version is rejected, however old it is.
            let rejected = InvalidConfig::OldVersion { current: record.rev, got: rev };
            assert_eq!(decide(&record, &put(record.rev, rev, 7)), Decision::Invalid(rejected));
            assert_eq!(decide(&record, &put(rev, rev, 7)), Decision::Stale { current: record.rev });
        }
    }
}

#[test]
fn the_idempotency_key_covers_method_base_version_and_body() {
    let mut keys = std::collections::HashSet::new();
    for builds_on in [0, 1, 5, 256, u64::MAX] {
        for body in [&b""[..], b"a", b"b", b"a\0", b"\0a", b" {\"rev\":5}"] {
            assert!(keys.insert(IdempotencyKey::of(builds_on, &ConfigChange::Put(body.to_vec())).0));
            assert!(keys.insert(IdempotencyKey::of(builds_on, &ConfigChange::Patch(body.to_vec())).0));
        }
    }
    // Keys are stored on disk, and must be the same in all versions of the program: SHA-256 of "PATCH", 258 in eight bytes
    // and the body.
    let key = IdempotencyKey::of(258, &ConfigChange::Patch(b"{\"rev\":260}".to_vec()));
    assert_eq!(key.to_string(), "57f92f777dc32a89bab1162fa292d5f2236aa33528bd3fb3ed58a2cf30e5b2f9");
    assert_eq!(key.to_string().parse(), Ok(key));
    assert_eq!("12".parse::<IdempotencyKey>(), Err(InvalidTable::Key));
    assert_eq!("x".repeat(64).parse::<IdempotencyKey>(), Err(InvalidTable::Key));
}

#[test]
fn a_patch_with_a_repeated_version_field_is_identified_by_the_last_one() {
    let mut record = Record::default();
    let repeated_rev = (0, ConfigChange::Patch(b"{\"rev\":3,\"upsert\":{},\"rev\":4}".to_vec()));
    apply(&mut record, &repeated_rev);
    assert_eq!((record.rev, decide(&record, &repeated_rev)), (4, Decision::AlreadyApplied { rev: 4 }));
    apply_orders(&mut record, 5000);
    let up_to = record.applied_orders.horizon();
    assert_eq!(decide(&record, &repeated_rev), Decision::Expired { up_to });
}

#[test]
fn an_order_that_a_restored_record_may_have_lost_is_neither_confirmed_nor_rejected() {
    let mut record = Record::default();
    apply_orders(&mut record, 4);
    let known = put(8, 10, 1);
    apply(&mut record, &known);
    let mut later_record = record.clone();
    let lost_orders = [put(10, 12, 1), patch(12, 13, 1)];
    for order in &lost_orders {
        apply(&mut later_record, order);
    }
    // The backup was made before the last two orders; the operator states that versions up to 13 were acknowledged.
    record.applied_orders.raise_horizon(13);
    for order in lost_orders.iter().chain([&put(10, 12, 2), &patch(10, 13, 2)]) {
        assert_eq!(decide(&record, order), Decision::Expired { up_to: 13 });
    }
    assert_eq!(decide(&record, &known), Decision::AlreadyApplied { rev: 10 });
    apply(&mut record, &put(10, 14, 1));
    assert_eq!(decide(&record, &lost_orders[0]), Decision::Expired { up_to: 13 });
    assert_eq!(decide(&record, &put(10, 15, 1)), Decision::Stale { current: 14 });
}

#[test]
fn the_table_is_bounded_and_invalid_tables_are_rejected() {
    let mut record = Record { rev: u64::MAX - (1 << 20), ..Record::default() };
    let mut longest = 0;
    for _ in 0..=(MAX_APPLIED_ORDERS + ORDERS_PER_CHUNK) {
        apply_orders(&mut record, 1);
        longest = longest.max(record.applied_orders.len());
    }
    assert_eq!(longest, MAX_APPLIED_ORDERS);
    for order_count in [0, 1, ORDERS_PER_CHUNK - 1, ORDERS_PER_CHUNK, 1000] {
        apply_orders(&mut record, order_count);
        let bytes = postcard::to_stdvec(&record.applied_orders).unwrap();
        assert!(bytes.len() <= 176_000, "{} bytes", bytes.len());
        assert_eq!(postcard::from_bytes::<DeduplicationTable>(&bytes).unwrap(), record.applied_orders);
    }
    // Most chunks are shared with the record before.
    let mut next = record.clone();
    apply_orders(&mut next, 1);
    let shared = |(one, other): (&Arc<_>, &Arc<_>)| Arc::ptr_eq(one, other);
    assert!(record.applied_orders.full_chunks().iter().zip(next.applied_orders.full_chunks()).all(shared));
    let order = |rev| AppliedOrder { rev, key: IdempotencyKey([0; 32]) };
    let not_rising = DeduplicationTable::from_orders(0, &[order(4), order(6), order(6)]);
    assert_eq!(not_rising, Err(InvalidTable::VersionsNotIncreasing { previous: 6, next: 6 }));
    let too_many: Vec<AppliedOrder> = (0..=MAX_APPLIED_ORDERS as u64).map(order).collect();
    assert_eq!(
        DeduplicationTable::from_orders(0, &too_many),
        Err(InvalidTable::TooMany(MAX_APPLIED_ORDERS + 1))
    );
    let oversized_table = postcard::to_stdvec(&(0u64, too_many)).unwrap();
    assert!(postcard::from_bytes::<DeduplicationTable>(&oversized_table).is_err());
}

#[test]
fn a_document_that_grows_by_patches_never_exceeds_the_frame_size() {
    let mut record = Record::default();
    let growing_patch = |rev: u64, name: &str, bytes: usize| {
        let text = "x".repeat(bytes);
        (
            rev - 1,
            ConfigChange::Patch(format!(r#"{{"rev":{rev},"upsert":{{"{name}":"{text}"}}}}"#).into_bytes()),
        )
    };
    apply_orders(&mut record, MAX_APPLIED_ORDERS);
    let rev = record.rev;
    for (n, name) in (1..).zip(["a", "b", "c"]) {
        apply(&mut record, &growing_patch(rev + n, name, (1 << 20) - 40));
    }
    let last = growing_patch(rev + 4, "d", 1000);
    assert!(matches!(decide(&record, &last), Decision::Invalid(InvalidConfig::TooLarge(_))));
    let view = View {
        number: 1 << 40,
        chain: vec![node(0); 32],
        members: JointConfig::of((0..16).map(node).collect()),
    };
    let install = Message::Install { view, record: Arc::new(record) };
    let bytes = postcard::to_stdvec(&install).unwrap().len();
    assert!(bytes > MAX_DOCUMENT_BYTES && bytes < MAX_FRAME_BYTES, "{bytes} bytes");
}

/// Reference model of the deduplication table, without eviction: all applied orders with their versions, the oldest first.
struct ReferenceModel {
    applied: Vec<(Order, u64)>,
}

impl ReferenceModel {
    fn current_rev(&self) -> u64 {
        self.applied.last().map_or(0, |(_, rev)| *rev)
    }

    fn check(&self, order: &Order, rev: u64, decision: &Decision, case: &str) {
        let position = self.applied.iter().position(|(applied, _)| applied == order);
        let must_be_retained =
            position.is_some_and(|position| self.applied.len() - 1 - position <= MIN_RETAINED);
        match decision {
            Decision::AlreadyApplied { rev: decided } => {
                assert!(position.is_some() && *decided == rev, "{case}");
            }
            Decision::Expired { .. } => {
                // The key may have been evicted only after enough orders with higher versions.
                let newer_orders = self.applied.iter().filter(|(_, applied_rev)| *applied_rev > rev).count();
                assert!(
                    !must_be_retained && newer_orders >= MIN_RETAINED,
                    "{case}: {newer_orders} orders with higher versions"
                );
            }
            Decision::New(entry) => {
                let next = order.0 == self.current_rev() && rev > self.current_rev();
                assert!(position.is_none() && next && entry.order.rev == rev, "{case}");
            }
            Decision::Stale { current } => {
                assert!(
                    position.is_none() && order.0 != self.current_rev() && *current == self.current_rev(),
                    "{case}"
                );
            }
            Decision::Invalid(_) => {
                assert!(
                    position.is_none() && order.0 == self.current_rev() && rev <= self.current_rev(),
                    "{case}"
                );
            }
        }
    }
}

#[test]
fn decisions_on_random_orders_match_a_reference_model_with_all_orders() {
    for seed in 0..3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut record, mut reference) = (Record::default(), ReferenceModel { applied: Vec::new() });
        let mut in_flight: Vec<(Order, u64)> = Vec::new();
        let mut counts = [0usize; 5];
        while reference.applied.len() < 5500 {
            // Operators build on the newest version or on an earlier one, and choose versions that others choose too.
            while in_flight.len() < 8 {
                let behind = if rng.random_bool(0.7) { 0 } else { rng.random_range(0..5) };
                let builds_on = reference.applied.iter().rev().nth(behind).map_or(0, |(_, rev)| *rev);
                let rev = (builds_on + rng.random_range(0..4)).max(1);
                let make = if rng.random() { put } else { patch };
                in_flight.push((make(builds_on, rev, rng.random_range(0..3)), rev));
            }
            // An order in flight arrives, and may stay in flight as a duplicate; or an applied order is retried.
            let retried = rng.random_bool(0.3).then(|| reference.applied.choose(&mut rng).cloned()).flatten();
            let (order, rev) = match retried {
                Some(retried) => retried,
                None => in_flight.swap_remove(rng.random_range(0..in_flight.len())),
            };
            let decision = decide(&record, &order);
            let case = format!("seed {seed}, {} applied: {order:?}: {decision:?}", reference.applied.len());
            reference.check(&order, rev, &decision, &case);
            counts[match &decision {
                Decision::New(_) => 0,
                Decision::AlreadyApplied { .. } => 1,
                Decision::Expired { .. } => 2,
                Decision::Stale { .. } => 3,
                Decision::Invalid(_) => 4,
            }] += 1;
            if let Decision::New(entry) = decision {
                record = record.with_entry_applied(&entry);
                reference.applied.push((order.clone(), rev));
            }
            if rng.random_bool(0.3) && in_flight.len() < 8 {
                in_flight.push((order, rev));
            }
        }
        assert!(counts.iter().all(|count| *count > 100), "seed {seed}: {counts:?}");
    }
}

const TICK_INTERVAL: Millis = 20;

fn node(n: usize) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

/// A cluster whose messages arrive and whose disk writes complete without delay, in a random order.
struct Cluster {
    rng: ChaCha8Rng,
    now: Millis,
    chains: Vec<Option<Chain>>,
    disks: Vec<Option<HardState>>,
    links: BTreeMap<(usize, usize), VecDeque<Message>>,
    pending_writes: Vec<VecDeque<u64>>,
    answers: BTreeMap<u64, Outcome>,
    last_call: u64,
}

impl Cluster {
    /// Three voters and one standby.
    fn new(seed: u64) -> Cluster {
        let mut cluster = Cluster {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            chains: vec![None, None, None, None],
            disks: vec![None, None, None, None],
            links: BTreeMap::new(),
            pending_writes: vec![VecDeque::new(); 4],
            answers: BTreeMap::new(),
            last_call: 0,
        };
        let seeds: Vec<NodeId> = (0..3).map(node).collect();
        for n in 0..4 {
            cluster.start(n, if n < 3 { Start::Fresh(seeds.clone()) } else { Start::Wiped });
        }
        cluster
    }

    fn running(&self) -> Vec<usize> {
        (0..4).filter(|n| self.chains[*n].is_some()).collect()
    }

    fn start(&mut self, n: usize, start: Start) {
        let settings = ChainSettings { tolerated_losses: 1, eligible: true, ..ChainSettings::default() };
        self.chains[n] = Some(Chain::new(node(n), settings, start));
        for other in self.running().into_iter().filter(|other| *other != n) {
            self.links.insert((n, other), VecDeque::new());
            self.links.insert((other, n), VecDeque::new());
            self.with_chain(n, |chain, now| chain.peer_connected(now, node(other)));
            self.with_chain(other, |chain, now| chain.peer_connected(now, node(n)));
        }
    }

    /// Powers a node off, and erases its disk if `wipe` is set.
    fn stop(&mut self, n: usize, wipe: bool) {
        self.chains[n] = None;
        self.pending_writes[n].clear();
        self.links.retain(|(a, b), _| *a != n && *b != n);
        if wipe {
            self.disks[n] = None;
        }
        for other in self.running() {
            self.with_chain(other, |chain, now| chain.peer_disconnected(now, node(n)));
        }
    }

    fn restart(&mut self, n: usize) {
        let start = self.disks[n].clone().map_or(Start::Wiped, Start::Recovered);
        self.start(n, start);
    }

    fn with_chain(&mut self, n: usize, input: impl FnOnce(&mut Chain, Millis) -> Vec<Output>) {
        let now = self.now;
        let Some(chain) = &mut self.chains[n] else { return };
        for output in input(chain, now) {
            match output {
                Output::Send(to, message) => {
                    let to = usize::from(to.octets()[3]) - 1;
                    let bytes = postcard::to_stdvec(&message).unwrap();
                    let received: Message = postcard::from_bytes(&bytes).unwrap();
                    assert!(received == message && received.is_well_formed());
                    if let Some(link) = self.links.get_mut(&(n, to)) {
                        link.push_back(received);
                    }
                }
                Output::Persist(number, state) => {
                    self.disks[n] = Some(state);
                    self.pending_writes[n].push_back(number);
                }
                Output::Answer(call, outcome) => {
                    self.answers.insert(call, outcome);
                }
                Output::Publish(_) => {}
            }
        }
    }

    /// Delivers one message or completes one disk write, chosen at random. Returns false where there is none.
    fn step(&mut self) -> bool {
        let links =
            self.links.iter().filter(|(_, link)| !link.is_empty()).map(|(link_ends, _)| Some(*link_ends));
        let pending_writes = (0..4).filter(|n| !self.pending_writes[*n].is_empty());
        let deliverable: Vec<(Option<(usize, usize)>, usize)> =
            links.map(|link_ends| (link_ends, 0)).chain(pending_writes.map(|n| (None, n))).collect();
        match deliverable.choose(&mut self.rng) {
            None => return false,
            Some((Some((from, to)), _)) => {
                let message = self.links.get_mut(&(*from, *to)).and_then(VecDeque::pop_front);
                let Some(message) = message else { return true };
                self.with_chain(*to, |chain, now| chain.message_received(now, node(*from), message));
            }
            Some((None, n)) => {
                let number = self.pending_writes[*n].pop_front().unwrap_or(0);
                self.with_chain(*n, |chain, now| chain.write_completed(now, number));
            }
        }
        true
    }

    fn advance(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK_INTERVAL;
            for n in self.running() {
                self.with_chain(n, glenfall_control_plane::chain::Chain::tick);
            }
            while self.step() {}
        }
    }

    fn send_order(&mut self, n: usize, order: &Order) -> u64 {
        self.call(n, Call::Change { builds_on: order.0, change: order.1.clone() })
    }

    fn call(&mut self, n: usize, request: Call) -> u64 {
        self.last_call += 1;
        let call = self.last_call;
        self.with_chain(n, |chain, now| chain.call(now, call, request));
        call
    }

    /// Sends an order to random running nodes until its outcome is known.
    fn outcome_of(&mut self, order: &Order) -> Outcome {
        self.retry_until_answered(&Call::Change { builds_on: order.0, change: order.1.clone() })
    }

    fn retry_until_answered(&mut self, request: &Call) -> Outcome {
        for _ in 0..60 {
            let at = *self.running().choose(&mut self.rng).expect("a node runs");
            let call = self.call(at, request.clone());
            for _ in 0..60 {
                while !self.answers.contains_key(&call) && self.step() {}
                match self.answers.remove(&call) {
                    None => self.advance(TICK_INTERVAL),
                    Some(Outcome::Unavailable) => break,
                    Some(outcome) => return outcome,
                }
            }
        }
        panic!("no outcome of {request:?}");
    }

    fn current_rev(&self) -> u64 {
        self.running()
            .iter()
            .filter_map(|n| self.chains[*n].as_ref())
            .map(|chain| chain.committed().rev)
            .max()
            .unwrap_or(0)
    }
}

#[test]
fn applied_orders_are_confirmed_at_any_node_after_power_losses_view_changes_and_voter_changes() {
    let mut cluster = Cluster::new(1);
    cluster.advance(1000);
    let mut applied: Vec<(Order, u64)> = Vec::new();
    for round in 0..16u64 {
        for n in 0..24 {
            let current = cluster.current_rev();
            let make = if n % 2 == 0 { put } else { patch };
            let (order, rev) = (make(current, current + 3, round), current + 3);
            assert_eq!(cluster.outcome_of(&order), Outcome::Done { rev }, "round {round}");
            applied.push((order, rev));
        }
        // A node loses its power, and in every second round its disk. In every fourth round a voter is removed: in turn the
        // lost node, which the standby replaces, and the former standby.
        let victim = (round % 3) as usize;
        cluster.stop(victim, round % 2 == 1);
        cluster.advance(1500);
        if round % 4 == 3 {
            let requester =
                *cluster.running().iter().find(|requester| **requester != 3).expect("a node runs");
            let removal =
                if round % 8 == 3 { VoterChange::Remove(node(victim)) } else { VoterChange::Remove(node(3)) };
            cluster.with_chain(requester, |chain, now| {
                let _ = chain.request_voter_change(now, removal);
                Vec::new()
            });
            cluster.advance(2000);
        }
        // A backup that is made now contains all orders, whichever node is the tail.
        let Outcome::Document(record) = cluster.retry_until_answered(&Call::Read) else {
            panic!("round {round}: the read returned no document")
        };
        assert_eq!(record.applied_orders.len(), applied.len(), "round {round}");
        cluster.restart(victim);
        cluster.advance(1500);
        for (order, rev) in &applied {
            assert_eq!(cluster.outcome_of(order), Outcome::Done { rev: *rev }, "round {round}: {order:?}");
            let (builds_on, other_change) = put(order.0, *rev, 1000);
            let rejected = cluster.outcome_of(&(builds_on, other_change));
            assert!(matches!(rejected, Outcome::Conflict { .. }), "round {round}: {rejected:?}");
        }
    }
}

#[test]
fn an_order_below_the_horizon_is_answered_with_the_current_version_at_any_node() {
    let mut cluster = Cluster::new(1);
    let record = Record {
        seq: 9,
        rev: 20,
        document: br#"{"rev":20}"#.to_vec(),
        applied_orders: DeduplicationTable::with_horizon(13),
    };
    for n in 0..3 {
        cluster.stop(n, true);
        let members = JointConfig::of((0..3).map(node).collect());
        let record = Arc::new(record.clone());
        cluster.disks[n] = Some(HardState { members, votes: true, promised: 0, accepted: 0, record });
    }
    (0..3).for_each(|n| cluster.restart(n));
    cluster.advance(1500);
    for order in [put(5, 7, 0), patch(12, 13, 0), put(20, 13, 0)] {
        let expected = if order.0 < 13 {
            Outcome::Forgotten { up_to: 13, current: 20 }
        } else {
            // The order makes no version above the one that it builds on, and so was never applied.
            Outcome::Invalid(InvalidConfig::OldVersion { current: 20, got: 13 })
        };
        assert_eq!(cluster.outcome_of(&order), expected, "{order:?}");
    }
    // After another change, the answer names the new version.
    assert_eq!(cluster.outcome_of(&put(20, 21, 0)), Outcome::Done { rev: 21 });
    assert_eq!(cluster.outcome_of(&put(5, 7, 0)), Outcome::Forgotten { up_to: 13, current: 21 });
}

#[test]
fn a_log_entry_with_a_wrong_index_or_without_a_higher_version_is_not_accepted() {
    let mut cluster = Cluster::new(1);
    cluster.advance(1000);
    for (builds_on, rev) in [(0, 5), (5, 9)] {
        assert_eq!(cluster.outcome_of(&put(builds_on, rev, 0)), Outcome::Done { rev });
    }
    cluster.advance(500);
    let view = cluster.chains[1].as_ref().and_then(|chain| chain.view()).expect("a view has started").clone();
    assert_eq!(view.chain[..2], [node(0), node(1)]);
    for (seq, rev, accepted) in [(3, 9, false), (3, 7, false), (4, 10, false), (2, 10, false), (3, 10, true)]
    {
        let order = AppliedOrder { rev, key: IdempotencyKey([3; 32]) };
        let entry = Arc::new(LogEntry { seq, document: b"{}".to_vec(), order });
        let message = Message::Update { view: view.number, entry };
        let chain = cluster.chains[1].as_mut().expect("the node runs");
        let outputs = chain.message_received(cluster.now, node(0), message);
        assert_eq!(!outputs.is_empty(), accepted, "log index {seq}, version {rev}");
    }
}

#[test]
fn duplicates_of_an_order_in_flight_all_get_its_outcome() {
    for seed in 0..200 {
        let mut cluster = Cluster::new(seed);
        cluster.advance(1000);
        let first = put(0, 1, 0);
        assert_eq!(cluster.outcome_of(&first), Outcome::Done { rev: 1 });
        // Two operators build on the same version and choose the same new one. Each sends its order to all four nodes.
        let orders = [put(1, 4, 1), patch(1, 4, 2)];
        let mut sent = Vec::new();
        for n in 0..8 {
            let order_index = n % 2;
            sent.push((order_index, cluster.send_order(n / 2, &orders[order_index])));
            for _ in 0..cluster.rng.random_range(0..4) {
                cluster.step();
            }
        }
        for _ in 0..cluster.rng.random_range(0..60) {
            cluster.step();
        }
        // With odd seeds, the head loses its power while orders are in flight.
        if seed % 2 == 1 {
            cluster.stop(0, false);
        }
        cluster.advance(2500);
        let outcomes: Vec<_> =
            sent.iter().map(|(order_index, call)| (*order_index, cluster.answers.remove(call))).collect();
        let is_done = |outcome: &Option<Outcome>| *outcome == Some(Outcome::Done { rev: 4 });
        let winners: Vec<usize> = outcomes
            .iter()
            .filter(|(_, outcome)| is_done(outcome))
            .map(|(order_index, _)| *order_index)
            .collect();
        assert!(
            winners.iter().all(|order_index| *order_index == winners[0]),
            "seed {seed}: both confirmed: {outcomes:?}"
        );
        for (order_index, outcome) in &outcomes {
            let rejected = matches!(outcome, Some(Outcome::Conflict { .. } | Outcome::Invalid(_)));
            assert!(
                !(rejected && winners.contains(order_index)),
                "seed {seed}: rejected and applied: {outcomes:?}"
            );
        }
        if seed % 2 == 0 {
            assert_eq!(winners.len(), 4, "seed {seed}: {outcomes:?}");
        }
        // Each order has the same outcome when it is retried.
        let retried = orders.clone().map(|order| cluster.outcome_of(&order));
        assert_eq!(
            retried.iter().filter(|outcome| **outcome == Outcome::Done { rev: 4 }).count(),
            1,
            "seed {seed}: {retried:?}"
        );
        assert!(
            winners.iter().all(|order_index| retried[*order_index] == Outcome::Done { rev: 4 }),
            "seed {seed}"
        );
    }
}
