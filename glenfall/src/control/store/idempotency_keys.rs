//! The applied orders on disk, with the idempotency keys by which a repeated order is recognized. An order is an
//! operator's change of the configuration together with the version that it builds on.
//!
//! A full chunk of the deduplication table never changes. It has a row of its own, which is written once, in the same
//! transaction as the first state that refers to it by its key and CRC-32. The open chunk is written with the state.

use std::sync::Arc;

use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable};
use rusqlite::Connection;
use serde::{Deserialize, Serialize};

use super::error::StoreError;

/// Creates the table of chunks. The key of a row is the configuration version that the first order of its chunk
/// produced.
pub(super) const CREATE_TABLE: &str = "CREATE TABLE taken (first INTEGER PRIMARY KEY, orders BLOB NOT NULL)";

/// A full chunk of the deduplication table.
pub(super) type Chunk = Arc<[AppliedOrder]>;

/// The encoding of the deduplication table in the row of the state.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredTable {
    forgotten_up_to: u64,
    full_chunks: Vec<StoredChunk>,
    open_chunk: Vec<AppliedOrder>,
}

/// A reference to a row of the table `taken`.
#[derive(Serialize, Deserialize)]
struct StoredChunk {
    row_key: i64,
    crc: u32,
}

impl StoredChunk {
    fn of(chunk: &Chunk) -> Result<StoredChunk, StoreError> {
        Ok(StoredChunk { row_key: row_key(chunk), crc: crc32fast::hash(&encode(chunk)?) })
    }
}

fn row_key(chunk: &Chunk) -> i64 {
    // Versions of 2^63 and above wrap to negative keys, and stay distinct.
    chunk.first().map_or(0, |order| order.rev.cast_signed())
}

fn encode(chunk: &Chunk) -> Result<Vec<u8>, StoreError> {
    Ok(postcard::to_stdvec(&chunk[..])?)
}

fn contains(chunks: &[Chunk], chunk: &Chunk) -> bool {
    chunks.iter().any(|other| Arc::ptr_eq(other, chunk) || other == chunk)
}

/// Writes the chunks that have no row yet, and deletes the rows of chunks that the table no longer holds. `written` are
/// the chunks that have a row. Must be called in a transaction.
pub(super) fn write(
    db: &Connection,
    written: &[Chunk],
    table: &DeduplicationTable,
) -> Result<StoredTable, StoreError> {
    let (full, open) = (table.full_chunks(), table.open_chunk());
    for evicted in written.iter().filter(|chunk| !contains(full, chunk)) {
        db.execute("DELETE FROM taken WHERE first = ?1", [row_key(evicted)])?;
    }
    for chunk in full.iter().filter(|chunk| !contains(written, chunk)) {
        db.execute("INSERT INTO taken (first, orders) VALUES (?1, ?2)", (row_key(chunk), encode(chunk)?))?;
    }
    Ok(StoredTable {
        forgotten_up_to: table.horizon(),
        full_chunks: full.iter().map(StoredChunk::of).collect::<Result<_, _>>()?,
        open_chunk: open.to_vec(),
    })
}

/// Reads the deduplication table of a state. Fails if a row that the state refers to is missing or damaged, or if there
/// is any other row.
pub(super) fn read(db: &Connection, stored: &StoredTable) -> Result<DeduplicationTable, StoreError> {
    let rows: i64 = db.query_row("SELECT count(*) FROM taken", [], |row| row.get(0))?;
    if usize::try_from(rows) != Ok(stored.full_chunks.len()) {
        return Err(damaged("the number of rows differs from the number of chunks that the state refers to"));
    }
    let mut orders = Vec::new();
    for chunk in &stored.full_chunks {
        orders.extend(read_chunk(db, chunk)?);
    }
    orders.extend(&stored.open_chunk);
    DeduplicationTable::from_orders(stored.forgotten_up_to, &orders).map_err(damaged)
}

fn read_chunk(db: &Connection, chunk: &StoredChunk) -> Result<Vec<AppliedOrder>, StoreError> {
    let query = "SELECT orders FROM taken WHERE first = ?1";
    let bytes: Vec<u8> = db.query_row(query, [chunk.row_key], |row| row.get(0))?;
    if crc32fast::hash(&bytes) != chunk.crc {
        return Err(damaged("checksum of a chunk does not match"));
    }
    Ok(postcard::from_bytes(&bytes)?)
}

fn damaged(description: impl std::fmt::Display) -> StoreError {
    StoreError::damaged(format!("applied orders: {description}"))
}
