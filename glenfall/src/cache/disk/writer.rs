//! The writer thread, which reads the file at the start and writes changes to it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use tokio::sync::oneshot;

use super::cache_file::CacheFile;
use super::change::{row_count, QueuedChange};
use super::row::StoredRow;
use crate::cache::backlog::Backlog;

/// Changes within this time are written in one transaction, with one sync.
const BATCH_DELAY: Duration = Duration::from_millis(300);
/// A transaction takes no further changes once it has this many rows. Its last change may be a removal of up to as
/// many more. Each row may take a page of the write-ahead log, which then has at most twice the pages at which it is
/// checkpointed, plus those of the bodies in the queue.
pub const MAX_BATCH_ROWS: usize = 256;
/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The side of the disk tier that reads and writes the file.
pub struct Writer {
    file: CacheFile,
    changes: mpsc::Receiver<QueuedChange>,
    queued_bodies: Backlog,
    removal_lost: Arc<AtomicBool>,
    rows_sender: Option<oneshot::Sender<Vec<StoredRow>>>,
}

impl Writer {
    /// A writer that sends the rows of the file to `rows_sender` and then writes `changes`. `removal_lost` is set by a
    /// sender whose removal did not fit in the queue.
    pub(super) fn new(
        file: CacheFile,
        changes: mpsc::Receiver<QueuedChange>,
        queued_bodies: Backlog,
        removal_lost: Arc<AtomicBool>,
        rows_sender: oneshot::Sender<Vec<StoredRow>>,
    ) -> Self {
        Writer { file, changes, queued_bodies, removal_lost, rows_sender: Some(rows_sender) }
    }

    /// Bytes of bodies in the queue.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bodies.queued()
    }

    /// Reads the file, then writes changes until all senders are dropped.
    pub fn run(&mut self) {
        self.send_stored_rows();
        let mut is_behind = false;
        while let Ok(first) = self.changes.recv() {
            if !is_behind {
                std::thread::sleep(BATCH_DELAY);
            }
            let batch = self.next_batch(first);
            is_behind = row_count(&batch) >= MAX_BATCH_ROWS;
            // Checked after the batch was received, so that a removal that was lost before any change of the batch is
            // noticed.
            if self.removal_lost.swap(false, Ordering::AcqRel) {
                self.discard_all();
                continue;
            }
            let written = self.file.write(&batch);
            // Frees the reservations before a possible pause.
            drop(batch);
            if let Err(error) = written {
                // The disk is full or refuses writes. Responses that should have been removed may still be in the file,
                // so all of it is discarded.
                tracing::warn!(%error, "disk cache discarded: writing failed");
                self.file.discard();
                std::thread::sleep(RETRY_DELAY);
            }
        }
        self.file.close();
    }

    fn send_stored_rows(&mut self) {
        let rows = self.file.read_all();
        if let Some(rows_sender) = self.rows_sender.take() {
            // The receiver may be gone.
            let _ = rows_sender.send(rows);
        }
    }

    /// The changes that are written in one transaction.
    fn next_batch(&self, first: QueuedChange) -> Vec<QueuedChange> {
        let mut batch = vec![first];
        while row_count(&batch) < MAX_BATCH_ROWS {
            let Ok(next) = self.changes.try_recv() else { break };
            batch.push(next);
        }
        batch
    }

    /// Drops all queued changes and discards the file, because a removal was lost.
    fn discard_all(&mut self) {
        tracing::warn!("disk cache discarded: the write queue was full and a removal was lost");
        while self.changes.try_recv().is_ok() {}
        self.file.discard();
    }
}
