//! Client connections: how many are open, which are idle, and which are closed to make capacity for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{watch, Notify};

/// A new connection has so long for its first complete request: by then usual clients have sent it, and those
/// that send nothing or stop halfway use a descriptor for no longer.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// For the body of any request but the first, once its head has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// For the body of the first request at least; it has what is left of the first request's time.
const MIN_BODY_TIMEOUT: Duration = Duration::from_millis(400);
/// One connection in so many may be idle after a request; beyond that, those idle longest are closed. All
/// clients together may have no more than a third of the descriptors idle, so that clients that send one
/// request and keep what they opened would otherwise shut out others long before the node is full. It bounds
/// what is open for clients that have died unnoticed, too. Harm: where more clients than that are really at
/// work in turn, they connect anew for each request.
const IDLE_DIVISOR: usize = 3;
/// Before this a new connection is not suspected of sending nothing: its request may lie in the kernel.
const MIN_UNUSED_TIME: Duration = Duration::from_millis(200);

/// The order in which idle connections are closed: those that never sent a request, then the others, in each
/// the longest idle first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleRank {
    has_sent_request: bool,
    sequence: u64,
}

/// The first rank of connections that have sent a request.
const FIRST_USED: IdleRank = IdleRank { has_sent_request: true, sequence: 0 };

/// An idle connection.
struct IdleConnection {
    since: Instant,
    close: Rc<Notify>,
}

/// All client connections.
pub struct ClientConnections {
    max_open: usize,
    max_idle: usize,
    open: Cell<usize>,
    next_sequence: Cell<u64>,
    idle: RefCell<BTreeMap<IdleRank, IdleConnection>>,
    /// A connection has closed or become idle.
    changed: Notify,
}

impl ClientConnections {
    /// No connection is open; `max_open` may be.
    pub fn new(max_open: usize) -> Self {
        ClientConnections {
            max_open,
            max_idle: max_open / IDLE_DIVISOR,
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

    /// Waits until one more connection is allowed. An idle one is closed for it, so that clients which keep
    /// many, or send nothing, cannot shut out the others.
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

    /// Closes the connection that has been idle longest after a request, if more are idle than allowed.
    fn limit_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if idle.range(FIRST_USED..).nth(self.max_idle).is_none() {
            return;
        }
        let longest = idle.range(FIRST_USED..).next().map(|(rank, _)| *rank);
        if let Some(connection) = longest.and_then(|rank| idle.remove(&rank)) {
            connection.close.notify_one();
        }
    }

    /// Takes the idle connection that is to be closed first.
    fn take_idle(&self) -> Option<Rc<Notify>> {
        let mut idle = self.idle.borrow_mut();
        let is_unused = |rank: &IdleRank, connection: &IdleConnection| {
            !rank.has_sent_request && connection.since.elapsed() >= MIN_UNUSED_TIME
        };
        let unused = idle.iter().next().filter(|(rank, connection)| is_unused(rank, connection));
        let first = unused.or_else(|| idle.range(FIRST_USED..).next()).or_else(|| idle.iter().next());
        let rank = first.map(|(rank, _)| *rank)?;
        idle.remove(&rank).map(|connection| connection.close)
    }
}

/// One client connection, counted until it is dropped.
pub struct ClientConnection {
    connections: Rc<ClientConnections>,
    opened: Instant,
    /// Its rank among the idle ones while it is idle.
    idle_rank: Cell<Option<IdleRank>>,
    /// Requests that it be closed.
    close: Rc<Notify>,
    /// Whether its first request has arrived.
    has_sent_request: watch::Sender<bool>,
}

impl ClientConnection {
    /// It has no request in progress.
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

    /// A request has arrived on it.
    pub fn set_busy(&self) {
        self.has_sent_request.send_replace(true);
        self.remove_from_idle();
    }

    /// Whether it has no request in progress.
    pub fn is_idle(&self) -> bool {
        self.idle_rank.get().is_some()
    }

    /// Waits until it is to be closed.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Waits for its first request.
    pub async fn first_request(&self) {
        // The sender lives as long as the connection, so that this cannot fail.
        let _ = self.has_sent_request.subscribe().wait_for(|has_sent| *has_sent).await;
    }

    /// How long the body of a request whose head has just arrived may take.
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
