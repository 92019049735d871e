//! Taken orders on disk. A chunk of the table that is full changes no more: it has a row of its own, written once, in the
//! same transaction as the state that names it with its CRC-32. What is still open is written with the state. So a
//! change writes its own order and not the thousands before it.

use std::sync::Arc;

use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable};
use rusqlite::Connection;
use serde::{Deserialize, Serialize};

use super::store::StoreError;

/// The row of a chunk is found by the version that its first order made.
pub const TABLE: &str = "CREATE TABLE taken (first INTEGER PRIMARY KEY, orders BLOB NOT NULL)";

type Chunk = Arc<[AppliedOrder]>;

/// The table as the state's row has it.
#[derive(Serialize, Deserialize)]
pub struct Named {
    forgotten_up_to: u64,
    /// Key and checksum of each chunk that has a row.
    full: Vec<(i64, u32)>,
    open: Vec<AppliedOrder>,
}

fn key(chunk: &Chunk) -> i64 {
    // Versions beyond 2^63 wrap, and stay different from each other.
    chunk.first().map_or(0, |order| order.rev.cast_signed())
}

fn row(chunk: &Chunk) -> Result<Vec<u8>, StoreError> {
    Ok(postcard::to_stdvec(&chunk[..])?)
}

/// Writes the chunks that have no row yet, and lets go of rows that the table holds no more; `written` are those that
/// have one. For a transaction of the caller's.
pub fn write(db: &Connection, written: &[Chunk], table: &DeduplicationTable) -> Result<Named, StoreError> {
    let (full, open) = table.chunks();
    let has = |chunks: &[Chunk], chunk: &Chunk| chunks.iter().any(|c| Arc::ptr_eq(c, chunk) || c == chunk);
    for gone in written.iter().filter(|chunk| !has(full, chunk)) {
        db.execute("DELETE FROM taken WHERE first = ?1", [key(gone)])?;
    }
    for new in full.iter().filter(|chunk| !has(written, chunk)) {
        db.execute("INSERT INTO taken (first, orders) VALUES (?1, ?2)", (key(new), row(new)?))?;
    }
    let named = |chunk: &Chunk| Ok((key(chunk), crc32fast::hash(&row(chunk)?)));
    Ok(Named {
        forgotten_up_to: table.forgotten_up_to(),
        full: full.iter().map(named).collect::<Result<_, StoreError>>()?,
        open: open.to_vec(),
    })
}

/// Reads the table that a state names: all of its rows, whole, and no others.
pub fn read(db: &Connection, named: &Named) -> Result<DeduplicationTable, StoreError> {
    let damaged = |what: &str| StoreError::Damaged(format!("taken orders: {what}"));
    let rows: i64 = db.query_row("SELECT count(*) FROM taken", [], |row| row.get(0))?;
    if usize::try_from(rows) != Ok(named.full.len()) {
        return Err(damaged("a row is missing, or one too many"));
    }
    let mut orders = Vec::new();
    for (first, crc) in &named.full {
        let row: Vec<u8> =
            db.query_row("SELECT orders FROM taken WHERE first = ?1", [first], |row| row.get(0))?;
        if crc32fast::hash(&row) != *crc {
            return Err(damaged("checksum does not match"));
        }
        orders.extend(postcard::from_bytes::<Vec<AppliedOrder>>(&row)?);
    }
    orders.extend(&named.open);
    DeduplicationTable::listed(named.forgotten_up_to, &orders).map_err(|e| damaged(&e.to_string()))
}
