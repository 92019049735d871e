//! Linearizability while nodes are partitioned and have not detected it: links on which nothing arrives in one or both
//! directions until the connection times out, processes that are paused and find queued calls when they resume, and
//! nodes that restart within a partition. Each answer that depends on the newest version, also a rejection, has to be true
//! at a moment after the call began.
//!
//! The seeds are fixed. `CONTACT_SEED=n cargo test -p glenfall-control-plane --test linearizability` replays one
//! schedule, and `CONTACT_RUNS=n` sets the number of schedules.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use glenfall_control_plane::chain::{
    Call, Chain, ChainSettings, HardState, Message, NodeId, Outcome, Output, Start,
};
use glenfall_control_plane::config::ConfigChange;
use glenfall_control_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_INTERVAL: Millis = 10;
/// A connection is closed after this time without a message.
const CONNECTION_TIMEOUT: Millis = 1500;
/// How long faults are injected.
const FAULT_PHASE: Millis = 25_000;
/// How long the simulation goes on without faults.
const RECOVERY_PHASE: Millis = 8000;

fn node(n: usize) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

#[derive(Clone, Copy)]
struct ConnectionEnd {
    connection: u64,
    last_received: Millis,
}

/// A message in transit.
struct InTransit {
    arrives_at: Millis,
    /// The connection that it was sent on.
    connection: u64,
    message: Message,
}

type Link = VecDeque<InTransit>;

struct Machine {
    chain: Option<Chain>,
    disk: Option<HardState>,
    paused_until: Millis,
    /// Calls that arrived while the process was paused.
    queued_calls: Vec<PendingCall>,
}

#[derive(Clone)]
struct PendingCall {
    call: Call,
    /// The newest acknowledged version when the call began.
    acknowledged_rev: u64,
    /// Whether this very change had been acknowledged when the call began.
    was_acknowledged: bool,
    /// The version that the node had, for a read of a newer one.
    known_rev: u64,
}

#[derive(Clone)]
struct SentChange {
    builds_on: u64,
    rev: u64,
    document: Vec<u8>,
}

/// Counts of the answers that depend on the newest version and return no document.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerCounts {
    conflicts: u64,
    unchanged: u64,
}

impl AnswerCounts {
    fn plus(self, other: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            conflicts: self.conflicts + other.conflicts,
            unchanged: self.unchanged + other.unchanged,
        }
    }
}

struct World {
    rng: ChaCha8Rng,
    now: Millis,
    machines: Vec<Machine>,
    ends: BTreeMap<(usize, usize), ConnectionEnd>,
    last_connection: u64,
    /// Messages in transit, by sender and receiver.
    links: BTreeMap<(usize, usize), Link>,
    /// Directions of links, as sender and receiver, in which nothing arrives until the given time.
    blocked: BTreeMap<(usize, usize), Millis>,
    pending: BTreeMap<(usize, u64), PendingCall>,
    next_call: u64,
    /// All changes that were sent.
    sent: Vec<SentChange>,
    /// The acknowledged versions, by the versions that they build on.
    acknowledged: BTreeMap<u64, u64>,
    /// The committed versions, by log index.
    committed: BTreeMap<u64, u64>,
    /// The newest version in an answer to an operator, which may be committed without an acknowledgement.
    answered_rev: u64,
    counts: AnswerCounts,
}

impl World {
    fn new(seed: u64) -> Self {
        let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
        let seeds: Vec<NodeId> = (0..voters).map(node).collect();
        let settings =
            ChainSettings { tolerated_losses: voters / 2, eligible: true, ..ChainSettings::default() };
        let chain = |n| match n {
            n if n < voters => Chain::new(node(n), settings, Start::Fresh(seeds.clone())),
            // A standby.
            n => Chain::new(node(n), settings, Start::Wiped),
        };
        let machine =
            |n| Machine { chain: Some(chain(n)), disk: None, paused_until: 0, queued_calls: Vec::new() };
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            machines: (0..=voters).map(machine).collect(),
            ends: BTreeMap::new(),
            last_connection: 0,
            links: BTreeMap::new(),
            blocked: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_call: 1,
            sent: Vec::new(),
            acknowledged: BTreeMap::new(),
            committed: BTreeMap::new(),
            answered_rev: 0,
            counts: AnswerCounts::default(),
        }
    }

    fn nodes(&self) -> usize {
        self.machines.len()
    }

    fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.values().copied().max().unwrap_or(0)
    }

    fn is_running(&self, n: usize) -> bool {
        self.machines[n].chain.is_some() && self.machines[n].paused_until <= self.now
    }

    fn with_chain(&mut self, n: usize, input: impl FnOnce(&mut Chain, Millis) -> Vec<Output>) {
        let now = self.now;
        let outputs = self.machines[n].chain.as_mut().map(|chain| input(chain, now)).unwrap_or_default();
        self.carry_out(n, outputs);
    }

    fn carry_out(&mut self, n: usize, outputs: Vec<Output>) {
        let now = self.now;
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    let to = usize::from(to.octets()[3]) - 1;
                    let Some(end) = self.ends.get(&(n, to)) else { continue };
                    // A message in a blocked direction is retransmitted when the direction is open again.
                    let opens_at = self.blocked.get(&(n, to)).copied().unwrap_or(0);
                    let link = self.links.entry((n, to)).or_default();
                    let last_arrival = link.back().map_or(0, |last| last.arrives_at);
                    let delay = if self.rng.random_bool(0.03) { 200 } else { self.rng.random_range(1..15) };
                    let arrives_at = (now.max(opens_at) + delay).max(last_arrival);
                    link.push_back(InTransit { arrives_at, connection: end.connection, message });
                }
                // Disk writes complete at once; `chain.rs` covers slow disks.
                Output::Persist(number, state) => {
                    self.machines[n].disk = Some(state);
                    let chain = self.machines[n].chain.as_mut().expect("the process runs");
                    let follow_up = chain.write_completed(now, number);
                    self.carry_out(n, follow_up);
                }
                Output::Answer(call, outcome) => {
                    if let Some(pending) = self.pending.remove(&(n, call)) {
                        self.check_answer(pending, outcome);
                    }
                }
                Output::Publish(record) => {
                    let published_rev = self.committed.entry(record.seq).or_insert(record.rev);
                    assert_eq!(
                        *published_rev, record.rev,
                        "two changes were published with log index {}",
                        record.seq
                    );
                }
            }
        }
    }

    fn check_answer(&mut self, pending: PendingCall, outcome: Outcome) {
        let PendingCall { call, acknowledged_rev, was_acknowledged, known_rev } = pending;
        match (call, outcome) {
            (Call::Change { builds_on, .. }, Outcome::Done { rev }) => {
                let earlier_rev = self.acknowledged.insert(builds_on, rev);
                assert!(
                    earlier_rev.is_none_or(|earlier_rev| earlier_rev == rev),
                    "two changes that build on version {builds_on} were acknowledged"
                );
            }
            (Call::Change { builds_on, .. }, Outcome::Conflict { current }) => {
                assert!(!was_acknowledged, "an acknowledged change was rejected when it was retried");
                assert!(
                    current >= acknowledged_rev,
                    "a change was rejected with the current version {current}, but {acknowledged_rev} was acknowledged before"
                );
                assert_ne!(current, builds_on);
                self.counts.conflicts += 1;
                self.answered_rev = self.answered_rev.max(current);
            }
            (Call::Change { .. }, Outcome::Invalid(reason)) => {
                assert!(
                    !was_acknowledged,
                    "an acknowledged change was invalid when it was retried: {reason}"
                );
            }
            (Call::Change { .. }, Outcome::Forgotten { .. }) => {
                assert!(
                    !was_acknowledged,
                    "a recently acknowledged change was not recognised when it was retried"
                );
            }
            (_, Outcome::Document(record)) => {
                assert!(
                    record.rev >= acknowledged_rev,
                    "a read returned version {}, but {acknowledged_rev} was acknowledged before",
                    record.rev
                );
            }
            (Call::ReadNewer { .. }, Outcome::Unchanged) => {
                assert!(
                    known_rev >= acknowledged_rev,
                    "a read found nothing newer than version {known_rev}, but {acknowledged_rev} was acknowledged before"
                );
                self.counts.unchanged += 1;
            }
            (_, Outcome::Unavailable) => {}
            (call, outcome) => panic!("unexpected outcome {outcome:?} of {call:?}"),
        }
    }

    fn start_call(&mut self, n: usize, pending: PendingCall) {
        if !self.is_running(n) {
            return self.machines[n].queued_calls.push(pending);
        }
        let number = self.next_call;
        self.next_call += 1;
        let call = pending.call.clone();
        self.pending.insert((n, number), pending);
        self.with_chain(n, |chain, now| chain.call(now, number, call));
    }

    /// Operators send new, stale and retried changes to random nodes, also to partitioned and paused ones. A session opens
    /// at a random node, which reads the newest version for it.
    fn send_calls(&mut self) {
        for _ in 0..2 {
            let n = self.rng.random_range(0..self.nodes());
            let acknowledged_rev = self.newest_acknowledged();
            let SentChange { builds_on, rev, document } = match self.rng.random_range(0..3) {
                0 if !self.sent.is_empty() => self.sent[self.rng.random_range(0..self.sent.len())].clone(),
                kind => {
                    let newest = acknowledged_rev.max(self.answered_rev);
                    let builds_on = if kind == 1 { newest / 2 } else { newest };
                    let rev = newest + self.rng.random_range(1..9);
                    let document = format!("{{\"rev\":{rev},\"order\":{}}}", self.sent.len()).into_bytes();
                    let change = SentChange { builds_on, rev, document };
                    self.sent.push(change.clone());
                    change
                }
            };
            // The deduplication table is bounded: only recent changes are certain to be recognised.
            let was_acknowledged = self.acknowledged.get(&builds_on) == Some(&rev)
                && self.acknowledged.range(builds_on..).count() < 30
                && self.sent.iter().filter(|sent| (sent.builds_on, sent.rev) == (builds_on, rev)).count()
                    == 1;
            let call = Call::Change { builds_on, change: ConfigChange::Put(document) };
            self.start_call(n, PendingCall { call, acknowledged_rev, was_acknowledged, known_rev: 0 });
        }
        let (n, acknowledged_rev) = (self.rng.random_range(0..self.nodes()), self.newest_acknowledged());
        let Some(chain) = &self.machines[n].chain else { return };
        let committed = chain.committed();
        let (known_rev, known_seq) = (committed.rev, committed.seq);
        let call = if self.rng.random() { Call::ReadNewer { known_seq } } else { Call::Read };
        self.start_call(n, PendingCall { call, acknowledged_rev, was_acknowledged: false, known_rev });
    }

    fn drop_connection(&mut self, n: usize, other: usize) {
        if self.ends.remove(&(n, other)).is_some() {
            self.with_chain(n, |chain, now| chain.peer_disconnected(now, node(other)));
        }
    }

    fn update_links(&mut self) {
        let now = self.now;
        self.blocked.retain(|_, until| *until > now);
        let nodes = self.nodes();
        for (n, other) in (0..nodes).flat_map(|n| (0..nodes).map(move |other| (n, other))) {
            if n == other || !self.is_running(n) {
                continue;
            }
            let is_open = |a: usize, b: usize| !self.blocked.contains_key(&(a, b));
            match (self.ends.get(&(n, other)).copied(), self.ends.get(&(other, n)).copied()) {
                (Some(end), other_end) => {
                    // The other end is closed, and this end is notified of that.
                    let closed = other_end.is_none_or(|other_end| other_end.connection != end.connection)
                        && is_open(other, n);
                    if closed || now >= end.last_received + CONNECTION_TIMEOUT {
                        self.drop_connection(n, other);
                    }
                }
                (None, None)
                    if n < other
                        && is_open(n, other)
                        && is_open(other, n)
                        && self.is_running(other)
                        && self.rng.random_bool(0.2) =>
                {
                    self.last_connection += 1;
                    let end = ConnectionEnd { connection: self.last_connection, last_received: now };
                    self.ends.extend([((n, other), end), ((other, n), end)]);
                    self.with_chain(n, |chain, now| chain.peer_connected(now, node(other)));
                    self.with_chain(other, |chain, now| chain.peer_connected(now, node(n)));
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK_INTERVAL;
        for n in (0..self.nodes()).filter(|n| self.is_running(*n)).collect::<Vec<_>>() {
            // A node that resumes handles queued calls, received messages and expired timers in any order.
            let mut tasks = [0, 1, 2];
            tasks.rotate_left(self.rng.random_range(0..3));
            for task in tasks {
                match task {
                    0 => {
                        for pending in std::mem::take(&mut self.machines[n].queued_calls) {
                            self.start_call(n, pending);
                        }
                    }
                    1 => self.receive(n),
                    _ => self.with_chain(n, Chain::tick),
                }
            }
        }
        self.update_links();
    }

    fn receive(&mut self, n: usize) {
        for from in (0..self.nodes()).filter(|from| *from != n).collect::<Vec<_>>() {
            let now = self.now;
            let arrived = |link: &mut Link| link.pop_front_if(|next| next.arrives_at <= now);
            while let Some(InTransit { connection, message, .. }) =
                self.links.get_mut(&(from, n)).and_then(arrived)
            {
                let Some(end) = self.ends.get_mut(&(n, from)).filter(|end| end.connection == connection)
                else {
                    continue;
                };
                end.last_received = now;
                self.with_chain(n, |chain, now| chain.message_received(now, node(from), message));
            }
        }
    }

    fn inject_fault(&mut self) {
        let n = self.rng.random_range(0..self.nodes());
        let until = self.now + self.rng.random_range(300..5000);
        // Most faults hit the head.
        let head = self
            .machines
            .iter()
            .filter_map(|machine| machine.chain.as_ref()?.view())
            .max_by_key(|view| view.number);
        let head = head.map_or(0, |view| usize::from(view.chain[0].octets()[3]) - 1);
        let victim = if self.rng.random_bool(0.6) { head } else { n };
        let spared = self.rng.random_range(0..2 * self.nodes());
        let others: BTreeSet<usize> =
            (0..self.nodes()).filter(|other| *other != victim && *other != spared).collect();
        match self.rng.random_range(0..5) {
            0 => self.machines[victim].paused_until = until,
            direction @ 1..=3 => {
                for other in others {
                    if direction != 1 {
                        self.blocked.insert((victim, other), until);
                    }
                    if direction != 2 {
                        self.blocked.insert((other, victim), until);
                    }
                }
            }
            _ => {
                // The process restarts; a partition continues.
                for other in 0..self.nodes() {
                    self.ends.remove(&(victim, other));
                }
                self.pending.retain(|(node, _), _| *node != victim);
                let start = self.machines[victim].disk.clone().map_or(Start::Wiped, Start::Recovered);
                let settings = ChainSettings {
                    tolerated_losses: (self.nodes() - 1) / 2,
                    eligible: true,
                    ..ChainSettings::default()
                };
                self.machines[victim].chain = Some(Chain::new(node(victim), settings, start));
            }
        }
    }
}

/// Runs the schedule of a seed, and counts its conflicts and its reads without a newer version.
fn run_schedule(seed: u64) -> AnswerCounts {
    let mut world = World::new(seed);
    let mut next_fault = 2000;
    while world.now < FAULT_PHASE {
        world.step();
        if world.now.is_multiple_of(100) {
            world.send_calls();
        }
        if world.now >= next_fault {
            world.inject_fault();
            next_fault = world.now + world.rng.random_range(500..4000);
        }
    }
    world.blocked.clear();
    world.machines.iter_mut().for_each(|machine| machine.paused_until = 0);
    let newest_before = world.newest_acknowledged();
    let until = world.now + RECOVERY_PHASE;
    while world.now < until {
        world.step();
        if world.now.is_multiple_of(200) {
            world.send_calls();
        }
    }
    assert!(
        world.newest_acknowledged() > newest_before,
        "no change is committed within {RECOVERY_PHASE} ms after the last fault"
    );
    world.counts
}

#[test]
fn answers_stay_linearizable_while_partitioned_nodes_have_not_detected_the_partition() {
    let env_number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    if let Some(seed) = env_number("CONTACT_SEED") {
        println!("seed {seed}: {:?}", run_schedule(seed));
        return;
    }
    let runs = env_number("CONTACT_RUNS").unwrap_or(600);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let run_share = |first: u64| {
        let run_seed = |seed| {
            let result = std::panic::catch_unwind(|| run_schedule(seed));
            result.unwrap_or_else(|_| panic!("seed {seed} failed; see above"))
        };
        let parts = (first..runs).step_by(threads as usize).map(run_seed);
        parts.fold(AnswerCounts::default(), AnswerCounts::plus)
    };
    let parts: Vec<AnswerCounts> = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads).map(|first| scope.spawn(move || run_share(first))).collect();
        parts.into_iter().map(|worker| worker.join().expect("a schedule failed")).collect()
    });
    let AnswerCounts { conflicts, unchanged } =
        parts.into_iter().fold(AnswerCounts::default(), AnswerCounts::plus);
    println!("{conflicts} conflicts, {unchanged} reads without a newer version");
    assert!(conflicts > 10 * runs && unchanged > 10 * runs, "{conflicts} conflicts, {unchanged} unchanged");
}
