//! Reconfigurations of five voters.

use std::collections::HashSet;
use std::sync::Mutex;

use glenfall_control_plane::chain::{Chain, JointConfig, NodeId, Start, VoterChange};

use crate::world::{hash_of, index_of, pairs, seeds, Event, Machine, World, REPAIR_TIMEOUT, SEEDS};

/// Events from each moment of a reconfiguration on; `EXHAUSTIVE_DEPTH` plays more.
const DEFAULT_DEPTH: usize = 2;
/// Events until an operator without an answer retries its change.
const EVENTS_BEFORE_RETRY: usize = 25;

impl World {
    /// Plays the next message or disk write in flight, or a time step where there is none.
    fn play_next(&mut self) -> Result<(), String> {
        let arrives = |event: &Event| matches!(event, Event::Deliver(..) | Event::Sync(_));
        let event = self.events().into_iter().find(arrives).unwrap_or(Event::AdvanceTime);
        self.time_steps_left = 1;
        self.play(event)
    }

    /// Whether the reconfiguration is complete: there are enough voters, one set of them, and all nodes know the view whose
    /// chain they are.
    fn is_repaired(&self) -> bool {
        let views = || self.machines.iter().filter_map(|machine| machine.chain.as_ref()).map(Chain::view);
        let Some(view) = views().next().flatten() else { return false };
        let JointConfig { voters, outgoing } = &view.members;
        views().all(|other| other == Some(view))
            && outgoing.is_empty()
            && voters.len() > 2 * self.losses
            && view.chain == *voters
    }

    /// Whether the promised losses include the loss of these disks now: each voter set, by the newest view that has started
    /// or is on a disk, still has a majority with a vote.
    fn covers(&self, lost: [usize; 2]) -> bool {
        let newest = self.machines.iter().filter_map(|m| m.disk.as_ref()).max_by_key(|disk| disk.accepted);
        let first = JointConfig::of(seeds());
        let started_members = self.newest_started_view().map_or(first, |view| view.members.clone());
        let sets = [Some(&started_members), newest.map(|disk| &disk.members)];
        let votes = |id: &NodeId| {
            let (n, disk) = (index_of(*id), &self.machines[index_of(*id)].disk);
            // Before its first disk write, a first voter starts as at its first start.
            !lost.contains(&n) && disk.as_ref().map_or(n < SEEDS, |disk| disk.votes)
        };
        let mut sets = sets.into_iter().flatten();
        sets.all(|members| members.majority(votes))
    }

    /// All nodes lose their power, and these their disks. After the restart the acknowledged change is committed.
    fn check_restart(&self, lost: [usize; 2]) -> Result<(), String> {
        let start = |(n, machine): (usize, &Machine)| match &machine.disk {
            Some(disk) if !lost.contains(&n) => Some(Start::Recovered(disk.clone())),
            None if n < SEEDS && !lost.contains(&n) => Some(Start::Fresh(seeds())),
            _ => Some(Start::Wiped),
        };
        let mut world = World::of(self.losses, self.machines.iter().enumerate().map(start).collect());
        while !world.is_repaired() {
            if world.now >= REPAIR_TIMEOUT {
                return Err("the chain is not repaired after the restart".into());
            }
            world.run();
        }
        for _ in 0..10 {
            world.run();
        }
        let newest = world.versions();
        let all_same = newest.iter().all(|rev| *rev == newest[0]);
        if all_same && self.acknowledged.is_none_or(|rev| rev == newest[0]) {
            Ok(())
        } else {
            Err(format!(
                "{:?} was acknowledged, and {newest:?} is committed after the restart",
                self.acknowledged
            ))
        }
    }
}

/// The moments of a reconfiguration, one event after the other, until it is complete. An operator retries a change in the
/// meantime, and another operator may send one in its place at any moment.
fn moments(mut world: World) -> Vec<World> {
    let mut moments = Vec::new();
    let before = world.newest_started_view().map(|view| view.members.clone());
    while !world.is_repaired()
        || world.acknowledged.is_none()
        || world.newest_started_view().map(|view| &view.members) == before.as_ref()
    {
        if moments.len() % EVENTS_BEFORE_RETRY == 0 {
            world.calls_left = 2;
            world.play(Event::Call(3)).expect("the call is accepted");
        }
        moments.push(world.clone());
        world.play_next().expect("this path violates nothing");
        assert!(moments.len() < 2000, "the reconfiguration completes");
    }
    moments.push(world);
    moments
}

/// The states that were visited from all moments.
#[derive(Default)]
struct Known {
    states: HashSet<u64>,
    acknowledged: usize,
    /// Hashes of the disks from which a restart was checked.
    restarted_from: HashSet<u64>,
}

/// Plays every order of `depth` events from a moment on.
fn visit(moment: &World, depth: usize, known: &Mutex<Known>) -> Result<(), String> {
    let mut seen = HashSet::new();
    let mut stage = vec![(moment.clone(), Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in stage {
            for event in world.events() {
                let mut after = world.clone();
                let mut extended_path: Vec<Event> = path.clone();
                extended_path.push(event);
                let after_path = |violation| format!("{violation}, after {extended_path:?}");
                after
                    .play(event)
                    .and_then(|()| after.deliver_heartbeats())
                    .and_then(|()| after.check())
                    .map_err(after_path)?;
                let fingerprint = after.fingerprint();
                if !seen.insert(fingerprint) {
                    continue;
                }
                let new = {
                    let mut known = known.lock().expect("no thread panics while it has the lock");
                    let new = known.states.insert(fingerprint);
                    known.acknowledged += usize::from(new && after.acknowledged.is_some());
                    new
                };
                if new {
                    check_power_loss(&after, known).map_err(after_path)?;
                }
                next.push((after, extended_path));
            }
        }
        stage = next;
    }
    Ok(())
}

/// All nodes lose their power at this moment, and any two their disks, where the promised losses include that.
fn check_power_loss(world: &World, known: &Mutex<Known>) -> Result<(), String> {
    let disks: Vec<_> = world.machines.iter().map(|machine| &machine.disk).collect();
    for (a, b) in pairs(world.nodes()) {
        let fingerprint = hash_of(&format!("{disks:?}{:?}{a},{b}", world.acknowledged));
        let covered = world.covers([a, b]);
        if covered
            && known
                .lock()
                .expect("no thread panics while it has the lock")
                .restarted_from
                .insert(fingerprint)
        {
            world
                .check_restart([a, b])
                .map_err(|broken| format!("{broken}; disks of {a} and {b} were lost"))?;
        }
    }
    Ok(())
}

/// `EXHAUSTIVE_THREADS`, or as many as there are processors, eight at most.
fn threads() -> usize {
    let wanted = std::env::var("EXHAUSTIVE_THREADS").ok().and_then(|n| n.parse().ok());
    wanted.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, std::num::NonZero::get).min(8))
}

/// Visits the states that can follow each moment of a reconfiguration.
fn visited_around(what: &str, world: World) -> Known {
    let depth = std::env::var("EXHAUSTIVE_DEPTH").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_DEPTH);
    let moments = moments(world);
    let known = Mutex::new(Known::default());
    let next = std::sync::atomic::AtomicUsize::new(0);
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads() {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(moment) = moments.get(index) else { return };
                if let Err(violation) = visit(moment, depth, &known) {
                    broken.lock().expect("no thread panics while it has the lock").push((index, violation));
                }
            });
        }
    });
    let mut broken = broken.into_inner().expect("no thread has panicked");
    broken.sort();
    let known = known.into_inner().expect("no thread has panicked");
    println!(
        "{what}: {depth} events from each of {} moments: {} states, {} with a change acknowledged, {} losses repaired",
        moments.len(),
        known.states.len(),
        known.acknowledged,
        known.restarted_from.len()
    );
    assert_eq!(broken.first(), None, "{} moments lead to a violation", broken.len());
    known
}

#[test]
fn no_interleaving_while_three_voters_become_five_loses_a_change_or_the_quorum() {
    let fresh = (0..SEEDS).map(|_| Some(Start::Fresh(seeds())));
    let mut world = World::of(2, fresh.chain([Some(Start::Wiped), Some(Start::Wiped)]).collect());
    (world.link_losses_left, world.time_steps_left) = (1, 1);
    let known = visited_around("three voters become five", world);
    assert!(known.states.len() > 3000 && known.restarted_from.len() > 300);
}

#[test]
fn no_interleaving_while_one_of_five_voters_is_replaced_loses_a_change_or_the_quorum() {
    let fresh = (0..SEEDS).map(|_| Some(Start::Fresh(seeds())));
    let others = (SEEDS..6).map(|_| Some(Start::Wiped));
    let mut world = World::of(2, fresh.chain(others).collect());
    let until = 10_000;
    while !world.is_repaired() {
        world.run();
        assert!(world.now < until, "there are five voters");
    }
    // A node tries to complete a request for 3 s, and it takes three views.
    (world.link_losses_left, world.time_steps_left, world.due) = (1, 1, 100);
    let voters = world.chain(0).members().voters.clone();
    let now = world.now;
    let result = world.machines[0]
        .chain
        .as_mut()
        .expect("the node runs")
        .request_voter_change(now, VoterChange::Remove(voters[4]));
    assert!(result.is_ok(), "{result:?}");
    let known = visited_around("one of five voters is replaced", world);
    assert!(known.states.len() > 3000 && known.restarted_from.len() > 300);
}
