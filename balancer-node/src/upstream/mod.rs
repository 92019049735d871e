//! Connections to cache servers and the origin. Each carries one request at a time and is kept while idle; the
//! most recently used one is reused first. Nothing is opened or sent unless an attempt or a health check needs
//! it.

mod connection_slots;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use glenfall_balancer::{Limits, ServerId, ServerState, Status};
use glenfall_http_client::{Connection, ExchangeError, OpenSocket, RequestProgress};
use http_body_util::Full;
use hyper::{header, Request, StatusCode, Uri};
use tokio::task::spawn_local;

use crate::payload::{host_value, Payload};
use crate::protocol::MAX_HEAD_BYTES;
use crate::response::{self, AttemptResult};
use crate::server_list::{ListedServer, ServerList};
pub use connection_slots::ConnectionSlot;
use connection_slots::ConnectionSlots;

/// Idle connections are closed after this share of the time at which servers close them: a request that is
/// sent while the server closes the connection ends in a reset.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// The idle timeout if the settings state none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Up to this number of nodes, each node may keep all connections that it once needed at a server. With more
/// nodes, the time for which a node keeps connections beyond the first shrinks in proportion: a server accepts
/// a limited number, and an unused connection of one node causes rejections for another. When 100 nodes shared
/// an origin with 160 connections, each had 3 to 10 idle for 12 s, and a third of all fetches got no
/// connection.
const MAX_NODES_KEEPING_SURPLUS: f64 = 10.0;
/// How long a server that has rejected a new connection is assumed to accept no more. Until then, requests wait
/// for one of the node's open connections to it.
const CONNECTION_REJECTION_TIME: Duration = Duration::from_secs(2);
/// How often idle connections are checked for their timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for a complete response, from its first byte; a slower one counts as malformed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for a health check, and for a connect if the settings state none.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to a server, in use or idle.
struct PooledConnection {
    connection: Connection,
    idle_since: Instant,
    /// Counts the connection at its server until it is dropped.
    slot: ConnectionSlot,
}

/// A server as last listed, with this node's idle connections to it, the most recently used one last.
struct Upstream {
    addr: SocketAddr,
    is_ready: bool,
    idle: Vec<PooledConnection>,
    slots: Rc<ConnectionSlots>,
}

/// How long unused connections are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleTimeouts {
    /// For the most recently used connection to each server.
    pub last_used: Duration,
    /// For every other connection.
    pub surplus: Duration,
}

/// All servers, and this node's connections to them.
pub struct Upstreams {
    servers: RefCell<HashMap<ServerId, Upstream>>,
    open: Rc<Cell<usize>>,
    max_open: usize,
    connect_timeout: Duration,
    idle_timeouts: IdleTimeouts,
}

impl Upstreams {
    /// Creates the pool without opening a connection. `nodes` is the number of nodes that share the servers, and
    /// `max_open` limits this node's connections.
    pub fn start(limits: &Limits, nodes: u32, max_open: usize) -> Rc<Self> {
        let positive_duration =
            |seconds: f64| Duration::try_from_secs_f64(seconds).ok().filter(|time| !time.is_zero());
        let last_used =
            positive_duration(limits.idle_timeout * IDLE_TIMEOUT_SHARE).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let surplus = last_used.mul_f64((MAX_NODES_KEEPING_SURPLUS / f64::from(nodes.max(1))).min(1.0));
        let upstreams = Rc::new(Upstreams {
            servers: RefCell::default(),
            open: Rc::default(),
            max_open,
            connect_timeout: positive_duration(limits.connect_timeout).unwrap_or(HEALTH_CHECK_TIMEOUT),
            idle_timeouts: IdleTimeouts { last_used, surplus },
        });
        spawn_local(sweep(Rc::downgrade(&upstreams)));
        upstreams
    }

    /// Applies the addresses and states of the servers in a list. Closes the idle connections to servers that
    /// no longer accept requests, and to old addresses.
    pub fn update(&self, list: &ServerList) {
        let mut servers = self.servers.borrow_mut();
        if list.is_complete {
            servers.retain(|id, _| list.servers.iter().any(|listed| listed.entry.server == *id));
        }
        for ListedServer { entry, addr } in &list.servers {
            if entry.state == ServerState::Gone {
                servers.remove(&entry.server);
                continue;
            }
            let is_ready = entry.state == ServerState::Ready;
            let server = servers.entry(entry.server.clone()).or_insert(Upstream {
                addr: *addr,
                is_ready,
                idle: Vec::new(),
                slots: Rc::default(),
            });
            server.addr = *addr;
            server.is_ready = is_ready;
            server.idle.retain(|pooled| is_ready && pooled.connection.addr == *addr);
        }
    }

    /// Whether at least one server accepts requests.
    pub fn any_ready(&self) -> bool {
        self.servers.borrow().values().any(|server| server.is_ready)
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        if let Some(server) = self.servers.borrow_mut().get_mut(server) {
            server.idle.clear();
        }
    }

    /// Number of idle connections to a server.
    pub fn idle_connections(&self, server: &ServerId) -> usize {
        self.servers.borrow().get(server).map_or(0, |server| server.idle.len())
    }

    /// The idle timeouts in use.
    pub fn idle_timeouts(&self) -> IdleTimeouts {
        self.idle_timeouts
    }

    /// Counts one more connection to a server, for as long as the returned slot exists.
    pub fn claim_slot(&self, server: &ServerId) -> Option<ConnectionSlot> {
        self.servers.borrow().get(server).map(|server| server.slots.claim())
    }

    /// Records that a server accepts no more connections until this time.
    pub fn set_full_until(&self, server: &ServerId, until: Instant) {
        if let Some(server) = self.servers.borrow().get(server) {
            server.slots.set_full_until(until);
        }
    }

    /// Whether a request must wait for one of this node's connections to a server, because the server accepts
    /// no more.
    pub fn must_wait(&self, server: &ServerId) -> bool {
        self.servers.borrow().get(server).is_some_and(|server| server.slots.must_wait())
    }

    /// The address of a server that accepts requests.
    fn addr(&self, server: &ServerId) -> Option<SocketAddr> {
        self.servers.borrow().get(server).filter(|server| server.is_ready).map(|server| server.addr)
    }

    /// Makes one attempt. `request_progress` records how much of the request has been written. The caller limits
    /// the time, and ends the attempt by dropping the future.
    pub async fn exchange(
        &self,
        server: &ServerId,
        payload: &Payload,
        time_left: Duration,
        request_progress: &RequestProgress,
    ) -> AttemptResult {
        let started = Instant::now();
        loop {
            let (mut pooled, is_reused) = match self.take_idle(server, payload.is_write()) {
                Some(pooled) => (pooled, true),
                None if self.wait_for_slot(server, payload.is_write()).await => continue,
                None => match self.connect(server).await {
                    Ok(pooled) => (pooled, false),
                    Err(status) => return AttemptResult::without_response(status),
                },
            };
            let connection = &mut pooled.connection;
            // The server may have begun to drain during the connect. Then nothing is sent to it, and the
            // balancer gets the status with which the server itself would have rejected the request.
            if self.addr(server) != Some(connection.addr) {
                return AttemptResult::without_response(Status::Overloaded);
            }
            let request = payload.to_request(connection.addr, time_left.saturating_sub(started.elapsed()));
            let progress = Rc::clone(&connection.progress);
            let exchange = async {
                match connection.send(request, None, request_progress).await {
                    Ok(response) => Some(response::read(response).await),
                    // The connection had been closed, or had received unsolicited bytes: the server has not
                    // failed, and has not received the request.
                    Err(ExchangeError::NotSent) if is_reused => None,
                    Err(ExchangeError::NotSent) => Some(AttemptResult::without_response(Status::Unreachable)),
                    Err(ExchangeError::WrongRequest) => {
                        Some(AttemptResult::without_response(Status::Malformed))
                    }
                    Err(ExchangeError::ConnectionLost(e)) => {
                        Some(AttemptResult::without_response(response::status_of_error(Some(&e))))
                    }
                }
            };
            let result = tokio::select! {
                biased;
                result = exchange => result,
                () = progress.response_timed_out(RESPONSE_TIMEOUT) => Some(AttemptResult::without_response(Status::Malformed)),
            };
            let Some(result) = result else { continue };
            if !matches!(result.status, Status::Malformed | Status::Broken | Status::Unreachable) {
                // Done before the outcome is reported, as the balancer may start the next attempt in response.
                let slots = pooled.slot.slots();
                let is_reusable = self.return_to_pool(server, pooled).await;
                // A server whose queue is full rejects the request and keeps the connection open. This server has
                // closed the connection, so it accepts no more connections.
                if result.status == Status::Overloaded && !is_reused && !is_reusable {
                    slots.set_full_until(Instant::now() + CONNECTION_REJECTION_TIME);
                }
            }
            return result;
        }
    }

    /// Checks a server's health on a new connection.
    pub async fn check_health(&self, server: &ServerId) -> Status {
        let check = async {
            let mut connection = self.connect(server).await?.connection;
            let mut request = Request::new(Full::default());
            *request.uri_mut() = Uri::from_static("/health/live");
            request.headers_mut().insert(header::HOST, host_value(connection.addr));
            let response = connection.send(request, None, &RequestProgress::default()).await;
            match response.map(|response| response.status()) {
                Ok(StatusCode::OK) => Ok(Status::Success),
                Ok(_) => Ok(Status::Error),
                Err(_) => Ok(Status::Broken),
            }
        };
        let status = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, check).await;
        status.map_or(Status::TimedOut, |status| status.unwrap_or_else(|failed| failed))
    }

    /// Closes idle connections that would exceed their timeout before the next sweep.
    pub fn close_unused(&self, now: Instant) {
        for server in self.servers.borrow_mut().values_mut() {
            // The most recently used connection is last, and is kept longest.
            let surplus = server.idle.len().saturating_sub(1);
            let mut index = 0;
            server.idle.retain(|pooled| {
                let IdleTimeouts { last_used, surplus: surplus_timeout } = self.idle_timeouts;
                let timeout = if index < surplus { surplus_timeout } else { last_used };
                index += 1;
                let idle_at_next_sweep = now.duration_since(pooled.idle_since) + SWEEP_INTERVAL;
                !pooled.connection.is_closed() && idle_at_next_sweep < timeout
            });
        }
    }

    fn take_idle(&self, server: &ServerId, is_write: bool) -> Option<PooledConnection> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(server)?;
        if !is_write && server.slots.are_reserved_for_writes() {
            return None;
        }
        let idle = &mut server.idle;
        while let Some(pooled) = idle.pop() {
            let is_fresh = pooled.idle_since.elapsed() < self.idle_timeouts.last_used;
            if !pooled.connection.is_closed() && is_fresh {
                return Some(pooled);
            }
        }
        None
    }

    /// If a server accepts no more connections, waits until one of this node's connections to it may be free.
    /// Returns whether it waited; the caller must then check again.
    async fn wait_for_slot(&self, server: &ServerId, is_write: bool) -> bool {
        let slots = self.servers.borrow().get(server).map(|server| Rc::clone(&server.slots));
        let Some(slots) = slots.filter(|slots| slots.must_wait()) else { return false };
        slots.wait(is_write).await;
        true
    }

    async fn connect(&self, server: &ServerId) -> Result<PooledConnection, Status> {
        let (addr, slot) = {
            let servers = self.servers.borrow();
            let server = servers.get(server).filter(|server| server.is_ready).ok_or(Status::Overloaded)?;
            (server.addr, server.slots.claim())
        };
        // Having no socket left is this node's fault, not the server's: nothing was sent.
        let open_socket = self.claim_socket().ok_or(Status::NotSent)?;
        let connecting = Connection::open(addr, open_socket, MAX_HEAD_BYTES);
        let connection = tokio::time::timeout(self.connect_timeout, connecting).await;
        let connection = connection.ok().flatten().ok_or(Status::Unreachable)?;
        Ok(PooledConnection { connection, idle_since: Instant::now(), slot })
    }

    /// Counts one more socket. At the limit, the connection that has been idle longest is closed for it; `None`
    /// if no connection is idle.
    fn claim_socket(&self) -> Option<OpenSocket> {
        if self.open.get() >= self.max_open {
            let mut servers = self.servers.borrow_mut();
            let with_idle = servers.values_mut().filter(|server| !server.idle.is_empty());
            with_idle.min_by_key(|server| server.idle[0].idle_since)?.idle.remove(0);
        }
        Some(OpenSocket::claim(&self.open))
    }

    /// Adds a connection to the idle ones, if its last response was read completely and it can be reused.
    /// Returns whether it was added.
    async fn return_to_pool(&self, server: &ServerId, mut pooled: PooledConnection) -> bool {
        if !pooled.connection.is_reusable().await {
            return false;
        }
        pooled.idle_since = Instant::now();
        let mut servers = self.servers.borrow_mut();
        let listed =
            servers.get_mut(server).filter(|server| server.is_ready && server.addr == pooled.connection.addr);
        let Some(server) = listed else { return false };
        server.idle.push(pooled);
        server.slots.notify_freed();
        true
    }
}

/// Closes idle connections before their servers do, for as long as the pool exists.
async fn sweep(upstreams: Weak<Upstreams>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let Some(upstreams) = upstreams.upgrade() else { return };
        upstreams.close_unused(Instant::now());
    }
}
