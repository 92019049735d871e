//! The log of recent purges on disk.
//!
//! Shields store responses on disk. After a power loss at all control nodes, the control nodes must still know which
//! purges the stored responses have missed. The log has its own thread and its own file, separate from that of the
//! chain, so that a burst of purges does not delay a change of the configuration.

use glenfall_control_plane::messages::PurgeRecord;
use glenfall_control_plane::purge_history::{MAX_PURGES, PURGE_RETENTION};
use rusqlite::Connection;

pub use super::disk_log::MAX_CLOCK_ERROR_MS;
use super::disk_log::{age_ms, DiskLog, LogFormat};

/// Limit on the purges in the log. It is one more than the history holds, so that a reader can tell that older purges
/// were dropped.
const MAX_ROWS: i64 = MAX_PURGES as i64 + 1;
/// How long purges are retained, in milliseconds.
const RETENTION_MS: i64 = PURGE_RETENTION as i64;

/// The log of purges. It is read as the purges within the retention time, with their ages.
pub type PurgeLog = DiskLog<Purges>;

/// The format of a [`PurgeLog`].
pub struct Purges;

impl LogFormat for Purges {
    type Record = PurgeRecord;
    type Stored = PurgeRecord;
    const RECORD: &'static str = "purge";
    const SCHEMA: &'static str =
        "CREATE TABLE IF NOT EXISTS purges (at INTEGER NOT NULL, purge BLOB NOT NULL)";

    /// Appends purges, and deletes those beyond the retention time or the limit on rows.
    fn append(db: &Connection, now: i64, purges: &[&PurgeRecord]) -> rusqlite::Result<()> {
        let mut insert = db.prepare_cached("INSERT INTO purges (at, purge) VALUES (?1, ?2)")?;
        for purge in purges {
            let bytes = postcard::to_stdvec(purge).unwrap_or_default();
            insert.execute((now - purge.age_ms as i64, bytes))?;
        }
        db.execute("DELETE FROM purges WHERE at <= ?1", [now - RETENTION_MS])?;
        db.execute("DELETE FROM purges WHERE rowid <= (SELECT max(rowid) FROM purges) - ?1", [MAX_ROWS])?;
        Ok(())
    }

    fn read(db: &Connection, now: i64) -> rusqlite::Result<Vec<PurgeRecord>> {
        let mut query = db.prepare("SELECT at, purge FROM purges WHERE at > ?1 ORDER BY rowid")?;
        let rows = query
            .query_map([now - RETENTION_MS], |row| Ok(Row { at: row.get(0)?, encoded_purge: row.get(1)? }))?;
        let mut purges = Vec::new();
        for row in rows {
            purges.extend(row?.decode(now));
        }
        Ok(purges)
    }
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
        Some(PurgeRecord { age_ms: age_ms(now, self.at), ..purge })
    }
}
