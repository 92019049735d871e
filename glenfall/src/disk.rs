//! Durable changes of folders, and databases whose loss does no harm.
//!
//! The creation, renaming or removal of a file survives a power failure only once its folder has been synced. The
//! databases are SQLite files that no other process opens, with a write-ahead log and a sync for each commit; one that
//! can't be read is removed and created again.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use rusqlite::Connection;

/// Suffixes of the files that SQLite keeps for a database with a write-ahead log.
const DATABASE_SUFFIXES: [&str; 3] = ["", "-wal", "-shm"];

/// The wall-clock time in milliseconds since the Unix epoch.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

/// Syncs a folder, which makes the creation, renaming and removal of files in it durable.
pub fn sync_folder(folder: &Path) -> std::io::Result<()> {
    std::fs::File::open(folder)?.sync_all()
}

/// Creates a folder and its missing ancestors, durably.
pub fn create_folder(folder: &Path) -> std::io::Result<()> {
    let Some(parent) = parent(folder) else { return Ok(()) };
    if folder.is_dir() {
        // The process that created it may have ended before it synced the parent. A parent that can't be opened is
        // ignored, as it may belong to another user.
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

/// Opens a database, or creates it with pages of `page_bytes` bytes.
pub fn open_database(path: &Path, page_bytes: usize) -> rusqlite::Result<Connection> {
    let db = Connection::open(path)?;
    db.pragma_update(None, "page_size", page_bytes)?;
    // With the exclusive lock set before the write-ahead log is used, SQLite needs no index in shared memory.
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "mmap_size", 0)?;
    Ok(db)
}

/// Removes a database and its write-ahead log, durably: an old log that reappeared would be replayed into a new
/// database.
pub fn remove_database(path: &Path) {
    for suffix in DATABASE_SUFFIXES {
        let mut file = path.as_os_str().to_owned();
        file.push(suffix);
        // Some of the files may not exist.
        let _ = std::fs::remove_file(file);
    }
    if let Some(Err(error)) = path.parent().map(sync_folder) {
        tracing::warn!(%error, "folder sync failed: a removed file may reappear after a power failure");
    }
}
