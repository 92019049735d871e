//! Bounds on the disk space of the purge log and of the disk cache, and on the size of a purge snapshot, under load.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenfall::cache::disk::{DiskCache, MAX_QUEUED_BODY_BYTES};
use glenfall::cache::ObjectKey;
use glenfall::control::purge_log::PurgeLog;
use glenfall_control_plane::messages::{AgedPurge, Purge, PurgeRecord, MAX_FRAME_BYTES};
use glenfall_control_plane::purge_history::{PurgeHistory, MAX_PURGES};
use hyper::header::HeaderMap;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("glenfall-bounds-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn bytes_in(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum()
}

/// Opens the purge log and reads its records. Retries for 10 s while it is empty, as the writing thread of a dropped log
/// may still have the file open.
fn open_log(folder: &Path) -> (PurgeLog, Vec<PurgeRecord>) {
    let began = Instant::now();
    loop {
        let (purge_log, records) = PurgeLog::open(folder).unwrap();
        if !records.is_empty() || began.elapsed() > Duration::from_secs(10) {
            return (purge_log, records);
        }
        drop(purge_log);
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn many_purges_take_no_more_disk_space_than_the_retained_ones() {
    let folder = folder("purges");
    let (purge_log, _) = PurgeLog::open(&folder).unwrap();
    // Labels as long as a long path, and three times as many purges as are retained.
    let record = |number: u64| PurgeRecord {
        origin: [10, 0, 0, 1].into(),
        incarnation: 7,
        number,
        age_ms: 0,
        purge: Purge::Label(format!("{number:0200}")),
    };
    for batch in 0..3 * MAX_PURGES as u64 / 512 {
        purge_log.write((batch * 512..(batch + 1) * 512).map(record).collect()).blocking_recv().unwrap();
    }
    // 500 bytes per retained purge, half-empty pages included, and the write-ahead log, which SQLite checkpoints at 1,000
    // pages.
    let size = bytes_in(&folder);
    assert!(size < MAX_PURGES as u64 * 500 + 1100 * 4096, "{size} bytes on disk");
    drop(purge_log);
    let (_purge_log, records) = open_log(&folder);
    assert_eq!(records.len(), MAX_PURGES + 1, "one more than are retained");
    assert_eq!(records.last().unwrap().number, 3 * MAX_PURGES as u64 - 1, "the newest purge");
    let mut purges = PurgeHistory::default();
    purges.add(0, records);
    assert_eq!(
        purges.purges_for_new_session(0),
        [AgedPurge { purge: Purge::Everything, age_ms: 0 }],
        "purges are known to be missing"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_disk_cache_stays_within_its_share_of_the_disk_through_writes_and_removals() {
    const DISK_MB: u64 = 128;
    let folder = folder("disk-cache");
    let (cache, _stored) = DiskCache::open(&folder, DISK_MB).unwrap();
    let key = |number: u64| ObjectKey {
        service: "s".into(),
        host: "h".into(),
        path: format!("/{number}").as_str().into(),
    };
    let body = Bytes::from(vec![7; 6000]);
    let (mut max_bytes, mut wal_bytes) = (0, 0);
    let mut measure = || {
        max_bytes = max_bytes.max(bytes_in(&folder));
        wal_bytes =
            wal_bytes.max(std::fs::metadata(folder.join("copies.sqlite-wal")).map_or(0, |file| file.len()));
        std::thread::sleep(Duration::from_millis(10));
    };
    // 48 MB of responses, all of which are revalidated five times and then removed.
    for number in 0..8000 {
        // A full queue drops responses, and the writing thread may be far behind on a busy machine.
        while cache.queued_bytes() + body.len() > MAX_QUEUED_BODY_BYTES {
            measure();
        }
        cache.put(&key(number), &HeaderMap::new(), &[], &body, Duration::ZERO);
        if number % 200 == 0 {
            measure();
        }
    }
    for _ in 0..5 {
        (0..8000).for_each(|number| cache.set_revalidated(&key(number), Duration::ZERO));
        (0..50).for_each(|_| measure());
    }
    cache.remove(&(0..8000).map(key).collect::<Vec<_>>());
    (0..200).for_each(|_| measure());
    // The file may take 55 % of the disk space. The write-ahead log may take twice the 8 MB at which it is checkpointed,
    // plus up to 8 MB for the queued bodies.
    let bounds = [DISK_MB * (1 << 20) * 55 / 100, (2 * 8 + 8) * (1 << 20)];
    println!("at most {max_bytes} bytes on disk and {wal_bytes} bytes of write-ahead log; bounds {bounds:?}");
    assert!(wal_bytes <= bounds[1], "write-ahead log of {wal_bytes} bytes, above the bound of {}", bounds[1]);
    assert!(max_bytes > 48_000_000 && max_bytes <= bounds[0] + bounds[1], "{max_bytes} bytes on disk");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn all_retained_purges_fit_in_one_frame_however_long_they_are() {
    let mut purges = PurgeHistory::default();
    let longest_purge = |number: u64| {
        // The longest purge that a caller may request.
        let purge = Purge::Object { hostname: "h".repeat(8 << 10), path: "/p".repeat(4 << 10) };
        PurgeRecord { origin: [10, 0, 0, 1].into(), incarnation: u64::MAX, number, age_ms: 0, purge }
    };
    for number in 0..1000 {
        assert_eq!(purges.add(number, vec![longest_purge(number)]).len(), 1);
        let frame_bytes = postcard::to_stdvec(&purges.snapshot(number)).unwrap().len();
        assert!(
            frame_bytes < MAX_FRAME_BYTES - (MAX_FRAME_BYTES >> 4),
            "frame of {frame_bytes} bytes after purge {number}"
        );
    }
    assert_eq!(purges.purges_for_new_session(1000), [AgedPurge { purge: Purge::Everything, age_ms: 0 }]);
    // The same for short purges, whose numbers take more bytes than their labels.
    let mut purges = PurgeHistory::default();
    let short_purge = |number: u64| {
        let purge = Purge::Label("l".into());
        PurgeRecord {
            origin: [10, 0, 0, 1].into(),
            incarnation: u64::MAX,
            number: u64::MAX - number,
            age_ms: 0,
            purge,
        }
    };
    purges.add(0, (0..MAX_PURGES as u64).map(short_purge).collect());
    assert_eq!(purges.snapshot(0).len(), MAX_PURGES);
    assert!(postcard::to_stdvec(&purges.snapshot(0)).unwrap().len() < MAX_FRAME_BYTES / 2);
}
