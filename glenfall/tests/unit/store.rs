//! The chain's state on disk.

use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::Arc;

use glenfall::control::store::writer::HardStateWriter;
use glenfall::control::store::{database_path, verify, RecoveredState, Store};
use glenfall_control_plane::chain::{HardState, JointConfig, Record};
use glenfall_control_plane::deduplication::{
    AppliedOrder, DeduplicationTable, IdempotencyKey, CHUNK_ORDERS, MAX_APPLIED_ORDERS,
};
use rusqlite::Connection;
use serde::Serialize;

use crate::support::{copy_files, Folder};

/// The layouts of the file: of this version, and of the versions before.
const LAYOUT: i64 = 3;
const PRINTS: i64 = 2;
const FIXED: i64 = 1;

fn order(rev: u64) -> AppliedOrder {
    AppliedOrder { rev, key: IdempotencyKey([rev as u8; 32]) }
}

fn state(promised: u64, size: usize) -> HardState {
    let document = (0..size).map(|n| (n * 7 % 251) as u8).collect();
    // One chunk that is full, and three orders more.
    let orders: Vec<AppliedOrder> = (1..=CHUNK_ORDERS as u64 + 3).map(order).collect();
    let taken = DeduplicationTable::from_orders(0, &orders).unwrap();
    let record = Record { seq: 67, rev: 67, document, applied_orders: taken };
    let members = JointConfig::of(vec![[10, 0, 0, 1].into()]);
    HardState { members, votes: true, promised, accepted: 16, record: Arc::new(record) }
}

/// A state as the layouts before had it.
fn written_before<T: Serialize>(folder: &Path, layout: i64, state: &T) {
    drop(Store::open(folder).unwrap());
    let db = Connection::open(database_path(folder)).unwrap();
    db.execute_batch("DROP TABLE taken").unwrap();
    let bytes = postcard::to_stdvec(state).unwrap();
    let crc = i64::from(crc32fast::hash(&bytes));
    db.execute("INSERT INTO chain (id, state, crc) VALUES (1, ?1, ?2)", (bytes, crc)).unwrap();
    db.pragma_update(None, "user_version", layout).unwrap();
}

#[test]
fn each_layout_before_is_taken_over_once_and_its_prints_confirm_and_refuse_nothing() {
    let whole = state(64, 100);
    let HardState { members, votes, promised, accepted, record } = whole.clone();
    let taken = DeduplicationTable::with_horizon(67);
    let expected =
        HardState { record: Arc::new(Record { applied_orders: taken, ..(*record).clone() }), ..whole };
    let prints = [(7u64, 1u64), (9, 2)].as_slice();
    let record = (record.seq, record.rev, &record.document, prints);
    for before in [FIXED, PRINTS] {
        let folder = Folder::new("store-before");
        if before == FIXED {
            written_before(&folder, before, &(&members.voters, promised, accepted, record));
        } else {
            written_before(&folder, before, &(&members, votes, promised, accepted, record));
        }
        for _ in 0..2 {
            assert_eq!(Store::open(&folder).unwrap().1, RecoveredState::Intact(expected.clone()), "{before}");
            let db = Connection::open(database_path(&folder)).unwrap();
            let now: i64 = db.query_row("PRAGMA user_version", [], |row| row.get(0)).unwrap();
            assert_eq!(now, LAYOUT, "{before}");
        }
    }
}

/// What lies in the folder at the moment when a state is said to be synced, its thread stopped there or going on.
#[test]
fn a_state_is_said_to_be_synced_only_once_it_is_in_the_file() {
    let (folder, then) = (Folder::new("store-told"), Folder::new("store-told-then"));
    let (store, _) = Store::open(&folder).unwrap();
    let (tell, mut synced) = tokio::sync::mpsc::unbounded_channel();
    let writer = HardStateWriter::start(store, tell).unwrap();
    for number in 1..=20 {
        writer.submit(number, state(number * 16, 9000));
        assert_eq!(synced.blocking_recv(), Some(number));
        copy_files(&folder, &then);
        assert_eq!(Store::open(&then).unwrap().1, RecoveredState::Intact(state(number * 16, 9000)));
    }
}

#[test]
fn what_was_written_last_is_read_back() {
    let folder = Folder::new("store-back");
    let (store, found) = Store::open(&folder).unwrap();
    assert_eq!(found, RecoveredState::Missing);
    let (tell, mut synced) = tokio::sync::mpsc::unbounded_channel();
    let writer = HardStateWriter::start(store, tell).unwrap();
    for number in 1..=5 {
        writer.submit(number, state(number * 16, 2));
    }
    while synced.blocking_recv() != Some(5) {}
    assert!(verify(&folder).is_err(), "in use");
    drop(writer);
    assert_eq!(synced.blocking_recv(), None);
    assert_eq!(verify(&folder).unwrap(), Some(state(80, 2)));
    assert_eq!(Store::open(&folder).unwrap().1, RecoveredState::Intact(state(80, 2)));
}

/// A state with these orders in its table.
fn with(orders: RangeInclusive<u64>) -> HardState {
    let (rev, forgotten) = (*orders.end(), orders.start() - 1);
    let orders: Vec<AppliedOrder> = orders.map(order).collect();
    let taken = DeduplicationTable::from_orders(forgotten, &orders).unwrap();
    let record = Record { seq: rev, rev, document: b"{}".to_vec(), applied_orders: taken };
    HardState { record: Arc::new(record), ..state(16, 0) }
}

#[test]
fn taken_orders_are_written_once_and_those_that_leave_the_table_leave_the_file() {
    let folder = Folder::new("store-taken");
    let (store, _) = Store::open(&folder).unwrap();
    let (most, chunk) = (MAX_APPLIED_ORDERS as u64, CHUNK_ORDERS as u64);
    // The table grows, is full, lets go of its oldest chunk, and begins anew as a restored one does. Rows that are
    // written or deleted, that of the state included.
    let cases = [
        (1..=chunk - 1, 1),
        (1..=chunk, 2),
        (1..=chunk + 1, 1),
        (1..=most, most / chunk),
        (chunk + 1..=most + 1, 2),
        (chunk + 1..=most + 2, 1),
        (7..=9, most / chunk),
        (1..=chunk, 2),
    ];
    for (orders, rows) in cases {
        let (whole, before) = (with(orders.clone()), store.rows_changed());
        store.save(&whole).unwrap();
        assert_eq!(store.rows_changed() - before, rows, "{orders:?}");
        assert_eq!(store.read().unwrap(), Some(whole), "{orders:?}");
    }
    drop(store);
    // What has a row is known after a start as well.
    let (store, found) = Store::open(&folder).unwrap();
    assert_eq!(found, RecoveredState::Intact(with(1..=chunk)));
    let before = store.rows_changed();
    store.save(&with(1..=chunk + 1)).unwrap();
    assert_eq!(store.rows_changed() - before, 1);
    drop(store);
    let whole = with(1..=chunk + 1);
    for spoil in
        ["DELETE FROM taken", "UPDATE taken SET orders = x'00'", "INSERT INTO taken VALUES (-1, x'')"]
    {
        let spoilt = Folder::new("store-taken-spoilt");
        std::fs::create_dir_all(&*spoilt).unwrap();
        std::fs::copy(database_path(&folder), database_path(&spoilt)).unwrap();
        Connection::open(database_path(&spoilt)).unwrap().execute(spoil, []).unwrap();
        let bytes = std::fs::read(database_path(&spoilt)).unwrap();
        assert!(open_spoilt(&spoilt, &bytes, &whole, spoil), "{spoil}");
    }
}

/// Opens a folder whose file holds these bytes. What is found is the state or that it is damaged; then the
/// file can be written again, and a start after that knows that something was lost.
fn open_spoilt(folder: &Path, bytes: &[u8], whole: &HardState, case: &str) -> bool {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).unwrap();
    std::fs::write(database_path(folder), bytes).unwrap();
    let (store, found) = Store::open(folder).unwrap_or_else(|e| panic!("{case}: {e}"));
    match found {
        RecoveredState::Intact(state) => {
            assert_eq!(&state, whole, "{case}: read as if it were whole");
            false
        }
        RecoveredState::Missing => {
            assert!(bytes.is_empty(), "{case}: as if nothing had been there");
            false
        }
        RecoveredState::Damaged(why) => {
            assert!(!why.contains('\n'), "{case}: {why}");
            drop(store);
            let (store, found) = Store::open(folder).unwrap();
            assert!(matches!(found, RecoveredState::Damaged(_)), "{case}: forgotten by the next start");
            store.save(whole).unwrap();
            drop(store);
            assert_eq!(Store::open(folder).unwrap().1, RecoveredState::Intact(whole.clone()), "{case}");
            true
        }
    }
}

#[test]
fn cut_torn_and_flipped_files_are_found_out_and_set_aside() {
    let folder = Folder::new("store-spoilt");
    let whole = state(64, 9000);
    {
        let (store, _) = Store::open(&folder).unwrap();
        store.save(&state(16, 5000)).unwrap();
        store.save(&whole).unwrap();
    }
    let bytes = std::fs::read(database_path(&folder)).unwrap();
    const PAGE: usize = 4096;
    let pages = bytes.len() / PAGE;
    assert!(pages >= 4 && bytes.len().is_multiple_of(PAGE), "{} bytes", bytes.len());
    let (mut found, mut all) = (0, 0);
    let mut spoil = |bytes: &[u8], case: &str| {
        all += 1;
        found += u32::from(open_spoilt(&folder, bytes, &whole, case));
    };
    for page in 0..pages {
        let at = page * PAGE;
        for cut in [at.saturating_sub(1), at, at + 1, at + PAGE / 2] {
            spoil(&bytes[..cut], &format!("cut at {cut}"));
        }
        // A page that was never written, and one of which half was.
        for (from, what) in [(0, "missing"), (PAGE / 2, "torn")] {
            let mut torn = bytes.clone();
            torn[at + from..at + PAGE].fill(0);
            spoil(&torn, &format!("page {page} {what}"));
        }
        let places = (0..16).chain((16..PAGE).step_by(401)).chain([PAGE - 1]);
        for offset in places {
            for bit in [0, 3, 7] {
                let mut flipped = bytes.clone();
                flipped[at + offset] ^= 1 << bit;
                spoil(&flipped, &format!("page {page}, byte {offset}, bit {bit} flipped"));
            }
        }
    }
    assert!(found * 2 > all, "{found} of {all} found; the others lie where nothing is read");
}
