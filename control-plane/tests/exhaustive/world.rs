//! A small cluster whose events are played one by one, and the properties of each of its states.

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
/// Time step while the chain is repaired.
pub const TIME_STEP: Millis = 20;
/// How long a repair may take.
pub const REPAIR_TIMEOUT: Millis = 6000;
/// Longer than any node waits until it may propose.
pub const PROPOSAL_DELAY: Millis = 500;
/// Longer than the first proposer waits, and shorter than the next one does.
pub const FIRST_PROPOSAL_DELAY: Millis = 100;

pub fn node(n: usize) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

pub fn index_of(node: NodeId) -> usize {
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
    /// The next message between two nodes arrives.
    Deliver(usize, usize),
    /// The next disk write of a node is durable.
    Sync(usize),
    /// An operator sends a node a change that builds on version 0.
    Call(usize),
    /// A link is lost with the messages on it, and is up again at once; then the first node may propose a view.
    Break(usize, usize),
    /// Time passes until a view may be proposed.
    AdvanceTime,
    /// The links of the excluded node come up.
    Return,
}

#[derive(Clone)]
pub struct Machine {
    pub chain: Option<Chain>,
    pub disk: Option<HardState>,
    pub syncing: VecDeque<(u64, HardState)>,
    /// Hash of the fields above, if they have not changed since it was computed.
    pub fingerprint: Option<u64>,
}

#[derive(Clone, Default)]
pub struct Link {
    pub messages: VecDeque<Message>,
    pub fingerprint: Option<u64>,
}

#[derive(Clone)]
pub struct World {
    pub losses: usize,
    pub now: Millis,
    /// Length of a time step.
    pub due: Millis,
    pub machines: Vec<Machine>,
    pub links: BTreeMap<(usize, usize), Link>,
    /// Numbers of events that may still happen: calls, link losses and time steps.
    pub calls_left: u64,
    pub link_losses_left: usize,
    pub time_steps_left: usize,
    /// A voter that the others have excluded and do not reach.
    pub away: Option<usize>,
    /// The version that was acknowledged to an operator, and the version that nodes published as the first change.
    pub acknowledged: Option<u64>,
    pub published: Option<u64>,
}

impl World {
    /// A cluster whose first view has started, and the numbers of events that may happen.
    pub fn new(calls_left: u64, link_losses_left: usize, time_steps_left: usize) -> Self {
        let mut world = World::of(1, (0..SEEDS).map(|_| Some(Start::Fresh(seeds()))).collect());
        while !(0..SEEDS).all(|n| world.chain(n).view().is_some()) {
            world.run();
            assert!(world.now < REPAIR_TIMEOUT, "the first view starts");
        }
        (world.calls_left, world.link_losses_left, world.time_steps_left) =
            (calls_left, link_losses_left, time_steps_left);
        world
    }

    /// Nodes that start from these states, all connected; `None` is not running.
    pub fn of(losses: usize, starts: Vec<Option<Start>>) -> World {
        let settings = ChainSettings { losses, eligible: true, ..ChainSettings::default() };
        let machine = |(n, start): (usize, Option<Start>)| Machine {
            disk: match &start {
                Some(Start::Recovered(disk)) => Some(disk.clone()),
                _ => None,
            },
            chain: start.map(|start| Chain::new(node(n), settings, start)),
            syncing: VecDeque::new(),
            fingerprint: None,
        };
        let mut world = World {
            losses,
            now: 0,
            due: PROPOSAL_DELAY,
            machines: starts.into_iter().enumerate().map(machine).collect(),
            links: BTreeMap::new(),
            calls_left: 0,
            link_losses_left: 0,
            time_steps_left: 0,
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
        self.machines[n].chain.as_ref().expect("the node runs")
    }

    pub fn link(&mut self, a: usize, b: usize) {
        for (n, other) in [(a, b), (b, a)] {
            self.links.insert((n, other), Link::default());
        }
        for (n, other) in [(a, b), (b, a)] {
            self.with_chain(n, |chain, now| chain.peer_connected(now, node(other))).unwrap();
        }
    }

    pub fn with_chain(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Chain, Millis) -> Vec<Output>,
    ) -> Result<(), String> {
        let now = self.now;
        self.machines[n].fingerprint = None;
        let Some(chain) = &mut self.machines[n].chain else { return Ok(()) };
        for output in act(chain, now) {
            match output {
                Output::Send(to, message) => {
                    if let Some(link) = self.links.get_mut(&(n, index_of(to))) {
                        link.messages.push_back(message);
                        link.fingerprint = None;
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

    /// Time passes, and all messages and disk writes in flight arrive, link after link.
    pub fn run(&mut self) {
        self.now += TIME_STEP;
        for n in 0..self.nodes() {
            // Time alone acknowledges nothing.
            self.with_chain(n, glenfall_control_plane::chain::Chain::tick).unwrap();
        }
        let arrives = |event: &Event| matches!(event, Event::Deliver(..) | Event::Sync(_));
        while let Some(event) = self.events().into_iter().find(arrives) {
            self.play(event).unwrap();
        }
    }

    /// Delivers the heartbeats that are next on their links. Their order makes no difference.
    pub fn deliver_heartbeats(&mut self) -> Result<(), String> {
        let is_heartbeat = |(_, link): &(&(usize, usize), &Link)| {
            matches!(link.messages.front(), Some(Message::Heartbeat(_)))
        };
        while let Some((from, to)) = self.links.iter().find(is_heartbeat).map(|(ends, _)| *ends) {
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
            if running(n) && self.calls_left > 0 {
                events.push(Event::Call(n));
            }
        }
        if self.link_losses_left > 0 {
            events.extend(pairs(self.nodes()).map(|(a, b)| Event::Break(a, b)));
        }
        if self.time_steps_left > 0 {
            events.push(Event::AdvanceTime);
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
                link.fingerprint = None;
                let Some(message) = link.messages.pop_front() else { return Ok(()) };
                self.with_chain(to, |chain, now| chain.message_received(now, node(from), message))
            }
            Event::Sync(n) => {
                let Some((number, state)) = self.machines[n].syncing.pop_front() else { return Ok(()) };
                self.machines[n].disk = Some(state);
                self.with_chain(n, |chain, now| chain.write_completed(now, number))
            }
            Event::Call(n) => {
                let rev = self.calls_left;
                self.calls_left -= 1;
                let change = ConfigChange::Put(format!("{{\"rev\":{rev}}}").into_bytes());
                self.with_chain(n, |chain, now| chain.call(now, rev, Call::Change { builds_on: 0, change }))
            }
            Event::Break(a, b) => {
                self.link_losses_left -= 1;
                self.break_link(a, b)?;
                self.pass(FIRST_PROPOSAL_DELAY)
            }
            Event::AdvanceTime => {
                self.time_steps_left -= 1;
                self.pass(self.due)
            }
            Event::Return => {
                self.reconnect_away();
                self.deliver_heartbeats()
            }
        }
    }

    pub fn pass(&mut self, due: Millis) -> Result<(), String> {
        self.now += due;
        for n in 0..self.nodes() {
            self.with_chain(n, glenfall_control_plane::chain::Chain::tick)?;
        }
        self.deliver_heartbeats()
    }

    pub fn break_link(&mut self, a: usize, b: usize) -> Result<(), String> {
        for (n, other) in [(a, b), (b, a)] {
            self.links.remove(&(n, other));
            self.with_chain(n, |chain, now| chain.peer_disconnected(now, node(other)))?;
        }
        self.link(a, b);
        self.deliver_heartbeats()
    }

    /// Disconnects a voter, and waits until the others have formed a view without it.
    pub fn exclude(&mut self, n: usize) {
        for other in (0..self.nodes()).filter(|other| *other != n) {
            for (from, to) in [(n, other), (other, n)] {
                self.links.remove(&(from, to));
                self.with_chain(to, |chain, now| chain.peer_disconnected(now, node(from))).unwrap();
            }
        }
        let without =
            |world: &World, at: usize| world.chain(at).view().is_some_and(|v| !v.chain.contains(&node(n)));
        while !(0..self.nodes()).filter(|other| *other != n).all(|other| without(self, other)) {
            self.run();
            assert!(self.now < REPAIR_TIMEOUT, "a view without the node starts");
        }
        self.away = Some(n);
    }

    fn reconnect_away(&mut self) {
        let Some(n) = self.away.take() else { return };
        for other in 0..self.nodes() {
            let running = |n: usize| self.machines[n].chain.is_some();
            if other != n && running(other) && running(n) {
                self.link(n, other);
            }
        }
    }

    /// A node loses its power with the disk writes in flight, and its disk as well if `disk` is set.
    pub fn lose_power(&mut self, n: usize, disk: bool) -> Result<(), String> {
        let machine = &mut self.machines[n];
        (machine.chain, machine.syncing, machine.fingerprint) = (None, VecDeque::new(), None);
        if disk {
            machine.disk = None;
        }
        for other in (0..self.nodes()).filter(|other| *other != n) {
            self.links.remove(&(n, other));
            self.links.remove(&(other, n));
            self.with_chain(other, |chain, now| chain.peer_disconnected(now, node(n)))?;
        }
        Ok(())
    }

    /// The other nodes repair the chain. The acknowledged change is committed then, and all nodes have the same version.
    pub fn check_repair(mut self) -> Result<(), String> {
        (self.calls_left, self.link_losses_left, self.time_steps_left) = (0, 0, 0);
        self.reconnect_away();
        let until = self.now + REPAIR_TIMEOUT;
        let is_repaired = |world: &World| {
            let views: Vec<_> =
                (0..world.nodes()).filter_map(|n| world.machines[n].chain.as_ref()?.view()).collect();
            let running: Vec<NodeId> =
                (0..world.nodes()).filter(|n| world.machines[*n].chain.is_some()).map(node).collect();
            views.len() == running.len() && views.iter().all(|view| view.chain == running)
        };
        while !is_repaired(&self) {
            if self.now >= until {
                return Err("the chain is not repaired".into());
            }
            self.run();
        }
        for _ in 0..20 {
            self.run();
        }
        let newest = self.versions();
        let all_same = newest.iter().all(|rev| *rev == newest[0]);
        if all_same && self.acknowledged.is_none_or(|rev| rev == newest[0]) {
            Ok(())
        } else {
            Err(format!("{:?} was acknowledged, and {newest:?} is committed", self.acknowledged))
        }
    }

    /// The versions that running nodes know to be committed, and those on the disks of the chain. They may differ while a
    /// change is in flight, and where a view has started from an older record.
    pub fn versions(&self) -> Vec<u64> {
        let chains = self.machines.iter().filter_map(|machine| machine.chain.as_ref());
        let committed = chains.map(|chain| chain.committed().rev);
        let members = self.newest_started_view().map_or(&[][..], |view| &view.chain);
        let disks = members.iter().map(|member| self.machines[index_of(*member)].disk.as_ref());
        let on_disks = disks.map(|disk| disk.map_or(0, |disk| disk.record.rev));
        committed.chain(on_disks).collect()
    }

    /// The acknowledged change is durable at a quorum of the voters.
    pub fn check(&self) -> Result<(), String> {
        let Some(rev) = self.acknowledged else { return Ok(()) };
        let has_change = |machine: &Machine| machine.disk.as_ref().is_some_and(|disk| disk.record.rev == rev);
        let is_replicated =
            |members: &JointConfig| members.majority(|id| has_change(&self.machines[index_of(*id)]));
        if self.newest_started_view().is_some_and(|view| is_replicated(&view.members)) {
            Ok(())
        } else {
            let holding = self.machines.iter().filter(|machine| has_change(machine)).count();
            Err(format!("{rev} was acknowledged and is on {holding} disks"))
        }
    }

    /// The newest view that any node knows to have started.
    pub fn newest_started_view(&self) -> Option<&View> {
        let views = self.machines.iter().filter_map(|machine| machine.chain.as_ref()?.view());
        views.max_by_key(|view| view.number)
    }

    pub fn fingerprint(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let left = (self.calls_left, self.link_losses_left, self.time_steps_left, self.away);
        (self.now, left, self.acknowledged, self.published).hash(&mut hasher);
        for machine in &mut self.machines {
            let Machine { chain, disk, syncing, fingerprint } = machine;
            fingerprint
                .get_or_insert_with(|| hash_of(&format!("{chain:?}{disk:?}{syncing:?}")))
                .hash(&mut hasher);
        }
        for (ends, link) in &mut self.links {
            let Link { messages, fingerprint } = link;
            (ends, fingerprint.get_or_insert_with(|| hash_of(&format!("{messages:?}")))).hash(&mut hasher);
        }
        hasher.finish()
    }
}

pub fn hash_of(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}
