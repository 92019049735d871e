//! Latencies for `status`.

use std::time::Duration;

use glenfall::metrics::latency::{Latency, LONGEST, TURN};

#[tokio::test(start_paused = true)]
async fn quantiles_hold_and_old_ones_go() {
    let latency = Latency::default();
    let told = |what: &str| {
        let all = latency.report("read");
        all.into_iter().find(|(name, _)| name == what).map(|(_, value)| value)
    };
    for ms in 1..=100 {
        latency.add(Duration::from_millis(ms));
    }
    latency.add(Duration::MAX);
    assert_eq!(told("read_count"), Some(101));
    let p50 = told("read_p50_us").unwrap_or(0);
    assert!(p50.abs_diff(51_000) <= 510, "{p50}");
    assert!(told("read_max_us") >= Some(LONGEST), "what is longer counts as the longest");
    tokio::time::advance(TURN).await;
    assert_eq!(told("read_count"), Some(101), "the minute before is told still");
    latency.add(Duration::from_millis(1));
    tokio::time::advance(TURN).await;
    assert_eq!(told("read_count"), Some(1));
    tokio::time::advance(TURN).await;
    assert_eq!(told("read_count"), Some(0));
}
