//! Errors of reading and writing the durable state.

use std::path::PathBuf;

use rusqlite::ErrorCode;

/// Why state can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// SQLite failed.
    #[error("state on disk: {0}")]
    Sqlite(#[from] rusqlite::Error),
    /// The file system failed.
    #[error("state on disk: {0}")]
    Io(#[from] std::io::Error),
    /// A row can't be encoded or decoded.
    #[error("state on disk: row can't be encoded or decoded: {0}")]
    Row(#[from] postcard::Error),
    /// The file is incomplete or inconsistent, or does not match its checksums. The text describes the damage.
    #[error("state on disk: {0}")]
    Damaged(String),
    /// A database, or one that was set aside as damaged, exists in the folder where a new state is to be created.
    #[error("{} already exists: a new state is created only in a folder that has none", .0.display())]
    StateExists(PathBuf),
}

impl StoreError {
    /// A [`StoreError::Damaged`] with this description.
    pub(super) fn damaged(description: impl Into<String>) -> Self {
        StoreError::Damaged(description.into())
    }

    /// Whether the file itself is damaged, as opposed to a disk or lock that prevents access to it.
    pub(super) fn is_damage(&self) -> bool {
        match self {
            StoreError::Sqlite(rusqlite::Error::SqliteFailure(error, _)) => {
                // A short read: the file ends before a page that it should have.
                error.extended_code == rusqlite::ffi::SQLITE_IOERR_SHORT_READ
                    || matches!(error.code, ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase)
            }
            // A missing table or a column of another type: a valid database, but not one that this program has written.
            StoreError::Sqlite(_) | StoreError::Row(_) | StoreError::Damaged(_) => true,
            StoreError::Io(_) | StoreError::StateExists(_) => false,
        }
    }
}
