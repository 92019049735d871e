//! Counts this node's connections to one server, and queues the requests that wait for one of them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;

/// State shared by all of this node's connections to one server.
#[derive(Default)]
pub struct ConnectionSlots {
    /// Number of connections that are open or being opened.
    open: Cell<usize>,
    /// Notified when a connection has become idle or closed. Waiting writes come before waiting reads: writes
    /// are few, while reads after cache misses come in large numbers.
    freed_for_writes: Notify,
    freed_for_reads: Notify,
    writes_waiting: Cell<usize>,
    /// Until when the server is assumed to accept no more connections; `None` if it never rejected one.
    full_until: Cell<Option<Instant>>,
}

impl ConnectionSlots {
    /// Counts one more connection, for as long as the slot exists.
    pub fn claim(self: &Rc<Self>) -> ConnectionSlot {
        self.open.set(self.open.get() + 1);
        ConnectionSlot(Rc::clone(self))
    }

    /// Records that the server accepts no more connections until this time.
    pub fn set_full_until(&self, until: Instant) {
        self.full_until.set(Some(until));
    }

    /// Whether a request must wait for a connection: the server accepts no more, and this node has at least one
    /// that may become free.
    pub fn must_wait(&self) -> bool {
        self.open.get() > 0 && self.full_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Whether the next free connection is reserved for a waiting write.
    pub fn are_reserved_for_writes(&self) -> bool {
        self.must_wait() && self.writes_waiting.get() > 0
    }

    /// Wakes one request that waits for a connection, a write if there is one.
    pub fn notify_freed(&self) {
        let is_for_write = self.writes_waiting.get() > 0;
        let freed = if is_for_write { &self.freed_for_writes } else { &self.freed_for_reads };
        freed.notify_one();
    }

    /// Waits until a connection may be free. The caller must check whether there is one.
    pub async fn wait(self: Rc<Self>, is_write: bool) {
        if is_write {
            let waiting = WaitingWrite::begin(self);
            waiting.0.freed_for_writes.notified().await;
        } else {
            self.freed_for_reads.notified().await;
        }
    }
}

/// Counts a waiting write for as long as it exists.
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
        // A write that was cancelled may have received the notification of a connection that another request
        // can use. A request that is woken in vain checks again and waits on.
        self.0.notify_freed();
    }
}

/// One connection to a server, counted from before it is opened until this is dropped.
pub struct ConnectionSlot(Rc<ConnectionSlots>);

impl ConnectionSlot {
    /// The shared state of the connections to the same server.
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
