//! What breaks a promise, and what does not.

use std::time::Duration;

use glenfall_experiments::ledger::{body, Broken, Ledger, PURGED};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn each_broken_promise_is_found_and_kept_ones_are_not() {
    let ledger = Ledger::default();
    let good = body("/a/1", 0, 100);
    ledger.got("/a/1", Instant::now(), true, &good, 100);
    ledger.ran("x");
    ledger.told_not_run("y");
    let old = ledger.change("/a/1");
    ledger.purged("/a/1", old);
    ledger.got("/a/1", Instant::now() + Duration::from_millis(1999), true, &good, 100);
    assert_eq!(ledger.broken(), Broken::default());
    ledger.got("/a/1", Instant::now() + PURGED, true, &good, 100);
    ledger.got("/a/1", Instant::now(), false, &good, 100);
    ledger.got("/a/1", Instant::now(), true, &good[..99], 100);
    ledger.got("/a/2", Instant::now(), true, &good, 100);
    ledger.ran("x");
    ledger.told_not_run("x");
    assert_eq!(ledger.broken(), Broken { twice: 1, refused: 1, mixed: 3, stale: 1 });
}
