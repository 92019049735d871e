//! The chain's state on disk.

use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::Arc;

use glenfall::control::store::writer::HardStateWriter;
use glenfall::control::store::{database_path, verify, RecoveredState, Store};
use glenfall_control_plane::chain::{HardState, JointConfig, Record};
use glenfall_control_plane::deduplication::{
    AppliedOrder, DeduplicationTable, IdempotencyKey, MAX_APPLIED_ORDERS, ORDERS_PER_CHUNK,
};
use rusqlite::Connection;
use serde::Serialize;

use crate::support::{copy_files, Folder};

/// The `user_version` of the layout that is written now.
const CURRENT_LAYOUT: i64 = 3;
/// The layout in which orders were recognized by hashes of 64 bits.
const WEAK_KEYS_LAYOUT: i64 = 2;
/// The first layout, with the same hashes, in which the voters could not be changed.
const FIXED_VOTERS_LAYOUT: i64 = 1;

fn order(rev: u64) -> AppliedOrder {
    AppliedOrder { rev, key: IdempotencyKey([rev as u8; 32]) }
}

fn state(promised: u64, size: usize) -> HardState {
    let document = (0..size).map(|n| (n * 7 % 251) as u8).collect();
    // One full chunk, and three more orders.
    let orders: Vec<AppliedOrder> = (1..=ORDERS_PER_CHUNK as u64 + 3).map(order).collect();
    let table = DeduplicationTable::from_orders(0, &orders).unwrap();
    let record = Record { seq: 67, rev: 67, document, applied_orders: table };
    let members = JointConfig::of(vec![[10, 0, 0, 1].into()]);
    HardState { members, votes: true, promised, accepted: 16, record: Arc::new(record) }
}

/// Writes a state in an earlier layout.
fn write_legacy_state<T: Serialize>(folder: &Path, layout: i64, state: &T) {
    drop(Store::open(folder).unwrap());
    let db = Connection::open(database_path(folder)).unwrap();
    db.execute_batch("DROP TABLE taken").unwrap();
    let bytes = postcard::to_stdvec(state).unwrap();
    let crc = i64::from(crc32fast::hash(&bytes));
    db.execute("INSERT INTO chain (id, state, crc) VALUES (1, ?1, ?2)", (bytes, crc)).unwrap();
    db.pragma_update(None, "user_version", layout).unwrap();
}

#[test]
fn each_earlier_layout_is_migrated_once_and_its_weak_keys_neither_confirm_nor_reject_an_order() {
    let saved = state(64, 100);
    let HardState { members, votes, promised, accepted, record } = saved.clone();
    let table = DeduplicationTable::with_horizon(67);
    let expected =
        HardState { record: Arc::new(Record { applied_orders: table, ..(*record).clone() }), ..saved };
    let weak_keys = [(7u64, 1u64), (9, 2)].as_slice();
    let record = (record.seq, record.rev, &record.document, weak_keys);
    for layout in [FIXED_VOTERS_LAYOUT, WEAK_KEYS_LAYOUT] {
        let folder = Folder::new("store-legacy");
        if layout == FIXED_VOTERS_LAYOUT {
            write_legacy_state(&folder, layout, &(&members.voters, promised, accepted, record));
        } else {
            write_legacy_state(&folder, layout, &(&members, votes, promised, accepted, record));
        }
        for _ in 0..2 {
            assert_eq!(
                Store::open(&folder).unwrap().1,
                RecoveredState::Intact(expected.clone()),
                "layout {layout}"
            );
            let db = Connection::open(database_path(&folder)).unwrap();
            let migrated: i64 = db.query_row("PRAGMA user_version", [], |row| row.get(0)).unwrap();
            assert_eq!(migrated, CURRENT_LAYOUT, "layout {layout}");
        }
    }
}

/// Copies the folder as soon as each state is reported as synced, while the writer thread may still run: this is what a
/// crash at that moment would leave behind.
#[test]
fn a_state_is_reported_as_synced_only_once_it_is_in_the_file() {
    let (folder, snapshot) = (Folder::new("store-synced"), Folder::new("store-synced-snapshot"));
    let (store, _) = Store::open(&folder).unwrap();
    let (synced_sender, mut synced) = tokio::sync::mpsc::unbounded_channel();
    let writer = HardStateWriter::start(store, synced_sender).unwrap();
    for number in 1..=20 {
        writer.submit(number, state(number * 16, 9000));
        assert_eq!(synced.blocking_recv(), Some(number));
        copy_files(&folder, &snapshot);
        assert_eq!(Store::open(&snapshot).unwrap().1, RecoveredState::Intact(state(number * 16, 9000)));
    }
}

#[test]
fn the_last_written_state_is_read_back() {
    let folder = Folder::new("store-back");
    let (store, found) = Store::open(&folder).unwrap();
    assert_eq!(found, RecoveredState::Missing);
    let (synced_sender, mut synced) = tokio::sync::mpsc::unbounded_channel();
    let writer = HardStateWriter::start(store, synced_sender).unwrap();
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
fn state_with(orders: RangeInclusive<u64>) -> HardState {
    let (rev, horizon) = (*orders.end(), orders.start() - 1);
    let orders: Vec<AppliedOrder> = orders.map(order).collect();
    let table = DeduplicationTable::from_orders(horizon, &orders).unwrap();
    let record = Record { seq: rev, rev, document: b"{}".to_vec(), applied_orders: table };
    HardState { record: Arc::new(record), ..state(16, 0) }
}

#[test]
fn applied_orders_are_written_once_and_evicted_ones_are_deleted() {
    let folder = Folder::new("store-orders");
    let (store, _) = Store::open(&folder).unwrap();
    let (max_orders, chunk) = (MAX_APPLIED_ORDERS as u64, ORDERS_PER_CHUNK as u64);
    // Orders in the table, and the number of rows that are written or deleted, including that of the state. The table
    // grows, fills up, evicts its oldest chunk, and is replaced as after a restore.
    let cases = [
        (1..=chunk - 1, 1),
        (1..=chunk, 2),
        (1..=chunk + 1, 1),
        (1..=max_orders, max_orders / chunk),
        (chunk + 1..=max_orders + 1, 2),
        (chunk + 1..=max_orders + 2, 1),
        (7..=9, max_orders / chunk),
        (1..=chunk, 2),
    ];
    for (orders, rows) in cases {
        let (saved, before) = (state_with(orders.clone()), store.rows_changed());
        store.save(&saved).unwrap();
        assert_eq!(store.rows_changed() - before, rows, "{orders:?}");
        assert_eq!(store.read().unwrap(), Some(saved), "{orders:?}");
    }
    drop(store);
    // After a restart, orders that have a row are not written again.
    let (store, found) = Store::open(&folder).unwrap();
    assert_eq!(found, RecoveredState::Intact(state_with(1..=chunk)));
    let before = store.rows_changed();
    store.save(&state_with(1..=chunk + 1)).unwrap();
    assert_eq!(store.rows_changed() - before, 1);
    drop(store);
    let saved = state_with(1..=chunk + 1);
    for damage in
        ["DELETE FROM taken", "UPDATE taken SET orders = x'00'", "INSERT INTO taken VALUES (-1, x'')"]
    {
        let damaged = Folder::new("store-orders-damaged");
        std::fs::create_dir_all(&*damaged).unwrap();
        std::fs::copy(database_path(&folder), database_path(&damaged)).unwrap();
        Connection::open(database_path(&damaged)).unwrap().execute(damage, []).unwrap();
        let bytes = std::fs::read(database_path(&damaged)).unwrap();
        assert!(open_damaged(&damaged, &bytes, &saved, damage), "{damage}");
    }
}

/// Opens a folder whose file holds these bytes, and returns whether the file was recognized as damaged. Any other
/// file has to hold the saved state, or to be empty. Damage has to be known after a restart as well, and the file can
/// then be written again.
fn open_damaged(folder: &Path, bytes: &[u8], saved: &HardState, case: &str) -> bool {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).unwrap();
    std::fs::write(database_path(folder), bytes).unwrap();
    let (store, found) = Store::open(folder).unwrap_or_else(|e| panic!("{case}: {e}"));
    match found {
        RecoveredState::Intact(state) => {
            assert_eq!(&state, saved, "{case}: read as intact, with another state");
            false
        }
        RecoveredState::Missing => {
            assert!(bytes.is_empty(), "{case}: a damaged file was read as a missing one");
            false
        }
        RecoveredState::Damaged(reason) => {
            assert!(!reason.contains('\n'), "{case}: {reason}");
            drop(store);
            let (store, found) = Store::open(folder).unwrap();
            assert!(
                matches!(found, RecoveredState::Damaged(_)),
                "{case}: the damage is not known after a restart"
            );
            store.save(saved).unwrap();
            drop(store);
            assert_eq!(Store::open(folder).unwrap().1, RecoveredState::Intact(saved.clone()), "{case}");
            true
        }
    }
}

#[test]
fn truncated_torn_and_bit_flipped_files_are_detected_and_set_aside() {
    let folder = Folder::new("store-damaged");
    let saved = state(64, 9000);
    {
        let (store, _) = Store::open(&folder).unwrap();
        store.save(&state(16, 5000)).unwrap();
        store.save(&saved).unwrap();
    }
    let bytes = std::fs::read(database_path(&folder)).unwrap();
    const PAGE_BYTES: usize = 4096;
    let pages = bytes.len() / PAGE_BYTES;
    assert!(pages >= 4 && bytes.len().is_multiple_of(PAGE_BYTES), "{} bytes", bytes.len());
    let (mut detected, mut total) = (0, 0);
    let mut damage = |bytes: &[u8], case: &str| {
        total += 1;
        detected += u32::from(open_damaged(&folder, bytes, &saved, case));
    };
    for page in 0..pages {
        let page_start = page * PAGE_BYTES;
        for length in [page_start.saturating_sub(1), page_start, page_start + 1, page_start + PAGE_BYTES / 2]
        {
            damage(&bytes[..length], &format!("truncated to {length} bytes"));
        }
        // A page that was never written, and one that was half written.
        for (from, kind) in [(0, "missing"), (PAGE_BYTES / 2, "torn")] {
            let mut torn = bytes.clone();
            torn[page_start + from..page_start + PAGE_BYTES].fill(0);
            damage(&torn, &format!("page {page} {kind}"));
        }
        let offsets = (0..16).chain((16..PAGE_BYTES).step_by(401)).chain([PAGE_BYTES - 1]);
        for offset in offsets {
            for bit in [0, 3, 7] {
                let mut flipped = bytes.clone();
                flipped[page_start + offset] ^= 1 << bit;
                damage(&flipped, &format!("page {page}, byte {offset}, bit {bit} flipped"));
            }
        }
    }
    assert!(detected * 2 > total, "{detected} of {total} detected; the others are in unused bytes");
}
