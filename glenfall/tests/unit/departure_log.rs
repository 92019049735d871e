//! The log of departures on disk.

use glenfall::control::departure_log::DepartureLog;
use glenfall_control_plane::registry::{EntryStatus, ServerEntry};

use crate::support::{copy_files, Folder};

fn entry(id: &str, status: EntryStatus, call_seq: u64) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        backend: "s".into(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        capacity: 4,
        status,
        warmup_left_ms: 0,
        call_seq,
    }
}

/// Guards against an acknowledged departure that a crash undoes: copies the folder as soon as each write is reported.
#[test]
fn a_departure_is_on_disk_once_it_is_reported_and_the_last_one_of_a_server_counts() {
    let folder = Folder::new("departures");
    let (log, found) = DepartureLog::open(&folder).expect("a log");
    assert_eq!(found, []);
    for number in 1..=10 {
        let other = entry(&format!("s{number}"), EntryStatus::Deregistered, number);
        for departed in [entry("s", EntryStatus::Draining, number), other.clone()] {
            log.write(vec![departed]).blocking_recv().expect("written");
        }
        // A new folder each time: the writer thread of the previous log may still remove its files.
        let snapshot = Folder::new(&format!("departures-{number}"));
        copy_files(&folder, &snapshot);
        let (_log, found) = DepartureLog::open(&snapshot).expect("a log");
        let found: Vec<ServerEntry> = found.into_iter().map(|observed| observed.entry).collect();
        assert_eq!(found.len() as u64, number + 1);
        assert!(found.contains(&other));
        assert!(found.contains(&entry("s", EntryStatus::Draining, number)));
    }
}

#[test]
fn a_damaged_log_is_recreated_and_written_again() {
    let folder = Folder::new("departures-damaged");
    std::fs::create_dir_all(&*folder).expect("a folder");
    std::fs::write(folder.join("departures.sqlite"), "no database").expect("a file");
    let (log, found) = DepartureLog::open(&folder).expect("a log");
    assert_eq!(found, []);
    log.write(vec![entry("s", EntryStatus::Deregistered, 1)]).blocking_recv().expect("written");
}
