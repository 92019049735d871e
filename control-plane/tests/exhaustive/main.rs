//! Every order of events in a small cluster: three voters, and two operators whose changes race on the same version, each at
//! any node; messages and disk writes arrive in any order that links and disks allow. In every reachable state, each node in
//! turn loses its power, with and without its disk, and the others repair the chain: the acknowledged change has to be
//! committed then, and no other one. Where `chain.rs` plays long random schedules, this visits all short ones.
//!
//! With five voters, it visits every order of a few events from each moment of a reconfiguration on, with the loss of all
//! power and any two disks in each state: two events in CI; `EXHAUSTIVE_DEPTH=3` takes some minutes, on as many threads as `EXHAUSTIVE_THREADS` says.

mod members;
mod world;

use std::collections::HashSet;

use world::{Event, World, SEEDS};

/// Visits all states, and returns their number, and the number of those with an acknowledged change.
fn visit_all(first: World) -> (usize, usize) {
    let losses = 2 * first.nodes();
    let mut seen = HashSet::new();
    let mut stack = vec![(first, Vec::new())];
    let (mut states, mut acknowledged) = (0, 0);
    while let Some((world, path)) = stack.pop() {
        states += 1;
        acknowledged += usize::from(world.acknowledged.is_some());
        for (n, disk) in (0..world.nodes()).flat_map(|n| [(n, false), (n, true)]) {
            let mut without_node = world.clone();
            if let Err(broken) = without_node.lose_power(n, disk).and_then(|()| without_node.check_repair()) {
                panic!("{broken}: after {path:?} node {n} lost its power, its disk too: {disk}");
            }
        }
        for event in world.events() {
            let mut after = world.clone();
            let mut extended_path: Vec<Event> = path.clone();
            extended_path.push(event);
            if let Err(broken) = after.play(event).and_then(|()| after.check()) {
                panic!("{broken}, after {extended_path:?}");
            }
            if seen.insert(after.fingerprint()) {
                stack.push((after, extended_path));
            }
        }
    }
    println!(
        "{states} states, {acknowledged} with a change acknowledged, {} losses repaired",
        losses * states
    );
    (states, acknowledged)
}

#[test]
fn no_interleaving_of_two_racing_changes_and_one_loss_acknowledges_both_or_loses_one() {
    let (states, acknowledged) = visit_all(World::new(2, 0, 0));
    assert!(states > 200 && acknowledged > 10, "{states} states, {acknowledged} acknowledged");
}

#[test]
fn no_lost_link_at_any_moment_of_a_change_loses_the_change() {
    let (states, acknowledged) = visit_all(World::new(1, 1, 0));
    assert!(states > 1000 && acknowledged > 50, "{states} states, {acknowledged} acknowledged");
}

#[test]
fn no_voter_that_returns_at_any_moment_of_a_change_and_no_loss_loses_the_change() {
    for away in 0..SEEDS {
        let mut world = World::new(0, 0, 0);
        world.exclude(away);
        (world.calls_left, world.time_steps_left) = (1, 1);
        let (states, acknowledged) = visit_all(world);
        assert!(states > 200 && acknowledged > 50, "{away}: {states} states, {acknowledged} acknowledged");
    }
}
