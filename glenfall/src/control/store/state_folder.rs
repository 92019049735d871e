//! The files of a store in its folder: the database, and the markers that distinguish a first start from a loss of
//! state.

use std::fs::File;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use super::error::StoreError;
use crate::disk;

const DATABASE_FILE: &str = "state.sqlite";
/// The name under which a damaged database is retained for whoever wants to examine it. An empty file of this name says
/// that the database was lost.
const DAMAGED_FILE: &str = "state.sqlite.damaged";
/// SQLite's rollback journal.
const JOURNAL_FILE: &str = "state.sqlite-journal";
/// Marker that a store was created here: without a database in the same folder the state is lost, and this is not a
/// first start.
const CREATED_MARKER_FILE: &str = "state.made";
/// Bytes of the shortest file that holds anything, which is SQLite's smallest page.
const MIN_DATABASE_BYTES: u64 = 512;

/// The folder of a store.
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

    fn damaged(&self) -> PathBuf {
        self.path.join(DAMAGED_FILE)
    }

    fn journal(&self) -> PathBuf {
        self.path.join(JOURNAL_FILE)
    }

    fn created(&self) -> PathBuf {
        self.path.join(CREATED_MARKER_FILE)
    }

    /// Whether a store was created here whose database is missing or empty.
    pub(super) fn is_database_lost(&self) -> bool {
        file_length(&self.database()) == 0 && self.created().exists()
    }

    /// Whether a damaged database was set aside here.
    pub(super) fn has_damaged(&self) -> bool {
        self.damaged().exists()
    }

    /// Fails where the database is too short for a header: SQLite would take it for an empty one. A file that has
    /// a journal may have any length, as SQLite restores it.
    pub(super) fn check_length(&self) -> Result<(), StoreError> {
        let length = file_length(&self.database());
        let has_journal = file_length(&self.journal()) > 0;
        if (1..MIN_DATABASE_BYTES).contains(&length) && !has_journal {
            return Err(StoreError::damaged(format!("file truncated to {length} bytes")));
        }
        Ok(())
    }

    /// Fails where a state could be overwritten, or one that was set aside earlier.
    pub(super) fn check_vacant(&self) -> Result<(), StoreError> {
        match [self.database(), self.damaged()].into_iter().find(|path| path.exists()) {
            Some(path) => Err(StoreError::StateExists(path)),
            None => Ok(()),
        }
    }

    /// Moves a damaged database to another name, or marks that it is lost. The old name is durably free before a new
    /// database is created: otherwise a loss of power could leave the new one without a trace of the old.
    pub(super) fn set_aside(&self) -> Result<(), StoreError> {
        match std::fs::rename(self.database(), self.damaged()) {
            Err(error) if error.kind() == ErrorKind::NotFound => {
                File::create(self.damaged())?.sync_all()?;
            }
            renamed => renamed?,
        }
        disk::sync_folder(self.path)?;
        match std::fs::remove_file(self.journal()) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error.into()),
            _ => Ok(disk::sync_folder(self.path)?),
        }
    }

    /// Marks, once, that a store was created here.
    pub(super) fn record_creation(&self) -> Result<(), StoreError> {
        if self.created().exists() {
            return Ok(());
        }
        File::create(self.created())?.sync_all()?;
        Ok(disk::sync_folder(self.path)?)
    }

    /// Marks that there is no complete state here.
    pub(super) fn record_damage(&self) -> Result<(), StoreError> {
        File::create(self.damaged())?.sync_all()?;
        Ok(disk::sync_folder(self.path)?)
    }

    /// Removes what [`StateFolder::record_damage`] made.
    pub(super) fn clear_damage(&self) -> Result<(), StoreError> {
        std::fs::remove_file(self.damaged())?;
        Ok(disk::sync_folder(self.path)?)
    }
}

/// The length of a file in bytes; 0 where there is none.
fn file_length(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len())
}
