//! Logs on disk: databases to which records are appended, each by a thread of its own, so that a disk that hangs holds up
//! nothing else. A log that can't be read is recreated empty, as the other control nodes have logs of their own.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;

use rusqlite::Connection;
use tokio::sync::oneshot;

use crate::disk::{self, now_ms};

/// Page size in bytes; small, as the records are small.
const PAGE_BYTES: usize = 4 << 10;
/// Pause before a failed write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Limit on the queued writes. While the disk hangs, records beyond the limit are held in memory only.
const MAX_QUEUED_WRITES: usize = 1024;

/// Largest error of the wall clock that is tolerated, in milliseconds.
pub const MAX_CLOCK_ERROR_MS: i64 = 2000;

/// The age in milliseconds of a record that was made at `at`. It is underestimated by the largest clock error, so that
/// nothing from before the record counts as newer, and the record is not dropped too early.
pub(super) fn age_ms(now: i64, at: i64) -> u64 {
    (now - at - MAX_CLOCK_ERROR_MS).max(0) as u64
}

/// What a log holds, and how. Times are those of the wall clock, in milliseconds.
pub trait LogFormat: 'static {
    /// What is appended.
    type Record: Send + 'static;
    /// What is read when the log is opened.
    type Stored;
    /// The name of a record, in messages, in the name of the file and in that of the thread.
    const RECORD: &'static str;
    /// The statement that creates the table, if it does not exist yet.
    const SCHEMA: &'static str;

    /// Appends records, and deletes those that the log need not hold any longer. Runs in a transaction.
    fn append(db: &Connection, now: i64, records: &[&Self::Record]) -> rusqlite::Result<()>;

    /// Reads the records that are still of use, oldest first.
    fn read(db: &Connection, now: i64) -> rusqlite::Result<Vec<Self::Stored>>;
}

/// Records to be written, and the sender that reports their durability.
struct PendingWrite<Record> {
    records: Vec<Record>,
    completion: oneshot::Sender<()>,
}

/// A log, as the queue to the thread that writes it. The thread ends once this is dropped and the queue is empty.
pub struct DiskLog<Format: LogFormat> {
    queue: mpsc::SyncSender<PendingWrite<Format::Record>>,
}

impl<Format: LogFormat> DiskLog<Format> {
    /// Opens the log in a folder, which is created if it does not exist; returns the records in it.
    ///
    /// # Errors
    ///
    /// When the folder can't be created, or the thread that writes the log can't be started.
    pub fn open(folder: &Path) -> std::io::Result<(Self, Vec<Format::Stored>)> {
        std::fs::create_dir_all(folder)?;
        let mut database = Database { path: folder.join(format!("{}s.sqlite", Format::RECORD)), db: None };
        let stored = read_or_recreate::<Format>(&mut database);
        let (queue, writes) = mpsc::sync_channel(MAX_QUEUED_WRITES);
        let thread = std::thread::Builder::new().name(format!("{}s", Format::RECORD));
        thread.spawn(move || write_all::<Format>(database, &writes))?;
        Ok((DiskLog { queue }, stored))
    }

    /// Queues records to be written. The receiver completes once they are on disk, and fails if the queue is full.
    pub fn write(&self, records: Vec<Format::Record>) -> oneshot::Receiver<()> {
        let (completion, receiver) = oneshot::channel();
        if self.queue.try_send(PendingWrite { records, completion }).is_err() {
            tracing::warn!("{}s not written to the log: the write queue is full", Format::RECORD);
        }
        receiver
    }
}

/// The database of a log.
struct Database {
    path: PathBuf,
    /// `None` until the file has been opened.
    db: Option<Connection>,
}

impl Database {
    fn connect(&mut self, schema: &str) -> rusqlite::Result<&mut Connection> {
        match &mut self.db {
            Some(db) => Ok(db),
            closed => {
                let db = disk::open_database(&self.path, PAGE_BYTES)?;
                db.execute_batch(schema)?;
                Ok(closed.insert(db))
            }
        }
    }

    fn recreate(&mut self, schema: &str) {
        self.db = None;
        disk::remove_database(&self.path);
        // If this fails, the first write opens the file.
        let _ = self.connect(schema);
    }
}

fn read_or_recreate<Format: LogFormat>(database: &mut Database) -> Vec<Format::Stored> {
    match database.connect(Format::SCHEMA).and_then(|db| Format::read(db, now_ms())) {
        Ok(stored) => stored,
        Err(error) => {
            tracing::warn!(%error, "{} log unreadable; recreating it", Format::RECORD);
            database.recreate(Format::SCHEMA);
            Vec::new()
        }
    }
}

fn write_all<Format: LogFormat>(
    mut database: Database,
    writes: &mpsc::Receiver<PendingWrite<Format::Record>>,
) {
    while let Ok(first) = writes.recv() {
        // One sync covers all writes that were queued in the meantime.
        let batch: Vec<_> = std::iter::once(first).chain(writes.try_iter()).collect();
        let records: Vec<&Format::Record> = batch.iter().flat_map(|write| &write.records).collect();
        while let Err(error) = append::<Format>(&mut database, &records) {
            tracing::error!(%error, "writing {}s to the log failed; retrying", Format::RECORD);
            std::thread::sleep(RETRY_PAUSE);
        }
        for write in batch {
            // The receiver is dropped if its caller has stopped waiting.
            let _ = write.completion.send(());
        }
    }
}

/// Appends records in one transaction. When this returns, they survive a loss of power.
fn append<Format: LogFormat>(database: &mut Database, records: &[&Format::Record]) -> rusqlite::Result<()> {
    let transaction = database.connect(Format::SCHEMA)?.transaction()?;
    Format::append(&transaction, now_ms(), records)?;
    transaction.commit()
}
