//! The files in the folder of a store: the database, and the markers that distinguish a first start from a loss of
//! state.

use std::fs::File;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use super::error::StoreError;
use crate::disk;

const DATABASE_FILE: &str = "state.sqlite";
/// The name under which a damaged database is retained for examination. If the file is empty, the database was lost.
const DAMAGED_FILE: &str = "state.sqlite.damaged";
/// SQLite's rollback journal.
const JOURNAL_FILE: &str = "state.sqlite-journal";
/// Marker that a store was created here. If it exists without a database, the state was lost, and this is not a first
/// start.
const CREATED_MARKER_FILE: &str = "state.made";
/// Smallest length of a database file in bytes, which is SQLite's smallest page size.
const MIN_DATABASE_BYTES: u64 = 512;

pub(super) struct StateFolder<'a> {
    path: &'a Path,
}

impl<'a> StateFolder<'a> {
    pub(super) fn new(path: &'a Path) -> Self {
        StateFolder { path }
    }

    pub(super) fn database(&self) -> PathBuf {
        self.path.join(DATABASE_FILE)
    }

    fn damaged_database(&self) -> PathBuf {
        self.path.join(DAMAGED_FILE)
    }

    fn journal(&self) -> PathBuf {
        self.path.join(JOURNAL_FILE)
    }

    fn created_marker(&self) -> PathBuf {
        self.path.join(CREATED_MARKER_FILE)
    }

    /// Whether a store was created here whose database is missing or empty.
    pub(super) fn is_database_lost(&self) -> bool {
        file_length(&self.database()) == 0 && self.created_marker().exists()
    }

    /// Whether a damaged database was set aside here.
    pub(super) fn has_damaged(&self) -> bool {
        self.damaged_database().exists()
    }

    /// Fails if the database is shorter than one page, which SQLite would treat as an empty database. With a journal
    /// the file may have any length, as SQLite restores it from the journal.
    pub(super) fn check_length(&self) -> Result<(), StoreError> {
        let length = file_length(&self.database());
        let has_journal = file_length(&self.journal()) > 0;
        if (1..MIN_DATABASE_BYTES).contains(&length) && !has_journal {
            return Err(StoreError::damaged(format!("file truncated to {length} bytes")));
        }
        Ok(())
    }

    /// Fails if a database, or one that was set aside earlier, exists here and could be overwritten.
    pub(super) fn check_vacant(&self) -> Result<(), StoreError> {
        match [self.database(), self.damaged_database()].into_iter().find(|path| path.exists()) {
            Some(path) => Err(StoreError::StateExists(path)),
            None => Ok(()),
        }
    }

    /// Renames a damaged database, or marks that it was lost. The renaming is durable before a new database is created:
    /// otherwise a power loss could leave the new database without a sign that the earlier one was lost.
    pub(super) fn set_aside(&self) -> Result<(), StoreError> {
        match std::fs::rename(self.database(), self.damaged_database()) {
            Err(error) if error.kind() == ErrorKind::NotFound => {
                File::create(self.damaged_database())?.sync_all()?;
            }
            renamed => renamed?,
        }
        disk::sync_folder(self.path)?;
        match std::fs::remove_file(self.journal()) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error.into()),
            _ => Ok(disk::sync_folder(self.path)?),
        }
    }

    /// Creates the marker that a store was created here, unless it exists.
    pub(super) fn record_creation(&self) -> Result<(), StoreError> {
        if self.created_marker().exists() {
            return Ok(());
        }
        File::create(self.created_marker())?.sync_all()?;
        Ok(disk::sync_folder(self.path)?)
    }

    /// Marks the state in this folder as lost.
    pub(super) fn record_damage(&self) -> Result<(), StoreError> {
        File::create(self.damaged_database())?.sync_all()?;
        Ok(disk::sync_folder(self.path)?)
    }

    /// Removes the mark that [`StateFolder::record_damage`] has made.
    pub(super) fn clear_damage(&self) -> Result<(), StoreError> {
        std::fs::remove_file(self.damaged_database())?;
        Ok(disk::sync_folder(self.path)?)
    }
}

/// The length of a file in bytes; 0 if the file does not exist.
fn file_length(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len())
}
