//! Counts this node's connections to one server, and the requests that wait for one of them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;

/// What all connections of this node to one server share.
#[derive(Default)]
pub struct ConnectionSlots {
    /// How many are open or being opened.
    open: Cell<usize>,
    /// A connection has become idle or closed. Writes that wait come first: they are few, and reads that have
    /// missed come in crowds.
    freed_for_writes: Notify,
    freed_for_reads: Notify,
    writes_waiting: Cell<usize>,
    /// Until when the server is assumed to accept no more connections.
    full_until: Cell<Option<Instant>>,
}

impl ConnectionSlots {
    /// Counts one more connection, for as long as the slot exists.
    pub fn claim(self: &Rc<Self>) -> ConnectionSlot {
        self.open.set(self.open.get() + 1);
        ConnectionSlot(Rc::clone(self))
    }

    /// The server is known to accept no more connections until then.
    pub fn set_full_until(&self, until: Instant) {
        self.full_until.set(Some(until));
    }

    /// Whether the server accepts no more connections, and this node has one there that may become free.
    pub fn must_wait(&self) -> bool {
        self.open.get() > 0 && self.full_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Whether a write must get the next free connection.
    pub fn are_reserved_for_writes(&self) -> bool {
        self.must_wait() && self.writes_waiting.get() > 0
    }

    /// Wakes one request that waits for a connection.
    pub fn notify_freed(&self) {
        let is_for_write = self.writes_waiting.get() > 0;
        let freed = if is_for_write { &self.freed_for_writes } else { &self.freed_for_reads };
        freed.notify_one();
    }

    /// Waits until a connection may be free. The caller looks again.
    pub async fn wait(self: Rc<Self>, is_write: bool) {
        if is_write {
            let waiting = WaitingWrite::begin(self);
            waiting.0.freed_for_writes.notified().await;
        } else {
            self.freed_for_reads.notified().await;
        }
    }
}

/// A write that waits for a connection.
struct WaitingWrite(Rc<ConnectionSlots>);

impl WaitingWrite {
    fn begin(slots: Rc<ConnectionSlots>) -> Self {
        slots.writes_waiting.set(slots.writes_waiting.get() + 1);
        WaitingWrite(slots)
    }
}

impl Drop for WaitingWrite {
    fn drop(&mut self) {
        self.0.writes_waiting.set(self.0.writes_waiting.get() - 1);
        // If it was given up, it may have been notified of a connection that another can use; a request that
        // wakes for nothing looks again.
        self.0.notify_freed();
    }
}

/// One of the connections to a server, from before it is opened.
pub struct ConnectionSlot(Rc<ConnectionSlots>);

impl ConnectionSlot {
    /// The slots of the server that it belongs to.
    pub fn slots(&self) -> Rc<ConnectionSlots> {
        Rc::clone(&self.0)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.notify_freed();
    }
}
