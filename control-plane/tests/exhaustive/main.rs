//! Every order of events in a small cluster: three voters, and two operators whose changes race on the same version, each at
//! any node; messages and disk writes arrive in any order that links and disks allow. In every reachable state, each node in
//! turn loses its power, with and without its disk. After the others have repaired the chain, the acknowledged change has
//! to be committed, and no other one. `chain.rs` runs long random schedules; this test visits all short ones.
//!
//! With five voters, it visits every order of a few events that follow each moment of a reconfiguration. In each state it
//! checks a power loss of all nodes together with the loss of any two disks. The default is two events;
//! `EXHAUSTIVE_DEPTH=3` takes some minutes.
//! `EXHAUSTIVE_THREADS` sets the number of threads.

mod reconfiguration;
mod world;

use std::collections::HashSet;

use world::{Event, World, FIRST_VOTERS};

/// Visits all reachable states. Returns their number, and the number of those with an acknowledged change.
fn visit_all(initial: World) -> (usize, usize) {
    let losses = 2 * initial.nodes();
    let mut seen = HashSet::new();
    let mut stack = vec![(initial, Vec::new())];
    let (mut states, mut acknowledged) = (0, 0);
    while let Some((world, path)) = stack.pop() {
        states += 1;
        acknowledged += usize::from(world.acknowledged.is_some());
        for (n, erase_disk) in (0..world.nodes()).flat_map(|n| [(n, false), (n, true)]) {
            let mut without_node = world.clone();
            if let Err(violation) =
                without_node.lose_power(n, erase_disk).and_then(|()| without_node.check_repair())
            {
                panic!(
                    "{violation}, after {path:?} and the power loss of node {n} (disk lost: {erase_disk})"
                );
            }
        }
        for event in world.events() {
            let mut after = world.clone();
            let mut extended_path: Vec<Event> = path.clone();
            extended_path.push(event);
            if let Err(violation) = after.apply(event).and_then(|()| after.check()) {
                panic!("{violation}, after {extended_path:?}");
            }
            if seen.insert(after.fingerprint()) {
                stack.push((after, extended_path));
            }
        }
    }
    println!(
        "{states} states, {acknowledged} with a change acknowledged, {} power losses repaired",
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
    for excluded in 0..FIRST_VOTERS {
        let mut world = World::new(0, 0, 0);
        world.exclude(excluded);
        (world.calls_left, world.time_steps_left) = (1, 1);
        let (states, acknowledged) = visit_all(world);
        assert!(
            states > 200 && acknowledged > 50,
            "node {excluded} excluded: {states} states, {acknowledged} acknowledged"
        );
    }
}
