//! Out of touch without knowing it: links that go silent, one way or both, for as long as it takes a connection to be
//! given up, nodes that are frozen and find calls waiting when they wake, and nodes that start again while cut off.
//! Whatever is told of the newest version, a refusal as well, must hold at a moment after the call began. Fixed seeds;
//! `CONTACT_SEED=n cargo test -p glenfall-control-plane --test contact` replays one, `CONTACT_RUNS=n` plays more.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use glenfall_control_plane::chain::{
    Call, Chain, ChainSettings, HardState, Message, NodeId, Outcome, Output, Start,
};
use glenfall_control_plane::config::ConfigChange;
use glenfall_control_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: Millis = 10;
/// A connection on which nothing comes for so long is given up.
const SILENCE: Millis = 1500;
const TROUBLES: Millis = 25_000;
const MENDED: Millis = 8000;

fn node(n: usize) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

/// One end of a link: when it came up, and when something last came on it.
#[derive(Clone, Copy)]
struct End {
    life: u64,
    heard: Millis,
}

type Link = VecDeque<(Millis, u64, Message)>;

struct Machine {
    chain: Option<Chain>,
    disk: Option<HardState>,
    frozen_until: Millis,
    /// Calls that wait for it to wake.
    waiting: Vec<Asked>,
}

#[derive(Clone)]
struct Asked {
    what: Call,
    /// The newest acknowledged version when it began, and whether this very change had been acknowledged.
    floor: u64,
    taken: bool,
    /// What the node knew, where it asks for newer.
    known: u64,
}

struct World {
    rng: ChaCha8Rng,
    now: Millis,
    machines: Vec<Machine>,
    ends: BTreeMap<(usize, usize), End>,
    lives: u64,
    /// What is under way: when it arrives, the life of the link, the message.
    links: BTreeMap<(usize, usize), Link>,
    /// Ways on which nothing arrives before then.
    blocked: BTreeMap<(usize, usize), Millis>,
    asked: BTreeMap<(usize, u64), Asked>,
    next_call: u64,
    /// Every change that was sent, and by what it builds on, those acknowledged.
    sent: Vec<(u64, u64, Vec<u8>)>,
    acknowledged: BTreeMap<u64, u64>,
    committed: BTreeMap<u64, u64>,
    /// The newest version that operators heard of: also one that is in force without an answer.
    told: u64,
    refused: u64,
    unchanged: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
        let seeds: Vec<NodeId> = (0..voters).map(node).collect();
        let terms = ChainSettings { losses: voters / 2, eligible: true, ..ChainSettings::default() };
        let chain = |n| match n {
            n if n < voters => Chain::new(node(n), terms, Start::Fresh(seeds.clone())),
            // One that stands by.
            n => Chain::new(node(n), terms, Start::Wiped),
        };
        let machine = |n| Machine { chain: Some(chain(n)), disk: None, frozen_until: 0, waiting: Vec::new() };
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            machines: (0..=voters).map(machine).collect(),
            ends: BTreeMap::new(),
            lives: 0,
            links: BTreeMap::new(),
            blocked: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_call: 1,
            sent: Vec::new(),
            acknowledged: BTreeMap::new(),
            committed: BTreeMap::new(),
            told: 0,
            refused: 0,
            unchanged: 0,
        }
    }

    fn nodes(&self) -> usize {
        self.machines.len()
    }

    fn newest(&self) -> u64 {
        self.acknowledged.values().copied().max().unwrap_or(0)
    }

    fn runs(&self, n: usize) -> bool {
        self.machines[n].chain.is_some() && self.machines[n].frozen_until <= self.now
    }

    fn with(&mut self, n: usize, act: impl FnOnce(&mut Chain, Millis) -> Vec<Output>) {
        let now = self.now;
        let outputs = self.machines[n].chain.as_mut().map(|chain| act(chain, now)).unwrap_or_default();
        self.carry_out(n, outputs);
    }

    fn carry_out(&mut self, n: usize, outputs: Vec<Output>) {
        let now = self.now;
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    let to = usize::from(to.octets()[3]) - 1;
                    let Some(end) = self.ends.get(&(n, to)) else { continue };
                    // What meets a way that is blocked is sent again once it is open.
                    let open = self.blocked.get(&(n, to)).copied().unwrap_or(0);
                    let link = self.links.entry((n, to)).or_default();
                    let last = link.back().map_or(0, |(at, ..)| *at);
                    let delay = if self.rng.random_bool(0.03) { 200 } else { self.rng.random_range(1..15) };
                    link.push_back(((now.max(open) + delay).max(last), end.life, message));
                }
                // The disk is not what this is about; `chain.rs` has slow ones.
                Output::Persist(number, state) => {
                    self.machines[n].disk = Some(state);
                    let chain = self.machines[n].chain.as_mut().expect("it wrote");
                    let then = chain.synced(now, number);
                    self.carry_out(n, then);
                }
                Output::Answer(call, outcome) => {
                    if let Some(asked) = self.asked.remove(&(n, call)) {
                        self.answered(asked, outcome);
                    }
                }
                Output::Publish(record) => {
                    let same = self.committed.entry(record.seq).or_insert(record.rev);
                    assert_eq!(*same, record.rev, "two changes were published as number {}", record.seq);
                }
            }
        }
    }

    fn answered(&mut self, asked: Asked, outcome: Outcome) {
        let Asked { what, floor, taken, known } = asked;
        match (what, outcome) {
            (Call::Change { builds_on, .. }, Outcome::Done { rev }) => {
                let other = self.acknowledged.insert(builds_on, rev);
                assert!(other.is_none_or(|other| other == rev), "two changes upon {builds_on}");
            }
            (Call::Change { builds_on, .. }, Outcome::Conflict { current }) => {
                assert!(!taken, "what was acknowledged is refused when it is sent again");
                assert!(current >= floor, "refused as {current} is current, {floor} was acknowledged before");
                assert_ne!(current, builds_on);
                self.refused += 1;
                self.told = self.told.max(current);
            }
            (Call::Change { .. }, Outcome::Invalid(why)) => {
                assert!(!taken, "what was acknowledged is invalid when it is sent again: {why}");
            }
            (Call::Change { .. }, Outcome::Forgotten { .. }) => assert!(!taken, "forgotten so soon"),
            (_, Outcome::Document(record)) => {
                assert!(record.rev >= floor, "a read of {}, {floor} was acknowledged before", record.rev);
            }
            (Call::ReadNewer { .. }, Outcome::Unchanged) => {
                assert!(known >= floor, "nothing newer than {known}, {floor} was acknowledged before");
                self.unchanged += 1;
            }
            (_, Outcome::Unavailable) => {}
            (what, outcome) => panic!("{outcome:?} to {what:?}"),
        }
    }

    fn begin(&mut self, n: usize, asked: Asked) {
        if !self.runs(n) {
            return self.machines[n].waiting.push(asked);
        }
        let call = self.next_call;
        self.next_call += 1;
        let what = asked.what.clone();
        self.asked.insert((n, call), asked);
        self.with(n, |chain, now| chain.call(now, call, what));
    }

    /// Operators call any node, those that are cut off or frozen too: with new changes, stale ones, and such as were
    /// sent before; and a session opens.
    fn operate(&mut self) {
        for _ in 0..2 {
            let n = self.rng.random_range(0..self.nodes());
            let floor = self.newest();
            let (builds_on, rev, document) = match self.rng.random_range(0..3) {
                0 if !self.sent.is_empty() => self.sent[self.rng.random_range(0..self.sent.len())].clone(),
                kind => {
                    let newest = floor.max(self.told);
                    let builds_on = if kind == 1 { newest / 2 } else { newest };
                    let rev = newest + self.rng.random_range(1..9);
                    let document = format!("{{\"rev\":{rev},\"order\":{}}}", self.sent.len()).into_bytes();
                    self.sent.push((builds_on, rev, document.clone()));
                    (builds_on, rev, document)
                }
            };
            // Known prints are bounded; what lies further back is not what this is about.
            let taken = self.acknowledged.get(&builds_on) == Some(&rev)
                && self.acknowledged.range(builds_on..).count() < 30
                && self.sent.iter().filter(|(on, its, _)| (*on, *its) == (builds_on, rev)).count() == 1;
            let what = Call::Change { builds_on, change: ConfigChange::Put(document) };
            self.begin(n, Asked { what, floor, taken, known: 0 });
        }
        let (n, floor) = (self.rng.random_range(0..self.nodes()), self.newest());
        let Some(chain) = &self.machines[n].chain else { return };
        let committed = chain.committed();
        let (known, than) = (committed.rev, committed.seq);
        let what = if self.rng.random() { Call::ReadNewer { known_seq: than } } else { Call::Read };
        self.begin(n, Asked { what, floor, taken: false, known });
    }

    fn lose(&mut self, n: usize, other: usize) {
        if self.ends.remove(&(n, other)).is_some() {
            self.with(n, |chain, now| chain.peer_down(now, node(other)));
        }
    }

    fn tend_links(&mut self) {
        let now = self.now;
        self.blocked.retain(|_, until| *until > now);
        let nodes = self.nodes();
        for (n, other) in (0..nodes).flat_map(|n| (0..nodes).map(move |other| (n, other))) {
            if n == other || !self.runs(n) {
                continue;
            }
            let open = |a: usize, b: usize| !self.blocked.contains_key(&(a, b));
            match (self.ends.get(&(n, other)).copied(), self.ends.get(&(other, n)).copied()) {
                (Some(end), back) => {
                    // The other end is closed, and the word of it gets through.
                    let closed = back.is_none_or(|back| back.life != end.life) && open(other, n);
                    if closed || now >= end.heard + SILENCE {
                        self.lose(n, other);
                    }
                }
                (None, None)
                    if n < other
                        && open(n, other)
                        && open(other, n)
                        && self.runs(other)
                        && self.rng.random_bool(0.2) =>
                {
                    self.lives += 1;
                    let end = End { life: self.lives, heard: now };
                    self.ends.extend([((n, other), end), ((other, n), end)]);
                    self.with(n, |chain, now| chain.peer_up(now, node(other)));
                    self.with(other, |chain, now| chain.peer_up(now, node(n)));
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        for n in (0..self.nodes()).filter(|n| self.runs(*n)).collect::<Vec<_>>() {
            // A node that wakes finds calls, what came on its links, and its timers, in any order.
            let mut turns = [0, 1, 2];
            turns.rotate_left(self.rng.random_range(0..3));
            for turn in turns {
                match turn {
                    0 => {
                        for asked in std::mem::take(&mut self.machines[n].waiting) {
                            self.begin(n, asked);
                        }
                    }
                    1 => self.hear(n),
                    _ => self.with(n, Chain::tick),
                }
            }
        }
        self.tend_links();
    }

    fn hear(&mut self, n: usize) {
        for from in (0..self.nodes()).filter(|from| *from != n).collect::<Vec<_>>() {
            let now = self.now;
            let arrived = |link: &mut Link| link.pop_front_if(|(at, ..)| *at <= now);
            while let Some((_, life, message)) = self.links.get_mut(&(from, n)).and_then(arrived) {
                let Some(end) = self.ends.get_mut(&(n, from)).filter(|end| end.life == life) else {
                    continue;
                };
                end.heard = now;
                self.with(n, |chain, now| chain.message(now, node(from), message));
            }
        }
    }

    fn trouble(&mut self) {
        let n = self.rng.random_range(0..self.nodes());
        let until = self.now + self.rng.random_range(300..5000);
        // The one that leads is hit most.
        let head = self.machines.iter().filter_map(|m| m.chain.as_ref()?.view()).max_by_key(|v| v.number);
        let head = head.map_or(0, |view| usize::from(view.chain[0].octets()[3]) - 1);
        let hit = if self.rng.random_bool(0.6) { head } else { n };
        let except = self.rng.random_range(0..2 * self.nodes());
        let others: BTreeSet<usize> =
            (0..self.nodes()).filter(|other| *other != hit && *other != except).collect();
        match self.rng.random_range(0..5) {
            0 => self.machines[hit].frozen_until = until,
            way @ 1..=3 => {
                for other in others {
                    if way != 1 {
                        self.blocked.insert((hit, other), until);
                    }
                    if way != 2 {
                        self.blocked.insert((other, hit), until);
                    }
                }
            }
            _ => {
                // It starts again where it is, cut off or not.
                for other in 0..self.nodes() {
                    self.ends.remove(&(hit, other));
                }
                self.asked.retain(|(at, _), _| *at != hit);
                let start = self.machines[hit].disk.clone().map_or(Start::Wiped, Start::Kept);
                let terms = ChainSettings {
                    losses: (self.nodes() - 1) / 2,
                    eligible: true,
                    ..ChainSettings::default()
                };
                self.machines[hit].chain = Some(Chain::new(node(hit), terms, start));
            }
        }
    }
}

/// Plays one schedule; gives how often a node refused, and said that there is nothing newer.
fn play(seed: u64) -> (u64, u64) {
    let mut world = World::new(seed);
    let mut next_trouble = 2000;
    while world.now < TROUBLES {
        world.step();
        if world.now.is_multiple_of(100) {
            world.operate();
        }
        if world.now >= next_trouble {
            world.trouble();
            next_trouble = world.now + world.rng.random_range(500..4000);
        }
    }
    world.blocked.clear();
    world.machines.iter_mut().for_each(|machine| machine.frozen_until = 0);
    let before = world.newest();
    let until = world.now + MENDED;
    while world.now < until {
        world.step();
        if world.now.is_multiple_of(200) {
            world.operate();
        }
    }
    assert!(world.newest() > before, "no change goes through {MENDED} ms after all was mended");
    (world.refused, world.unchanged)
}

#[test]
fn answers_on_the_newest_version_are_linearizable_while_a_node_is_partitioned_without_knowing_it() {
    let number = |variable: &str| std::env::var(variable).ok()?.parse::<u64>().ok();
    if let Some(seed) = number("CONTACT_SEED") {
        println!("seed {seed}: {:?}", play(seed));
        return;
    }
    let runs = number("CONTACT_RUNS").unwrap_or(600);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let part = |first: u64| {
        let played = |seed| {
            let told = std::panic::catch_unwind(|| play(seed));
            told.unwrap_or_else(|_| panic!("seed {seed} failed; see above"))
        };
        let parts = (first..runs).step_by(threads as usize).map(played);
        parts.fold((0, 0), |(refused, unchanged), (r, u)| (refused + r, unchanged + u))
    };
    let parts: Vec<(u64, u64)> = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads).map(|first| scope.spawn(move || part(first))).collect();
        parts.into_iter().map(|part| part.join().expect("a schedule failed")).collect()
    });
    let refused: u64 = parts.iter().map(|(refused, _)| refused).sum();
    let unchanged: u64 = parts.iter().map(|(_, unchanged)| unchanged).sum();
    println!("{refused} refused, {unchanged} times nothing newer");
    assert!(refused > 10 * runs && unchanged > 10 * runs, "{refused} refused, {unchanged} unchanged");
}
