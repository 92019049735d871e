//! Reconfigurations of five voters.

use std::collections::HashSet;
use std::sync::Mutex;

use glenfall_control_plane::chain::{Chain, JointConfig, NodeId, Start, VoterChange};

use crate::world::{hash_of, index_of, pairs, seeds, Event, Machine, World, FIRST_VOTERS, REPAIR_TIMEOUT};

/// Number of events from each moment of a reconfiguration on, unless `EXHAUSTIVE_DEPTH` is set.
const DEFAULT_DEPTH: usize = 2;
/// Number of events after which an operator retries its change.
const EVENTS_BEFORE_RETRY: usize = 25;

impl World {
    /// Applies the next message or disk write in flight, or a time step where there is none.
    fn apply_next(&mut self) -> Result<(), String> {
        let is_arrival = |event: &Event| matches!(event, Event::Deliver(..) | Event::CompleteWrite(_));
        let event = self.events().into_iter().find(is_arrival).unwrap_or(Event::AdvanceTime);
        self.time_steps_left = 1;
        self.apply(event)
    }

    /// Whether the reconfiguration is complete: all nodes know the same view, which has a single set of enough voters, and
    /// whose chain consists of these voters.
    fn is_repaired(&self) -> bool {
        let views = || self.machines.iter().filter_map(|machine| machine.chain.as_ref()).map(Chain::view);
        let Some(view) = views().next().flatten() else { return false };
        let JointConfig { voters, outgoing } = &view.members;
        views().all(|other| other == Some(view))
            && outgoing.is_empty()
            && voters.len() > 2 * self.losses
            && view.chain == *voters
    }

    /// Whether the tolerated losses include the loss of these disks in this state: a majority of the voters still has a
    /// vote, both by the newest view that has started and by the newest one on a disk.
    fn tolerates_loss_of(&self, lost: [usize; 2]) -> bool {
        let newest =
            self.machines.iter().filter_map(|machine| machine.disk.as_ref()).max_by_key(|disk| disk.accepted);
        let first = JointConfig::of(seeds());
        let started_config = self.newest_started_view().map_or(first, |view| view.members.clone());
        let configs = [Some(&started_config), newest.map(|disk| &disk.members)];
        let votes = |id: &NodeId| {
            let (n, disk) = (index_of(*id), &self.machines[index_of(*id)].disk);
            // A first voter without a disk write starts again as for the first time, with a vote.
            !lost.contains(&n) && disk.as_ref().map_or(n < FIRST_VOTERS, |disk| disk.votes)
        };
        let mut configs = configs.into_iter().flatten();
        configs.all(|members| members.is_quorum(votes))
    }

    /// Checks that the acknowledged change is committed after all nodes have lost power and restarted, the nodes `lost`
    /// without their disks.
    fn check_restart(&self, lost: [usize; 2]) -> Result<(), String> {
        let start = |(n, machine): (usize, &Machine)| match &machine.disk {
            Some(disk) if !lost.contains(&n) => Some(Start::Recovered(disk.clone())),
            None if n < FIRST_VOTERS && !lost.contains(&n) => Some(Start::Fresh(seeds())),
            _ => Some(Start::Wiped),
        };
        let mut restarted =
            World::with_starts(self.losses, self.machines.iter().enumerate().map(start).collect());
        while !restarted.is_repaired() {
            if restarted.now >= REPAIR_TIMEOUT {
                return Err("the chain is not repaired after the restart".into());
            }
            restarted.run_step();
        }
        for _ in 0..10 {
            restarted.run_step();
        }
        let revs = restarted.known_revs();
        let all_same = revs.iter().all(|rev| *rev == revs[0]);
        if all_same && self.acknowledged.is_none_or(|rev| rev == revs[0]) {
            Ok(())
        } else {
            Err(format!(
                "version {:?} was acknowledged, and the nodes have the versions {revs:?} after the restart",
                self.acknowledged
            ))
        }
    }
}

/// The states of a reconfiguration after each event, until it is complete. An operator retries a change in the meantime,
/// and in each state another operator may still send one more change.
fn moments(mut world: World) -> Vec<World> {
    let mut moments = Vec::new();
    let before = world.newest_started_view().map(|view| view.members.clone());
    while !world.is_repaired()
        || world.acknowledged.is_none()
        || world.newest_started_view().map(|view| &view.members) == before.as_ref()
    {
        if moments.len() % EVENTS_BEFORE_RETRY == 0 {
            world.calls_left = 2;
            world.apply(Event::Call(3)).expect("the call is accepted");
        }
        moments.push(world.clone());
        world.apply_next().expect("this sequence of events violates no property");
        assert!(moments.len() < 2000, "the reconfiguration is not complete after 2000 events");
    }
    moments.push(world);
    moments
}

/// The states that were visited from any moment.
#[derive(Default)]
struct Visited {
    states: HashSet<u64>,
    acknowledged: usize,
    /// Hashes of the disk states, and of the disks lost, from which a restart was checked.
    restarted_from: HashSet<u64>,
}

/// Visits every order of `depth` events from a moment on.
fn visit(moment: &World, depth: usize, visited: &Mutex<Visited>) -> Result<(), String> {
    let mut seen = HashSet::new();
    let mut frontier = vec![(moment.clone(), Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in frontier {
            for event in world.events() {
                let mut after = world.clone();
                let mut extended_path: Vec<Event> = path.clone();
                extended_path.push(event);
                let after_path = |violation| format!("{violation}, after {extended_path:?}");
                after
                    .apply(event)
                    .and_then(|()| after.deliver_heartbeats())
                    .and_then(|()| after.check())
                    .map_err(after_path)?;
                let fingerprint = after.fingerprint();
                if !seen.insert(fingerprint) {
                    continue;
                }
                let is_new = {
                    let mut visited = visited.lock().expect("no thread panics while it holds the lock");
                    let is_new = visited.states.insert(fingerprint);
                    visited.acknowledged += usize::from(is_new && after.acknowledged.is_some());
                    is_new
                };
                if is_new {
                    check_power_loss(&after, visited).map_err(after_path)?;
                }
                next.push((after, extended_path));
            }
        }
        frontier = next;
    }
    Ok(())
}

/// Checks the loss of all power together with any two disks, where the tolerated losses include that.
fn check_power_loss(world: &World, visited: &Mutex<Visited>) -> Result<(), String> {
    let disks: Vec<_> = world.machines.iter().map(|machine| &machine.disk).collect();
    for (a, b) in pairs(world.nodes()) {
        let fingerprint = hash_of(&format!("{disks:?}{:?}{a},{b}", world.acknowledged));
        let covered = world.tolerates_loss_of([a, b]);
        if covered
            && visited
                .lock()
                .expect("no thread panics while it holds the lock")
                .restarted_from
                .insert(fingerprint)
        {
            world.check_restart([a, b]).map_err(|violation| {
                format!("{violation}; all nodes had lost power, and nodes {a} and {b} their disks")
            })?;
        }
    }
    Ok(())
}

/// Number of threads: `EXHAUSTIVE_THREADS`, or the number of processors, eight at most.
fn threads() -> usize {
    let configured = std::env::var("EXHAUSTIVE_THREADS").ok().and_then(|n| n.parse().ok());
    configured
        .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, std::num::NonZero::get).min(8))
}

/// Visits the states that can follow each moment of a reconfiguration.
fn visit_around_reconfiguration(label: &str, world: World) -> Visited {
    let depth = std::env::var("EXHAUSTIVE_DEPTH").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_DEPTH);
    let moments = moments(world);
    let visited = Mutex::new(Visited::default());
    let next_index = std::sync::atomic::AtomicUsize::new(0);
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads() {
            scope.spawn(|| loop {
                let index = next_index.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(moment) = moments.get(index) else { return };
                if let Err(violation) = visit(moment, depth, &visited) {
                    violations
                        .lock()
                        .expect("no thread panics while it holds the lock")
                        .push((index, violation));
                }
            });
        }
    });
    let mut violations = violations.into_inner().expect("no thread has panicked");
    violations.sort();
    let visited = visited.into_inner().expect("no thread has panicked");
    println!(
        "{label}: {depth} events from each of {} moments: {} states, {} with a change acknowledged, {} power losses repaired",
        moments.len(),
        visited.states.len(),
        visited.acknowledged,
        visited.restarted_from.len()
    );
    assert_eq!(violations.first(), None, "{} moments lead to a violation", violations.len());
    visited
}

#[test]
fn no_interleaving_while_three_voters_become_five_loses_a_change_or_the_quorum() {
    let fresh = (0..FIRST_VOTERS).map(|_| Some(Start::Fresh(seeds())));
    let mut world = World::with_starts(2, fresh.chain([Some(Start::Wiped), Some(Start::Wiped)]).collect());
    (world.link_losses_left, world.time_steps_left) = (1, 1);
    let visited = visit_around_reconfiguration("three voters become five", world);
    assert!(visited.states.len() > 3000 && visited.restarted_from.len() > 300);
}

#[test]
fn no_interleaving_while_one_of_five_voters_is_replaced_loses_a_change_or_the_quorum() {
    let fresh = (0..FIRST_VOTERS).map(|_| Some(Start::Fresh(seeds())));
    let others = (FIRST_VOTERS..6).map(|_| Some(Start::Wiped));
    let mut world = World::with_starts(2, fresh.chain(others).collect());
    let until = 10_000;
    while !world.is_repaired() {
        world.run_step();
        assert!(world.now < until, "there are not five voters after {until} ms");
    }
    // A node abandons a voter change after 3 s, and the change takes three views: time steps must be short.
    (world.link_losses_left, world.time_steps_left, world.advance_duration) = (1, 1, 100);
    let voters = world.chain(0).members().voters.clone();
    let now = world.now;
    let result = world.machines[0]
        .chain
        .as_mut()
        .expect("the node runs")
        .request_voter_change(now, VoterChange::Remove(voters[4]));
    assert!(result.is_ok(), "{result:?}");
    let visited = visit_around_reconfiguration("one of five voters is replaced", world);
    assert!(visited.states.len() > 3000 && visited.restarted_from.len() > 300);
}
