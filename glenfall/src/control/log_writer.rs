//! The thread that writes a log on disk, so that a disk that hangs holds up nothing else.

use std::sync::mpsc;
use std::time::Duration;

use tokio::sync::oneshot;

/// Pause before a failed write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Limit on the queued writes. While the disk hangs, records beyond the limit are held in memory only.
const MAX_QUEUED_WRITES: usize = 1024;

/// A log file.
pub(super) trait LogFile: Send + 'static {
    /// What the log consists of.
    type Record: Send + 'static;
    /// The name of the log, in messages and as the name of its thread.
    const NAME: &'static str;

    /// Writes records in one transaction. When this returns, they survive a loss of power.
    fn append(&mut self, records: &[&Self::Record]) -> rusqlite::Result<()>;
}

/// Records to be written, and the sender that reports their durability.
struct PendingWrite<Record> {
    records: Vec<Record>,
    completion: oneshot::Sender<()>,
}

/// The queue to the thread that writes a log.
pub(super) struct LogWriter<Record> {
    name: &'static str,
    queue: mpsc::SyncSender<PendingWrite<Record>>,
}

impl<Record: Send + 'static> LogWriter<Record> {
    /// Starts the thread that writes to `file`. It ends once the writer is dropped and the queue is empty.
    pub fn start<File: LogFile<Record = Record>>(file: File) -> std::io::Result<Self> {
        let (queue, writes) = mpsc::sync_channel(MAX_QUEUED_WRITES);
        std::thread::Builder::new().name(File::NAME.into()).spawn(move || write_all(file, &writes))?;
        Ok(LogWriter { name: File::NAME, queue })
    }

    /// Queues records to be written. The receiver completes once they are on disk, and fails if the queue is full.
    pub fn write(&self, records: Vec<Record>) -> oneshot::Receiver<()> {
        let (completion, receiver) = oneshot::channel();
        if self.queue.try_send(PendingWrite { records, completion }).is_err() {
            tracing::warn!("{} not written to the log: the write queue is full", self.name);
        }
        receiver
    }
}

fn write_all<File: LogFile>(mut file: File, writes: &mpsc::Receiver<PendingWrite<File::Record>>) {
    while let Ok(first) = writes.recv() {
        // One sync covers all writes that were queued in the meantime.
        let batch: Vec<_> = std::iter::once(first).chain(writes.try_iter()).collect();
        let records: Vec<&File::Record> = batch.iter().flat_map(|write| &write.records).collect();
        while let Err(error) = file.append(&records) {
            tracing::error!(%error, "writing {} to the log failed; retrying", File::NAME);
            std::thread::sleep(RETRY_PAUSE);
        }
        for write in batch {
            // The receiver is dropped if its caller has stopped waiting.
            let _ = write.completion.send(());
        }
    }
}
