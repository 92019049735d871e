//! Timeouts of the chain, which are derived from the tolerated losses and the sync time.

use glenfall_control_plane::chain::{Chain, ChainSettings, NodeId, Start, SyncTooShort};
use glenfall_control_plane::Millis;

const STEP_MS: Millis = 10;

fn settings(losses: usize, sync: Millis) -> ChainSettings {
    ChainSettings { tolerated_losses: losses, eligible: true, sync }
}

/// Time without a message after which a node considers a peer failed.
fn detection_time(settings: ChainSettings) -> Millis {
    let (local, peer) = (NodeId::new(10, 0, 0, 1), NodeId::new(10, 0, 0, 2));
    let mut chain = Chain::new(local, settings, Start::Fresh(vec![local, peer]));
    chain.tick(0);
    chain.peer_connected(0, peer);
    let mut now = 0;
    while chain.has_quorum() {
        now += STEP_MS;
        chain.tick(now);
    }
    now
}

#[test]
fn more_tolerated_losses_in_the_same_time_shorten_failure_detection() {
    for (losses, sync, detected, replaced, needed) in [
        (1, 4000, 1000, 2000, 3200),
        (2, 4000, 1000, 1500, 4000),
        (2, 6000, 1000, 3000, 5500),
        (3, 4000, 740, 734, 4000),
        (3, 5000, 1000, 1200, 5000),
        (3, 6000, 1000, 2200, 6000),
    ] {
        let settings = settings(losses, sync);
        let times = (detection_time(settings), settings.replacement_delay(), settings.replacement_time());
        assert_eq!(times, (detected, replaced, needed), "{losses} losses, {sync} ms");
    }
}

#[test]
fn settings_are_valid_if_the_repair_fits_into_the_sync_time() {
    let too_short = |losses, needed, sync| Err(SyncTooShort { losses, needed, sync });
    assert_eq!(settings(4, 4000).check(), too_short(4, 4900, 4000));
    assert_eq!(settings(1, 1000).check(), too_short(1, 1900, 1000));
    assert_eq!(settings(0, 0).check(), Ok(()));
    for losses in 1..=7 {
        for sync in (0..20_000).step_by(100) {
            let settings = settings(losses, sync);
            let fits = settings.replacement_time() <= sync;
            assert_eq!(settings.check().is_ok(), fits, "{losses} losses, {sync} ms");
            let longer = ChainSettings { sync: sync + 100, ..settings };
            assert!(
                !fits || longer.check().is_ok(),
                "{losses} losses: {sync} ms suffice, and 100 ms more do not"
            );
        }
    }
}
