//! What lies on disk beside the state stays within its bounds, however much comes.

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

/// Opens the log once whoever had it before has let go of it.
fn open_log(folder: &Path) -> (PurgeLog, Vec<PurgeRecord>) {
    let began = Instant::now();
    loop {
        let (log, found) = PurgeLog::open(folder).unwrap();
        if !found.is_empty() || began.elapsed() > Duration::from_secs(10) {
            return (log, found);
        }
        drop(log);
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_storm_of_purges_takes_no_more_of_the_disk_than_those_that_are_remembered() {
    let folder = folder("purges");
    let (log, _) = PurgeLog::open(&folder).unwrap();
    // Of the length of a long path; thrice as many as are remembered.
    let stamped = |number: u64| PurgeRecord {
        origin: [10, 0, 0, 1].into(),
        incarnation: 7,
        number,
        age_ms: 0,
        purge: Purge::Label(format!("{number:0200}")),
    };
    for some in 0..3 * MAX_PURGES as u64 / 512 {
        log.write((some * 512..(some + 1) * 512).map(stamped).collect()).blocking_recv().unwrap();
    }
    // The purges, half-empty pages, and a log of 1,000 pages that SQLite plays back at that length.
    let size = bytes_in(&folder);
    assert!(size < MAX_PURGES as u64 * 500 + 1100 * 4096, "{size} bytes on disk");
    drop(log);
    let (_log, found) = open_log(&folder);
    assert_eq!(found.len(), MAX_PURGES + 1, "one more than are remembered");
    assert_eq!(found.last().unwrap().number, 3 * MAX_PURGES as u64 - 1, "the newest");
    let mut purges = PurgeHistory::default();
    purges.add(0, found);
    assert_eq!(
        purges.missed(0),
        [AgedPurge { purge: Purge::Everything, age_ms: 0 }],
        "others are known to be missing"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn copies_on_disk_stay_within_their_part_whatever_is_done_to_them() {
    const DISK_MB: u64 = 128;
    let folder = folder("copies");
    let (kept, _found) = DiskCache::open(&folder, DISK_MB).unwrap();
    let key =
        |n: u64| ObjectKey { service: "s".into(), host: "h".into(), path: format!("/{n}").as_str().into() };
    let body = Bytes::from(vec![7; 6000]);
    let (mut most, mut log) = (0, 0);
    let mut look = || {
        most = most.max(bytes_in(&folder));
        log = log.max(std::fs::metadata(folder.join("copies.sqlite-wal")).map_or(0, |file| file.len()));
        std::thread::sleep(Duration::from_millis(10));
    };
    // 48 MB of copies, of pages that are then touched all at once, again and again, and all removed.
    for n in 0..8000 {
        // What finds no place in the queue is not written: the thread that writes may be far behind on a busy machine.
        while kept.queued_bytes() + body.len() > MAX_QUEUED_BODY_BYTES {
            look();
        }
        kept.put(&key(n), &HeaderMap::new(), &[], &body, Duration::ZERO);
        if n % 200 == 0 {
            look();
        }
    }
    for _ in 0..5 {
        (0..8000).for_each(|n| kept.revalidated(&key(n), Duration::ZERO));
        (0..50).for_each(|_| look());
    }
    kept.remove(&(0..8000).map(key).collect::<Vec<_>>());
    (0..200).for_each(|_| look());
    // The log: twice its pages, and the copies that wait. The file: its part.
    let bounds = [DISK_MB * (1 << 20) * 55 / 100, (2 * 8 + 8) * (1 << 20)];
    println!("{most} bytes on disk at most, {log} of them the log; bounds {bounds:?}");
    assert!(log <= bounds[1], "{log} bytes of log, {} are the most", bounds[1]);
    assert!(most > 48_000_000 && most <= bounds[0] + bounds[1], "{most} bytes on disk");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn all_purges_that_are_remembered_fit_in_one_frame_however_long_they_are() {
    let mut purges = PurgeHistory::default();
    let long = |number: u64| {
        // As long as a caller may make them.
        let purge = Purge::Object { hostname: "h".repeat(8 << 10), path: "/p".repeat(4 << 10) };
        PurgeRecord { origin: [10, 0, 0, 1].into(), incarnation: u64::MAX, number, age_ms: 0, purge }
    };
    for number in 0..1000 {
        assert_eq!(purges.add(number, vec![long(number)]).len(), 1);
        let frame = postcard::to_stdvec(&purges.snapshot(number)).unwrap().len();
        assert!(frame < MAX_FRAME_BYTES - (MAX_FRAME_BYTES >> 4), "{frame} bytes after {number}");
    }
    assert_eq!(purges.missed(1000), [AgedPurge { purge: Purge::Everything, age_ms: 0 }]);
    // Short ones as well, whose numbers are longer than what they name.
    let mut purges = PurgeHistory::default();
    let short = |number: u64| {
        let purge = Purge::Label("l".into());
        PurgeRecord {
            origin: [10, 0, 0, 1].into(),
            incarnation: u64::MAX,
            number: u64::MAX - number,
            age_ms: 0,
            purge,
        }
    };
    purges.add(0, (0..MAX_PURGES as u64).map(short).collect());
    assert_eq!(purges.snapshot(0).len(), MAX_PURGES);
    assert!(postcard::to_stdvec(&purges.snapshot(0)).unwrap().len() < MAX_FRAME_BYTES / 2);
}
