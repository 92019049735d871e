//! Durable folders, and databases that may be lost without harm.
//!
//! After a loss of power, a file name that was created, changed or removed is certain only once its folder has been synced.
//! Databases that may be lost are SQLite files that no other process opens, with a write-ahead log and a sync for each
//! commit; where one can't be read, it is removed and created again.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use rusqlite::Connection;

/// The ends of the names of the files that SQLite keeps for a database with a write-ahead log.
const DATABASE_SUFFIXES: [&str; 3] = ["", "-wal", "-shm"];

/// The time of day in milliseconds since the epoch.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

/// Makes the names in a folder durable.
pub fn sync_folder(folder: &Path) -> std::io::Result<()> {
    std::fs::File::open(folder)?.sync_all()
}

/// Creates a folder and those above it, durably.
pub fn create_folder(folder: &Path) -> std::io::Result<()> {
    let Some(parent) = parent(folder) else { return Ok(()) };
    if folder.is_dir() {
        // The process that created it may have ended before its sync. The parent may also belong to others and not be
        // readable, which is no error.
        let _ = sync_folder(parent);
        return Ok(());
    }
    create_folder(parent)?;
    match std::fs::create_dir(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::AlreadyExists => Err(error),
        _ => sync_folder(parent),
    }
}

fn parent(folder: &Path) -> Option<&Path> {
    let parent = folder.parent()?;
    let is_relative = parent.as_os_str().is_empty();
    Some(if is_relative { Path::new(".") } else { parent })
}

/// Opens a database, or creates it with pages of so many bytes.
pub fn open_database(path: &Path, page_bytes: usize) -> rusqlite::Result<Connection> {
    let db = Connection::open(path)?;
    db.pragma_update(None, "page_size", page_bytes)?;
    // As the database is locked from the start, SQLite needs no index in shared memory.
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "mmap_size", 0)?;
    Ok(db)
}

/// Removes a database with its log, durably: an old log that reappeared would be replayed into a new database.
pub fn remove_database(path: &Path) {
    for suffix in DATABASE_SUFFIXES {
        let mut file = path.as_os_str().to_owned();
        file.push(suffix);
        // Not all of them need exist.
        let _ = std::fs::remove_file(file);
    }
    if let Some(Err(error)) = path.parent().map(sync_folder) {
        tracing::warn!(%error, "folder sync failed: a removed file may reappear after a loss of power");
    }
}
