//! The SQLite file of stored responses.

use std::path::{Path, PathBuf};
use std::time::Duration;

use rusqlite::{Connection, OptionalExtension, Transaction};

use super::change::{Change, QueuedChange};
use super::clock::Timestamp;
use super::row::{checksum, RowHead, StoredRow};
use crate::disk;

/// The file's name in its folder.
pub const FILE_NAME: &str = "copies.sqlite";
/// Page size of the file and of its write-ahead log, in bytes: a stored response takes few of them.
const PAGE_BYTES: usize = 16 << 10;
/// The write-ahead log is checkpointed when it reaches this many pages, and truncated to that size if it was longer.
const WAL_CHECKPOINT_PAGES: usize = 512;
/// Fraction of the disk that the file may take: enough for the rows of all responses in memory, and for free pages.
const MAX_FRACTION_OF_DISK: f64 = 0.55;
const BYTES_PER_MB: u32 = 1 << 20;

const CREATE_TABLES: &str = "\
    CREATE TABLE IF NOT EXISTS copies (id TEXT PRIMARY KEY, head BLOB NOT NULL, body BLOB NOT NULL, \
    born INTEGER NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID; \
    CREATE TABLE IF NOT EXISTS written \
    (id INTEGER PRIMARY KEY, at INTEGER NOT NULL, steady INTEGER NOT NULL)";
const UPSERT_ROW: &str =
    "INSERT OR REPLACE INTO copies (id, head, body, born, crc) VALUES (?1, ?2, ?3, ?4, ?5)";
const UPDATE_REQUEST_TIME: &str = "UPDATE copies SET born = ?2 WHERE id = ?1";
const DELETE_ROW: &str = "DELETE FROM copies WHERE id = ?1";
const SELECT_ROWS: &str = "SELECT head, body, born, crc FROM copies";
const UPSERT_WRITE_TIME: &str = "INSERT OR REPLACE INTO written (id, at, steady) VALUES (1, ?1, ?2)";
const SELECT_WRITE_TIME: &str = "SELECT at, steady FROM written";

/// The file, and the connection to it while it is open.
pub struct CacheFile {
    path: PathBuf,
    max_pages: usize,
    connection: Option<Connection>,
}

impl CacheFile {
    /// The file in a folder, on a disk of which this system may use `disk_mb` megabytes. It is opened when it is first
    /// used.
    pub fn new(folder: &Path, disk_mb: u64) -> Self {
        let max_bytes = disk_mb as f64 * MAX_FRACTION_OF_DISK * f64::from(BYTES_PER_MB);
        CacheFile {
            path: folder.join(FILE_NAME),
            max_pages: max_bytes as usize / PAGE_BYTES,
            connection: None,
        }
    }

    /// Reads all rows that are intact and recent enough. A file that can't be read is removed.
    pub fn read_all(&mut self) -> Vec<StoredRow> {
        let Some(connection) = self.connection() else { return Vec::new() };
        match read_rows(connection) {
            Ok(rows) => rows,
            Err(error) => {
                tracing::warn!(%error, "disk cache discarded: reading failed");
                self.discard();
                Vec::new()
            }
        }
    }

    /// Writes changes in one transaction. Without a file that can be opened, the changes are dropped.
    pub fn write(&mut self, changes: &[QueuedChange]) -> rusqlite::Result<()> {
        let Some(connection) = self.connection() else { return Ok(()) };
        let transaction = connection.transaction()?;
        for queued in changes {
            apply(&transaction, queued.change())?;
        }
        // The write time is when the last change was queued: a removal that was queued later is not in the file yet,
        // however long this write takes.
        if let Some(last) = changes.last() {
            let Timestamp { wall_ms, monotonic_ms } = last.queued_at();
            transaction.execute(UPSERT_WRITE_TIME, [wall_ms, monotonic_ms])?;
        }
        transaction.commit()
    }

    /// Closes and removes the file; the next use creates a new one.
    pub fn discard(&mut self) {
        self.close();
        disk::remove_database(&self.path);
    }

    /// Closes the file.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// The connection to the file. A file that can't be opened is replaced by a new one; `None` if that can't be opened
    /// either.
    fn connection(&mut self) -> Option<&mut Connection> {
        if self.connection.is_none() {
            self.connection = match self.open() {
                Ok(connection) => Some(connection),
                Err(error) => {
                    tracing::warn!(%error, "disk cache discarded: the file can't be opened");
                    disk::remove_database(&self.path);
                    self.open().ok()
                }
            };
        }
        self.connection.as_mut()
    }

    fn open(&self) -> rusqlite::Result<Connection> {
        if let Some(folder) = self.path.parent() {
            // If this fails, opening the file fails as well, with an error that is reported.
            let _ = std::fs::create_dir_all(folder);
        }
        let connection = disk::open_database(&self.path, PAGE_BYTES)?;
        connection.pragma_update(None, "wal_autocheckpoint", WAL_CHECKPOINT_PAGES)?;
        connection.pragma_update(None, "journal_size_limit", WAL_CHECKPOINT_PAGES * PAGE_BYTES)?;
        connection.pragma_update(None, "max_page_count", self.max_pages)?;
        connection.execute_batch(CREATE_TABLES)?;
        Ok(connection)
    }
}

fn apply(transaction: &Transaction, change: &Change) -> rusqlite::Result<()> {
    match change {
        Change::Put { id, head, body, requested_at_ms } => {
            let mut put = transaction.prepare_cached(UPSERT_ROW)?;
            put.execute((id, head, &body[..], requested_at_ms, checksum(head, body)))?;
        }
        Change::Revalidate { id, requested_at_ms } => {
            transaction.prepare_cached(UPDATE_REQUEST_TIME)?.execute((id, requested_at_ms))?;
        }
        Change::Remove(ids) => {
            let mut remove = transaction.prepare_cached(DELETE_ROW)?;
            for id in ids {
                remove.execute([id])?;
            }
        }
    }
    Ok(())
}

/// A row as it is stored in the file.
struct RawRow {
    head: Vec<u8>,
    body: Vec<u8>,
    requested_at_ms: i64,
    checksum: i64,
}

impl RawRow {
    fn read(row: &rusqlite::Row) -> rusqlite::Result<Self> {
        Ok(RawRow {
            head: row.get(0)?,
            body: row.get(1)?,
            requested_at_ms: row.get(2)?,
            checksum: row.get(3)?,
        })
    }

    /// Decodes the row; `None` if it is corrupt.
    fn decode(self, written_at: Timestamp, since_write: Duration) -> Option<StoredRow> {
        let age_when_written_ms = u64::try_from(written_at.monotonic_ms - self.requested_at_ms).ok()?;
        if self.checksum != checksum(&self.head, &self.body) {
            return None;
        }
        let head = RowHead::decode(&self.head).ok()?;
        Some(head.into_row(self.body, Duration::from_millis(age_when_written_ms) + since_write))
    }
}

fn read_rows(connection: &Connection) -> rusqlite::Result<Vec<StoredRow>> {
    let read_timestamp =
        |row: &rusqlite::Row| Ok(Timestamp { wall_ms: row.get(0)?, monotonic_ms: row.get(1)? });
    let written_at = connection.query_row(SELECT_WRITE_TIME, [], read_timestamp).optional()?;
    let Some(written_at) = written_at else { return Ok(Vec::new()) };
    let since_write = Timestamp::now().since(written_at).resolve();
    let Some(since_write) = since_write else { return Ok(Vec::new()) };
    let mut select = connection.prepare(SELECT_ROWS)?;
    let mut rows = Vec::new();
    for raw in select.query_map([], RawRow::read)? {
        rows.extend(raw?.decode(written_at, since_write));
    }
    Ok(rows)
}
