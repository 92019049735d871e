//! The database of a log on disk, which is recreated empty where it can't be read, as the other control nodes have logs of
//! their own.

use std::path::{Path, PathBuf};

use rusqlite::Connection;

use crate::disk;

/// Page size in bytes; small, as the records are small.
const PAGE_BYTES: usize = 4 << 10;

/// What a log is called, and where and how it is stored.
pub(super) struct LogFormat {
    /// The name in messages.
    pub name: &'static str,
    /// The name of the file.
    pub file: &'static str,
    /// The statement that creates its table, if that does not exist yet.
    pub schema: &'static str,
}

/// The database of a log, which is opened when it is first used.
pub(super) struct LogDatabase {
    format: LogFormat,
    path: PathBuf,
    /// `None` until the file has been opened.
    db: Option<Connection>,
}

impl LogDatabase {
    /// The database in a folder, which is created if it does not exist.
    pub fn new(folder: &Path, format: LogFormat) -> std::io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        Ok(LogDatabase { path: folder.join(format.file), format, db: None })
    }

    /// The open connection.
    pub fn connect(&mut self) -> rusqlite::Result<&mut Connection> {
        match &mut self.db {
            Some(db) => Ok(db),
            closed => {
                let db = disk::open_database(&self.path, PAGE_BYTES)?;
                db.execute_batch(self.format.schema)?;
                Ok(closed.insert(db))
            }
        }
    }

    /// Reads the log; one that can't be read is recreated empty.
    pub fn read_or_recreate<Record>(
        &mut self,
        read: impl FnOnce(&Connection) -> rusqlite::Result<Vec<Record>>,
    ) -> Vec<Record> {
        match self.connect().and_then(|db| read(db)) {
            Ok(records) => records,
            Err(error) => {
                tracing::warn!(%error, "{} unreadable; recreating it", self.format.name);
                self.db = None;
                disk::remove_database(&self.path);
                // If this fails, the first write opens the file.
                let _ = self.connect();
                Vec::new()
            }
        }
    }
}
