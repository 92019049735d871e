//! Changes of members among five voters.

use std::collections::HashSet;
use std::sync::Mutex;

use glenfall_control_plane::chain::{Chain, JointConfig, NodeId, Start, VoterChange};

use crate::world::{hashed, pairs, place, seeds, Event, Machine, World, MENDED, SEEDS};

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
        let JointConfig { voters, outgoing } = &view.members;
        views().all(|other| other == Some(view))
            && outgoing.is_empty()
            && voters.len() > 2 * self.losses
            && view.chain == *voters
    }

    /// Whether the promise covers the loss of these disks now: no set that counts, by the newest view that stands or
    /// is on a disk, is left without a majority of votes.
    fn covers(&self, lost: [usize; 2]) -> bool {
        let newest = self.machines.iter().filter_map(|m| m.disk.as_ref()).max_by_key(|disk| disk.accepted);
        let first = JointConfig::of(seeds());
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
        let newest = world.versions();
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
fn no_interleaving_while_three_voters_become_five_loses_a_change_or_the_quorum() {
    let fresh = (0..SEEDS).map(|_| Some(Start::Fresh(seeds())));
    let mut world = World::of(2, fresh.chain([Some(Start::Wiped), Some(Start::Wiped)]).collect());
    (world.breaks, world.passes) = (1, 1);
    let known = visited_around("three seeds become five voters", world);
    assert!(known.states.len() > 3000 && known.came_back.len() > 300);
}

#[test]
fn no_interleaving_while_one_of_five_voters_is_replaced_loses_a_change_or_the_quorum() {
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
    let asked = world.machines[0]
        .chain
        .as_mut()
        .expect("it runs")
        .request_voter_change(now, VoterChange::Remove(voters[4]));
    assert!(asked.is_ok(), "{asked:?}");
    let known = visited_around("one of five voters is replaced", world);
    assert!(known.states.len() > 3000 && known.came_back.len() > 300);
}
