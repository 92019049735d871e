//! The disk tier of the cache.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use glenfall::cache::disk::{DiskCache, TimeSinceWrite, FILE_NAME, MAX_QUEUED_BODY_BYTES, MAX_QUEUED_ROWS};
use hyper::header::{HeaderMap, HeaderValue};
use rusqlite::Connection;

use crate::support::{object_key as key, Folder};

/// The rows of the file in a folder, sorted by path: path, size of the body, and labels.
fn stored(folder: &Path) -> Vec<(String, usize, String)> {
    let (_disk_cache, found) = DiskCache::open(folder, 64).unwrap();
    let rows = found.blocking_recv().unwrap();
    let mut stored: Vec<_> =
        rows.iter().map(|row| (row.key.path.to_string(), row.body.len(), row.labels.join(" "))).collect();
    stored.sort();
    stored
}

/// Changes the disk cache of a folder, and returns once the changes are written.
fn change(folder: &Path, changes: impl FnOnce(&DiskCache)) {
    let (disk_cache, mut writer, _found) = DiskCache::prepare(folder, 64);
    changes(&disk_cache);
    drop(disk_cache);
    writer.run();
    assert_eq!(writer.queued_bytes(), 0);
}

fn put(disk_cache: &DiskCache, path: &str, size: usize, age_s: u64) {
    let mut headers = HeaderMap::new();
    headers.insert("etag", HeaderValue::from_static("\"e\""));
    let body = Bytes::from(vec![7; size]);
    disk_cache.put(&key(path), &headers, &["t".into()], &body, Duration::from_secs(age_s));
}

#[test]
fn responses_are_found_until_they_are_removed() {
    let folder = Folder::new("disk-cache-found");
    change(&folder, |disk_cache| {
        for path in ["/a", "/b", "/c"] {
            put(disk_cache, path, 100_000, 1);
        }
        put(disk_cache, "/b", 5, 9);
        disk_cache.remove(&[key("/c"), key("/never")]);
    });
    assert_eq!(stored(&folder), [("/a".into(), 100_000, "t".into()), ("/b".into(), 5, "t".into())]);
    change(&folder, |disk_cache| disk_cache.remove(&[key("/a")]));
    assert_eq!(stored(&folder), [("/b".into(), 5, "t".into())]);
    let (_disk_cache, rows) = DiskCache::open(&folder, 64).unwrap();
    let rows = rows.blocking_recv().unwrap();
    assert!(rows[0].age >= Duration::from_secs(9), "{:?}", rows[0].age);
    assert_eq!(rows[0].headers["etag"], "\"e\"");
}

#[test]
fn the_wall_clock_is_used_only_for_a_file_from_another_boot() {
    let resolve = |wall_ms, monotonic_ms| {
        let since_write = TimeSinceWrite { wall_ms, monotonic_ms }.resolve();
        since_write.map(|since| since.as_millis())
    };
    assert_eq!(resolve(5_000, 5_010), Some(5_010), "the same boot");
    assert_eq!(resolve(5_000, -900_000), Some(8_000), "another boot");
    assert_eq!(resolve(5_000, 70_000), Some(8_000), "another boot, which has run for longer");
    assert_eq!(resolve(-1_000, 4_000), None, "set back by more than its maximum error");
    assert_eq!(resolve(-2_000, 500), Some(500));
    assert_eq!(resolve(-9_000, -900_000), None);
}

#[test]
fn a_response_that_exceeds_the_queue_is_not_written_and_its_stored_version_is_removed() {
    let folder = Folder::new("disk-cache-queued");
    change(&folder, |disk_cache| put(disk_cache, "/a", 5, 0));
    change(&folder, |disk_cache| {
        put(disk_cache, "/big", MAX_QUEUED_BODY_BYTES, 0);
        put(disk_cache, "/a", 6, 0);
    });
    assert_eq!(stored(&folder), [("/big".into(), MAX_QUEUED_BODY_BYTES, "t".into())]);
}

/// A removal that was queued after the last written change is missing from the file. The file has to be dated by that
/// change, so that a start knows from when on removals may be missing.
#[test]
fn the_file_is_dated_by_the_last_change_in_it_not_by_the_time_of_the_write() {
    let folder = Folder::new("disk-cache-date");
    let (disk_cache, mut writer, _found) = DiskCache::prepare(&folder, 64);
    put(&disk_cache, "/a", 5, 0);
    drop(disk_cache);
    // The writer is delayed.
    std::thread::sleep(Duration::from_millis(50));
    let writer_starts_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    writer.run();
    let db = Connection::open(folder.join(FILE_NAME)).unwrap();
    let at: i64 = db.query_row("SELECT at FROM written", [], |row| row.get(0)).unwrap();
    assert!(at < writer_starts_ms, "{} ms too late", at - writer_starts_ms);
}

/// While the disk hangs the queue fills up, and a removal that does not fit must not leave a purged response on disk.
#[test]
fn a_removal_that_exceeds_the_queue_discards_everything_before_it() {
    let folder = Folder::new("disk-cache-discarded");
    change(&folder, |disk_cache| put(disk_cache, "/a", 5, 0));
    change(&folder, |disk_cache| {
        put(disk_cache, "/queued", 5, 0);
        disk_cache.remove(&(1..MAX_QUEUED_ROWS).map(|n| key(&format!("/{n}"))).collect::<Vec<_>>());
        disk_cache.remove(&[key("/a"), key("/queued")]);
        // No other change fits in the queue either, and no caller waits for capacity.
        put(disk_cache, "/late", 5, 0);
        disk_cache.set_revalidated(&key("/a"), Duration::ZERO);
    });
    assert_eq!(stored(&folder), []);
    change(&folder, |disk_cache| put(disk_cache, "/new", 5, 0));
    assert_eq!(stored(&folder), [("/new".into(), 5, "t".into())]);
}

#[test]
fn a_corrupt_file_is_discarded_and_a_corrupt_row_skipped() {
    let folder = Folder::new("disk-cache-corrupt");
    change(&folder, |disk_cache| (0..20).for_each(|n| put(disk_cache, &format!("/{n}"), 3000, 0)));
    assert_eq!(stored(&folder).len(), 20);
    {
        let db = Connection::open(folder.join(FILE_NAME)).unwrap();
        db.execute("UPDATE copies SET body = x'00' WHERE id LIKE '%/7'", []).unwrap();
    }
    assert_eq!(stored(&folder).len(), 19);
    let mut bytes = std::fs::read(folder.join(FILE_NAME)).unwrap();
    bytes[..4096].fill(0x55);
    std::fs::write(folder.join(FILE_NAME), bytes).unwrap();
    assert_eq!(stored(&folder), []);
    change(&folder, |disk_cache| put(disk_cache, "/new", 5, 0));
    assert_eq!(stored(&folder), [("/new".into(), 5, "t".into())]);
}

#[test]
fn a_file_older_than_the_retention_of_purges_is_not_used() {
    let folder = Folder::new("disk-cache-old");
    change(&folder, |disk_cache| put(disk_cache, "/a", 5, 0));
    let mut current_ms = 0;
    for (written_ms_ago, expected_rows) in [(90_000, 1), (101_000, 0), (-60_000, 0)] {
        let db = Connection::open(folder.join(FILE_NAME)).unwrap();
        let difference_ms = written_ms_ago - current_ms;
        db.execute("UPDATE written SET at = at - ?1, steady = steady - ?1", [difference_ms]).unwrap();
        db.execute("UPDATE copies SET born = (SELECT steady FROM written) - 1000", []).unwrap();
        drop(db);
        current_ms = written_ms_ago;
        assert_eq!(stored(&folder).len(), expected_rows, "written {written_ms_ago} ms ago");
    }
}
