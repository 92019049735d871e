//! State on disk and in backups, as version 0.3.0 wrote it: each later version reads it and finds every value.
//!
//! The fixtures were made by that version with
//! `UPDATE_FIXTURES=1 cargo test -p glenfall --test unit stored_data`. They are not made again: a later format gets a
//! folder of its own, and this one stays readable.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use glenfall::cache::disk::{DiskCache, FILE_NAME as DISK_CACHE_FILE};
use glenfall::control::backup::Backup;
use glenfall::control::purge_log::{PurgeLog, MAX_CLOCK_ERROR_MS};
use glenfall::control::store::{self, RecoveredState, Store};
use glenfall_control_plane::chain::{HardState, JointConfig, Record};
use glenfall_control_plane::deduplication::{
    AppliedOrder, DeduplicationTable, IdempotencyKey, ORDERS_PER_CHUNK,
};
use glenfall_control_plane::messages::{Purge, PurgeRecord};
use hyper::header::{HeaderMap, HeaderValue};
use rusqlite::Connection;

use crate::support::{copy_files, object_key, Folder};

const STATE_FILE: &str = "state.sqlite";
const PURGES_FILE: &str = "purges.sqlite";
const BACKUP_FILE: &str = "backup.json";
const CONFIG_DOCUMENT: &[u8] =
    br#"{"rev": 90, "paths": [], "backends": [{"name": "s"}], "unknown": {"kept": true}}"#;
/// One full chunk of orders, and some that do not fill a second one.
const ORDER_COUNT: u64 = ORDERS_PER_CHUNK as u64 + 6;
const FIRST_ORDER: u64 = 20;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/v0.3.0").join(name)
}

fn is_updating_fixtures() -> bool {
    std::env::var_os("UPDATE_FIXTURES").is_some()
}

/// A folder with one file of the fixtures.
fn folder_with_fixture(name: &str) -> Folder {
    let folder = Folder::new(&format!("stored-{name}"));
    std::fs::create_dir_all(&*folder).expect("a folder");
    std::fs::copy(fixture(name), folder.join(name)).expect("the fixture is there");
    folder
}

/// Saves the file of a folder as a fixture once the write-ahead log beside it is gone, so that the file is complete.
fn save_fixture(folder: &Path, name: &str) {
    let wal = folder.join(format!("{name}-wal"));
    while wal.exists() {
        std::thread::sleep(Duration::from_millis(20));
    }
    std::fs::create_dir_all(fixture("")).expect("a folder");
    std::fs::copy(folder.join(name), fixture(name)).expect("a fixture");
}

/// A joint configuration of three incoming and two outgoing voters, with a deduplication table.
fn state() -> HardState {
    let ip = |last| [10, 0, 0, last].into();
    let members = JointConfig { voters: vec![ip(1), ip(2), ip(3)], outgoing: vec![ip(1), ip(2)] };
    let order = |rev: u64| AppliedOrder { rev, key: IdempotencyKey([rev as u8; 32]) };
    let orders: Vec<AppliedOrder> = (FIRST_ORDER..FIRST_ORDER + ORDER_COUNT).map(order).collect();
    let table = DeduplicationTable::from_orders(FIRST_ORDER - 1, &orders).expect("a table");
    let record =
        Arc::new(Record { seq: 71, rev: 90, document: CONFIG_DOCUMENT.to_vec(), applied_orders: table });
    HardState { members, votes: true, promised: 1025, accepted: 513, record }
}

#[test]
fn the_state_of_a_control_node_is_read_with_every_value() {
    if is_updating_fixtures() {
        let folder = Folder::new("stored-state-made");
        store::create(&folder, &state()).expect("a store");
        return save_fixture(&folder, STATE_FILE);
    }
    let folder = folder_with_fixture(STATE_FILE);
    assert_eq!(store::verify(&folder).expect("undamaged"), Some(state()));
    let (store, found) = Store::open(&folder).expect("opened");
    assert_eq!(found, RecoveredState::Intact(state()));
    // A state that this version writes to the same file is read as well.
    let next = HardState { promised: 2049, ..state() };
    store.save(&next).expect("saved");
    drop(store);
    assert_eq!(Store::open(&folder).expect("opened again").1, RecoveredState::Intact(next));
}

fn purge(number: u64, purge: Purge) -> PurgeRecord {
    PurgeRecord { origin: [10, 0, 0, 1].into(), incarnation: 1_000_000_007, number, age_ms: 500, purge }
}

fn purges() -> [PurgeRecord; 3] {
    [
        purge(1, Purge::Object { hostname: "h".into(), path: "/p?q".into() }),
        purge(2, Purge::Label("l".into())),
        purge(3, Purge::Everything),
    ]
}

fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time of day").as_millis() as i64
}

#[test]
fn the_purge_log_is_read_with_every_value() {
    if is_updating_fixtures() {
        let folder = Folder::new("stored-purges-made");
        let (log, _found) = PurgeLog::open(&folder).expect("a log");
        log.write(purges().to_vec()).blocking_recv().expect("written");
        drop(log);
        return save_fixture(&folder, PURGES_FILE);
    }
    let folder = folder_with_fixture(PURGES_FILE);
    // The log is dated as if it had just been written, since purges older than their retention are not read.
    let db = Connection::open(folder.join(PURGES_FILE)).expect("a database");
    db.execute("UPDATE purges SET at = ?1", [now_ms() - 2 * MAX_CLOCK_ERROR_MS]).expect("updated");
    drop(db);
    let (_log, found) = PurgeLog::open(&folder).expect("opened");
    assert!(found.iter().all(|purge| purge.age_ms >= MAX_CLOCK_ERROR_MS as u64), "{found:?}");
    let found: Vec<PurgeRecord> =
        found.into_iter().map(|purge| PurgeRecord { age_ms: 500, ..purge }).collect();
    assert_eq!(found, purges());
}

#[test]
fn the_disk_cache_of_a_shield_is_read_with_every_value() {
    let mut headers = HeaderMap::new();
    headers.insert("etag", HeaderValue::from_static("\"e\""));
    headers.append("x-twice", HeaderValue::from_static("one"));
    headers.append("x-twice", HeaderValue::from_bytes(b"t\xffo").expect("a value"));
    if is_updating_fixtures() {
        let folder = Folder::new("stored-disk-cache-made");
        let (disk_cache, mut writer, _found) = DiskCache::prepare(&folder, 64);
        let body = Bytes::from_static(b"the body");
        disk_cache.put(&object_key("/a"), &headers, &["l".into(), "m".into()], &body, Duration::from_secs(7));
        disk_cache.put(&object_key("/b"), &HeaderMap::new(), &[], &Bytes::new(), Duration::ZERO);
        drop(disk_cache);
        writer.run();
        drop(writer);
        return save_fixture(&folder, DISK_CACHE_FILE);
    }
    let folder = folder_with_fixture(DISK_CACHE_FILE);
    let db = Connection::open(folder.join(DISK_CACHE_FILE)).expect("a database");
    db.execute("UPDATE written SET at = ?1", [now_ms()]).expect("updated");
    drop(db);
    let opened = Folder::new("stored-disk-cache-opened");
    copy_files(&folder, &opened);
    let (_disk_cache, found) = DiskCache::open(&opened, 64).expect("opened");
    let mut found = found.blocking_recv().expect("the stored rows");
    found.sort_by(|a, b| a.key.path.cmp(&b.key.path));
    assert_eq!(
        found.iter().map(|row| row.key.clone()).collect::<Vec<_>>(),
        [object_key("/a"), object_key("/b")]
    );
    assert_eq!((&found[0].headers, &found[1].headers), (&headers, &HeaderMap::new()));
    assert_eq!((&found[0].body[..], &found[1].body[..]), (&b"the body"[..], &b""[..]));
    let labels = |row: usize| found[row].labels.iter().map(|label| &label[..]).collect::<Vec<_>>();
    assert_eq!((labels(0), labels(1)), (vec!["l", "m"], vec![]));
    assert!(found[0].age >= Duration::from_secs(7) && found[1].age < Duration::from_secs(7));
}

#[test]
fn a_backup_is_read_with_every_value() {
    let voters = [[10, 0, 0, 1].into(), [10, 0, 0, 2].into()];
    let record = state().record;
    let backup = Backup::of(&voters, 513, &record);
    if is_updating_fixtures() {
        std::fs::create_dir_all(fixture("")).expect("a folder");
        let text = serde_json::to_string_pretty(&backup).expect("JSON");
        return std::fs::write(fixture(BACKUP_FILE), text).expect("a fixture");
    }
    let text = std::fs::read_to_string(fixture(BACKUP_FILE)).expect("the fixture is there");
    let read = Backup::read(text.as_bytes()).expect("a backup");
    assert_eq!(read, backup);
    assert_eq!(serde_json::to_string_pretty(&read).expect("JSON"), text, "written in the same form");
    let restored = read.state(voters.to_vec(), 0).expect("a state");
    assert_eq!((restored.promised, restored.accepted, restored.record), (513, 513, record));
}
