//! The purges that a control node retains, and those that a reconnecting session has missed.

use std::net::Ipv4Addr;

use glenfall_control_plane::messages::{AgedPurge, Purge, PurgeRecord};
use glenfall_control_plane::purge_history::{PurgeHistory, MAX_PURGES, PURGE_RETENTION};

fn purge(number: u64, age_ms: u64) -> PurgeRecord {
    let purge = Purge::Label(number.to_string());
    PurgeRecord { origin: Ipv4Addr::LOCALHOST, incarnation: 1, number, age_ms, purge }
}

#[test]
fn a_purge_is_new_only_once_and_is_removed_after_its_retention() {
    let mut purges = PurgeHistory::default();
    assert_eq!(purges.add(1000, vec![purge(1, 0), purge(2, 500), purge(1, 0)]).len(), 2);
    assert!(purges.add(1000, vec![purge(2, 0)]).is_empty());
    assert_eq!(purges.snapshot(1500).iter().map(|record| record.age_ms).collect::<Vec<_>>(), [500, 1000]);
    purges.add(PURGE_RETENTION + 1000, vec![]);
    assert!(purges.purges_for_new_session(PURGE_RETENTION + 1000).is_empty());
}

#[test]
fn a_session_that_connects_after_an_overflow_purges_everything() {
    let mut purges = PurgeHistory::default();
    purges.add(0, (0..=MAX_PURGES as u64).map(|number| purge(number, 0)).collect());
    assert_eq!(purges.purges_for_new_session(0), [AgedPurge { purge: Purge::Everything, age_ms: 0 }]);
    assert_eq!(purges.snapshot(0).len(), MAX_PURGES);
}
