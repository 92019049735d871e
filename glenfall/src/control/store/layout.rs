//! The version of the layout of a state file.

use rusqlite::Connection;

use super::error::StoreError;

/// The layout of a state file, as its `user_version` has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Layout {
    /// The voters could not be changed, and orders were recognised by hashes of 64 bits.
    FixedVoters = 1,
    /// Orders were recognised by hashes of 64 bits.
    WeakKeys = 2,
    /// The layout that is written.
    Current = 3,
}

impl Layout {
    /// The layout of a database; an error where this version of the program can't read it.
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

/// The version that a database names; 0 where it was not created yet.
pub(super) fn user_version(db: &Connection) -> Result<i64, rusqlite::Error> {
    db.query_row("PRAGMA user_version", [], |row| row.get(0))
}
