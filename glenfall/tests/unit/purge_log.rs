//! Purges on disk.

use glenfall::control::purge_log::{PurgeLog, MAX_CLOCK_ERROR_MS};
use glenfall_control_plane::messages::{Purge, PurgeRecord};
use glenfall_control_plane::purge_history::PURGE_RETENTION;

use crate::support::{copy_files, Folder};

fn stamped(number: u64, age_ms: u64) -> PurgeRecord {
    let purge = Purge::Label(format!("l{number}"));
    PurgeRecord { origin: [10, 0, 0, 1].into(), incarnation: 7, number, age_ms, purge }
}

#[test]
fn what_was_written_is_found_for_as_long_as_it_is_remembered() {
    let folder = Folder::new("purges");
    let (log, found) = PurgeLog::open(&folder).unwrap();
    assert_eq!(found, []);
    log.write(vec![stamped(1, 0), stamped(2, PURGE_RETENTION - 60_000)]).blocking_recv().unwrap();
    log.write(vec![stamped(3, PURGE_RETENTION + 1), stamped(4, 0)]).blocking_recv().unwrap();
    let numbers =
        |found: &[PurgeRecord]| found.iter().map(|s| (s.number, s.purge.clone())).collect::<Vec<_>>();
    let label = |n: u64| (n, Purge::Label(format!("l{n}")));
    drop(log);
    // The thread lets go of the file when it has seen that nobody writes any more.
    let found = loop {
        let (_log, found) = PurgeLog::open(&folder).unwrap();
        if !found.is_empty() {
            break found;
        }
    };
    assert_eq!(numbers(&found), [label(1), label(2), label(4)]);
    assert!(found[1].age_ms + MAX_CLOCK_ERROR_MS as u64 >= PURGE_RETENTION - 60_000);
}

/// What lies in the folder at the moment when a purge is said to be written, its thread stopped there or going on.
#[test]
fn a_purge_is_said_to_be_written_only_once_it_is() {
    let folder = Folder::new("purges-told");
    let (log, _found) = PurgeLog::open(&folder).unwrap();
    for number in 1..=20 {
        log.write(vec![stamped(number, 0)]).blocking_recv().unwrap();
        // One of its own each time: the thread of the log before may still be about to remove its files.
        let then = Folder::new(&format!("purges-told-{number}"));
        copy_files(&folder, &then);
        let (_log, found) = PurgeLog::open(&then).unwrap();
        assert!(found.iter().any(|s| s.number == number), "{number} is not there");
    }
}
