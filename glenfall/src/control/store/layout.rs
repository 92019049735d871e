//! The version of the database layout of a state file.

use rusqlite::Connection;

use super::error::StoreError;

/// The layout of a state file, which is stored as its `user_version`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Layout {
    /// Fixed set of voters; orders are recognized by 64-bit hashes.
    FixedVoters = 1,
    /// Changeable set of voters; orders are recognized by 64-bit hashes.
    WeakKeys = 2,
    /// The current layout, in which state files are written.
    Current = 3,
}

impl Layout {
    /// The layout of a database. Fails if this version of the program can't read it.
    pub(super) fn of(db: &Connection) -> Result<Layout, StoreError> {
        let version = user_version(db)?;
        [Layout::FixedVoters, Layout::WeakKeys, Layout::Current]
            .into_iter()
            .find(|layout| *layout as i64 == version)
            .ok_or_else(|| {
                StoreError::damaged(format!(
                    "layout version 1 to {} expected, got {version}",
                    Layout::Current as i64
                ))
            })
    }
}

/// The layout version that is stored in a database; 0 if its tables have not been created.
pub(super) fn user_version(db: &Connection) -> Result<i64, rusqlite::Error> {
    db.query_row("PRAGMA user_version", [], |row| row.get(0))
}
