//! The connections that one process opens: reuse of idle ones, and a limit on all of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_http_client::{Connection, OpenSocket};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::error::SendError;
use crate::memory_budget::MemoryBudget;

/// An attempt to connect is abandoned after this time: the SYN packet was lost, or the machine is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// An idle connection to an origin server is trusted until this long after its last use: no server silently drops one
/// so soon.
pub const MAX_TRUSTED_IDLE_TIME: Duration = Duration::from_millis(100);
/// How often expired idle connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.expires_at > now && !self.connection.is_closed()
    }
}

/// How far an idle connection is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A process of this system, which never drops a connection without closing it.
    Internal,
    /// An origin server, which may have silently dropped an idle connection. The last byte of a request on such a
    /// connection is delayed until the reset from a server that has dropped the connection would have arrived. A
    /// request that fails before that has not run, and can be sent on another connection.
    Origin,
}

/// A connection for one exchange.
pub(super) struct AcquiredConnection {
    pub connection: Connection,
    /// Whether an earlier exchange used it.
    pub is_reused: bool,
}

/// All connections that one process opens.
pub struct Pool {
    /// By address, the most recently used connection last.
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    became_idle: Notify,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
    connections_opened: Cell<u64>,
    /// The memory budget of responses.
    pub memory: MemoryBudget,
}

impl Pool {
    /// A pool of at most `max_connections`, whose responses are read into `memory`.
    pub fn new(max_connections: usize, memory: MemoryBudget) -> Rc<Self> {
        Rc::new(Pool {
            idle: RefCell::default(),
            became_idle: Notify::new(),
            open_connections: Rc::default(),
            max_connections,
            connections_opened: Cell::new(0),
            memory,
        })
    }

    /// Closes idle connections as they expire, for as long as the process runs.
    pub async fn sweep(&self) {
        loop {
            // Does not wake up periodically while no connection is idle.
            while self.idle.borrow().is_empty() {
                self.became_idle.notified().await;
            }
            sleep(SWEEP_INTERVAL).await;
            self.close_expired(Instant::now());
        }
    }

    fn close_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(now));
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Whether there is a usable idle connection to an address.
    pub fn has_idle_connection(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        idle.get(&address).is_some_and(|connections| connections.iter().any(|idle| idle.is_usable(now)))
    }

    /// How many connections were opened since the start of the process.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.get()
    }

    /// Returns an idle connection to an address, or a new one that is established before the deadline.
    pub(super) async fn acquire(
        &self,
        address: SocketAddr,
        deadline: Instant,
        kind: UpstreamKind,
    ) -> Result<AcquiredConnection, SendError> {
        if let Some(connection) = self.reuse_idle(address, kind) {
            return Ok(AcquiredConnection { connection, is_reused: true });
        }
        match timeout_at(deadline, self.connect(address)).await {
            Ok(Some(connection)) => Ok(AcquiredConnection { connection, is_reused: false }),
            Ok(None) | Err(_) => Err(SendError::NotSent),
        }
    }

    fn reuse_idle(&self, address: SocketAddr, kind: UpstreamKind) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(last) = connections.pop() {
            if !last.is_usable(now) {
                continue;
            }
            if kind == UpstreamKind::Origin && now - last.idle_since >= MAX_TRUSTED_IDLE_TIME {
                last.connection.delay_last_byte();
            }
            return Some(last.connection);
        }
        None
    }

    /// Opens a connection; `None` if it is not established, or all connections of the pool are in use.
    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        if self.open_connections.get() >= self.max_connections {
            self.close_first_expiring()?;
        }
        self.connections_opened.set(self.connections_opened.get() + 1);
        let socket = OpenSocket::claim(&self.open_connections);
        let opening = Connection::open(address, socket, MAX_HEAD_BYTES);
        timeout(CONNECT_TIMEOUT, opening).await.ok().flatten()
    }

    /// Closes the idle connection that would expire first, to make room for a new one; `None` if no connection is idle.
    fn close_first_expiring(&self) -> Option<()> {
        let mut idle = self.idle.borrow_mut();
        let with_idle = idle.values_mut().filter(|connections| !connections.is_empty());
        let connections = with_idle.min_by_key(|connections| connections[0].expires_at)?;
        connections.remove(0);
        Some(())
    }

    /// Takes back a connection whose response has been read completely, if it can be used again.
    pub(super) async fn release(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        idle_timeout: Duration,
    ) {
        if connection.is_reusable().await {
            let idle_since = Instant::now();
            let idle = IdleConnection { connection, idle_since, expires_at: idle_since + idle_timeout };
            self.idle.borrow_mut().entry(address).or_default().push(idle);
            self.became_idle.notify_one();
        }
    }
}
