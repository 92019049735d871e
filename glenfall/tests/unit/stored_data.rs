//! State on disk and in backups, as version 0.3.0 wrote it: each later version reads it and finds every value.
//!
//! The fixtures were made by that version with
//! `UPDATE_FIXTURES=1 cargo test -p glenfall --test unit stored_data`. They are not made again: a later format gets a
//! folder of its own, and this one stays readable.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use glenfall::cache::disk::{DiskCache, FILE_NAME as COPIES};
use glenfall::control::backup::Backup;
use glenfall::control::purge_log::{PurgeLog, MAX_CLOCK_ERROR_MS};
use glenfall::control::store::{self, RecoveredState, Store};
use glenfall_control_plane::chain::{HardState, JointConfig, Record};
use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable, IdempotencyKey, CHUNK_ORDERS};
use glenfall_control_plane::messages::{Purge, PurgeRecord};
use hyper::header::{HeaderMap, HeaderValue};
use rusqlite::Connection;

use crate::support::{copy_files, object, Folder};

const STATE: &str = "state.sqlite";
const PURGES: &str = "purges.sqlite";
const BACKUP: &str = "backup.json";
const DOCUMENT: &[u8] =
    br#"{"rev": 90, "paths": [], "backends": [{"name": "s"}], "unknown": {"kept": true}}"#;
/// One full chunk of orders, and some that do not fill another.
const ORDERS: u64 = CHUNK_ORDERS as u64 + 6;
const FIRST_ORDER: u64 = 20;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/v0.3.0").join(name)
}

fn is_update() -> bool {
    std::env::var_os("UPDATE_FIXTURES").is_some()
}

/// A folder with one file of the fixtures.
fn folder_with(name: &str) -> Folder {
    let folder = Folder::new(&format!("stored-{name}"));
    std::fs::create_dir_all(&*folder).expect("a folder");
    std::fs::copy(fixture(name), folder.join(name)).expect("the fixture is there");
    folder
}

/// Keeps the file that was made in a folder once nothing else is left of the database beside it.
fn keep_fixture(folder: &Path, name: &str) {
    let log = folder.join(format!("{name}-wal"));
    while log.exists() {
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
    let orders: Vec<AppliedOrder> = (FIRST_ORDER..FIRST_ORDER + ORDERS).map(order).collect();
    let taken = DeduplicationTable::from_orders(FIRST_ORDER - 1, &orders).expect("a table");
    let record = Arc::new(Record { seq: 71, rev: 90, document: DOCUMENT.to_vec(), applied_orders: taken });
    HardState { members, votes: true, promised: 1025, accepted: 513, record }
}

#[test]
fn the_state_of_control_is_read_with_every_value() {
    if is_update() {
        let folder = Folder::new("stored-state-made");
        store::create(&folder, &state()).expect("a store");
        return keep_fixture(&folder, STATE);
    }
    let folder = folder_with(STATE);
    assert_eq!(store::verify(&folder).expect("whole"), Some(state()));
    let (store, found) = Store::open(&folder).expect("opened");
    assert_eq!(found, RecoveredState::Intact(state()));
    // What this version writes beside it is found as well.
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
    if is_update() {
        let folder = Folder::new("stored-purges-made");
        let (log, _found) = PurgeLog::open(&folder).expect("a log");
        log.write(purges().to_vec()).blocking_recv().expect("written");
        drop(log);
        return keep_fixture(&folder, PURGES);
    }
    let folder = folder_with(PURGES);
    // As if it had been written just now: older purges are not remembered.
    let db = Connection::open(folder.join(PURGES)).expect("a database");
    db.execute("UPDATE purges SET at = ?1", [now_ms() - 2 * MAX_CLOCK_ERROR_MS]).expect("updated");
    drop(db);
    let (_log, found) = PurgeLog::open(&folder).expect("opened");
    assert!(found.iter().all(|purge| purge.age_ms >= MAX_CLOCK_ERROR_MS as u64), "{found:?}");
    let found: Vec<PurgeRecord> =
        found.into_iter().map(|purge| PurgeRecord { age_ms: 500, ..purge }).collect();
    assert_eq!(found, purges());
}

#[test]
fn the_copies_of_a_shield_are_read_with_every_value() {
    let mut headers = HeaderMap::new();
    headers.insert("etag", HeaderValue::from_static("\"e\""));
    headers.append("x-twice", HeaderValue::from_static("one"));
    headers.append("x-twice", HeaderValue::from_bytes(b"t\xffo").expect("a value"));
    if is_update() {
        let folder = Folder::new("stored-copies-made");
        let (copies, mut writer, _found) = DiskCache::prepare(&folder, 64);
        let body = Bytes::from_static(b"the body");
        copies.put(&object("/a"), &headers, &["l".into(), "m".into()], &body, Duration::from_secs(7));
        copies.put(&object("/b"), &HeaderMap::new(), &[], &Bytes::new(), Duration::ZERO);
        drop(copies);
        writer.run();
        drop(writer);
        return keep_fixture(&folder, COPIES);
    }
    let folder = folder_with(COPIES);
    let db = Connection::open(folder.join(COPIES)).expect("a database");
    db.execute("UPDATE written SET at = ?1", [now_ms()]).expect("updated");
    drop(db);
    let opened = Folder::new("stored-copies-opened");
    copy_files(&folder, &opened);
    let (_copies, found) = DiskCache::open(&opened, 64).expect("opened");
    let mut found = found.blocking_recv().expect("what is there");
    found.sort_by(|a, b| a.key.path.cmp(&b.key.path));
    assert_eq!(found.iter().map(|row| row.key.clone()).collect::<Vec<_>>(), [object("/a"), object("/b")]);
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
    if is_update() {
        std::fs::create_dir_all(fixture("")).expect("a folder");
        let text = serde_json::to_string_pretty(&backup).expect("JSON");
        return std::fs::write(fixture(BACKUP), text).expect("a fixture");
    }
    let text = std::fs::read_to_string(fixture(BACKUP)).expect("the fixture is there");
    let read = Backup::read(text.as_bytes()).expect("a backup");
    assert_eq!(read, backup);
    assert_eq!(serde_json::to_string_pretty(&read).expect("JSON"), text, "written as it was");
    let restored = read.state(voters.to_vec(), 0).expect("a state");
    assert_eq!((restored.promised, restored.accepted, restored.record), (513, 513, record));
}
