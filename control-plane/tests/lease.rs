//! Purges and leases on random schedules: no proxy serves a stored response that an acknowledged purge selects, whatever
//! clocks, pauses, links and restarts do. Each part of the mechanism is also disabled in turn, and the simulation has to
//! find a violation then.

mod lease_world;

use lease_world::{Disabled, World, MILLISECOND};

const SIMULATED_TIME: u64 = 30_000 * MILLISECOND;
const SEED_COUNT: u64 = 500;

/// The first seed in which a proxy could serve a purged response.
fn first_violation(disabled: Disabled) -> Option<u64> {
    (0..SEED_COUNT).find(|seed| World::new(*seed, disabled).run(SIMULATED_TIME))
}

#[test]
fn no_purge_is_acknowledged_before_every_proxy_has_applied_it_or_lost_its_lease() {
    let mut acknowledged = 0;
    for seed in 0..SEED_COUNT {
        let mut world = World::new(seed, Disabled::Nothing);
        assert!(
            !world.run(SIMULATED_TIME),
            "seed {seed}: a proxy may serve a purged response (process and purge {:?}) at {} µs",
            world.violation,
            world.now
        );
        acknowledged += world.acknowledged.len();
    }
    assert!(acknowledged as u64 > SEED_COUNT, "only {acknowledged} purges were acknowledged");
}

#[test]
fn a_violation_is_found_when_any_part_of_the_lease_mechanism_is_disabled() {
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
        assert!(seed.is_some(), "{disabled:?} is disabled, and no violation is found in {SEED_COUNT} seeds");
    }
}
