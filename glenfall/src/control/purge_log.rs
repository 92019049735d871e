//! The purges of the last while on disk: shields keep copies there as well, and a core that was killed whole must
//! still know what those copies have missed. SQLite on a thread of its own, apart from the chain's file, so that a
//! stream of purges holds up no change of the configuration.

use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;

use glenfall_control_plane::messages::PurgeRecord;
use glenfall_control_plane::purge_history::{MAX_PURGES, PURGE_RETENTION};
use rusqlite::Connection;
use tokio::sync::oneshot;

use crate::disk::{self, now_ms};

const FILE: &str = "purges.sqlite";
/// Bytes of its pages; purges are small.
const PAGE: usize = 4 << 10;
/// The time of day may be off by so much, in milliseconds.
pub const CLOCK_OFF: i64 = 2000;
/// Purges in the log at most: one more than are remembered, so that whoever reads them knows that there were others.
const MOST_KEPT: i64 = MAX_PURGES as i64 + 1;
/// Pause after the disk refused something.
const AGAIN: Duration = Duration::from_millis(200);
/// Writes that wait at most; with a disk that hangs, what comes beyond is known in memory only.
const MOST_WAITING: usize = 1024;

/// Purges to be written, and who waits until they are.
type Write = (Vec<PurgeRecord>, oneshot::Sender<()>);

/// The way to the thread that writes.
pub struct PurgeLog(mpsc::SyncSender<Write>);

fn open(path: &Path) -> rusqlite::Result<Connection> {
    let db = disk::open(path, PAGE)?;
    db.execute_batch("CREATE TABLE IF NOT EXISTS purges (at INTEGER NOT NULL, purge BLOB NOT NULL)")?;
    Ok(db)
}

fn read_all(db: &Connection) -> rusqlite::Result<Vec<PurgeRecord>> {
    let now = now_ms();
    let mut all = db.prepare("SELECT at, purge FROM purges WHERE at > ?1 ORDER BY rowid")?;
    let rows = all.query_map([now - PURGE_RETENTION as i64], |row| {
        Ok((row.get::<_, i64>(0)?, row.get::<_, Vec<u8>>(1)?))
    })?;
    let mut found = Vec::new();
    for row in rows {
        let (at, bytes) = row?;
        if let Ok(stamped) = postcard::from_bytes::<PurgeRecord>(&bytes) {
            // Taken for younger, so that copies from around that time go.
            found.push(PurgeRecord { age_ms: (now - at - CLOCK_OFF).max(0) as u64, ..stamped });
        }
    }
    Ok(found)
}

fn write(db: &mut Connection, purges: &[PurgeRecord]) -> rusqlite::Result<()> {
    let now = now_ms();
    let transaction = db.transaction()?;
    {
        let mut insert = transaction.prepare_cached("INSERT INTO purges (at, purge) VALUES (?1, ?2)")?;
        for stamped in purges {
            let bytes = postcard::to_stdvec(stamped).unwrap_or_default();
            insert.execute((now - stamped.age_ms as i64, bytes))?;
        }
        transaction.execute("DELETE FROM purges WHERE at <= ?1", [now - PURGE_RETENTION as i64])?;
        transaction
            .execute("DELETE FROM purges WHERE rowid <= (SELECT max(rowid) FROM purges) - ?1", [MOST_KEPT])?;
    }
    transaction.commit()
}

impl PurgeLog {
    /// Opens the log in a folder; returns the purges in it that are still to be remembered. One that can't be read is
    /// begun anew: the other control nodes have theirs.
    pub fn open(folder: &Path) -> std::io::Result<(PurgeLog, Vec<PurgeRecord>)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(FILE);
        let opened = open(&path).and_then(|db| read_all(&db).map(|found| (db, found)));
        let (db, found) = match opened {
            Ok((db, found)) => (Some(db), found),
            Err(error) => {
                tracing::warn!(%error, "purges on disk can't be read; they are begun anew");
                disk::throw_away(&path);
                (open(&path).ok(), Vec::new())
            }
        };
        let (writes, queue) = mpsc::sync_channel(MOST_WAITING);
        std::thread::Builder::new().name("purges".into()).spawn(move || write_all(db, &path, &queue))?;
        Ok((PurgeLog(writes), found))
    }

    /// Writes purges; what this gives ends once they are on disk, or there is no room for them to wait.
    pub fn write(&self, purges: Vec<PurgeRecord>) -> oneshot::Receiver<()> {
        let (tell, written) = oneshot::channel();
        if self.0.try_send((purges, tell)).is_err() {
            tracing::warn!("purges not written: the disk is behind");
        }
        written
    }
}

fn write_all(mut db: Option<Connection>, path: &Path, queue: &mpsc::Receiver<Write>) {
    while let Ok(first) = queue.recv() {
        // One sync covers all that came meanwhile.
        let (purges, waiting): (Vec<_>, Vec<_>) = std::iter::once(first).chain(queue.try_iter()).unzip();
        let purges = purges.concat();
        loop {
            db = db.or_else(|| open(path).ok());
            match db.as_mut().map(|db| write(db, &purges)) {
                Some(Ok(())) => break,
                Some(Err(error)) => tracing::error!(%error, "purges not written; trying again"),
                None => tracing::error!("purges not written, no file for them; trying again"),
            }
            std::thread::sleep(AGAIN);
        }
        for tell in waiting {
            // Nobody may wait any more.
            let _ = tell.send(());
        }
    }
}
