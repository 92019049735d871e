//! Folders and their syncs: after a loss of power, a name that was made, changed or removed is certain only once its
//! folder has been synced. And what files that may be lost without harm have in common: SQLite that nothing else
//! opens, with a log before it and a sync for each commit; begun anew where it can't be read.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use rusqlite::Connection;

/// The time of day in milliseconds.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

/// Makes the names in a folder last.
pub fn sync_folder(folder: &Path) -> std::io::Result<()> {
    std::fs::File::open(folder)?.sync_all()
}

/// Makes a folder that lasts, and those above it.
pub fn make_folder(folder: &Path) -> std::io::Result<()> {
    let above =
        folder.parent().map(|above| if above.as_os_str().is_empty() { Path::new(".") } else { above });
    let Some(above) = above else { return Ok(()) };
    if folder.is_dir() {
        // Whoever made it may have died before its sync, or it may belong to others and not be ours to open.
        let _ = sync_folder(above);
        return Ok(());
    }
    make_folder(above)?;
    match std::fs::create_dir(folder) {
        Err(e) if e.kind() != std::io::ErrorKind::AlreadyExists => Err(e),
        _ => sync_folder(above),
    }
}

/// Opens a database, or makes it with pages of this size.
pub fn open(path: &Path, page: usize) -> rusqlite::Result<Connection> {
    let db = Connection::open(path)?;
    db.pragma_update(None, "page_size", page)?;
    // With the lock held from the start there is no index in shared memory.
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "mmap_size", 0)?;
    Ok(db)
}

/// Removes a database and all that belongs to it, for good: an old log that came back would be played into a new file.
pub fn throw_away(path: &Path) {
    for end in ["", "-wal", "-shm"] {
        let mut name = path.as_os_str().to_owned();
        name.push(end);
        // What is not there need not go.
        let _ = std::fs::remove_file(name);
    }
    if let Some(Err(error)) = path.parent().map(sync_folder) {
        tracing::warn!(%error, "a removed file may come back after a loss of power");
    }
}
