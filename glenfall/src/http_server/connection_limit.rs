//! Limits the open connections of a server. At the limit, the connection that has been idle longest is evicted.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

/// How long to wait for an evicted connection to close before the next one is evicted: it stays open if its next request
/// arrives at the same moment.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(10);

/// The open connections of a server.
pub struct ConnectionLimit {
    max_open: usize,
    open: Cell<usize>,
    /// The connections that are idle after a response, in the order in which they became idle. The value notifies the
    /// connection that it is evicted.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last_idle_key: Cell<u64>,
    connection_closed: Notify,
}

impl ConnectionLimit {
    /// The limit of a server without open connections.
    pub fn new(max_open: usize) -> Self {
        ConnectionLimit {
            max_open,
            open: Cell::new(0),
            idle: RefCell::default(),
            last_idle_key: Cell::new(0),
            connection_closed: Notify::new(),
        }
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Waits until there is capacity for one more connection. Until then it evicts idle connections.
    pub async fn capacity_available(&self) {
        while self.open.get() >= self.max_open {
            self.evict_longest_idle();
            let _ = timeout(EVICTION_TIMEOUT, self.connection_closed.notified()).await;
        }
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while self.open.get() > 0 {
            self.connection_closed.notified().await;
        }
    }

    /// Requests that the connection that has been idle longest closes. Its client opens a new one for its next request.
    fn evict_longest_idle(&self) {
        if let Some((_, evicted)) = self.idle.borrow_mut().pop_first() {
            evicted.notify_one();
        }
    }
}

/// The slot of an open connection. The connection is counted until this is dropped.
pub struct ConnectionSlot {
    limit: Rc<ConnectionLimit>,
    /// The key of this connection in [`ConnectionLimit::idle`]; `None` unless it is idle.
    idle_key: Cell<Option<u64>>,
    evicted: Rc<Notify>,
}

impl ConnectionSlot {
    /// Counts a new connection. It can't be evicted before its first response.
    pub fn claim(limit: &Rc<ConnectionLimit>) -> Self {
        limit.open.set(limit.open.get() + 1);
        ConnectionSlot { limit: Rc::clone(limit), idle_key: Cell::new(None), evicted: Rc::default() }
    }

    /// Marks the connection as busy when a request arrives. It can't be evicted until it is idle again.
    pub fn set_busy(&self) {
        if let Some(idle_key) = self.idle_key.take() {
            self.limit.idle.borrow_mut().remove(&idle_key);
        }
    }

    /// Marks the connection as idle when the response is ready. It can be evicted from then on.
    pub fn set_idle(&self) {
        let idle_key = self.limit.last_idle_key.get() + 1;
        self.limit.last_idle_key.set(idle_key);
        self.idle_key.set(Some(idle_key));
        self.limit.idle.borrow_mut().insert(idle_key, Rc::clone(&self.evicted));
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.set_busy();
        self.limit.open.set(self.limit.open.get() - 1);
        self.limit.connection_closed.notify_waiters();
    }
}
