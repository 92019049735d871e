//! The sending side of a link.

use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::frames::encode;
use super::liveness::LINK_TIMEOUT;
use super::traffic::SENT_TRAFFIC;

/// Maximum number of queued messages. Further messages are rejected: a session whose receiver falls that far behind is
/// ended, and the receiver catches up in a new one.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Size of a batch from which no more queued messages are added to it before it is written.
const MIN_FULL_BATCH_BYTES: usize = 64 << 10;

/// The sending side of a link. It can be cloned; the link is closed once all clones are dropped.
pub struct Outbox<T>(mpsc::Sender<T>);

impl<T> Clone for Outbox<T> {
    fn clone(&self) -> Self {
        Outbox(self.0.clone())
    }
}

impl<T: Serialize + 'static> Outbox<T> {
    /// Starts the task that writes to a link.
    pub fn start(write: OwnedWriteHalf) -> Self {
        let (sender, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        spawn_local(send_all(write, queue));
        Outbox(sender)
    }

    /// Queues a message. Returns false if the link is lost or the queue is full. The message is then dropped, and a
    /// caller whose receiver needs every message has to close the link.
    #[must_use]
    pub fn send(&self, message: T) -> bool {
        self.0.try_send(message).is_ok()
    }

    /// Resolves once the link accepts no more messages.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// Messages that are written together.
#[derive(Default)]
struct Batch {
    bytes: Vec<u8>,
    messages: u64,
}

impl Batch {
    fn clear(&mut self) {
        self.bytes.clear();
        self.messages = 0;
    }

    fn is_full(&self) -> bool {
        self.bytes.len() >= MIN_FULL_BATCH_BYTES
    }

    fn add(&mut self, message: &impl Serialize) -> std::io::Result<()> {
        encode(message, &mut self.bytes)?;
        self.messages += 1;
        Ok(())
    }

    /// Adds messages that are queued, until the batch is full.
    fn fill<T: Serialize>(&mut self, queue: &mut mpsc::Receiver<T>) -> std::io::Result<()> {
        while !self.is_full() {
            let Ok(message) = queue.try_recv() else { break };
            self.add(&message)?;
        }
        Ok(())
    }
}

async fn send_all<T: Serialize>(mut write: OwnedWriteHalf, mut queue: mpsc::Receiver<T>) {
    let mut batch = Batch::default();
    while let Some(first) = queue.recv().await {
        batch.clear();
        if batch.add(&first).and_then(|()| batch.fill(&mut queue)).is_err() {
            return;
        }
        SENT_TRAFFIC.add(batch.messages, batch.bytes.len());
        // The receiver counts as lost if it does not read the batch within this time.
        if !matches!(timeout(LINK_TIMEOUT, write.write_all(&batch.bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}
