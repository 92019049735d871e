//! The purges that a process remembers: which responses they cover, also once some were evicted.

use std::time::Duration;

use glenfall::cache::{PurgeTarget, RecentPurges, MAX_RECENT_PURGES};
use glenfall_control_plane::messages::{AgedPurge, Purge};
use tokio::time::Instant;

use crate::support::object_key;

fn label(text: &str) -> AgedPurge {
    AgedPurge { purge: Purge::Label(text.into()), age_ms: 0 }
}

#[tokio::test(start_paused = true)]
async fn a_fetch_is_covered_by_the_purges_between_its_start_and_the_position_of_the_reader() {
    let object = object_key("/a");
    let target = PurgeTarget { object: &object, labels: &["t"] };
    let mut purges = RecentPurges::default();
    purges.record(&label("t"));
    // All at the same time: only the order of the calls tells which was first.
    let start = purges.fetch_start();
    let joined_before = purges.position();
    purges.record(&label("other"));
    assert!(!purges.cover_fetch(target, start, purges.position()));
    purges.record(&label("t"));
    assert!(purges.cover_fetch(target, start, purges.position()));
    assert!(!purges.cover_fetch(target, start, joined_before));
    assert!(!purges.cover_fetch(target, purges.fetch_start(), purges.position()));
}

/// Guards against a response that is stored because the purge that covers it is no longer remembered.
#[tokio::test(start_paused = true)]
async fn what_was_fetched_before_an_evicted_purge_counts_as_covered() {
    let object = object_key("/a");
    let target = PurgeTarget { object: &object, labels: &["t"] };
    let mut purges = RecentPurges::default();
    let (start, fetched_at, joined_before) = (purges.fetch_start(), Instant::now(), purges.position());
    tokio::time::advance(Duration::from_secs(1)).await;
    purges.record(&label("t"));
    tokio::time::advance(Duration::from_secs(1)).await;
    let later_start = purges.fetch_start();
    for number in 0..MAX_RECENT_PURGES {
        purges.record(&label(&format!("other-{number}")));
    }
    assert_eq!(purges.len(), MAX_RECENT_PURGES);
    assert!(purges.cover_fetched_at(target, fetched_at));
    assert!(purges.cover_fetch(target, start, purges.position()));
    assert!(!purges.cover_fetch(target, start, joined_before), "it joined before all purges");
    assert!(!purges.cover_fetch(target, later_start, purges.position()), "none of its purges was evicted");
    assert!(!purges.cover_fetched_at(target, Instant::now() - Duration::from_millis(1)));
    let long_label = label(&"x".repeat(1 << 19));
    for _ in 0..8 {
        purges.record(&long_label);
    }
    assert!(purges.len() <= 2, "the size of the texts is bounded as well");
}
