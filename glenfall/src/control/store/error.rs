//! What reading and writing the durable state can fail with.

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
    /// A row does not hold what it should.
    #[error("state on disk: row can't be encoded or decoded: {0}")]
    Row(#[from] postcard::Error),
    /// The file does not match its checksum, or is incomplete.
    #[error("state on disk: {0}")]
    Damaged(String),
    /// A state, or a file that was set aside earlier, exists where a new state is to be created.
    #[error("{} is in the way: a new state is created only in a folder that has none", .0.display())]
    StateExists(PathBuf),
}

impl StoreError {
    /// The error for a file that is not what was written.
    pub(super) fn damaged(description: impl Into<String>) -> Self {
        StoreError::Damaged(description.into())
    }

    /// Whether the file is not what was written, in contrast to a disk that does not respond.
    pub(super) fn is_damage(&self) -> bool {
        match self {
            StoreError::Sqlite(rusqlite::Error::SqliteFailure(error, _)) => {
                // A short read: a page that the file should have lies beyond its end.
                error.extended_code == rusqlite::ffi::SQLITE_IOERR_SHORT_READ
                    || matches!(error.code, ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase)
            }
            // No such table, or a column of another type: a valid database, but not one that this program wrote.
            StoreError::Sqlite(_) | StoreError::Row(_) | StoreError::Damaged(_) => true,
            StoreError::Io(_) | StoreError::StateExists(_) => false,
        }
    }
}
