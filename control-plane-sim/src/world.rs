//! The simulated cluster: its machines and network, driven step by step.

use std::collections::{BTreeMap, BTreeSet};

use glenfall_control_plane::chain::{Chain, ChainSettings, HardState, JointConfig, Output, Start};
use glenfall_control_plane::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::cluster::{node, number, seeds, Size};
use crate::faults::Fault;
use crate::machine::Machine;
use crate::network::{Endpoint, Network};
use crate::operators::Operators;
use crate::rng;
use crate::schedule::Coverage;
use crate::violation::Violation;
use crate::Action;

/// How much time passes in a step.
pub const TICK: Millis = 10;
/// A process asks its chain what time has brought so often; the real one does every 25 ms.
const CHAIN_TICK: Millis = 2 * TICK;

/// A simulated cluster. An invariant that is broken is kept as its [`Violation`], and returned by the next
/// [`World::step`].
pub struct World {
    pub size: Size,
    pub terms: ChainSettings,
    /// Of operators that are not told what to do.
    pub rng: ChaCha8Rng,
    pub now: Millis,
    pub machines: Vec<Machine>,
    pub(crate) network: Network,
    pub(crate) operators: Operators,
    /// What was ever committed under a number: the version, and the order whose document it is.
    pub committed: BTreeMap<u64, (u64, Option<u64>)>,
    pub counts: Coverage,
    /// The newest view that any node ever knew to stand, and who counts in it.
    pub(crate) newest_view: (u64, JointConfig),
    /// What happens after the next acknowledgement, and after a time.
    pub(crate) on_acknowledged: Vec<Action>,
    pub(crate) pending_actions: Vec<(Millis, Action)>,
    pub fault: Option<Fault>,
    violation: Option<Violation>,
}

impl World {
    /// All voters that there should be start at once; those that stand by come later, as machines that never were a
    /// part of it.
    pub fn new(seed: u64, size: Size) -> Self {
        World::under(seed, size, size.terms())
    }

    /// The same, with these settings of the nodes.
    pub fn under(seed: u64, size: Size, terms: ChainSettings) -> Self {
        let machine = |n| {
            let starts = n <= size.voters();
            Machine::new(seed, n, starts.then(|| Chain::new(node(n), terms, Start::Fresh(seeds()))))
        };
        World {
            size,
            terms,
            rng: rng::stream(seed, rng::OPERATORS),
            now: 0,
            machines: (1..=size.nodes()).map(machine).collect(),
            network: Network::new(seed, size.nodes()),
            operators: Operators::default(),
            committed: BTreeMap::new(),
            counts: Coverage::default(),
            newest_view: (0, JointConfig::of(seeds())),
            on_acknowledged: Vec::new(),
            pending_actions: Vec::new(),
            fault: None,
            violation: None,
        }
    }

    // ---- State ----

    pub fn machine(&mut self, n: u8) -> &mut Machine {
        &mut self.machines[usize::from(n) - 1]
    }

    /// The chain of a node that runs.
    pub fn chain(&self, n: u8) -> Option<&Chain> {
        self.machines[usize::from(n) - 1].chain.as_ref()
    }

    pub(crate) fn is_paused(&self, n: u8) -> bool {
        self.machines[usize::from(n) - 1].is_paused(self.now)
    }

    /// All nodes, by their numbers.
    pub fn nodes(&self) -> std::ops::RangeInclusive<u8> {
        1..=self.size.nodes()
    }

    pub(crate) fn others(&self, n: u8) -> impl Iterator<Item = u8> {
        self.nodes().filter(move |other| *other != n)
    }

    /// All voters are in one chain, and there are as many of them as there should be.
    pub fn in_one_view(&self) -> bool {
        let running = || self.machines.iter().filter_map(|machine| machine.chain.as_ref());
        let views: BTreeSet<_> = running().map(|chain| chain.view().map(|view| view.number)).collect();
        let Some(view) = running().find_map(Chain::view) else { return false };
        let voters = &view.members.voters;
        views.len() == 1
            && view.members.outgoing.is_empty()
            && voters.len() >= usize::from(self.size.voters())
            && voters.iter().all(|voter| view.chain.contains(voter))
    }

    /// Each node's state in a line, for people.
    pub fn describe(&self) -> String {
        let line = |(machine, n): (&Machine, u8)| {
            let chain = machine.chain.as_ref();
            let kept = |d: &HardState| (d.votes, d.promised, d.accepted, d.members.clone(), d.record.seq);
            format!(
                "node {n}: view {:?} members {:?} majority {:?} disk {:?}\n",
                chain.and_then(|chain| chain.view().cloned()),
                chain.map(|chain| chain.members().clone()),
                chain.map(Chain::has_quorum),
                machine.disk.durable.as_ref().map(kept)
            )
        };
        self.machines.iter().zip(1..).map(line).collect()
    }

    // ---- Invariants ----

    /// The first invariant that was broken, if any.
    pub fn check(&self) -> Result<(), Violation> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    pub(crate) fn require(&mut self, holds: bool, otherwise: impl FnOnce() -> Violation) {
        if !holds {
            self.violation.get_or_insert_with(otherwise);
        }
    }

    // ---- Inputs and outputs of nodes ----

    /// Hands an input to a node that runs, and carries out what follows from it.
    pub fn with(&mut self, n: u8, input: impl FnOnce(&mut Chain, Millis) -> Vec<Output>) {
        let now = self.now;
        if let Some(chain) = &mut self.machine(n).chain {
            let outputs = input(chain, now);
            self.carry_out(n, outputs);
        }
    }

    fn carry_out(&mut self, n: u8, outputs: Vec<Output>) {
        let now = self.now;
        for output in outputs {
            match output {
                Output::Send(to, message) => self.network.send(now, n, number(to), message),
                Output::Persist(write, state) => {
                    let Machine { disk, rng, .. } = self.machine(n);
                    disk.write(now, write, state, rng);
                }
                Output::Answer(call, outcome) => self.answered(n, call, outcome),
                Output::Publish(record) => {
                    let before = std::mem::replace(&mut self.machine(n).published, record.seq);
                    let seq = record.seq;
                    self.require(seq > before, || Violation::WentBack { node: n, seq, before });
                    self.commits(&record);
                }
            }
        }
    }

    // ---- Time ----

    /// Time passes, and what has arrived by then is handled. Returns the first invariant that was broken so far.
    pub fn step(&mut self) -> Result<(), Violation> {
        self.now += TICK;
        let now = self.now;
        while let Some(due) = self.pending_actions.iter().position(|(at, _)| *at <= now) {
            let (_, action) = self.pending_actions.remove(due);
            self.act(&action);
        }
        let endpoints: Vec<Endpoint> = self.machines.iter().map(|machine| machine.endpoint(now)).collect();
        self.network.tick(now, &endpoints);
        for n in self.nodes() {
            if !self.is_paused(n) && self.chain(n).is_some() {
                self.run(n);
            }
        }
        self.retry_orders();
        self.check()
    }

    fn run(&mut self, n: u8) {
        self.finish_writes(n);
        self.read_for_sessions(n);
        // What came at once is handled in any order.
        let calls_first = !self.machine(n).calls.is_empty() && self.machine(n).rng.random();
        if calls_first {
            self.take_calls(n);
        }
        let notices_first = self.network.has_notice(n) && self.machine(n).rng.random();
        if notices_first {
            self.notify(n);
        }
        for from in self.others(n) {
            while let Some(message) = self.network.receive(self.now, from, n) {
                self.with(n, |chain, now| chain.message(now, node(from), message));
            }
        }
        self.notify(n);
        self.take_calls(n);
        if self.now.is_multiple_of(CHAIN_TICK) {
            self.with(n, |chain, now| chain.tick(now));
        }
        self.note_view(n);
    }

    /// A process that was paused takes the calls that came meanwhile.
    fn take_calls(&mut self, n: u8) {
        for (call, what) in std::mem::take(&mut self.machine(n).calls) {
            self.with(n, |chain, now| chain.call(now, call, what));
        }
    }

    fn finish_writes(&mut self, n: u8) {
        let (now, lies) = (self.now, self.fault == Some(Fault::LyingDisk));
        let synced = |machine: &mut Machine| machine.disk.synced(now, lies, &mut machine.rng);
        while let Some(write) = synced(self.machine(n)) {
            self.with(n, |chain, now| chain.synced(now, write));
        }
        self.machine(n).disk.release_withheld(now);
    }

    /// A node learns what became of its links.
    fn notify(&mut self, n: u8) {
        while let Some(notice) = self.network.next_notice(self.now, n) {
            let peer = node(notice.peer);
            self.with(n, |chain, now| match notice.up {
                true => chain.peer_up(now, peer),
                false => chain.peer_down(now, peer),
            });
        }
    }

    fn note_view(&mut self, n: u8) {
        let view = self.machines[usize::from(n) - 1].chain.as_ref().and_then(Chain::view);
        if let Some(view) = view.filter(|view| view.number > self.newest_view.0) {
            self.counts.views += 1;
            self.counts.member_changes += u64::from(view.members != self.newest_view.1);
            self.newest_view = (view.number, view.members.clone());
        }
    }
}
