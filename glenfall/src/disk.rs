//! What files that may be lost without harm have in common: SQLite that nothing else opens, with a log before it and a
//! sync for each commit; begun anew where it can't be read.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use rusqlite::Connection;

/// The time of day in milliseconds.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
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

/// Removes a database and all that belongs to it.
pub fn throw_away(path: &Path) {
    for end in ["", "-wal", "-shm"] {
        let mut name = path.as_os_str().to_owned();
        name.push(end);
        // What is not there need not go.
        let _ = std::fs::remove_file(name);
    }
}
