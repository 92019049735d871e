//! Every order of events at a small core: three voters, two operators who race on the same version, each at any node,
//! messages and syncs in any order that links and disks allow. At every state that can be reached so, each node in turn
//! loses its power, with and without its disk, and the others mend the core: what was acknowledged must be in force then,
//! and no other change. Where `chain.rs` plays long random schedules, this visits all short ones.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;

use glenfall_plane::chain::{Call, Chain, Durable, Message, NodeId, Outcome, Output, Start, Terms};
use glenfall_plane::config::Change;
use glenfall_plane::Millis;

const NODES: usize = 3;
const TERMS: Terms = Terms { losses: 1, eligible: true, sync: 4000 };
/// How time passes while the core is mended, and how long that may take.
const PASS: Millis = 20;
const MENDED: Millis = 6000;
/// Longer than any node waits for its turn to propose.
const DUE: Millis = 500;

fn node(n: usize) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

fn place(node: NodeId) -> usize {
    usize::from(node.octets()[3]) - 1
}

fn seeds() -> Vec<NodeId> {
    (0..NODES).map(node).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The next message from one to another arrives.
    Deliver(usize, usize),
    /// The next sync of a node is done.
    Sync(usize),
    /// An operator asks a node for a change upon version 0.
    Ask(usize),
    /// A link is lost, with what is on it, and up again at once.
    Break(usize, usize),
    /// Time in which a view comes due to be proposed.
    Pass,
}

#[derive(Clone)]
struct Machine {
    chain: Option<Chain>,
    disk: Option<Durable>,
    syncing: VecDeque<(u64, Durable)>,
}

#[derive(Clone)]
struct World {
    now: Millis,
    machines: Vec<Machine>,
    links: BTreeMap<(usize, usize), VecDeque<Message>>,
    /// What is left: changes to ask for, links to lose, times to let pass.
    asks: u64,
    breaks: usize,
    passes: usize,
    /// The version that an operator was told is in force, and what nodes published as the first change.
    acknowledged: Option<u64>,
    published: Option<u64>,
}

impl World {
    /// A core whose first view stands, and what may happen to it.
    fn new(asks: u64, breaks: usize, passes: usize) -> Self {
        let machine = |n| Machine {
            chain: Some(Chain::new(node(n), TERMS, Start::Fresh(seeds()))),
            disk: None,
            syncing: VecDeque::new(),
        };
        let mut world = World {
            now: 0,
            machines: (0..NODES).map(machine).collect(),
            links: BTreeMap::new(),
            asks: 0,
            breaks: 0,
            passes: 0,
            acknowledged: None,
            published: None,
        };
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            world.link(a, b);
        }
        while !(0..NODES).all(|n| world.chain(n).view().is_some()) {
            world.run();
            assert!(world.now < MENDED, "the first view stands");
        }
        (world.asks, world.breaks, world.passes) = (asks, breaks, passes);
        world
    }

    fn chain(&self, n: usize) -> &Chain {
        self.machines[n].chain.as_ref().expect("it runs")
    }

    fn link(&mut self, a: usize, b: usize) {
        for (n, other) in [(a, b), (b, a)] {
            self.links.insert((n, other), VecDeque::new());
        }
        for (n, other) in [(a, b), (b, a)] {
            self.with(n, |chain, now| chain.peer_up(now, node(other))).unwrap();
        }
    }

    fn with(&mut self, n: usize, act: impl FnOnce(&mut Chain, Millis) -> Vec<Output>) -> Result<(), String> {
        let now = self.now;
        let Some(chain) = &mut self.machines[n].chain else { return Ok(()) };
        for output in act(chain, now) {
            match output {
                Output::Send(to, message) => {
                    if let Some(link) = self.links.get_mut(&(n, place(to))) {
                        link.push_back(message);
                    }
                }
                Output::Persist(number, state) => self.machines[n].syncing.push_back((number, state)),
                Output::Publish(record) if record.seq == 1 => {
                    if self.published.is_some_and(|rev| rev != record.rev) {
                        return Err(format!("{:?} and {} were committed", self.published, record.rev));
                    }
                    self.published = Some(record.rev);
                }
                Output::Publish(_) => {}
                Output::Answer(_, Outcome::Done { rev }) => {
                    if self.acknowledged.is_some_and(|other| other != rev) {
                        return Err(format!("{:?} and {rev} were acknowledged", self.acknowledged));
                    }
                    self.acknowledged = Some(rev);
                }
                Output::Answer(..) => {}
            }
        }
        Ok(())
    }

    /// Some time passes, and all that is under way arrives, links in turn.
    fn run(&mut self) {
        self.now += PASS;
        for n in 0..NODES {
            // Time alone acknowledges nothing.
            self.with(n, |chain, now| chain.tick(now)).unwrap();
        }
        let arrives = |event: &Event| matches!(event, Event::Deliver(..) | Event::Sync(_));
        while let Some(event) = self.events().into_iter().find(arrives) {
            self.play(event).unwrap();
        }
    }

    /// Beats that come next on their links arrive: they tell who is there, in any order the same.
    fn beats(&mut self) -> Result<(), String> {
        let is_beat = |(_, link): &(&(usize, usize), &VecDeque<Message>)| {
            matches!(link.front(), Some(Message::Beat(_)))
        };
        while let Some((from, to)) = self.links.iter().find(is_beat).map(|(ends, _)| *ends) {
            self.play(Event::Deliver(from, to))?;
        }
        Ok(())
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let running = |n: usize| self.machines[n].chain.is_some();
        for ((from, to), link) in &self.links {
            if !link.is_empty() && running(*to) {
                events.push(Event::Deliver(*from, *to));
            }
        }
        for n in 0..NODES {
            if running(n) && !self.machines[n].syncing.is_empty() {
                events.push(Event::Sync(n));
            }
            if running(n) && self.asks > 0 {
                events.push(Event::Ask(n));
            }
        }
        if self.breaks > 0 {
            events.extend([(0, 1), (0, 2), (1, 2)].map(|(a, b)| Event::Break(a, b)));
        }
        if self.passes > 0 {
            events.push(Event::Pass);
        }
        events
    }

    fn play(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Deliver(from, to) => {
                let message = self.links.get_mut(&(from, to)).and_then(VecDeque::pop_front);
                let Some(message) = message else { return Ok(()) };
                self.with(to, |chain, now| chain.message(now, node(from), message))
            }
            Event::Sync(n) => {
                let Some((number, state)) = self.machines[n].syncing.pop_front() else { return Ok(()) };
                self.machines[n].disk = Some(state);
                self.with(n, |chain, now| chain.synced(now, number))
            }
            Event::Ask(n) => {
                let rev = self.asks;
                self.asks -= 1;
                let change = Change::Put(format!("{{\"rev\":{rev}}}").into_bytes());
                self.with(n, |chain, now| chain.call(now, rev, Call::Change { builds_on: 0, change }))
            }
            Event::Break(a, b) => {
                self.breaks -= 1;
                self.break_link(a, b)
            }
            Event::Pass => {
                self.passes -= 1;
                self.now += DUE;
                for n in 0..NODES {
                    self.with(n, |chain, now| chain.tick(now))?;
                }
                self.beats()
            }
        }
    }

    fn break_link(&mut self, a: usize, b: usize) -> Result<(), String> {
        for (n, other) in [(a, b), (b, a)] {
            self.links.remove(&(n, other));
            self.with(n, |chain, now| chain.peer_down(now, node(other)))?;
        }
        self.link(a, b);
        self.beats()
    }

    /// A node loses its power, and what is under way to its disk, if not the disk itself.
    fn lose(&mut self, n: usize, disk: bool) -> Result<(), String> {
        let machine = &mut self.machines[n];
        (machine.chain, machine.syncing) = (None, VecDeque::new());
        if disk {
            machine.disk = None;
        }
        for other in (0..NODES).filter(|other| *other != n) {
            self.links.remove(&(n, other));
            self.links.remove(&(other, n));
            self.with(other, |chain, now| chain.peer_down(now, node(n)))?;
        }
        Ok(())
    }

    /// The others mend the core; what was acknowledged is in force then, or what was not yet, and all know it.
    fn mend(mut self) -> Result<(), String> {
        (self.asks, self.breaks, self.passes) = (0, 0, 0);
        let until = self.now + MENDED;
        let stands = |world: &World| {
            let views: Vec<_> = (0..NODES).filter_map(|n| world.machines[n].chain.as_ref()?.view()).collect();
            let running: Vec<NodeId> =
                (0..NODES).filter(|n| world.machines[*n].chain.is_some()).map(node).collect();
            views.len() == running.len() && views.iter().all(|view| view.chain == running)
        };
        while !stands(&self) {
            if self.now >= until {
                return Err("the core is not mended".into());
            }
            self.run();
        }
        for _ in 0..20 {
            self.run();
        }
        let newest = self.machines.iter().filter_map(|m| m.chain.as_ref()).map(|chain| chain.committed().rev);
        let newest: Vec<u64> = newest.collect();
        let one = newest.iter().all(|rev| *rev == newest[0]);
        if one && self.acknowledged.is_none_or(|rev| rev == newest[0]) {
            Ok(())
        } else {
            Err(format!("{:?} was acknowledged, and {newest:?} is in force", self.acknowledged))
        }
    }

    /// What was acknowledged is on the disks of a majority of the voters, whatever is lost with the power.
    fn check(&self) -> Result<(), String> {
        let Some(rev) = self.acknowledged else { return Ok(()) };
        let holds = |machine: &&Machine| machine.disk.as_ref().is_some_and(|disk| disk.record.rev == rev);
        let holding = self.machines.iter().filter(holds).count();
        if holding > NODES / 2 {
            Ok(())
        } else {
            Err(format!("{rev} was acknowledged and is on {holding} disks"))
        }
    }

    fn print(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, self.asks, self.breaks, self.passes, self.acknowledged, self.published).hash(&mut hasher);
        for machine in &self.machines {
            format!("{:?}{:?}{:?}", machine.chain, machine.disk, machine.syncing).hash(&mut hasher);
        }
        format!("{:?}", self.links).hash(&mut hasher);
        hasher.finish()
    }
}

/// Visits all states, and gives how many there are, and how many of them with a change acknowledged.
fn visited(first: World) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut stack = vec![(first, Vec::new())];
    let (mut states, mut acknowledged) = (0, 0);
    while let Some((world, path)) = stack.pop() {
        states += 1;
        acknowledged += usize::from(world.acknowledged.is_some());
        for (n, disk) in (0..NODES).flat_map(|n| [(n, false), (n, true)]) {
            let mut left = world.clone();
            if let Err(broken) = left.lose(n, disk).and_then(|()| left.mend()) {
                panic!("{broken}: after {path:?} node {n} lost its power, its disk too: {disk}");
            }
        }
        for event in world.events() {
            let mut after = world.clone();
            let mut way: Vec<Event> = path.clone();
            way.push(event);
            if let Err(broken) = after.play(event).and_then(|()| after.check()) {
                panic!("{broken}, after {way:?}");
            }
            if seen.insert(after.print()) {
                stack.push((after, way));
            }
        }
    }
    println!(
        "{states} states, {acknowledged} with a change acknowledged, {} losses mended",
        2 * NODES * states
    );
    (states, acknowledged)
}

#[test]
fn no_order_of_two_racing_changes_and_no_loss_in_between_acknowledges_both_or_undoes_one() {
    let (states, acknowledged) = visited(World::new(2, 0, 0));
    assert!(states > 200 && acknowledged > 10, "{states} states, {acknowledged} acknowledged");
}

#[test]
fn no_lost_link_at_any_moment_of_a_change_undoes_it() {
    let (states, acknowledged) = visited(World::new(1, 1, 0));
    assert!(states > 1000 && acknowledged > 50, "{states} states, {acknowledged} acknowledged");
}
