//! Every order of events at a small core: three voters, two operators who race on the same version, each at any node,
//! messages and syncs in any order that links and disks allow. At every state that can be reached so, each node in turn
//! loses its power, with and without its disk, and the others mend the core: what was acknowledged must be in force then,
//! and no other change. Where `chain.rs` plays long random schedules, this visits all short ones.
//!
//! Among five voters it visits every order of a few events from each moment of a change of members on, with all power
//! and any two disks lost at each state: two events in CI; `EXHAUSTIVE_DEPTH=3` takes some minutes, on as many threads as `EXHAUSTIVE_THREADS` says.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use std::sync::Mutex;

use glenfall_plane::chain::{
    Call, Chain, Durable, Members, Message, NodeId, Outcome, Output, Seat, Start, Terms, View,
};
use glenfall_plane::config::Change;
use glenfall_plane::Millis;

const SEEDS: usize = 3;
/// How time passes while the core is mended, and how long that may take.
const PASS: Millis = 20;
const MENDED: Millis = 6000;
/// Longer than any node waits for its turn to propose.
const DUE: Millis = 500;
/// Longer than the first waits that may propose, and shorter than the next.
const FIRST_DUE: Millis = 100;

fn node(n: usize) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

fn place(node: NodeId) -> usize {
    usize::from(node.octets()[3]) - 1
}

fn seeds() -> Vec<NodeId> {
    (0..SEEDS).map(node).collect()
}

fn pairs(nodes: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..nodes).flat_map(move |a| (a + 1..nodes).map(move |b| (a, b)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The next message from one to another arrives.
    Deliver(usize, usize),
    /// The next sync of a node is done.
    Sync(usize),
    /// An operator asks a node for a change upon version 0.
    Ask(usize),
    /// A link is lost, with what is on it, and up again at once; then the first node's view comes due.
    Break(usize, usize),
    /// Time in which a view comes due to be proposed.
    Pass,
}

#[derive(Clone)]
struct Machine {
    chain: Option<Chain>,
    disk: Option<Durable>,
    syncing: VecDeque<(u64, Durable)>,
    /// Of all this, if it has not changed since.
    print: Option<u64>,
}

#[derive(Clone, Default)]
struct Link {
    messages: VecDeque<Message>,
    print: Option<u64>,
}

#[derive(Clone)]
struct World {
    losses: usize,
    now: Millis,
    /// How much time passes at once.
    due: Millis,
    machines: Vec<Machine>,
    links: BTreeMap<(usize, usize), Link>,
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
        let mut world = World::of(1, (0..SEEDS).map(|_| Some(Start::Fresh(seeds()))).collect());
        while !(0..SEEDS).all(|n| world.chain(n).view().is_some()) {
            world.run();
            assert!(world.now < MENDED, "the first view stands");
        }
        (world.asks, world.breaks, world.passes) = (asks, breaks, passes);
        world
    }

    /// Nodes that begin like this, all linked; `None` is not there.
    fn of(losses: usize, starts: Vec<Option<Start>>) -> World {
        let terms = Terms { losses, eligible: true, ..Terms::default() };
        let machine = |(n, start): (usize, Option<Start>)| Machine {
            disk: match &start {
                Some(Start::Kept(disk)) => Some(disk.clone()),
                _ => None,
            },
            chain: start.map(|start| Chain::new(node(n), terms, start)),
            syncing: VecDeque::new(),
            print: None,
        };
        let mut world = World {
            losses,
            now: 0,
            due: DUE,
            machines: starts.into_iter().enumerate().map(machine).collect(),
            links: BTreeMap::new(),
            asks: 0,
            breaks: 0,
            passes: 0,
            acknowledged: None,
            published: None,
        };
        for (a, b) in pairs(world.nodes()) {
            if [a, b].iter().all(|n| world.machines[*n].chain.is_some()) {
                world.link(a, b);
            }
        }
        world
    }

    fn nodes(&self) -> usize {
        self.machines.len()
    }

    fn chain(&self, n: usize) -> &Chain {
        self.machines[n].chain.as_ref().expect("it runs")
    }

    fn link(&mut self, a: usize, b: usize) {
        for (n, other) in [(a, b), (b, a)] {
            self.links.insert((n, other), Link::default());
        }
        for (n, other) in [(a, b), (b, a)] {
            self.with(n, |chain, now| chain.peer_up(now, node(other))).unwrap();
        }
    }

    fn with(&mut self, n: usize, act: impl FnOnce(&mut Chain, Millis) -> Vec<Output>) -> Result<(), String> {
        let now = self.now;
        self.machines[n].print = None;
        let Some(chain) = &mut self.machines[n].chain else { return Ok(()) };
        for output in act(chain, now) {
            match output {
                Output::Send(to, message) => {
                    if let Some(link) = self.links.get_mut(&(n, place(to))) {
                        link.messages.push_back(message);
                        link.print = None;
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
        for n in 0..self.nodes() {
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
        let is_beat = |(_, link): &(&(usize, usize), &Link)| {
            matches!(link.messages.front(), Some(Message::Heartbeat(_)))
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
            if !link.messages.is_empty() && running(*to) {
                events.push(Event::Deliver(*from, *to));
            }
        }
        for n in 0..self.nodes() {
            if running(n) && !self.machines[n].syncing.is_empty() {
                events.push(Event::Sync(n));
            }
            if running(n) && self.asks > 0 {
                events.push(Event::Ask(n));
            }
        }
        if self.breaks > 0 {
            events.extend(pairs(self.nodes()).map(|(a, b)| Event::Break(a, b)));
        }
        if self.passes > 0 {
            events.push(Event::Pass);
        }
        events
    }

    fn play(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Deliver(from, to) => {
                let Some(link) = self.links.get_mut(&(from, to)) else { return Ok(()) };
                link.print = None;
                let Some(message) = link.messages.pop_front() else { return Ok(()) };
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
                self.break_link(a, b)?;
                self.pass(FIRST_DUE)
            }
            Event::Pass => {
                self.passes -= 1;
                self.pass(self.due)
            }
        }
    }

    fn pass(&mut self, due: Millis) -> Result<(), String> {
        self.now += due;
        for n in 0..self.nodes() {
            self.with(n, |chain, now| chain.tick(now))?;
        }
        self.beats()
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
        (machine.chain, machine.syncing, machine.print) = (None, VecDeque::new(), None);
        if disk {
            machine.disk = None;
        }
        for other in (0..self.nodes()).filter(|other| *other != n) {
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
            let views: Vec<_> =
                (0..world.nodes()).filter_map(|n| world.machines[n].chain.as_ref()?.view()).collect();
            let running: Vec<NodeId> =
                (0..world.nodes()).filter(|n| world.machines[*n].chain.is_some()).map(node).collect();
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

    /// What was acknowledged is on the disks of a majority of those who count, whatever is lost with the power.
    fn check(&self) -> Result<(), String> {
        let Some(rev) = self.acknowledged else { return Ok(()) };
        let holds = |machine: &Machine| machine.disk.as_ref().is_some_and(|disk| disk.record.rev == rev);
        let held = |members: &Members| members.majority(|id| holds(&self.machines[place(*id)]));
        if self.stood().is_some_and(|view| held(&view.members)) {
            Ok(())
        } else {
            let holding = self.machines.iter().filter(|machine| holds(machine)).count();
            Err(format!("{rev} was acknowledged and is on {holding} disks"))
        }
    }

    /// The newest view that any node knows to stand.
    fn stood(&self) -> Option<&View> {
        let views = self.machines.iter().filter_map(|machine| machine.chain.as_ref()?.view());
        views.max_by_key(|view| view.number)
    }

    fn print(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, self.asks, self.breaks, self.passes, self.acknowledged, self.published).hash(&mut hasher);
        for machine in &mut self.machines {
            let Machine { chain, disk, syncing, print } = machine;
            print.get_or_insert_with(|| hashed(&format!("{chain:?}{disk:?}{syncing:?}"))).hash(&mut hasher);
        }
        for (ends, link) in &mut self.links {
            let Link { messages, print } = link;
            (ends, print.get_or_insert_with(|| hashed(&format!("{messages:?}")))).hash(&mut hasher);
        }
        hasher.finish()
    }
}

fn hashed(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

/// Visits all states, and gives how many there are, and how many of them with a change acknowledged.
fn visited(first: World) -> (usize, usize) {
    let losses = 2 * first.nodes();
    let mut seen = HashSet::new();
    let mut stack = vec![(first, Vec::new())];
    let (mut states, mut acknowledged) = (0, 0);
    while let Some((world, path)) = stack.pop() {
        states += 1;
        acknowledged += usize::from(world.acknowledged.is_some());
        for (n, disk) in (0..world.nodes()).flat_map(|n| [(n, false), (n, true)]) {
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
    println!("{states} states, {acknowledged} with a change acknowledged, {} losses mended", losses * states);
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

// ---- Changes of members among five voters ----

/// Events from each moment of a change of members on; `EXHAUSTIVE_DEPTH` plays more.
const DEPTH: usize = 2;
/// Events until an operator that has no answer sends its change again.
const AGAIN: usize = 25;

impl World {
    /// The next of what is under way arrives, or time passes.
    fn canonical(&mut self) -> Result<(), String> {
        let arrives = |event: &Event| matches!(event, Event::Deliver(..) | Event::Sync(_));
        let event = self.events().into_iter().find(arrives).unwrap_or(Event::Pass);
        self.passes = 1;
        self.play(event)
    }

    /// All voters that there should be count alone, and are the chain of the one view that all know.
    fn whole(&self) -> bool {
        let views = || self.machines.iter().filter_map(|machine| machine.chain.as_ref()).map(Chain::view);
        let Some(view) = views().next().flatten() else { return false };
        let Members { voters, before } = &view.members;
        views().all(|other| other == Some(view))
            && before.is_empty()
            && voters.len() > 2 * self.losses
            && view.chain == *voters
    }

    /// Whether the promise covers the loss of these disks now: no set that counts, by the newest view that stands or
    /// is on a disk, is left without a majority of votes.
    fn covers(&self, lost: [usize; 2]) -> bool {
        let newest = self.machines.iter().filter_map(|m| m.disk.as_ref()).max_by_key(|disk| disk.accepted);
        let first = Members::of(seeds());
        let stood = self.stood().map_or(first, |view| view.members.clone());
        let sets = [Some(&stood), newest.map(|disk| &disk.members)];
        let votes = |id: &NodeId| {
            let (n, disk) = (place(*id), &self.machines[place(*id)].disk);
            // Before its first write a seed begins as at the first start.
            !lost.contains(&n) && disk.as_ref().map_or(n < SEEDS, |disk| disk.votes)
        };
        let mut sets = sets.into_iter().flatten();
        sets.all(|members| members.majority(votes))
    }

    /// All power goes, and these disks with it; the core comes back, and what was acknowledged is in force.
    fn comes_back(&self, lost: [usize; 2]) -> Result<(), String> {
        let start = |(n, machine): (usize, &Machine)| match &machine.disk {
            Some(disk) if !lost.contains(&n) => Some(Start::Kept(disk.clone())),
            None if n < SEEDS && !lost.contains(&n) => Some(Start::Fresh(seeds())),
            _ => Some(Start::Wiped),
        };
        let mut world = World::of(self.losses, self.machines.iter().enumerate().map(start).collect());
        while !world.whole() {
            if world.now >= MENDED {
                return Err("the core does not come back".into());
            }
            world.run();
        }
        for _ in 0..10 {
            world.run();
        }
        let newest: Vec<u64> = (0..world.nodes()).map(|n| world.chain(n).committed().rev).collect();
        let one = newest.iter().all(|rev| *rev == newest[0]);
        if one && self.acknowledged.is_none_or(|rev| rev == newest[0]) {
            Ok(())
        } else {
            Err(format!(
                "{:?} was acknowledged, and {newest:?} is in force after all is back",
                self.acknowledged
            ))
        }
    }
}

/// The moments of a change of members, one event after the other, until all is whole. An operator sends a change again
/// and again meanwhile; another one may ask for one in its place from any moment on.
fn moments(mut world: World) -> Vec<World> {
    let mut moments = Vec::new();
    let before = world.stood().map(|view| view.members.clone());
    while !world.whole()
        || world.acknowledged.is_none()
        || world.stood().map(|view| &view.members) == before.as_ref()
    {
        if moments.len() % AGAIN == 0 {
            world.asks = 2;
            world.play(Event::Ask(3)).expect("it is asked");
        }
        moments.push(world.clone());
        world.canonical().expect("the common way breaks nothing");
        assert!(moments.len() < 2000, "the change of members ends");
    }
    moments.push(world);
    moments
}

/// What is known of all moments.
#[derive(Default)]
struct Known {
    states: HashSet<u64>,
    acknowledged: usize,
    /// Disks after which the core came back.
    came_back: HashSet<u64>,
}

/// Every order of so many events from a moment on.
fn visit(moment: &World, depth: usize, known: &Mutex<Known>) -> Result<(), String> {
    let mut seen = HashSet::new();
    let mut stage = vec![(moment.clone(), Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in stage {
            for event in world.events() {
                let mut after = world.clone();
                let mut way: Vec<Event> = path.clone();
                way.push(event);
                let told = |broken| format!("{broken}, after {way:?}");
                after.play(event).and_then(|()| after.beats()).and_then(|()| after.check()).map_err(told)?;
                let print = after.print();
                if !seen.insert(print) {
                    continue;
                }
                let new = {
                    let mut known = known.lock().expect("nobody panics with it");
                    let new = known.states.insert(print);
                    known.acknowledged += usize::from(new && after.acknowledged.is_some());
                    new
                };
                if new {
                    loses_power(&after, known).map_err(told)?;
                }
                next.push((after, way));
            }
        }
        stage = next;
    }
    Ok(())
}

/// The closing fault at this moment: all lose power, and any two lose their disks, where the promise covers that.
fn loses_power(world: &World, known: &Mutex<Known>) -> Result<(), String> {
    let disks: Vec<_> = world.machines.iter().map(|machine| &machine.disk).collect();
    for (a, b) in pairs(world.nodes()) {
        let print = hashed(&format!("{disks:?}{:?}{a},{b}", world.acknowledged));
        let covered = world.covers([a, b]);
        if covered && known.lock().expect("nobody panics with it").came_back.insert(print) {
            world.comes_back([a, b]).map_err(|broken| format!("{broken}; disks of {a} and {b} were lost"))?;
        }
    }
    Ok(())
}

/// `EXHAUSTIVE_THREADS`, or as many as there are processors, eight at most.
fn threads() -> usize {
    let wanted = std::env::var("EXHAUSTIVE_THREADS").ok().and_then(|n| n.parse().ok());
    wanted.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()).min(8))
}

/// Visits what can follow on each moment of a change of members.
fn visited_around(what: &str, world: World) -> Known {
    let depth = std::env::var("EXHAUSTIVE_DEPTH").ok().and_then(|n| n.parse().ok()).unwrap_or(DEPTH);
    let moments = moments(world);
    let known = Mutex::new(Known::default());
    let next = std::sync::atomic::AtomicUsize::new(0);
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads() {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(moment) = moments.get(at) else { return };
                if let Err(told) = visit(moment, depth, &known) {
                    broken.lock().expect("nobody panics with it").push((at, told));
                }
            });
        }
    });
    let mut broken = broken.into_inner().expect("nobody panicked");
    broken.sort();
    let known = known.into_inner().expect("nobody panicked");
    println!(
        "{what}: {depth} events from each of {} moments: {} states, {} with a change acknowledged, {} losses mended",
        moments.len(),
        known.states.len(),
        known.acknowledged,
        known.came_back.len()
    );
    assert_eq!(broken.first(), None, "{} moments lead to what must not be", broken.len());
    known
}

#[test]
fn no_order_of_events_while_three_seeds_become_five_voters_loses_a_change_or_the_core() {
    let fresh = (0..SEEDS).map(|_| Some(Start::Fresh(seeds())));
    let mut world = World::of(2, fresh.chain([Some(Start::Wiped), Some(Start::Wiped)]).collect());
    (world.breaks, world.passes) = (1, 1);
    let known = visited_around("three seeds become five voters", world);
    assert!(known.states.len() > 3000 && known.came_back.len() > 300);
}

#[test]
fn no_order_of_events_while_one_of_five_voters_is_replaced_loses_a_change_or_the_core() {
    let fresh = (0..SEEDS).map(|_| Some(Start::Fresh(seeds())));
    let others = (SEEDS..6).map(|_| Some(Start::Wiped));
    let mut world = World::of(2, fresh.chain(others).collect());
    let until = 10_000;
    while !world.whole() {
        world.run();
        assert!(world.now < until, "five vote");
    }
    // What an operator asked for is tried for 3 s, and takes three views.
    (world.breaks, world.passes, world.due) = (1, 1, 100);
    let voters = world.chain(0).members().voters.clone();
    let now = world.now;
    let asked = world.machines[0].chain.as_mut().expect("it runs").ask_voters(now, Seat::Remove(voters[4]));
    assert!(asked.is_ok(), "{asked:?}");
    let known = visited_around("one of five voters is replaced", world);
    assert!(known.states.len() > 3000 && known.came_back.len() > 300);
}
