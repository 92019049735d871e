//! The log of purges on disk.

use glenfall::control::purge_log::{PurgeLog, MAX_CLOCK_ERROR_MS};
use glenfall_control_plane::messages::{Purge, PurgeRecord};
use glenfall_control_plane::purge_history::PURGE_RETENTION;

use crate::support::{copy_files, Folder};

fn record(number: u64, age_ms: u64) -> PurgeRecord {
    let purge = Purge::Label(format!("l{number}"));
    PurgeRecord { origin: [10, 0, 0, 1].into(), incarnation: 7, number, age_ms, purge }
}

#[test]
fn written_purges_are_found_until_their_retention_ends() {
    let folder = Folder::new("purges");
    let (log, found) = PurgeLog::open(&folder).unwrap();
    assert_eq!(found, []);
    log.write(vec![record(1, 0), record(2, PURGE_RETENTION - 60_000)]).blocking_recv().unwrap();
    log.write(vec![record(3, PURGE_RETENTION + 1), record(4, 0)]).blocking_recv().unwrap();
    let numbers =
        |found: &[PurgeRecord]| found.iter().map(|s| (s.number, s.purge.clone())).collect::<Vec<_>>();
    let label = |n: u64| (n, Purge::Label(format!("l{n}")));
    drop(log);
    // The writer thread closes the file some time after the log was dropped.
    let found = loop {
        let (_log, found) = PurgeLog::open(&folder).unwrap();
        if !found.is_empty() {
            break found;
        }
    };
    assert_eq!(numbers(&found), [label(1), label(2), label(4)]);
    assert!(found[1].age_ms + MAX_CLOCK_ERROR_MS as u64 >= PURGE_RETENTION - 60_000);
}

/// Copies the folder as soon as each purge is acknowledged, while the writer thread may still run: this is what a crash
/// at that moment would leave behind.
#[test]
fn a_purge_is_acknowledged_only_once_it_is_on_disk() {
    let folder = Folder::new("purges-acknowledged");
    let (log, _found) = PurgeLog::open(&folder).unwrap();
    for number in 1..=20 {
        log.write(vec![record(number, 0)]).blocking_recv().unwrap();
        // A new folder each time: the writer thread of the previous log may still remove its files.
        let snapshot = Folder::new(&format!("purges-acknowledged-{number}"));
        copy_files(&folder, &snapshot);
        let (_log, found) = PurgeLog::open(&snapshot).unwrap();
        assert!(found.iter().any(|s| s.number == number), "purge {number} is not on disk");
    }
}
