//! Purges and leases on random schedules: no proxy serves a stored response that an acknowledged purge selects, whatever
//! clocks, pauses, links and restarts do. Each part of the mechanism is also disabled in turn, which has to be noticed.

mod lease_world;

use lease_world::{Disabled, World, MS};

const SIMULATED_TIME: u64 = 30_000 * MS;
const SEEDS: u64 = 500;

/// The first seed in which a proxy could serve a purged response.
fn first_violation(disabled: Disabled) -> Option<u64> {
    (0..SEEDS).find(|seed| World::new(*seed, disabled).play(SIMULATED_TIME))
}

#[test]
fn no_purge_is_acknowledged_before_every_proxy_has_applied_it_or_lost_its_lease() {
    let mut acknowledged = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, Disabled::Nothing);
        assert!(
            !world.play(SIMULATED_TIME),
            "seed {seed}: proxy and purge {:?} at {}",
            world.violation,
            world.now
        );
        acknowledged += world.acknowledged.len();
    }
    assert!(acknowledged as u64 > SEEDS, "only {acknowledged} purges were acknowledged");
}

#[test]
fn each_part_of_the_mechanism_is_needed() {
    for disabled in [
        Disabled::SessionLeaseWait,
        Disabled::PeerLeaseWait,
        Disabled::StartWait,
        Disabled::Incarnations,
        Disabled::SendTime,
        Disabled::NestedExpiry,
        Disabled::EndOnDisconnect,
    ] {
        let seed = first_violation(disabled);
        println!("{disabled:?}: {seed:?}");
        assert!(seed.is_some(), "{disabled:?} is disabled, and no violation is found in {SEEDS} seeds");
    }
}
