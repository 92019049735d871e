//! The log of departures on disk: the servers that said that they drain, or have deregistered.
//!
//! The registry of servers is in memory and is rebuilt from heartbeats. A departure can't be rebuilt: a server that has
//! deregistered says nothing more, and a late heartbeat, or a proxy that was stopped meanwhile, still takes it for ready.
//! After all control nodes were killed, the log tells which servers have departed.

use glenfall_control_plane::registry::{ObservedServer, ServerEntry, MAX_SERVERS, TOMBSTONE_RETENTION};
use rusqlite::Connection;

use super::disk_log::{age_ms, DiskLog, LogFormat, MAX_CLOCK_ERROR_MS};

/// How long entries are retained by the wall clock, in milliseconds: as long as a tombstone in the registry.
const RETENTION_MS: i64 = TOMBSTONE_RETENTION as i64 + MAX_CLOCK_ERROR_MS;

/// The log of departures. It is read as the departures within the retention time, with their ages. An entry replaces an
/// earlier one of the same server.
pub type DepartureLog = DiskLog<Departures>;

/// The format of a [`DepartureLog`].
pub struct Departures;

impl LogFormat for Departures {
    type Record = ServerEntry;
    type Stored = ObservedServer;
    const RECORD: &'static str = "departure";
    const SCHEMA: &'static str =
        "CREATE TABLE IF NOT EXISTS departures (id TEXT PRIMARY KEY, at INTEGER NOT NULL, entry BLOB NOT NULL)";

    /// Writes departures, and deletes those beyond the retention time or the limit of the registry.
    fn append(db: &Connection, now: i64, departed: &[&ServerEntry]) -> rusqlite::Result<()> {
        let mut insert =
            db.prepare_cached("INSERT OR REPLACE INTO departures (id, at, entry) VALUES (?1, ?2, ?3)")?;
        for entry in departed {
            let Ok(bytes) = postcard::to_stdvec(entry) else { continue };
            insert.execute((&entry.id, now, bytes))?;
        }
        db.execute("DELETE FROM departures WHERE at <= ?1", [now - RETENTION_MS])?;
        db.execute(
            "DELETE FROM departures WHERE rowid IN \
             (SELECT rowid FROM departures ORDER BY rowid DESC LIMIT -1 OFFSET ?1)",
            [MAX_SERVERS as i64],
        )?;
        Ok(())
    }

    fn read(db: &Connection, now: i64) -> rusqlite::Result<Vec<ObservedServer>> {
        let mut query = db.prepare("SELECT at, entry FROM departures WHERE at > ?1 ORDER BY rowid")?;
        let rows = query
            .query_map([now - RETENTION_MS], |row| Ok((row.get::<_, i64>(0)?, row.get::<_, Vec<u8>>(1)?)))?;
        let mut departed = Vec::new();
        for row in rows {
            let (at, bytes) = row?;
            let entry = postcard::from_bytes(&bytes).ok();
            departed.extend(entry.map(|entry| ObservedServer { entry, age_ms: age_ms(now, at) }));
        }
        Ok(departed)
    }
}
