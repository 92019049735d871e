//! Creates the tables of the state file, and configures the connection to it.

use std::path::Path;

use rusqlite::Connection;

use super::error::StoreError;
use super::layout::{user_version, Layout};
use super::{hard_state_row, idempotency_keys};

/// Opens the database with an exclusive lock and a full sync for each commit.
pub(super) fn connect(path: &Path) -> Result<Connection, StoreError> {
    let db = Connection::open(path)?;
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    db.pragma_update(None, "journal_mode", "TRUNCATE")?;
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "mmap_size", 0)?;
    Ok(db)
}

/// Whether the database has neither tables nor a layout version.
pub(super) fn is_new(db: &Connection) -> Result<bool, StoreError> {
    let tables: i64 = db.query_row("SELECT count(*) FROM sqlite_master", [], |row| row.get(0))?;
    Ok(tables == 0 && user_version(db)? == 0)
}

/// Creates all tables of the current layout, in one transaction.
pub(super) fn create(db: &mut Connection) -> Result<(), StoreError> {
    let transaction = db.transaction()?;
    hard_state_row::create_table(&transaction)?;
    transaction.execute_batch(idempotency_keys::CREATE_TABLE)?;
    set_current(&transaction)?;
    Ok(transaction.commit()?)
}

/// Sets the layout version of the database to the current one.
pub(super) fn set_current(db: &Connection) -> Result<(), rusqlite::Error> {
    db.pragma_update(None, "user_version", Layout::Current as i64)
}

/// Runs SQLite's integrity check on the file.
pub(super) fn check_integrity(db: &Connection) -> Result<(), StoreError> {
    let result: String = db.query_row("PRAGMA integrity_check(1)", [], |row| row.get(0))?;
    if result == "ok" {
        Ok(())
    } else {
        Err(StoreError::damaged(result.replace('\n', " ")))
    }
}
