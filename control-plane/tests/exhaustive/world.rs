//! A small core whose events are played one by one, and what must hold at each of its states.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;

use glenfall_control_plane::chain::{
    Call, Chain, ChainSettings, HardState, JointConfig, Message, NodeId, Outcome, Output, Start, View,
};
use glenfall_control_plane::config::ConfigChange;
use glenfall_control_plane::Millis;

pub const SEEDS: usize = 3;
/// How time passes while the core is mended, and how long that may take.
pub const PASS: Millis = 20;
pub const MENDED: Millis = 6000;
/// Longer than any node waits for its turn to propose.
pub const DUE: Millis = 500;
/// Longer than the first waits that may propose, and shorter than the next.
pub const FIRST_DUE: Millis = 100;

pub fn node(n: usize) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

pub fn place(node: NodeId) -> usize {
    usize::from(node.octets()[3]) - 1
}

pub fn seeds() -> Vec<NodeId> {
    (0..SEEDS).map(node).collect()
}

pub fn pairs(nodes: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..nodes).flat_map(move |a| (a + 1..nodes).map(move |b| (a, b)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
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
    /// The links of the node that is away come up.
    Return,
}

#[derive(Clone)]
pub struct Machine {
    pub chain: Option<Chain>,
    pub disk: Option<HardState>,
    pub syncing: VecDeque<(u64, HardState)>,
    /// Of all this, if it has not changed since.
    pub print: Option<u64>,
}

#[derive(Clone, Default)]
pub struct Link {
    pub messages: VecDeque<Message>,
    pub print: Option<u64>,
}

#[derive(Clone)]
pub struct World {
    pub losses: usize,
    pub now: Millis,
    /// How much time passes at once.
    pub due: Millis,
    pub machines: Vec<Machine>,
    pub links: BTreeMap<(usize, usize), Link>,
    /// What is left: changes to ask for, links to lose, times to let pass.
    pub asks: u64,
    pub breaks: usize,
    pub passes: usize,
    /// A voter that the others have left out, and hear nothing of.
    pub away: Option<usize>,
    /// The version that an operator was told is in force, and what nodes published as the first change.
    pub acknowledged: Option<u64>,
    pub published: Option<u64>,
}

impl World {
    /// A core whose first view stands, and what may happen to it.
    pub fn new(asks: u64, breaks: usize, passes: usize) -> Self {
        let mut world = World::of(1, (0..SEEDS).map(|_| Some(Start::Fresh(seeds()))).collect());
        while !(0..SEEDS).all(|n| world.chain(n).view().is_some()) {
            world.run();
            assert!(world.now < MENDED, "the first view stands");
        }
        (world.asks, world.breaks, world.passes) = (asks, breaks, passes);
        world
    }

    /// Nodes that begin like this, all linked; `None` is not there.
    pub fn of(losses: usize, starts: Vec<Option<Start>>) -> World {
        let terms = ChainSettings { losses, eligible: true, ..ChainSettings::default() };
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
            away: None,
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

    pub fn nodes(&self) -> usize {
        self.machines.len()
    }

    pub fn chain(&self, n: usize) -> &Chain {
        self.machines[n].chain.as_ref().expect("it runs")
    }

    pub fn link(&mut self, a: usize, b: usize) {
        for (n, other) in [(a, b), (b, a)] {
            self.links.insert((n, other), Link::default());
        }
        for (n, other) in [(a, b), (b, a)] {
            self.with(n, |chain, now| chain.peer_up(now, node(other))).unwrap();
        }
    }

    pub fn with(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Chain, Millis) -> Vec<Output>,
    ) -> Result<(), String> {
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
    pub fn run(&mut self) {
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
    pub fn beats(&mut self) -> Result<(), String> {
        let is_beat = |(_, link): &(&(usize, usize), &Link)| {
            matches!(link.messages.front(), Some(Message::Heartbeat(_)))
        };
        while let Some((from, to)) = self.links.iter().find(is_beat).map(|(ends, _)| *ends) {
            self.play(Event::Deliver(from, to))?;
        }
        Ok(())
    }

    pub fn events(&self) -> Vec<Event> {
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
        if self.away.is_some() {
            events.push(Event::Return);
        }
        events
    }

    pub fn play(&mut self, event: Event) -> Result<(), String> {
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
                let change = ConfigChange::Put(format!("{{\"rev\":{rev}}}").into_bytes());
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
            Event::Return => {
                self.returns();
                self.beats()
            }
        }
    }

    pub fn pass(&mut self, due: Millis) -> Result<(), String> {
        self.now += due;
        for n in 0..self.nodes() {
            self.with(n, |chain, now| chain.tick(now))?;
        }
        self.beats()
    }

    pub fn break_link(&mut self, a: usize, b: usize) -> Result<(), String> {
        for (n, other) in [(a, b), (b, a)] {
            self.links.remove(&(n, other));
            self.with(n, |chain, now| chain.peer_down(now, node(other)))?;
        }
        self.link(a, b);
        self.beats()
    }

    /// A voter that others hear nothing of, in whose absence they have formed a view.
    pub fn leave_out(&mut self, n: usize) {
        for other in (0..self.nodes()).filter(|other| *other != n) {
            for (from, to) in [(n, other), (other, n)] {
                self.links.remove(&(from, to));
                self.with(to, |chain, now| chain.peer_down(now, node(from))).unwrap();
            }
        }
        let without =
            |world: &World, at: usize| world.chain(at).view().is_some_and(|v| !v.chain.contains(&node(n)));
        while !(0..self.nodes()).filter(|other| *other != n).all(|other| without(self, other)) {
            self.run();
            assert!(self.now < MENDED, "a view without it stands");
        }
        self.away = Some(n);
    }

    fn returns(&mut self) {
        let Some(n) = self.away.take() else { return };
        for other in 0..self.nodes() {
            let running = |n: usize| self.machines[n].chain.is_some();
            if other != n && running(other) && running(n) {
                self.link(n, other);
            }
        }
    }

    /// A node loses its power, and what is under way to its disk, if not the disk itself.
    pub fn lose(&mut self, n: usize, disk: bool) -> Result<(), String> {
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
    pub fn mend(mut self) -> Result<(), String> {
        (self.asks, self.breaks, self.passes) = (0, 0, 0);
        self.returns();
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
        let newest = self.versions();
        let one = newest.iter().all(|rev| *rev == newest[0]);
        if one && self.acknowledged.is_none_or(|rev| rev == newest[0]) {
            Ok(())
        } else {
            Err(format!("{:?} was acknowledged, and {newest:?} is in force", self.acknowledged))
        }
    }

    /// The versions that those that run know to be committed, and those on the disks of the chain: the two may differ
    /// while a change is under way, and where a view has gone on from an older record.
    pub fn versions(&self) -> Vec<u64> {
        let chains = self.machines.iter().filter_map(|machine| machine.chain.as_ref());
        let committed = chains.map(|chain| chain.committed().rev);
        let members = self.stood().map_or(&[][..], |view| &view.chain);
        let disks = members.iter().map(|member| self.machines[place(*member)].disk.as_ref());
        let on_disks = disks.map(|disk| disk.map_or(0, |disk| disk.record.rev));
        committed.chain(on_disks).collect()
    }

    /// What was acknowledged is on the disks of a majority of those who count, whatever is lost with the power.
    pub fn check(&self) -> Result<(), String> {
        let Some(rev) = self.acknowledged else { return Ok(()) };
        let holds = |machine: &Machine| machine.disk.as_ref().is_some_and(|disk| disk.record.rev == rev);
        let held = |members: &JointConfig| members.majority(|id| holds(&self.machines[place(*id)]));
        if self.stood().is_some_and(|view| held(&view.members)) {
            Ok(())
        } else {
            let holding = self.machines.iter().filter(|machine| holds(machine)).count();
            Err(format!("{rev} was acknowledged and is on {holding} disks"))
        }
    }

    /// The newest view that any node knows to stand.
    pub fn stood(&self) -> Option<&View> {
        let views = self.machines.iter().filter_map(|machine| machine.chain.as_ref()?.view());
        views.max_by_key(|view| view.number)
    }

    pub fn print(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let left = (self.asks, self.breaks, self.passes, self.away);
        (self.now, left, self.acknowledged, self.published).hash(&mut hasher);
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

pub fn hashed(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}
