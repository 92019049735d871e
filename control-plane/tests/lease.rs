//! Purges and the session lease, on random schedules: no proxy serves from copies what a purge ended that was
//! acknowledged, whatever clocks, pauses, links and restarts do. Each part of the mechanism is taken out as well.

mod lease_world;

use lease_world::{TakenOut, World, MS};

const LASTS: u64 = 30_000 * MS;
const SEEDS: u64 = 500;

/// The first seed in which a proxy could serve what was purged.
fn first_broken(out: TakenOut) -> Option<u64> {
    (0..SEEDS).find(|seed| World::new(*seed, out).play(LASTS))
}

#[test]
fn no_purge_is_acknowledged_before_every_proxy_has_applied_it_or_lost_its_lease() {
    let mut acknowledged = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, TakenOut::Nothing);
        assert!(!world.play(LASTS), "seed {seed}: proxy and purge {:?} at {}", world.broken, world.now);
        acknowledged += world.acknowledged.len();
    }
    assert!(acknowledged as u64 > SEEDS, "only {acknowledged} purges were acknowledged");
}

#[test]
fn each_part_of_the_mechanism_is_needed() {
    for out in [
        TakenOut::WaitForSessions,
        TakenOut::WaitForPeers,
        TakenOut::WaitAfterStart,
        TakenOut::Lives,
        TakenOut::SentMoment,
        TakenOut::PartOfOwn,
        TakenOut::EndWithContact,
    ] {
        let seed = first_broken(out);
        println!("{out:?}: {seed:?}");
        assert!(seed.is_some(), "{out:?} is taken out, and nothing is found in {SEEDS} seeds");
    }
}
