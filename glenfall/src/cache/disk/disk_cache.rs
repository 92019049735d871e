//! The disk tier as the shield uses it: changes are queued for the writer thread.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use tokio::sync::oneshot;

use super::cache_file::CacheFile;
use super::change::{Change, QueuedChange};
use super::clock::monotonic_ms_before;
use super::row::{row_id, RowHead, StoredRow};
use super::writer::{Writer, MAX_BATCH_ROWS};
use crate::cache::backlog::{Backlog, Reservation};
use crate::cache::object_key::ObjectKey;

/// Maximum bytes of bodies in the queue. A response that exceeds it is stored in memory only.
pub const MAX_QUEUED_BODY_BYTES: usize = 8 << 20;
/// Maximum rows of queued changes of all kinds, so that a disk that hangs can't exhaust the memory.
pub const MAX_QUEUED_ROWS: usize = 1 << 16;
/// Name of the writer thread in the operating system's tools.
const WRITER_THREAD: &str = "copies";

/// Sends changes to the writer thread.
pub struct DiskCache {
    changes: mpsc::Sender<QueuedChange>,
    queued_bodies: Backlog,
    queued_rows: Backlog,
    /// Set when a removal did not fit in the queue: all changes queued before it and the file have to be discarded
    /// then.
    removal_lost: Arc<AtomicBool>,
}

impl DiskCache {
    /// Opens the file in a folder and starts the writer thread; the receiver gets the rows of the file. Fails if the
    /// thread can't be started.
    pub fn open(
        folder: &Path,
        disk_mb: u64,
    ) -> std::io::Result<(DiskCache, oneshot::Receiver<Vec<StoredRow>>)> {
        let (disk_cache, mut writer, rows_receiver) = DiskCache::prepare(folder, disk_mb);
        std::thread::Builder::new().name(WRITER_THREAD.into()).spawn(move || writer.run())?;
        Ok((disk_cache, rows_receiver))
    }

    /// As [`open`](Self::open), for a caller that runs the writer itself.
    pub fn prepare(folder: &Path, disk_mb: u64) -> (DiskCache, Writer, oneshot::Receiver<Vec<StoredRow>>) {
        let (changes_sender, changes_receiver) = mpsc::channel();
        let (rows_sender, rows_receiver) = oneshot::channel();
        let disk_cache = DiskCache {
            changes: changes_sender,
            queued_bodies: Backlog::new(MAX_QUEUED_BODY_BYTES),
            queued_rows: Backlog::new(MAX_QUEUED_ROWS),
            removal_lost: Arc::new(AtomicBool::new(false)),
        };
        let writer = Writer::new(
            CacheFile::new(folder, disk_mb),
            changes_receiver,
            disk_cache.queued_bodies.clone(),
            Arc::clone(&disk_cache.removal_lost),
            rows_sender,
        );
        (disk_cache, writer, rows_receiver)
    }

    /// Bytes of bodies in the queue.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bodies.queued()
    }

    /// Writes a response, replacing the one of the same object. If the queue is full, only removes the previous one.
    pub fn put(
        &self,
        key: &ObjectKey,
        headers: &HeaderMap,
        labels: &[Box<str>],
        body: &Bytes,
        age: Duration,
    ) {
        let reservations = self.queued_bodies.reserve(body.len()).zip(self.queued_rows.reserve(1));
        let Some((body_reservation, row_reservation)) = reservations else {
            // The row in the file may be of an older version.
            return self.remove(std::slice::from_ref(key));
        };
        let Ok(head) = RowHead::encode(key, headers, labels) else { return };
        let change = Change::Put {
            id: row_id(key),
            head,
            body: body.clone(),
            requested_at_ms: monotonic_ms_before(age),
        };
        self.send(change, row_reservation, Some(body_reservation));
    }

    /// Sets the age of a response that was revalidated and has not changed.
    pub fn set_revalidated(&self, key: &ObjectKey, age: Duration) {
        // If the queue is full, the row keeps its greater age.
        if let Some(row_reservation) = self.queued_rows.reserve(1) {
            let change = Change::Revalidate { id: row_id(key), requested_at_ms: monotonic_ms_before(age) };
            self.send(change, row_reservation, None);
        }
    }

    /// Removes stored responses. If the queue is full, the entire file will be discarded.
    pub fn remove(&self, keys: &[ObjectKey]) {
        for chunk in keys.chunks(MAX_BATCH_ROWS) {
            match self.queued_rows.reserve(chunk.len()) {
                Some(row_reservation) => {
                    let ids = chunk.iter().map(row_id).collect();
                    self.send(Change::Remove(ids), row_reservation, None);
                }
                None => self.removal_lost.store(true, Ordering::Release),
            }
        }
    }

    fn send(&self, change: Change, rows: Reservation, body: Option<Reservation>) {
        // Sending does not fail: the thread ends only with the process.
        let _ = self.changes.send(QueuedChange::new(change, rows, body));
    }
}
