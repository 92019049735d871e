//! Copies on disk.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use glenfall::cache::disk::{since_written, DiskCache, FILE, MOST_ENTRIES, MOST_WAITING};
use hyper::header::{HeaderMap, HeaderValue};
use rusqlite::Connection;

use crate::support::{object as key, Folder};

/// What is found in a folder, by path: body and label.
fn found(folder: &Path) -> Vec<(String, usize, String)> {
    let (_kept, found) = DiskCache::open(folder, 64).unwrap();
    let rows = found.blocking_recv().unwrap();
    let mut found: Vec<_> =
        rows.iter().map(|row| (row.key.path.to_string(), row.body.len(), row.labels.join(" "))).collect();
    found.sort();
    found
}

/// Does something with the copies of a folder, and ends once it is written.
fn with(folder: &Path, work: impl FnOnce(&DiskCache)) {
    let (kept, mut writer, _found) = DiskCache::prepare(folder, 64);
    work(&kept);
    drop(kept);
    writer.run();
    assert_eq!(writer.waiting(), 0);
}

fn put(kept: &DiskCache, path: &str, size: usize, age_s: u64) {
    let mut headers = HeaderMap::new();
    headers.insert("etag", HeaderValue::from_static("\"e\""));
    let body = Bytes::from(vec![7; size]);
    kept.put(&key(path), &headers, &["t".into()], &body, Duration::from_secs(age_s));
}

#[test]
fn what_was_put_is_found_and_what_was_removed_is_not() {
    let folder = Folder::new("kept-found");
    with(&folder, |kept| {
        for path in ["/a", "/b", "/c"] {
            put(kept, path, 100_000, 1);
        }
        put(kept, "/b", 5, 9);
        kept.remove(&[key("/c"), key("/never")]);
    });
    assert_eq!(found(&folder), [("/a".into(), 100_000, "t".into()), ("/b".into(), 5, "t".into())]);
    with(&folder, |kept| kept.remove(&[key("/a")]));
    assert_eq!(found(&folder), [("/b".into(), 5, "t".into())]);
    let (_kept, rows) = DiskCache::open(&folder, 64).unwrap();
    let rows = rows.blocking_recv().unwrap();
    assert!(rows[0].age >= Duration::from_secs(9), "{:?}", rows[0].age);
    assert_eq!(rows[0].headers["etag"], "\"e\"");
}

#[test]
fn the_time_of_day_counts_only_where_the_steady_clock_tells_nothing() {
    let told = |day, steady| since_written(day, steady).map(|since| since.as_millis());
    assert_eq!(told(5_000, 5_010), Some(5_010), "the same boot");
    assert_eq!(told(5_000, -900_000), Some(8_000), "another boot");
    assert_eq!(told(5_000, 70_000), Some(8_000), "another boot, which has run for longer");
    assert_eq!(told(-1_000, 4_000), None, "set back, by more than it may be off");
    assert_eq!(told(-2_000, 500), Some(500));
    assert_eq!(told(-9_000, -900_000), None);
}

#[test]
fn more_than_may_wait_is_not_written_and_what_was_there_goes() {
    let folder = Folder::new("kept-waiting");
    with(&folder, |kept| put(kept, "/a", 5, 0));
    with(&folder, |kept| {
        put(kept, "/big", MOST_WAITING, 0);
        put(kept, "/a", 6, 0);
    });
    assert_eq!(found(&folder), [("/big".into(), MOST_WAITING, "t".into())]);
}

/// Purges since the last change that is written wait in the queue, and a start must know that it may have missed them.
#[test]
fn the_file_is_as_old_as_the_last_change_in_it_not_as_its_write() {
    let folder = Folder::new("kept-as-of");
    let (kept, mut writer, _found) = DiskCache::prepare(&folder, 64);
    put(&kept, "/a", 5, 0);
    drop(kept);
    // The thread that writes is stopped for a moment.
    std::thread::sleep(Duration::from_millis(50));
    let goes_on = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    writer.run();
    let db = Connection::open(folder.join(FILE)).unwrap();
    let at: i64 = db.query_row("SELECT at FROM written", [], |row| row.get(0)).unwrap();
    assert!(at < goes_on, "{} ms too late", at - goes_on);
}

/// A disk that hangs: the queue is full, and what a purge names would stay on disk.
#[test]
fn a_removal_that_finds_no_place_takes_along_all_that_was_there_before_it() {
    let folder = Folder::new("kept-lost");
    with(&folder, |kept| put(kept, "/a", 5, 0));
    with(&folder, |kept| {
        put(kept, "/queued", 5, 0);
        kept.remove(&(1..MOST_ENTRIES).map(|n| key(&format!("/{n}"))).collect::<Vec<_>>());
        kept.remove(&[key("/a"), key("/queued")]);
        // Nothing else finds a place either, and nothing waits for one.
        put(kept, "/late", 5, 0);
        kept.refreshed(&key("/a"), Duration::ZERO);
    });
    assert_eq!(found(&folder), []);
    with(&folder, |kept| put(kept, "/new", 5, 0));
    assert_eq!(found(&folder), [("/new".into(), 5, "t".into())]);
}

#[test]
fn a_spoilt_file_is_thrown_away_and_a_spoilt_row_left_out() {
    let folder = Folder::new("kept-spoilt");
    with(&folder, |kept| (0..20).for_each(|n| put(kept, &format!("/{n}"), 3000, 0)));
    assert_eq!(found(&folder).len(), 20);
    {
        let db = Connection::open(folder.join(FILE)).unwrap();
        db.execute("UPDATE copies SET body = x'00' WHERE id LIKE '%/7'", []).unwrap();
    }
    assert_eq!(found(&folder).len(), 19);
    let mut bytes = std::fs::read(folder.join(FILE)).unwrap();
    bytes[..4096].fill(0x55);
    std::fs::write(folder.join(FILE), bytes).unwrap();
    assert_eq!(found(&folder), []);
    with(&folder, |kept| put(kept, "/new", 5, 0));
    assert_eq!(found(&folder), [("/new".into(), 5, "t".into())]);
}

#[test]
fn what_lay_there_for_longer_than_purges_are_remembered_is_not_used() {
    let folder = Folder::new("kept-old");
    with(&folder, |kept| put(kept, "/a", 5, 0));
    let mut set_back = 0;
    for (ago, left) in [(90_000, 1), (101_000, 0), (-60_000, 0)] {
        let db = Connection::open(folder.join(FILE)).unwrap();
        let more = ago - set_back;
        db.execute("UPDATE written SET at = at - ?1, steady = steady - ?1", [more]).unwrap();
        db.execute("UPDATE copies SET born = (SELECT steady FROM written) - 1000", []).unwrap();
        drop(db);
        set_back = ago;
        assert_eq!(found(&folder).len(), left, "written {ago} ms ago");
    }
}
