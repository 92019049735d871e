//! Tests which responses and executions count as violations of a guarantee.

use std::time::Duration;

use glenfall_experiments::execution_log::{body, ExecutionLog, ViolationCounts, PURGE_PROPAGATION_TIMEOUT};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn each_violated_guarantee_is_counted_and_no_other() {
    let execution_log = ExecutionLog::default();
    let valid = body("/a/1", 0, 100);
    execution_log.check_and_count("/a/1", Instant::now(), true, &valid, 100);
    execution_log.record_execution("x");
    execution_log.record_rejection("y");
    let old_version = execution_log.start_new_version("/a/1");
    execution_log.record_purge("/a/1", old_version);
    execution_log.check_and_count("/a/1", Instant::now() + Duration::from_millis(1999), true, &valid, 100);
    assert_eq!(execution_log.violations(), ViolationCounts::default());
    execution_log.check_and_count("/a/1", Instant::now() + PURGE_PROPAGATION_TIMEOUT, true, &valid, 100);
    execution_log.check_and_count("/a/1", Instant::now(), false, &valid, 100);
    execution_log.check_and_count("/a/1", Instant::now(), true, &valid[..99], 100);
    execution_log.check_and_count("/a/2", Instant::now(), true, &valid, 100);
    execution_log.record_execution("x");
    execution_log.record_rejection("x");
    assert_eq!(
        execution_log.violations(),
        ViolationCounts { executed_twice: 1, rejected_after_execution: 1, incomplete: 3, stale: 1 }
    );
}
