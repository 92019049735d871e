//! Tracks client connections: how many are open, which are idle, and which are closed to free capacity.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{watch, Notify};

/// Time limit for the first complete request on a new connection. Ordinary clients have sent it by then; a
/// client that sends nothing or stops halfway does not occupy a descriptor for longer.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for the body of any later request, from the arrival of its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Lower bound of the time limit for the body of the first request, which otherwise has what is left of
/// `FIRST_REQUEST_TIMEOUT`.
const MIN_BODY_TIMEOUT: Duration = Duration::from_millis(400);
/// At most one in this many of the allowed connections may be idle after a request; beyond that, those idle
/// longest are closed. Without this limit, clients that send one request and keep their connections open would shut out
/// others long before the node is at capacity. It also bounds the number of connections that are open for
/// clients that have died unnoticed. Drawback: if more clients than may be idle are active in turn, they
/// reconnect for each request.
const MAX_IDLE_DIVISOR: usize = 3;
/// A new connection counts as unused only after this time: before, its request may still be in the kernel's
/// buffer.
const MIN_UNUSED_TIME: Duration = Duration::from_millis(200);

/// The order in which idle connections are closed: first those that never sent a request, then the others, in
/// each group the longest idle first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleRank {
    has_sent_request: bool,
    sequence: u64,
}

/// The lowest rank of connections that have sent a request.
const LOWEST_USED_RANK: IdleRank = IdleRank { has_sent_request: true, sequence: 0 };

struct IdleConnection {
    since: Instant,
    close: Rc<Notify>,
}

/// The open client connections of this node.
pub struct ClientConnections {
    max_open: usize,
    max_idle: usize,
    open: Cell<usize>,
    next_sequence: Cell<u64>,
    idle: RefCell<BTreeMap<IdleRank, IdleConnection>>,
    /// Notified when a connection closes or becomes idle.
    changed: Notify,
}

impl ClientConnections {
    /// Starts without connections. `max_open` limits their number.
    pub fn new(max_open: usize) -> Self {
        ClientConnections {
            max_open,
            max_idle: max_open / MAX_IDLE_DIVISOR,
            open: Cell::new(0),
            next_sequence: Cell::new(0),
            idle: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Counts a connection that has just been accepted.
    pub fn open(self: &Rc<Self>) -> ClientConnection {
        self.open.set(self.open.get() + 1);
        let connection = ClientConnection {
            connections: Rc::clone(self),
            opened: Instant::now(),
            idle_rank: Cell::default(),
            close: Rc::new(Notify::new()),
            has_sent_request: watch::Sender::new(false),
        };
        connection.set_idle();
        connection
    }

    /// Waits until one more connection is allowed. At the limit an idle connection is closed, so that clients
    /// which keep many connections, or send nothing, cannot shut out others.
    pub async fn wait_for_capacity(&self) {
        while self.open.get() >= self.max_open {
            let changed = self.changed.notified();
            if let Some(close) = self.take_idle() {
                close.notify_one();
            }
            changed.await;
        }
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while self.open.get() > 0 {
            self.changed.notified().await;
        }
    }

    /// Closes the connection that has been idle longest after a request, if more than `max_idle` are.
    fn limit_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if idle.range(LOWEST_USED_RANK..).nth(self.max_idle).is_none() {
            return;
        }
        let longest = idle.range(LOWEST_USED_RANK..).next().map(|(rank, _)| *rank);
        if let Some(connection) = longest.and_then(|rank| idle.remove(&rank)) {
            connection.close.notify_one();
        }
    }

    /// Removes the idle connection that is to be closed first, and returns its close signal.
    fn take_idle(&self) -> Option<Rc<Notify>> {
        let mut idle = self.idle.borrow_mut();
        let is_unused = |rank: &IdleRank, connection: &IdleConnection| {
            !rank.has_sent_request && connection.since.elapsed() >= MIN_UNUSED_TIME
        };
        let unused = idle.iter().next().filter(|(rank, connection)| is_unused(rank, connection));
        let first = unused.or_else(|| idle.range(LOWEST_USED_RANK..).next()).or_else(|| idle.iter().next());
        let rank = first.map(|(rank, _)| *rank)?;
        idle.remove(&rank).map(|connection| connection.close)
    }
}

/// One client connection, counted until it is dropped.
pub struct ClientConnection {
    connections: Rc<ClientConnections>,
    opened: Instant,
    /// The connection's rank among the idle ones; `None` while it is busy.
    idle_rank: Cell<Option<IdleRank>>,
    /// Notified when the connection is to be closed.
    close: Rc<Notify>,
    /// Whether the first request has arrived.
    has_sent_request: watch::Sender<bool>,
}

impl ClientConnection {
    /// Marks the connection as idle: no request is in progress.
    pub fn set_idle(&self) {
        let connections = &self.connections;
        let sequence = connections.next_sequence.replace(connections.next_sequence.get() + 1);
        let rank = IdleRank { has_sent_request: *self.has_sent_request.borrow(), sequence };
        self.idle_rank.set(Some(rank));
        let idle = IdleConnection { since: Instant::now(), close: Rc::clone(&self.close) };
        connections.idle.borrow_mut().insert(rank, idle);
        connections.limit_idle();
        connections.changed.notify_waiters();
    }

    /// Marks the connection as busy: a request has arrived.
    pub fn set_busy(&self) {
        self.has_sent_request.send_replace(true);
        self.remove_from_idle();
    }

    /// Whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.idle_rank.get().is_some()
    }

    /// Waits until the connection is to be closed to free capacity.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Waits until the first request has arrived.
    pub async fn first_request(&self) {
        // Cannot fail: the sender lives as long as the connection.
        let _ = self.has_sent_request.subscribe().wait_for(|has_sent| *has_sent).await;
    }

    /// Time limit for the body of a request whose head has just arrived.
    pub fn body_timeout(&self) -> Duration {
        if *self.has_sent_request.borrow() {
            BODY_TIMEOUT
        } else {
            FIRST_REQUEST_TIMEOUT.saturating_sub(self.opened.elapsed()).max(MIN_BODY_TIMEOUT)
        }
    }

    fn remove_from_idle(&self) {
        if let Some(rank) = self.idle_rank.take() {
            self.connections.idle.borrow_mut().remove(&rank);
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.remove_from_idle();
        self.connections.open.set(self.connections.open.get() - 1);
        self.connections.changed.notify_waiters();
    }
}
