//! The chain on a simulated network and disk, under fixed seeds: links that delay, break and mend, cuts, freezes
//! and power losses of single nodes and of all, wiped disks, two operators who race, and voters that are replaced.
//! Cores of three, five and seven, each with machines that stand by, and disks lost of as many as the core is to
//! outlive. A failing seed is named and replays exactly: `CHAIN_SEED=n cargo test -p glenfall-plane --test chain`.
//! `CHAIN_RUNS=n` plays more.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_plane::chain::{
    Beat, Call, Chain, Durable, Members, Message, NodeId, Outcome, Output, Record, Refused, Seat, Start,
    Terms, View,
};
use glenfall_plane::config::Change;
use glenfall_plane::orders::{Entry, OrderKey, TakenOrder, TakenOrders};
use glenfall_plane::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seeds of the first start, as an operator names them.
const SEEDS: u8 = 3;
const TICK: Millis = 10;
/// How long troubles go on, and how long the mended system then has to take one more change.
const TROUBLES: Millis = 20_000;
const MENDED: Millis = 8_000;

fn node(n: u8) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n)
}

/// The size of a world: losses that its core is to outlive, and machines that stand by.
#[derive(Clone, Copy)]
struct Size {
    losses: u8,
    spare: u8,
}

impl Size {
    fn voters(self) -> u8 {
        2 * self.losses + 1
    }

    fn nodes(self) -> u8 {
        self.voters() + self.spare
    }

    fn terms(self) -> Terms {
        Terms { losses: usize::from(self.losses), eligible: true }
    }
}

const SMALL: Size = Size { losses: 1, spare: 0 };

fn seeds() -> Vec<NodeId> {
    (1..=SEEDS).map(node).collect()
}

struct Machine {
    chain: Option<Chain>,
    /// What has reached the disk, and what is under way to it: when it is there, number, state.
    disk: Option<Durable>,
    /// Its disk was lost once: without state it is no node that starts for the first time.
    wiped: bool,
    syncing: VecDeque<(Millis, u64, Durable)>,
    /// Gone for good: it is not switched on again, until an empty machine takes its place.
    gone: bool,
    /// Nothing is done before then.
    frozen_until: Millis,
    stalled_until: Millis,
    life: u64,
    published: u64,
}

/// Messages in order: when each arrives, and the life of the link that it was sent on.
type Link = VecDeque<(Millis, u64, Message)>;

/// A call that an operator waits for.
struct Asked {
    at: u8,
    life: u64,
    rev: Option<u64>,
    builds_on: u64,
    /// The newest acknowledged version when a read began.
    floor: u64,
}

struct World {
    size: Size,
    rng: ChaCha8Rng,
    now: Millis,
    machines: Vec<Machine>,
    /// Messages under way, by sender and receiver.
    links: BTreeMap<(u8, u8), Link>,
    link_life: BTreeMap<(u8, u8), u64>,
    up: BTreeSet<(u8, u8)>,
    /// Pairs that are cut off from each other, and until when.
    cuts: BTreeMap<(u8, u8), Millis>,
    asked: BTreeMap<u64, Asked>,
    next_call: u64,
    acknowledged: BTreeMap<u64, u64>,
    /// What was ever committed under a number.
    committed: BTreeMap<u64, u64>,
    done: u64,
    /// Troubles are over.
    mended: bool,
    /// Changes of the voters that were begun at an operator's word.
    seats: u64,
    /// The newest version that operators were told of: also one that was in force without an answer.
    told: u64,
}

fn pair(a: u8, b: u8) -> (u8, u8) {
    (a.min(b), a.max(b))
}

impl World {
    fn new(seed: u64, size: Size) -> Self {
        // Those that stand by come later, as machines that never were a part of it.
        let machine = |n| Machine {
            chain: (n <= size.voters()).then(|| Chain::new(node(n), size.terms(), Start::Fresh(seeds()))),
            disk: None,
            wiped: n > size.voters(),
            syncing: VecDeque::new(),
            gone: false,
            frozen_until: 0,
            stalled_until: 0,
            life: 0,
            published: 0,
        };
        World {
            size,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            machines: (1..=size.nodes()).map(machine).collect(),
            links: BTreeMap::new(),
            link_life: BTreeMap::new(),
            up: BTreeSet::new(),
            cuts: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_call: 1,
            acknowledged: BTreeMap::new(),
            committed: BTreeMap::new(),
            done: 0,
            mended: false,
            seats: 0,
            told: 0,
        }
    }

    fn carry_out(&mut self, n: u8, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    let to = to.octets()[3];
                    if !self.up.contains(&pair(n, to)) {
                        continue;
                    }
                    let life = self.link_life[&pair(n, to)];
                    let link = self.links.entry((n, to)).or_default();
                    let before = link.back().map_or(0, |(at, ..)| *at);
                    let delay = if self.rng.random_bool(0.02) { 200 } else { self.rng.random_range(1..12) };
                    link.push_back(((self.now + delay).max(before), life, message));
                }
                Output::Persist(number, state) => {
                    let takes = self.rng.random_range(1..20);
                    let machine = &mut self.machines[usize::from(n) - 1];
                    let before = machine.syncing.back().map_or(0, |(at, ..)| *at);
                    let at = (self.now + takes).max(before).max(machine.stalled_until);
                    machine.syncing.push_back((at, number, state));
                }
                Output::Answer(call, outcome) => self.answered(n, call, outcome),
                Output::Publish(record) => {
                    let machine = &mut self.machines[usize::from(n) - 1];
                    assert!(record.seq > machine.published, "node {n} went back to {}", record.seq);
                    machine.published = record.seq;
                    let same = self.committed.entry(record.seq).or_insert(record.rev);
                    assert_eq!(*same, record.rev, "two changes were committed as number {}", record.seq);
                }
            }
        }
    }

    fn answered(&mut self, n: u8, call: u64, outcome: Outcome) {
        let Some(asked) = self.asked.remove(&call) else { return };
        assert_eq!(asked.at, n);
        match (outcome, asked.rev) {
            (Outcome::Done { rev }, Some(own)) => {
                assert_eq!(rev, own);
                let other = self.acknowledged.insert(asked.builds_on, rev);
                assert!(
                    other.is_none_or(|o| o == rev),
                    "two changes upon {} were acknowledged",
                    asked.builds_on
                );
                self.done += 1;
            }
            (Outcome::Document(record), None) => {
                assert!(
                    record.rev >= asked.floor,
                    "a read of {} after {} was acknowledged",
                    record.rev,
                    asked.floor
                );
            }
            (Outcome::Conflict { current }, Some(_)) => self.told = self.told.max(current),
            _ => {}
        }
    }

    fn newest(&self) -> u64 {
        self.acknowledged.values().copied().max().unwrap_or(0)
    }

    fn call(&mut self, n: u8, what: Call, rev: Option<u64>, builds_on: u64) {
        let (call, floor, now) = (self.next_call, self.newest(), self.now);
        let machine = &mut self.machines[usize::from(n) - 1];
        let life = machine.life;
        let Some(chain) = machine.chain.as_mut().filter(|_| machine.frozen_until <= now) else { return };
        self.next_call += 1;
        self.asked.insert(call, Asked { at: n, life, rev, builds_on, floor });
        let outputs = chain.call(now, call, what);
        self.carry_out(n, outputs);
    }

    /// An operator changes what it knows to be in force; sometimes two do at once.
    fn operate(&mut self) {
        let builds_on = self.newest().max(self.told);
        let operators = self.rng.random_range(1..=2);
        for _ in 0..operators {
            let (n, rev) =
                (self.rng.random_range(1..=self.size.nodes()), builds_on + self.rng.random_range(1..9));
            let document = format!("{{\"rev\":{rev},\"call\":{}}}", self.next_call).into_bytes();
            self.call(n, Call::Change { builds_on, change: Change::Put(document) }, Some(rev), builds_on);
        }
        if self.size.spare > 0 && !self.mended && self.rng.random_bool(0.1) {
            self.ask_voters();
        }
        let reader = self.rng.random_range(1..=self.size.nodes());
        self.call(reader, Call::Read, None, 0);
    }

    /// An operator asks any node for other voters.
    fn ask_voters(&mut self) {
        let (at, which) =
            (self.rng.random_range(1..=self.size.nodes()), self.rng.random_range(1..=self.size.nodes()));
        let seat = if self.rng.random() { Seat::Add(node(which)) } else { Seat::Remove(node(which)) };
        let now = self.now;
        let machine = &mut self.machines[usize::from(at) - 1];
        let Some(chain) = machine.chain.as_mut().filter(|_| machine.frozen_until <= now) else { return };
        let before = chain.members().voters.clone();
        match chain.ask_voters(now, seat) {
            Ok(voters) => {
                assert!(voters.len() > 2 * usize::from(self.size.losses) || voters.len() >= before.len());
                self.seats += 1;
            }
            Err(refused) => assert!(!refused.to_string().is_empty()),
        }
    }

    fn lose_link(&mut self, a: u8, b: u8) {
        if !self.up.remove(&pair(a, b)) {
            return;
        }
        for (n, other) in [(a, b), (b, a)] {
            self.links.remove(&(n, other));
            let now = self.now;
            if let Some(chain) = &mut self.machines[usize::from(n) - 1].chain {
                let outputs = chain.peer_down(now, node(other));
                self.carry_out(n, outputs);
            }
        }
    }

    /// Power goes: what is not on disk is lost, or there by luck.
    fn power_off(&mut self, n: u8, wipe: bool) {
        for other in (1..=self.size.nodes()).filter(|other| *other != n) {
            self.lose_link(n, other);
        }
        let lucky = self.rng.random_bool(0.3);
        let machine = &mut self.machines[usize::from(n) - 1];
        machine.chain = None;
        machine.life += 1;
        machine.published = 0;
        if let (true, Some((_, _, state))) = (lucky, machine.syncing.pop_front()) {
            machine.disk = Some(state);
        }
        machine.syncing.clear();
        if wipe {
            (machine.disk, machine.wiped) = (None, true);
        }
        let life = machine.life;
        self.asked.retain(|_, asked| asked.at != n || asked.life >= life);
    }

    fn power_on(&mut self, n: u8) {
        let machine = &mut self.machines[usize::from(n) - 1];
        if machine.chain.is_some() || machine.gone {
            return;
        }
        let start = match machine.disk.clone() {
            Some(kept) => Start::Kept(kept),
            None if machine.wiped => Start::Wiped,
            // It died before its first write: it has promised nothing.
            None => Start::Fresh(seeds()),
        };
        machine.chain = Some(Chain::new(node(n), self.size.terms(), start));
        machine.frozen_until = 0;
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        self.cuts.retain(|_, until| *until > now);
        // Links come up where both ends run and nothing cuts them.
        for a in 1..=self.size.nodes() {
            for b in a + 1..=self.size.nodes() {
                let both = self.machines[usize::from(a) - 1].chain.is_some()
                    && self.machines[usize::from(b) - 1].chain.is_some();
                let cut = self.cuts.contains_key(&(a, b));
                if cut {
                    self.lose_link(a, b);
                } else if both && !self.up.contains(&(a, b)) && self.rng.random_bool(0.2) {
                    self.up.insert((a, b));
                    *self.link_life.entry((a, b)).or_default() += 1;
                    for (n, other) in [(a, b), (b, a)] {
                        if let Some(chain) = &mut self.machines[usize::from(n) - 1].chain {
                            let outputs = chain.peer_up(now, node(other));
                            self.carry_out(n, outputs);
                        }
                    }
                }
            }
        }
        for n in 1..=self.size.nodes() {
            let frozen = self.machines[usize::from(n) - 1].frozen_until > now;
            if frozen || self.machines[usize::from(n) - 1].chain.is_none() {
                continue;
            }
            self.run(n);
        }
    }

    /// The next message on a link that has arrived by now.
    fn arrived(&mut self, from: u8, to: u8) -> Option<(Millis, u64, Message)> {
        let now = self.now;
        self.links.get_mut(&(from, to))?.pop_front_if(|(at, ..)| *at <= now)
    }

    fn run(&mut self, n: u8) {
        let now = self.now;
        let place = usize::from(n) - 1;
        while self.machines[place].syncing.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, number, state)) = self.machines[place].syncing.pop_front() else { break };
            self.machines[place].disk = Some(state);
            if let Some(chain) = &mut self.machines[place].chain {
                let outputs = chain.synced(now, number);
                self.carry_out(n, outputs);
            }
        }
        for from in (1..=self.size.nodes()).filter(|from| *from != n) {
            while let Some((_, life, message)) = self.arrived(from, n) {
                if self.link_life.get(&pair(from, n)) != Some(&life) {
                    continue;
                }
                if let Some(chain) = &mut self.machines[place].chain {
                    let outputs = chain.message(now, node(from), message);
                    self.carry_out(n, outputs);
                }
            }
        }
        if let Some(chain) = &mut self.machines[place].chain {
            let outputs = chain.tick(now);
            self.carry_out(n, outputs);
        }
    }

    /// Machines whose disks may be lost now: as many as the voters outlive, less those that are without a vote
    /// already, as no view that stands has taken them in since. At first the voters are the seeds alone.
    fn disks_to_lose(&self) -> usize {
        let newest = self.machines.iter().filter_map(|m| m.disk.as_ref()).max_by_key(|disk| disk.accepted);
        let members = newest.map_or(Members::of(seeds()), |disk| disk.members.clone());
        let sets = [&members.voters, &members.before].into_iter().filter(|set| !set.is_empty());
        let left = sets.map(|set| {
            let lost = self.machines.iter().zip(1..).filter(|(m, n)| {
                let without = m.gone || m.disk.as_ref().is_none_or(|disk| !disk.votes);
                set.contains(&node(*n)) && without
            });
            ((set.len() - 1) / 2).min(usize::from(self.size.losses)).saturating_sub(lost.count())
        });
        left.min().unwrap_or(0)
    }

    /// One trouble.
    fn trouble(&mut self) {
        let nodes = self.size.nodes();
        let n = self.rng.random_range(1..=nodes);
        let other = n % nodes + 1;
        match self.rng.random_range(0..11) {
            0 | 1 => self.power_off(n, false),
            2 => {
                for n in 1..=nodes {
                    self.power_off(n, false);
                }
            }
            3 => {
                // As many disks as may be, and at times the others lose power with them.
                let others = self.rng.random_bool(0.3);
                for _ in 0..self.disks_to_lose() {
                    let n = self.rng.random_range(1..=nodes);
                    if self.disks_to_lose() > 0 {
                        self.power_off(n, true);
                        self.power_on(n);
                    }
                }
                for n in (1..=nodes).filter(|_| others) {
                    self.power_off(n, false);
                }
            }
            4 => {
                self.cuts.insert(pair(n, other), self.now + 2500);
            }
            5 => {
                for other in (1..=nodes).filter(|other| *other != n) {
                    self.cuts.insert(pair(n, other), self.now + 2500);
                }
            }
            6 => self.lose_link(n, other),
            7 => self.machines[usize::from(n) - 1].frozen_until = self.now + 1800,
            8 => self.machines[usize::from(n) - 1].stalled_until = self.now + 1500,
            9 => {
                // The core in two.
                let side = self.rng.random_range(1..nodes.max(2));
                for (a, b) in (1..=side).flat_map(|a| (side + 1..=nodes).map(move |b| (a, b))) {
                    self.cuts.insert((a, b), self.now + 2500);
                }
            }
            _ if self.size.spare > 0 && self.disks_to_lose() > 0 => {
                // Lost for good; one that stands by has to take its place.
                self.power_off(n, true);
                self.machines[usize::from(n) - 1].gone = true;
            }
            _ => {}
        }
    }

    /// All voters are in one chain, and there are as many of them as there should be.
    fn in_one_view(&self) -> bool {
        let running = || self.machines.iter().filter_map(|m| m.chain.as_ref());
        let views: BTreeSet<_> = running().map(|c| c.view().map(|view| view.number)).collect();
        let Some(view) = running().find_map(Chain::view) else { return false };
        let voters = &view.members.voters;
        views.len() == 1
            && view.members.before.is_empty()
            && voters.len() >= usize::from(self.size.voters())
            && voters.iter().all(|voter| view.chain.contains(voter))
    }

    fn settle(&mut self) {
        self.mended = true;
        self.cuts.clear();
        for n in 1..=self.size.nodes() {
            self.machines[usize::from(n) - 1].gone = false;
            self.power_on(n);
            self.machines[usize::from(n) - 1].frozen_until = 0;
            self.machines[usize::from(n) - 1].stalled_until = 0;
        }
    }
}

fn play(seed: u64) -> u64 {
    let sizes = [(1, 0), (2, 0), (2, 2), (1, 1), (3, 1)].map(|(losses, spare)| Size { losses, spare });
    let mut world = World::new(seed, sizes[seed as usize % sizes.len()]);
    let mut next_trouble = 1500;
    while world.now < TROUBLES {
        world.step();
        if world.now.is_multiple_of(250) {
            world.operate();
        }
        if world.now >= next_trouble {
            world.trouble();
            next_trouble = world.now + world.rng.random_range(100..2500);
        }
        for n in 1..=world.size.nodes() {
            if world.rng.random_bool(0.02) {
                world.power_on(n);
            }
        }
    }
    world.settle();
    let done = world.done;
    let until = world.now + MENDED;
    while world.now < until {
        world.step();
        if world.now.is_multiple_of(250) {
            world.operate();
        }
    }
    if world.done <= done || !world.in_one_view() {
        for (m, n) in world.machines.iter().zip(1..) {
            let c = m.chain.as_ref();
            println!(
                "node {n}: view {:?} members {:?} maj {:?} disk {:?}",
                c.and_then(|c| c.view().cloned()),
                c.map(|c| c.members().clone()),
                c.map(|c| c.in_majority()),
                m.disk.as_ref().map(|d| (d.votes, d.promised, d.accepted, d.members.clone(), d.record.seq))
            );
        }
    }
    assert!(world.done > done, "no change went through in {MENDED} ms after all was mended");
    assert!(world.in_one_view(), "not all are in one chain again");
    world.done
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn nothing_acknowledged_is_lost_whatever_fails_within_bounds() {
    if let Some(seed) = number("CHAIN_SEED") {
        println!("seed {seed}: {} changes", play(seed));
        return;
    }
    let runs = number("CHAIN_RUNS").unwrap_or(3000);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let part = |first: u64| {
        let played = |seed| {
            let changes = std::panic::catch_unwind(|| play(seed));
            changes.unwrap_or_else(|_| panic!("seed {seed} failed; see above"))
        };
        (first..runs).step_by(threads as usize).map(played).sum::<u64>()
    };
    let changes: u64 = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads).map(|first| scope.spawn(move || part(first))).collect();
        parts.into_iter().map(|part| part.join().expect("a schedule failed")).sum()
    });
    println!("{changes} changes acknowledged");
    assert!(changes > 1000, "the schedules leave room for {changes} changes only");
}

#[test]
fn a_quiet_core_takes_a_change_within_a_second_of_its_start() {
    let mut world = World::new(1, SMALL);
    while world.now < 1000 {
        world.step();
        if world.now.is_multiple_of(100) {
            world.operate();
        }
    }
    assert!(world.done > 0);
    assert!(world.in_one_view());
}

#[test]
fn a_member_that_leaves_in_order_is_out_of_the_chain_before_a_silence_would_be_noticed() {
    let mut world = World::new(2, SMALL);
    while world.now < 1000 {
        world.step();
    }
    let now = world.now;
    let outputs = world.machines[0].chain.as_mut().map(|chain| chain.leave(now)).unwrap_or_default();
    world.carry_out(1, outputs);
    let needed = |world: &World| world.machines[0].chain.as_ref().is_some_and(Chain::is_needed);
    while needed(&world) && world.now < now + 600 {
        world.step();
    }
    assert!(!needed(&world), "still counted on after 600 ms");
}

/// Lets time pass until a node's view has these voters and no others.
fn await_voters(world: &mut World, at: u8, voters: &[u8]) {
    let until = world.now + 3000;
    let wanted: Vec<NodeId> = voters.iter().copied().map(node).collect();
    let stand = |world: &World| {
        let chain = world.machines[usize::from(at) - 1].chain.as_ref().expect("it runs");
        let members = chain.members();
        members.voters == wanted && members.before.is_empty() && chain.view().is_some()
    };
    while !stand(world) {
        assert!(world.now < until, "no view of the voters {voters:?}");
        world.step();
    }
}

#[test]
fn voters_are_added_and_removed_at_an_operators_word_and_what_would_break_the_core_is_refused() {
    let mut world = World::new(5, Size { losses: 1, spare: 2 });
    for n in 4..=5 {
        world.power_on(n);
    }
    while world.now < 3000 {
        world.step();
        if world.now.is_multiple_of(250) {
            world.operate();
        }
    }
    let ask = |world: &mut World, at: u8, seat| {
        // The last change may not have come to this node yet.
        let until = world.now + 1000;
        let told = loop {
            let now = world.now;
            let chain = world.machines[usize::from(at) - 1].chain.as_mut().expect("it runs");
            let told = chain.ask_voters(now, seat);
            if !matches!(told, Err(Refused::NoView | Refused::UnderWay)) || now >= until {
                assert!(told.is_err() || chain.ask_voters(now, seat) == Err(Refused::UnderWay));
                break told;
            }
            world.step();
        };
        told.map(|voters| voters.into_iter().map(|voter| voter.octets()[3]).collect::<Vec<u8>>())
    };
    await_voters(&mut world, 1, &[1, 2, 3]);
    assert_eq!(ask(&mut world, 1, Seat::Add(node(2))), Err(Refused::Votes(node(2))));
    assert_eq!(ask(&mut world, 1, Seat::Add(node(9))), Err(Refused::NotThere(node(9))));
    assert_eq!(ask(&mut world, 1, Seat::Remove(node(4))), Err(Refused::NoVoter(node(4))));
    assert_eq!(ask(&mut world, 4, Seat::Remove(node(1))), Err(Refused::NoView), "it has no vote");
    // One of three goes: its place is taken by one that stands by, also where it is the one that is asked.
    assert_eq!(ask(&mut world, 2, Seat::Remove(node(2))), Ok(vec![1, 3, 4]));
    await_voters(&mut world, 1, &[1, 3, 4]);
    assert_eq!(ask(&mut world, 3, Seat::Add(node(5))), Ok(vec![1, 3, 4, 5]));
    await_voters(&mut world, 1, &[1, 3, 4, 5]);
    // More than are needed: one may go without another in its place.
    assert_eq!(ask(&mut world, 1, Seat::Remove(node(3))), Ok(vec![1, 4, 5]));
    await_voters(&mut world, 4, &[1, 4, 5]);
    // Nobody stands by.
    for n in 2..=3 {
        world.power_off(n, false);
    }
    while world.now < 9000 {
        world.step();
    }
    let refused = Refused::NobodyStandsBy { left: 2, needed: 3, losses: 1 };
    assert_eq!(ask(&mut world, 1, Seat::Remove(node(5))), Err(refused));
    let done = world.done;
    for _ in 0..100 {
        world.step();
        if world.now.is_multiple_of(250) {
            world.operate();
        }
    }
    assert!(world.done > done, "changes go through");
}

/// Any message, with numbers and lists that may be far out.
fn nonsense(rng: &mut ChaCha8Rng) -> Message {
    let number = |rng: &mut ChaCha8Rng| match rng.random_range(0..5) {
        0 => rng.random(),
        1 => u64::MAX,
        2 => 1 << 62,
        _ => rng.random_range(0..200),
    };
    let nodes = |rng: &mut ChaCha8Rng| -> Vec<NodeId> {
        let count = if rng.random_bool(0.1) { 100 } else { rng.random_range(0..4) };
        (0..count).map(|_| node(rng.random_range(0..6))).collect()
    };
    let record = |rng: &mut ChaCha8Rng| {
        let document = (0..rng.random_range(0..40)).map(|_| rng.random()).collect();
        let rev = number(rng);
        let newest = if rng.random_bool(0.1) { number(rng) } else { rev };
        let order = TakenOrder { rev: newest, key: OrderKey([1; 32]) };
        let taken = TakenOrders::listed(number(rng), &[order]).expect("one order rises");
        Arc::new(Record { seq: number(rng), rev, document, taken })
    };
    let members = |rng: &mut ChaCha8Rng| Members { voters: nodes(rng), before: nodes(rng) };
    let view = |rng: &mut ChaCha8Rng| View { number: number(rng), chain: nodes(rng), members: members(rng) };
    let change = |rng: &mut ChaCha8Rng| {
        let bytes = (0..rng.random_range(0..40)).map(|_| rng.random()).collect();
        Call::Change { builds_on: number(rng), change: Change::Put(bytes) }
    };
    match rng.random_range(0..13) {
        0 => Message::Beat(Beat {
            members: members(rng),
            eligible: rng.random(),
            promised: number(rng),
            view: rng.random_bool(0.5).then(|| view(rng)),
            hears: nodes(rng),
            wiped: rng.random(),
            unfit: rng.random(),
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
        6 => Message::Stands { view: view(rng) },
        7 => {
            let order = TakenOrder { rev: number(rng), key: OrderKey([2; 32]) };
            let entry = Entry { seq: number(rng), document: record(rng).document.clone(), order };
            Message::Update { view: number(rng), entry: Arc::new(entry) }
        }
        8 => Message::Acked { view: number(rng), seq: number(rng) },
        9 => Message::Committed { record: record(rng) },
        10 => Message::Forward { call: number(rng), what: change(rng) },
        11 => Message::ReadDown { view: number(rng), origin: node(1), call: number(rng) },
        _ => Message::Answer { call: number(rng), outcome: Outcome::Conflict { current: number(rng) } },
    }
}

#[test]
fn what_no_node_says_has_no_effect() {
    let mut world = World::new(3, SMALL);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut ignored = 0;
    while world.now < 6000 {
        world.step();
        let now = world.now;
        for message in (0..9).map(|_| nonsense(&mut rng)).filter(|message| !message.is_sound()) {
            let chain = world.machines[0].chain.as_mut().expect("it runs");
            assert_eq!(chain.message(now, node(2), message), []);
            ignored += 1;
        }
        if world.now.is_multiple_of(100) {
            world.operate();
        }
    }
    assert!(ignored > 1000 && world.done > 20, "{ignored} ignored, {} changes", world.done);
    assert!(world.in_one_view());
}

#[test]
fn what_a_broken_peer_says_soundly_breaks_no_node() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut chain = Chain::new(node(1), SMALL.terms(), Start::Fresh(seeds()));
        let mut syncs = VecDeque::new();
        for now in 0..2000 {
            let from = node(rng.random_range(1..5));
            let outputs = match rng.random_range(0..20) {
                0 => chain.peer_up(now, from),
                1 => chain.peer_down(now, from),
                2 => chain.call(now, now, Call::Read),
                3 => chain.tick(now),
                4 => syncs.pop_front().map_or(Vec::new(), |number| chain.synced(now, number)),
                _ => chain.message(now, from, nonsense(&mut rng)),
            };
            assert!(outputs.len() < 200, "seed {seed}: {} answers to one message", outputs.len());
            for output in outputs {
                if let Output::Persist(number, _) = output {
                    syncs.push_back(number);
                }
            }
        }
    }
}
