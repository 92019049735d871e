//! The log of recent purges on disk.
//!
//! Shields store responses on disk. After a power loss at all control nodes, the control nodes must still know which
//! purges the stored responses have missed. The log has its own thread and its own file, separate from that of the
//! chain, so that a burst of purges does not delay a change of the configuration.

use std::path::Path;

use glenfall_control_plane::messages::PurgeRecord;
use glenfall_control_plane::purge_history::{MAX_PURGES, PURGE_RETENTION};
use rusqlite::Connection;
use tokio::sync::oneshot;

use super::log_database::{LogDatabase, LogFormat};
use super::log_writer::{LogFile, LogWriter};
use crate::disk::now_ms;

const FORMAT: LogFormat = LogFormat {
    name: "purge log",
    file: "purges.sqlite",
    schema: "CREATE TABLE IF NOT EXISTS purges (at INTEGER NOT NULL, purge BLOB NOT NULL)",
};
/// Largest error of the wall clock that is tolerated, in milliseconds.
pub const MAX_CLOCK_ERROR_MS: i64 = 2000;
/// Limit on the purges in the log. It is one more than the history holds, so that a reader can tell that older purges
/// were dropped.
const MAX_ROWS: i64 = MAX_PURGES as i64 + 1;
/// How long purges are retained, in milliseconds.
const RETENTION_MS: i64 = PURGE_RETENTION as i64;

/// The log of purges, and the queue to the thread that writes it.
pub struct PurgeLog {
    writer: LogWriter<PurgeRecord>,
}

impl PurgeLog {
    /// Opens the log in a folder; returns the purges in it that are within the retention time. A log that can't be read
    /// is recreated empty, as the other control nodes have logs of their own.
    pub fn open(folder: &Path) -> std::io::Result<(PurgeLog, Vec<PurgeRecord>)> {
        let mut database = LogDatabase::new(folder, FORMAT)?;
        let retained = database.read_or_recreate(read_recent);
        Ok((PurgeLog { writer: LogWriter::start(PurgeFile(database))? }, retained))
    }

    /// Queues purges to be written. The receiver completes once they are on disk, and fails if the queue is full.
    pub fn write(&self, purges: Vec<PurgeRecord>) -> oneshot::Receiver<()> {
        self.writer.write(purges)
    }
}

struct PurgeFile(LogDatabase);

impl LogFile for PurgeFile {
    type Record = PurgeRecord;
    const NAME: &'static str = "purges";

    /// Appends purges and deletes those beyond the retention time or the limit on rows, in one transaction.
    fn append(&mut self, purges: &[&PurgeRecord]) -> rusqlite::Result<()> {
        let now = now_ms();
        let transaction = self.0.connect()?.transaction()?;
        insert(&transaction, now, purges)?;
        transaction.execute("DELETE FROM purges WHERE at <= ?1", [now - RETENTION_MS])?;
        transaction
            .execute("DELETE FROM purges WHERE rowid <= (SELECT max(rowid) FROM purges) - ?1", [MAX_ROWS])?;
        transaction.commit()
    }
}

fn insert(db: &Connection, now: i64, purges: &[&PurgeRecord]) -> rusqlite::Result<()> {
    let mut statement = db.prepare_cached("INSERT INTO purges (at, purge) VALUES (?1, ?2)")?;
    for purge in purges {
        let bytes = postcard::to_stdvec(purge).unwrap_or_default();
        statement.execute((now - purge.age_ms as i64, bytes))?;
    }
    Ok(())
}

struct Row {
    /// The wall-clock time of the purge, in milliseconds.
    at: i64,
    encoded_purge: Vec<u8>,
}

impl Row {
    /// The purge with its age; `None` if the row can't be decoded.
    fn decode(self, now: i64) -> Option<PurgeRecord> {
        let purge: PurgeRecord = postcard::from_bytes(&self.encoded_purge).ok()?;
        // The age is underestimated by the largest clock error, so that no response from before the purge counts as
        // newer.
        let age_ms = (now - self.at - MAX_CLOCK_ERROR_MS).max(0) as u64;
        Some(PurgeRecord { age_ms, ..purge })
    }
}

/// The purges within the retention time, oldest first.
fn read_recent(db: &Connection) -> rusqlite::Result<Vec<PurgeRecord>> {
    let now = now_ms();
    let mut query = db.prepare("SELECT at, purge FROM purges WHERE at > ?1 ORDER BY rowid")?;
    let rows = query
        .query_map([now - RETENTION_MS], |row| Ok(Row { at: row.get(0)?, encoded_purge: row.get(1)? }))?;
    let mut purges = Vec::new();
    for row in rows {
        purges.extend(row?.decode(now));
    }
    Ok(purges)
}
