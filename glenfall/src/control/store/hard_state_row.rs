//! The database row of the hard state, with a CRC-32. It contains everything except the full chunks of idempotency
//! keys, which have rows of their own.

use std::sync::Arc;

use glenfall_control_plane::chain::{HardState, JointConfig, Record};
use glenfall_control_plane::deduplication::DeduplicationTable;
use rusqlite::{Connection, OptionalExtension};
use serde::{Deserialize, Serialize};

use super::error::StoreError;
use super::idempotency_keys::{self, StoredTable};
use super::layout::Layout;
use super::legacy::{FixedVotersState, WeakKeysState};

/// An empty row that is written when the table is created. If it is missing, other rows may have been lost as well.
const SENTINEL_ID: i64 = 0;
const STATE_ID: i64 = 1;

/// A row of the table `chain`.
struct ChecksummedRow {
    state: Vec<u8>,
    crc: i64,
}

impl ChecksummedRow {
    fn new(state: Vec<u8>) -> Self {
        let crc = i64::from(crc32fast::hash(&state));
        ChecksummedRow { state, crc }
    }

    fn is_intact(&self) -> bool {
        self.crc == i64::from(crc32fast::hash(&self.state))
    }

    fn read(db: &Connection, id: i64) -> Result<Option<ChecksummedRow>, rusqlite::Error> {
        let decode = |row: &rusqlite::Row| Ok(ChecksummedRow { state: row.get(0)?, crc: row.get(1)? });
        db.query_row("SELECT state, crc FROM chain WHERE id = ?1", [id], decode).optional()
    }
}

/// The encoding of the state in its row, in the current layout.
#[derive(Serialize, Deserialize)]
struct StoredState {
    members: JointConfig,
    votes: bool,
    promised: u64,
    accepted: u64,
    seq: u64,
    rev: u64,
    document: Vec<u8>,
    applied_orders: StoredTable,
}

impl StoredState {
    fn new(state: &HardState, applied_orders: StoredTable) -> StoredState {
        StoredState {
            members: state.members.clone(),
            votes: state.votes,
            promised: state.promised,
            accepted: state.accepted,
            seq: state.record.seq,
            rev: state.record.rev,
            document: state.record.document.clone(),
            applied_orders,
        }
    }

    fn into_hard_state(self, applied_orders: DeduplicationTable) -> HardState {
        let record = Record { seq: self.seq, rev: self.rev, document: self.document, applied_orders };
        HardState {
            members: self.members,
            votes: self.votes,
            promised: self.promised,
            accepted: self.accepted,
            record: Arc::new(record),
        }
    }
}

/// Creates the table with its sentinel row. Must be called in a transaction.
pub(super) fn create_table(db: &Connection) -> Result<(), rusqlite::Error> {
    db.execute_batch(
        "CREATE TABLE chain (id INTEGER PRIMARY KEY, state BLOB NOT NULL, crc INTEGER NOT NULL)",
    )?;
    db.execute("INSERT INTO chain (id, state, crc) VALUES (?1, x'', 0)", [SENTINEL_ID])?;
    Ok(())
}

/// Writes the row of a state whose idempotency keys have been written. Must be called in the same transaction.
pub(super) fn write(db: &Connection, state: &HardState, keys: StoredTable) -> Result<(), StoreError> {
    let row = ChecksummedRow::new(postcard::to_stdvec(&StoredState::new(state, keys))?);
    db.execute(
        "INSERT OR REPLACE INTO chain (id, state, crc) VALUES (?1, ?2, ?3)",
        (STATE_ID, row.state, row.crc),
    )?;
    Ok(())
}

/// Reads the state, which is stored in `layout`. `None` if none was written yet.
pub(super) fn read(db: &Connection, layout: Layout) -> Result<Option<HardState>, StoreError> {
    if ChecksummedRow::read(db, SENTINEL_ID)?.is_none() {
        return Err(StoreError::damaged("the sentinel row of the table `chain` is missing"));
    }
    let Some(row) = ChecksummedRow::read(db, STATE_ID)? else { return Ok(None) };
    if !row.is_intact() {
        return Err(StoreError::damaged("checksum of the state row does not match"));
    }
    let state = match layout {
        Layout::FixedVoters => postcard::from_bytes::<FixedVotersState>(&row.state)?.into(),
        Layout::WeakKeys => postcard::from_bytes::<WeakKeysState>(&row.state)?.into(),
        Layout::Current => {
            let stored: StoredState = postcard::from_bytes(&row.state)?;
            let applied_orders = idempotency_keys::read(db, &stored.applied_orders)?;
            stored.into_hard_state(applied_orders)
        }
    };
    Ok(Some(state))
}
