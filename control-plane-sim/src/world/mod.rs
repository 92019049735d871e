//! The simulated cluster: the state of its machines, network and operators. The files of this folder drive it: steps of
//! time, inputs and outputs of nodes, injected faults, the operators' workload, and the checks of the invariants.

mod actions;
mod faults;
mod loss_budget;
mod nodes;
mod oracle;
mod sessions;
mod step;
mod workload;

use std::collections::{BTreeMap, BTreeSet};

use glenfall_control_plane::chain::{Chain, ChainSettings, HardState, JointConfig, Start};
use glenfall_control_plane::Millis;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::cluster::{node, seeds, ClusterSize};
use crate::coverage::Coverage;
use crate::injected_bug::InjectedBug;
use crate::machine::Machine;
use crate::network::Network;
use crate::operators::{CommittedChange, Operators};
use crate::rng;
use crate::violation::Violation;

pub(crate) use loss_budget::SYNC_TIME;
pub use step::STEP_INTERVAL;

/// An action that is carried out at the first step at or after `due_at`.
struct PendingAction {
    due_at: Millis,
    action: Action,
}

/// The newest view that any node has known to have started.
struct NewestView {
    number: u64,
    members: JointConfig,
}

/// A simulated cluster. The first violated invariant is stored as a [`Violation`] and returned by [`World::step`] from
/// then on.
pub struct World {
    /// How many machine losses the cluster has to tolerate, and how many spare machines it has.
    pub size: ClusterSize,
    /// The settings of each node.
    pub settings: ChainSettings,
    /// The random stream of [`World::run_operators`].
    pub rng: ChaCha8Rng,
    /// Milliseconds since the start.
    pub now: Millis,
    /// The machines by number, starting with number 1 at index 0.
    pub machines: Vec<Machine>,
    network: Network,
    operators: Operators,
    /// All changes committed so far, by log index.
    pub committed: BTreeMap<u64, CommittedChange>,
    /// What the run has exercised so far.
    pub coverage: Coverage,
    newest_view: NewestView,
    /// Actions to carry out once the next change is acknowledged.
    on_acknowledged: Vec<Action>,
    pending_actions: Vec<PendingAction>,
    /// The bug that all machines are given, if any.
    pub injected_bug: Option<InjectedBug>,
    violation: Option<Violation>,
}

impl World {
    /// Creates a cluster whose voters all run from the start. Spare machines are powered on later and have no state.
    pub fn new(seed: u64, size: ClusterSize) -> Self {
        World::with_settings(seed, size, size.settings())
    }

    /// Like [`World::new`], with these settings at each node.
    pub fn with_settings(seed: u64, size: ClusterSize, settings: ChainSettings) -> Self {
        let machine = |number| {
            let starts = number <= size.voters();
            let chain = starts.then(|| Chain::new(node(number), settings, Start::Fresh(seeds())));
            Machine::new(seed, number, chain)
        };
        World {
            size,
            settings,
            rng: rng::stream(seed, rng::OPERATOR_STREAM),
            now: 0,
            machines: (1..=size.nodes()).map(machine).collect(),
            network: Network::new(seed, size.nodes()),
            operators: Operators::default(),
            committed: BTreeMap::new(),
            coverage: Coverage::default(),
            newest_view: NewestView { number: 0, members: JointConfig::of(seeds()) },
            on_acknowledged: Vec::new(),
            pending_actions: Vec::new(),
            injected_bug: None,
            violation: None,
        }
    }

    /// Returns the machine with this number; numbers start at 1.
    pub fn machine(&mut self, number: u8) -> &mut Machine {
        &mut self.machines[usize::from(number) - 1]
    }

    /// Returns the state machine of a node, or `None` while its process does not run.
    pub fn chain(&self, number: u8) -> Option<&Chain> {
        self.machines[usize::from(number) - 1].chain.as_ref()
    }

    fn is_paused(&self, number: u8) -> bool {
        self.machines[usize::from(number) - 1].is_paused(self.now)
    }

    /// Returns the numbers of all nodes.
    pub fn nodes(&self) -> std::ops::RangeInclusive<u8> {
        1..=self.size.nodes()
    }

    fn peers(&self, number: u8) -> impl Iterator<Item = u8> {
        self.nodes().filter(move |peer| *peer != number)
    }

    /// Whether all running nodes are in the same view, and no voter change is in progress in it. The chain of the view
    /// must contain all of its voters, and these must be at least as many as the cluster size requires.
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

    /// Returns a human-readable description of the state of all nodes, one line for each.
    pub fn describe(&self) -> String {
        self.machines.iter().zip(1..).map(|(machine, number)| describe_machine(machine, number)).collect()
    }

    /// Checks that no invariant has been violated so far.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check(&self) -> Result<(), Violation> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    fn require(&mut self, holds: bool, otherwise: impl FnOnce() -> Violation) {
        if !holds {
            self.violation.get_or_insert_with(otherwise);
        }
    }
}

fn describe_machine(machine: &Machine, number: u8) -> String {
    let chain = machine.chain.as_ref();
    let describe_state = |state: &HardState| {
        (state.votes, state.promised, state.accepted, state.members.clone(), state.record.seq)
    };
    format!(
        "node {number}: view {:?} members {:?} quorum {:?} disk {:?}\n",
        chain.and_then(|chain| chain.view().cloned()),
        chain.map(|chain| chain.members().clone()),
        chain.map(Chain::has_quorum),
        machine.disk.durable.as_ref().map(describe_state)
    )
}
