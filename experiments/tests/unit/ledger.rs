//! Tests which responses and executions count as violations of a guarantee.

use std::time::Duration;

use glenfall_experiments::ledger::{body, Ledger, ViolationCounts, PURGE_TIMEOUT};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn each_violated_guarantee_is_counted_and_no_other() {
    let ledger = Ledger::default();
    let valid = body("/a/1", 0, 100);
    ledger.check_and_count("/a/1", Instant::now(), true, &valid, 100);
    ledger.ran("x");
    ledger.rejected("y");
    let old_version = ledger.change("/a/1");
    ledger.purged("/a/1", old_version);
    ledger.check_and_count("/a/1", Instant::now() + Duration::from_millis(1999), true, &valid, 100);
    assert_eq!(ledger.violations(), ViolationCounts::default());
    ledger.check_and_count("/a/1", Instant::now() + PURGE_TIMEOUT, true, &valid, 100);
    ledger.check_and_count("/a/1", Instant::now(), false, &valid, 100);
    ledger.check_and_count("/a/1", Instant::now(), true, &valid[..99], 100);
    ledger.check_and_count("/a/2", Instant::now(), true, &valid, 100);
    ledger.ran("x");
    ledger.rejected("x");
    assert_eq!(
        ledger.violations(),
        ViolationCounts { ran_twice: 1, rejected_after_run: 1, incomplete: 3, stale: 1 }
    );
}
