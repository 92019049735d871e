//! Writes the hard state on a separate thread, so that the event loop does not wait for disk syncs.

use std::sync::mpsc;
use std::time::Duration;

use glenfall_control_plane::chain::HardState;
use tokio::sync::mpsc::UnboundedSender;

use super::Store;

/// Pause before a failed write is retried. Everything that depends on the write waits meanwhile.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A state to be written, with the number that is reported once it is on disk.
struct PendingWrite {
    number: u64,
    state: HardState,
}

/// The queue to the writer thread. The thread ends once the queue is dropped.
pub struct HardStateWriter {
    queue: mpsc::Sender<PendingWrite>,
}

impl HardStateWriter {
    /// Starts the thread. Once a write is on disk, the thread sends its number to `completed_writes`. The number covers
    /// all earlier writes, also those that were skipped.
    pub fn start(store: Store, completed_writes: UnboundedSender<u64>) -> std::io::Result<HardStateWriter> {
        let (queue, writes) = mpsc::channel();
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || write_all(&store, &writes, &completed_writes))?;
        Ok(HardStateWriter { queue })
    }

    /// Queues a state. States are written in order, and a state that is superseded while it is queued is skipped.
    pub fn submit(&self, number: u64, state: HardState) {
        // The send can't fail: the thread runs for as long as this queue exists.
        let _ = self.queue.send(PendingWrite { number, state });
    }
}

fn write_all(store: &Store, writes: &mpsc::Receiver<PendingWrite>, completed_writes: &UnboundedSender<u64>) {
    while let Ok(first) = writes.recv() {
        let newest = writes.try_iter().last().unwrap_or(first);
        while let Err(error) = store.save(&newest.state) {
            tracing::error!(%error, "writing the chain state failed; retrying");
            std::thread::sleep(RETRY_PAUSE);
        }
        if completed_writes.send(newest.number).is_err() {
            return;
        }
    }
}
