//! A small cluster whose events are applied one by one, and the properties that each of its states has to have.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;

use glenfall_control_plane::chain::{
    Call, Chain, ChainSettings, HardState, JointConfig, Message, NodeId, Outcome, Output, Start, View,
};
use glenfall_control_plane::config::ConfigChange;
use glenfall_control_plane::Millis;

/// Number of voters that a cluster starts with.
pub const FIRST_VOTERS: usize = 3;
/// Length of a step of [`World::run_step`].
pub const TIME_STEP: Millis = 20;
/// Upper bound of the time of a repair.
pub const REPAIR_TIMEOUT: Millis = 6000;
/// Longer than any node waits before it proposes a view.
pub const PROPOSAL_DELAY: Millis = 500;
/// Longer than the first proposer waits, and shorter than the second one does.
pub const FIRST_PROPOSAL_DELAY: Millis = 100;

pub fn node(n: usize) -> NodeId {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

pub fn index_of(node: NodeId) -> usize {
    usize::from(node.octets()[3]) - 1
}

pub fn seeds() -> Vec<NodeId> {
    (0..FIRST_VOTERS).map(node).collect()
}

pub fn pairs(nodes: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..nodes).flat_map(move |a| (a + 1..nodes).map(move |b| (a, b)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The next message between two nodes arrives.
    Deliver(usize, usize),
    /// The next disk write of a node is durable.
    CompleteWrite(usize),
    /// An operator sends a node a change that builds on version 0.
    Call(usize),
    /// A link is lost with the messages on it and is up again at once; then the first proposer may propose a view.
    ResetLink(usize, usize),
    /// Time passes until any node may propose a view.
    AdvanceTime,
    /// The links of the excluded node come up.
    Reconnect,
}

#[derive(Clone)]
pub struct Machine {
    pub chain: Option<Chain>,
    pub disk: Option<HardState>,
    pub pending_writes: VecDeque<(u64, HardState)>,
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
    /// Duration of [`Event::AdvanceTime`].
    pub advance_duration: Millis,
    pub machines: Vec<Machine>,
    pub links: BTreeMap<(usize, usize), Link>,
    /// Numbers of events that may still happen: calls, link losses and time steps.
    pub calls_left: u64,
    pub link_losses_left: usize,
    pub time_steps_left: usize,
    /// A voter that the others have excluded and do not reach.
    pub excluded: Option<usize>,
    /// The version that was acknowledged to an operator.
    pub acknowledged: Option<u64>,
    /// The version that nodes published as the first committed change.
    pub published: Option<u64>,
}

impl World {
    /// A cluster whose first view has started, with the numbers of events that may still happen.
    pub fn new(calls_left: u64, link_losses_left: usize, time_steps_left: usize) -> Self {
        let mut world =
            World::with_starts(1, (0..FIRST_VOTERS).map(|_| Some(Start::Fresh(seeds()))).collect());
        while !(0..FIRST_VOTERS).all(|n| world.chain(n).view().is_some()) {
            world.run_step();
            assert!(world.now < REPAIR_TIMEOUT, "the first view has not started");
        }
        (world.calls_left, world.link_losses_left, world.time_steps_left) =
            (calls_left, link_losses_left, time_steps_left);
        world
    }

    /// Nodes that start from these states, all connected to each other. A node with `None` does not run.
    pub fn with_starts(losses: usize, starts: Vec<Option<Start>>) -> World {
        let settings = ChainSettings { tolerated_losses: losses, eligible: true, ..ChainSettings::default() };
        let machine = |(n, start): (usize, Option<Start>)| Machine {
            disk: match &start {
                Some(Start::Recovered(disk)) => Some(disk.clone()),
                _ => None,
            },
            chain: start.map(|start| Chain::new(node(n), settings, start)),
            pending_writes: VecDeque::new(),
            fingerprint: None,
        };
        let mut world = World {
            losses,
            now: 0,
            advance_duration: PROPOSAL_DELAY,
            machines: starts.into_iter().enumerate().map(machine).collect(),
            links: BTreeMap::new(),
            calls_left: 0,
            link_losses_left: 0,
            time_steps_left: 0,
            excluded: None,
            acknowledged: None,
            published: None,
        };
        for (a, b) in pairs(world.nodes()) {
            if [a, b].iter().all(|n| world.machines[*n].chain.is_some()) {
                world.connect(a, b);
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

    pub fn connect(&mut self, a: usize, b: usize) {
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
        input: impl FnOnce(&mut Chain, Millis) -> Vec<Output>,
    ) -> Result<(), String> {
        let now = self.now;
        self.machines[n].fingerprint = None;
        let Some(chain) = &mut self.machines[n].chain else { return Ok(()) };
        for output in input(chain, now) {
            match output {
                Output::Send(to, message) => {
                    if let Some(link) = self.links.get_mut(&(n, index_of(to))) {
                        link.messages.push_back(message);
                        link.fingerprint = None;
                    }
                }
                Output::Persist(number, state) => self.machines[n].pending_writes.push_back((number, state)),
                Output::Publish(record) if record.seq == 1 => {
                    if self.published.is_some_and(|rev| rev != record.rev) {
                        return Err(format!(
                            "versions {:?} and {} were both committed as the first change",
                            self.published, record.rev
                        ));
                    }
                    self.published = Some(record.rev);
                }
                Output::Publish(_) => {}
                Output::Answer(_, Outcome::Done { rev }) => {
                    if self.acknowledged.is_some_and(|other| other != rev) {
                        return Err(format!(
                            "versions {:?} and {rev} were both acknowledged",
                            self.acknowledged
                        ));
                    }
                    self.acknowledged = Some(rev);
                }
                Output::Answer(..) => {}
            }
        }
        Ok(())
    }

    /// Advances the time by one step, then delivers all messages and completes all disk writes in flight.
    pub fn run_step(&mut self) {
        self.now += TIME_STEP;
        for n in 0..self.nodes() {
            // A tick acknowledges no change.
            self.with_chain(n, glenfall_control_plane::chain::Chain::tick).unwrap();
        }
        let is_arrival = |event: &Event| matches!(event, Event::Deliver(..) | Event::CompleteWrite(_));
        while let Some(event) = self.events().into_iter().find(is_arrival) {
            self.apply(event).unwrap();
        }
    }

    /// Delivers the heartbeats that are next on their links. Their order makes no difference to the state.
    pub fn deliver_heartbeats(&mut self) -> Result<(), String> {
        let is_heartbeat = |(_, link): &(&(usize, usize), &Link)| {
            matches!(link.messages.front(), Some(Message::Heartbeat(_)))
        };
        while let Some((from, to)) = self.links.iter().find(is_heartbeat).map(|(ends, _)| *ends) {
            self.apply(Event::Deliver(from, to))?;
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
            if running(n) && !self.machines[n].pending_writes.is_empty() {
                events.push(Event::CompleteWrite(n));
            }
            if running(n) && self.calls_left > 0 {
                events.push(Event::Call(n));
            }
        }
        if self.link_losses_left > 0 {
            events.extend(pairs(self.nodes()).map(|(a, b)| Event::ResetLink(a, b)));
        }
        if self.time_steps_left > 0 {
            events.push(Event::AdvanceTime);
        }
        if self.excluded.is_some() {
            events.push(Event::Reconnect);
        }
        events
    }

    pub fn apply(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Deliver(from, to) => {
                let Some(link) = self.links.get_mut(&(from, to)) else { return Ok(()) };
                link.fingerprint = None;
                let Some(message) = link.messages.pop_front() else { return Ok(()) };
                self.with_chain(to, |chain, now| chain.message_received(now, node(from), message))
            }
            Event::CompleteWrite(n) => {
                let Some((number, state)) = self.machines[n].pending_writes.pop_front() else {
                    return Ok(());
                };
                self.machines[n].disk = Some(state);
                self.with_chain(n, |chain, now| chain.write_completed(now, number))
            }
            Event::Call(n) => {
                let rev = self.calls_left;
                self.calls_left -= 1;
                let change = ConfigChange::Put(format!("{{\"rev\":{rev}}}").into_bytes());
                self.with_chain(n, |chain, now| chain.call(now, rev, Call::Change { builds_on: 0, change }))
            }
            Event::ResetLink(a, b) => {
                self.link_losses_left -= 1;
                self.reset_link(a, b)?;
                self.advance_time(FIRST_PROPOSAL_DELAY)
            }
            Event::AdvanceTime => {
                self.time_steps_left -= 1;
                self.advance_time(self.advance_duration)
            }
            Event::Reconnect => {
                self.reconnect_excluded();
                self.deliver_heartbeats()
            }
        }
    }

    pub fn advance_time(&mut self, duration: Millis) -> Result<(), String> {
        self.now += duration;
        for n in 0..self.nodes() {
            self.with_chain(n, glenfall_control_plane::chain::Chain::tick)?;
        }
        self.deliver_heartbeats()
    }

    pub fn reset_link(&mut self, a: usize, b: usize) -> Result<(), String> {
        for (n, other) in [(a, b), (b, a)] {
            self.links.remove(&(n, other));
            self.with_chain(n, |chain, now| chain.peer_disconnected(now, node(other)))?;
        }
        self.connect(a, b);
        self.deliver_heartbeats()
    }

    /// Disconnects a voter, and runs until the others have started a view without it.
    pub fn exclude(&mut self, n: usize) {
        for other in (0..self.nodes()).filter(|other| *other != n) {
            for (from, to) in [(n, other), (other, n)] {
                self.links.remove(&(from, to));
                self.with_chain(to, |chain, now| chain.peer_disconnected(now, node(from))).unwrap();
            }
        }
        let without = |world: &World, at: usize| {
            world.chain(at).view().is_some_and(|view| !view.chain.contains(&node(n)))
        };
        while !(0..self.nodes()).filter(|other| *other != n).all(|other| without(self, other)) {
            self.run_step();
            assert!(self.now < REPAIR_TIMEOUT, "no view without node {n} has started");
        }
        self.excluded = Some(n);
    }

    fn reconnect_excluded(&mut self) {
        let Some(n) = self.excluded.take() else { return };
        for other in 0..self.nodes() {
            let running = |n: usize| self.machines[n].chain.is_some();
            if other != n && running(other) && running(n) {
                self.connect(n, other);
            }
        }
    }

    /// Powers a node off, which loses its disk writes in flight, and erases its disk if `erase_disk` is set.
    pub fn lose_power(&mut self, n: usize, erase_disk: bool) -> Result<(), String> {
        let machine = &mut self.machines[n];
        (machine.chain, machine.pending_writes, machine.fingerprint) = (None, VecDeque::new(), None);
        if erase_disk {
            machine.disk = None;
        }
        for other in (0..self.nodes()).filter(|other| *other != n) {
            self.links.remove(&(n, other));
            self.links.remove(&(other, n));
            self.with_chain(other, |chain, now| chain.peer_disconnected(now, node(n)))?;
        }
        Ok(())
    }

    /// Lets the running nodes repair the chain, and checks that all have the same version then, and that it is the
    /// acknowledged one if there is any.
    pub fn check_repair(mut self) -> Result<(), String> {
        (self.calls_left, self.link_losses_left, self.time_steps_left) = (0, 0, 0);
        self.reconnect_excluded();
        let deadline = self.now + REPAIR_TIMEOUT;
        let is_repaired = |world: &World| {
            let views: Vec<_> =
                (0..world.nodes()).filter_map(|n| world.machines[n].chain.as_ref()?.view()).collect();
            let running: Vec<NodeId> =
                (0..world.nodes()).filter(|n| world.machines[*n].chain.is_some()).map(node).collect();
            views.len() == running.len() && views.iter().all(|view| view.chain == running)
        };
        while !is_repaired(&self) {
            if self.now >= deadline {
                return Err("the chain is not repaired".into());
            }
            self.run_step();
        }
        for _ in 0..20 {
            self.run_step();
        }
        let revs = self.known_revs();
        let all_same = revs.iter().all(|rev| *rev == revs[0]);
        if all_same && self.acknowledged.is_none_or(|rev| rev == revs[0]) {
            Ok(())
        } else {
            Err(format!(
                "version {:?} was acknowledged, and the nodes have the versions {revs:?}",
                self.acknowledged
            ))
        }
    }

    /// The versions that running nodes know to be committed, and those on the disks of the chain's members. They may differ
    /// while a change is in flight, and where a view has started from an older record.
    pub fn known_revs(&self) -> Vec<u64> {
        let chains = self.machines.iter().filter_map(|machine| machine.chain.as_ref());
        let committed = chains.map(|chain| chain.committed().rev);
        let members = self.newest_started_view().map_or(&[][..], |view| &view.chain);
        let disks = members.iter().map(|member| self.machines[index_of(*member)].disk.as_ref());
        let on_disks = disks.map(|disk| disk.map_or(0, |disk| disk.record.rev));
        committed.chain(on_disks).collect()
    }

    /// Checks that the acknowledged change is durable at a quorum of the voters.
    pub fn check(&self) -> Result<(), String> {
        let Some(rev) = self.acknowledged else { return Ok(()) };
        let has_change = |machine: &Machine| machine.disk.as_ref().is_some_and(|disk| disk.record.rev == rev);
        let is_replicated =
            |members: &JointConfig| members.is_quorum(|id| has_change(&self.machines[index_of(*id)]));
        if self.newest_started_view().is_some_and(|view| is_replicated(&view.members)) {
            Ok(())
        } else {
            let replicas = self.machines.iter().filter(|machine| has_change(machine)).count();
            Err(format!("version {rev} was acknowledged, and is on {replicas} disks only"))
        }
    }

    /// The newest view that any node knows to have started.
    pub fn newest_started_view(&self) -> Option<&View> {
        let views = self.machines.iter().filter_map(|machine| machine.chain.as_ref()?.view());
        views.max_by_key(|view| view.number)
    }

    pub fn fingerprint(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let remaining = (self.calls_left, self.link_losses_left, self.time_steps_left, self.excluded);
        (self.now, remaining, self.acknowledged, self.published).hash(&mut hasher);
        for machine in &mut self.machines {
            let Machine { chain, disk, pending_writes, fingerprint } = machine;
            fingerprint
                .get_or_insert_with(|| hash_of(&format!("{chain:?}{disk:?}{pending_writes:?}")))
                .hash(&mut hasher);
        }
        for (ends, link) in &mut self.links {
            let Link { messages, fingerprint } = link;
            (ends, fingerprint.get_or_insert_with(|| hash_of(&format!("{messages:?}")))).hash(&mut hasher);
        }
        hasher.finish()
    }
}

pub fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
