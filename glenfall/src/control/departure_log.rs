//! The log of departures on disk: the servers that said that they drain, or have deregistered.
//!
//! The registry of servers is in memory and is rebuilt from heartbeats. A departure can't be rebuilt: a server that has
//! deregistered says nothing more, and a late heartbeat, or a proxy that was stopped meanwhile, still takes it for ready.
//! After all control nodes were killed, the log tells which servers have departed.

use std::path::Path;

use glenfall_control_plane::registry::{ObservedServer, ServerEntry, MAX_SERVERS, TOMBSTONE_RETENTION};
use rusqlite::Connection;
use tokio::sync::oneshot;

use super::log_database::{LogDatabase, LogFormat};
use super::log_writer::{LogFile, LogWriter};
use super::purge_log::MAX_CLOCK_ERROR_MS;
use crate::disk::now_ms;

const FORMAT: LogFormat = LogFormat {
    name: "log of departures",
    file: "departures.sqlite",
    schema: "CREATE TABLE IF NOT EXISTS departures (id TEXT PRIMARY KEY, at INTEGER NOT NULL, entry BLOB NOT NULL)",
};
/// How long entries are retained by the wall clock, in milliseconds: as long as a tombstone in the registry.
const RETENTION_MS: i64 = TOMBSTONE_RETENTION as i64 + MAX_CLOCK_ERROR_MS;

/// The log of departures, and the queue to the thread that writes it.
pub struct DepartureLog {
    writer: LogWriter<ServerEntry>,
}

impl DepartureLog {
    /// Opens the log in a folder; returns the departures in it that are within the retention time. A log that can't be
    /// read is recreated empty, as the other control nodes have logs of their own.
    ///
    /// # Errors
    ///
    /// When the folder can't be created, or the thread that writes the log can't be started.
    pub fn open(folder: &Path) -> std::io::Result<(DepartureLog, Vec<ObservedServer>)> {
        let mut database = LogDatabase::new(folder, FORMAT)?;
        let departed = database.read_or_recreate(read_recent);
        Ok((DepartureLog { writer: LogWriter::start(DepartureFile(database))? }, departed))
    }

    /// Queues a departure to be written, which replaces an earlier one of the same server. The receiver completes once it
    /// is on disk, and fails if the queue is full.
    pub fn write(&self, entry: ServerEntry) -> oneshot::Receiver<()> {
        self.writer.write(vec![entry])
    }
}

struct DepartureFile(LogDatabase);

impl LogFile for DepartureFile {
    type Record = ServerEntry;
    const NAME: &'static str = "departures";

    /// Writes departures, and deletes those beyond the retention time or the limit of the registry.
    fn append(&mut self, departed: &[&ServerEntry]) -> rusqlite::Result<()> {
        let now = now_ms();
        let transaction = self.0.connect()?.transaction()?;
        for entry in departed {
            let Ok(bytes) = postcard::to_stdvec(entry) else { continue };
            transaction
                .prepare_cached("INSERT OR REPLACE INTO departures (id, at, entry) VALUES (?1, ?2, ?3)")?
                .execute((&entry.id, now, bytes))?;
        }
        transaction.execute("DELETE FROM departures WHERE at <= ?1", [now - RETENTION_MS])?;
        transaction.execute(
            "DELETE FROM departures WHERE rowid IN \
             (SELECT rowid FROM departures ORDER BY rowid DESC LIMIT -1 OFFSET ?1)",
            [MAX_SERVERS as i64],
        )?;
        transaction.commit()
    }
}

/// The departures within the retention time, oldest first.
fn read_recent(db: &Connection) -> rusqlite::Result<Vec<ObservedServer>> {
    let now = now_ms();
    let mut query = db.prepare("SELECT at, entry FROM departures WHERE at > ?1 ORDER BY rowid")?;
    let rows = query
        .query_map([now - RETENTION_MS], |row| Ok((row.get::<_, i64>(0)?, row.get::<_, Vec<u8>>(1)?)))?;
    let mut departed = Vec::new();
    for row in rows {
        let (at, bytes) = row?;
        // The age is underestimated by the largest clock error, so that no entry is dropped too early.
        let age_ms = (now - at - MAX_CLOCK_ERROR_MS).max(0) as u64;
        departed.extend(postcard::from_bytes(&bytes).ok().map(|entry| ObservedServer { entry, age_ms }));
    }
    Ok(departed)
}
