//! The latencies in `status`.

use std::time::Duration;

use glenfall::metrics::latency::{Latency, MAX_LATENCY_US, WINDOW_DURATION};

#[tokio::test(start_paused = true)]
async fn quantiles_cover_the_last_two_windows() {
    let latency = Latency::default();
    let reported = |counter: &str| {
        let report = latency.report("read");
        report.into_iter().find(|(name, _)| name == counter).map(|(_, value)| value)
    };
    for ms in 1..=100 {
        latency.record(Duration::from_millis(ms));
    }
    latency.record(Duration::MAX);
    assert_eq!(reported("read_count"), Some(101));
    let p50 = reported("read_p50_us").unwrap_or(0);
    assert!(p50.abs_diff(51_000) <= 510, "{p50}");
    assert!(reported("read_max_us") >= Some(MAX_LATENCY_US), "a longer latency counts as the maximum");
    tokio::time::advance(WINDOW_DURATION).await;
    assert_eq!(reported("read_count"), Some(101), "the previous window is still reported");
    latency.record(Duration::from_millis(1));
    tokio::time::advance(WINDOW_DURATION).await;
    assert_eq!(reported("read_count"), Some(1));
    tokio::time::advance(WINDOW_DURATION).await;
    assert_eq!(reported("read_count"), Some(0));
}
