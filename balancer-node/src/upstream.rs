//! Connections to cache servers and the origin: one request at a time on each, kept while idle, the most
//! recently used taken first. Nothing is opened or sent unless an attempt needs it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenfall_balancer::{Limits, ServerId, ServerState, Status};
use glenfall_http_client::{Connection, ExchangeError, OpenSocket, RequestProgress};
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{header, Method, Request, StatusCode, Uri};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::config::List;
use crate::reply::{self, Ended};

/// A request's id, the same at each server.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long its sender waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// By it a server recognises a write that it has done.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest body of any message.
pub const LONGEST_BODY: usize = 64 << 10;
/// Connections are closed after this part of the time at which servers close them: a request that crosses
/// the server's close ends as a reset.
const IDLE_PART: f64 = 0.8;
/// The same where servers state no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(10);
/// Up to so many nodes each may keep all that it once needed at a server. With more, the time for which it keeps
/// those beyond the first shrinks in step: a server holds a limited number, and what one node keeps unused
/// another is turned away for. 100 nodes at an origin of 160 connections kept 3 to 10 each for 12 s, and a third
/// of all fetches found no place.
const FEW_NODES: f64 = 10.0;
/// A server that has turned a new connection away is taken to have no room for so long: until then this node
/// waits for those it has there.
const NO_ROOM: Duration = Duration::from_secs(2);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// From its first byte an answer comes whole within this time, or it is spoilt.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Longest head of an answer, and the size of reads: a head without end is noticed early.
const LONGEST_HEAD: usize = 16 << 10;
/// For a probe, and for a connect where the settings state no time.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// A client's request as it goes on to servers.
pub struct Payload {
    /// As the client sent it.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's id of the request.
    pub id: HeaderValue,
    /// The client's key, where it sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// All of it.
    pub body: Bytes,
}

impl Payload {
    fn request(&self, host: SocketAddr, wait: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, host_value(host));
        headers.insert(REQUEST_ID, self.id.clone());
        headers.insert(DEADLINE_MS, HeaderValue::from(wait.as_millis() as u64));
        if let Some(key) = &self.idempotency_key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        request
    }
}

fn host_value(addr: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&addr.to_string()).unwrap_or(HeaderValue::from_static("localhost"))
}

/// An open connection to a server of the list.
struct Held {
    connection: Connection,
    idle_since: Instant,
    /// Counts it at its server; dropped with it.
    place: ServerPlace,
}

/// What all connections of this node to one server share.
#[derive(Default)]
struct Places {
    /// How many are open or being opened.
    open: Cell<usize>,
    /// One has fallen idle or closed. Writes that wait come first: they are few, and reads that have missed
    /// come in crowds.
    freed_for_writes: Notify,
    freed_for_reads: Notify,
    writes_waiting: Cell<usize>,
    /// Until when the server is taken to have no room for more.
    no_room_until: Cell<Option<Instant>>,
}

impl Places {
    /// The server has no room for more, and this node has a connection there that may come free.
    fn must_wait(&self) -> bool {
        self.open.get() > 0 && self.no_room_until.get().is_some_and(|until| Instant::now() < until)
    }

    fn freed(&self) {
        let waits = self.writes_waiting.get() > 0;
        let freed = if waits { &self.freed_for_writes } else { &self.freed_for_reads };
        freed.notify_one();
    }
}

/// A write that waits for a connection.
struct WaitingWrite(Rc<Places>);

impl WaitingWrite {
    fn begin(places: Rc<Places>) -> Self {
        places.writes_waiting.set(places.writes_waiting.get() + 1);
        WaitingWrite(places)
    }
}

impl Drop for WaitingWrite {
    fn drop(&mut self) {
        self.0.writes_waiting.set(self.0.writes_waiting.get() - 1);
        // Given up, it may have been told of what another can use; who wakes in vain looks again.
        self.0.freed();
    }
}

/// One of the connections to a server, from before it is opened.
pub struct ServerPlace(Rc<Places>);

impl ServerPlace {
    fn claim(places: &Rc<Places>) -> Self {
        places.open.set(places.open.get() + 1);
        ServerPlace(Rc::clone(places))
    }
}

impl Drop for ServerPlace {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.freed();
    }
}

/// A server as last listed, and this node's idle connections to it, the last used at the end.
struct Upstream {
    addr: SocketAddr,
    ready: bool,
    idle: Vec<Held>,
    places: Rc<Places>,
}

/// All servers, and this node's connections to them.
pub struct Upstreams {
    servers: RefCell<HashMap<ServerId, Upstream>>,
    open: Rc<Cell<usize>>,
    most_open: usize,
    connect_timeout: Duration,
    /// How long a connection is kept unused: the one of a server that was used last, and the others.
    idle_time: Duration,
    surplus_time: Duration,
}

impl Upstreams {
    /// `nodes` is how many share the servers.
    pub fn start(limits: &Limits, nodes: u32, most_open: usize) -> Rc<Self> {
        let stated = |seconds: f64| Duration::try_from_secs_f64(seconds).ok().filter(|time| !time.is_zero());
        let idle_time = stated(limits.idle_timeout * IDLE_PART).unwrap_or(DEFAULT_IDLE);
        let upstreams = Rc::new(Upstreams {
            servers: RefCell::default(),
            open: Rc::default(),
            most_open,
            connect_timeout: stated(limits.connect_timeout).unwrap_or(PROBE_TIME),
            idle_time,
            surplus_time: idle_time.mul_f64((FEW_NODES / f64::from(nodes.max(1))).min(1.0)),
        });
        spawn_local(sweep(Rc::downgrade(&upstreams)));
        upstreams
    }

    /// Takes the servers' addresses and states from a list. What is idle where nothing new may go is closed.
    pub fn update(&self, list: &List) {
        let mut servers = self.servers.borrow_mut();
        if list.full {
            servers.retain(|id, _| list.servers.iter().any(|(entry, _)| entry.server == *id));
        }
        for (entry, addr) in &list.servers {
            if entry.state == ServerState::Gone {
                servers.remove(&entry.server);
                continue;
            }
            let ready = entry.state == ServerState::Ready;
            let server = servers.entry(entry.server.clone()).or_insert(Upstream {
                addr: *addr,
                ready,
                idle: Vec::new(),
                places: Rc::default(),
            });
            (server.addr, server.ready) = (*addr, ready);
            server.idle.retain(|held| ready && held.connection.addr == *addr);
        }
    }

    /// Whether some server takes requests.
    pub fn any_ready(&self) -> bool {
        self.servers.borrow().values().any(|server| server.ready)
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        if let Some(server) = self.servers.borrow_mut().get_mut(server) {
            server.idle.clear();
        }
    }

    /// Idle connections to a server.
    pub fn idle(&self, server: &ServerId) -> usize {
        self.servers.borrow().get(server).map_or(0, |server| server.idle.len())
    }

    /// How long the connection of a server that was used last is kept unused, and how long each other one.
    pub fn idle_times(&self) -> (Duration, Duration) {
        (self.idle_time, self.surplus_time)
    }

    /// Counts one more connection to a server, for as long as what this gives is held.
    pub fn claim_place(&self, server: &ServerId) -> Option<ServerPlace> {
        self.servers.borrow().get(server).map(|server| ServerPlace::claim(&server.places))
    }

    /// A server is known to have no room for more connections until then.
    pub fn no_room_until(&self, server: &ServerId, until: Instant) {
        if let Some(server) = self.servers.borrow().get(server) {
            server.places.no_room_until.set(Some(until));
        }
    }

    /// Whether a request waits for one of this node's connections to a server, as there is no room for more.
    pub fn must_wait(&self, server: &ServerId) -> bool {
        self.servers.borrow().get(server).is_some_and(|server| server.places.must_wait())
    }

    /// Where a server that may be sent to is reached.
    fn addr(&self, server: &ServerId) -> Option<SocketAddr> {
        self.servers.borrow().get(server).filter(|server| server.ready).map(|server| server.addr)
    }

    /// Makes one attempt. The caller bounds its time, and ends it by dropping the future.
    pub async fn exchange(
        &self,
        server: &ServerId,
        payload: &Payload,
        wait: Duration,
        sent: &RequestProgress,
    ) -> Ended {
        let started = Instant::now();
        loop {
            let write = payload.method != Method::GET;
            let (mut held, reused) = match self.take_idle(server, write) {
                Some(held) => (held, true),
                None if self.await_place(server, write).await => continue,
                None => match self.connect(server).await {
                    Ok(held) => (held, false),
                    Err(status) => return Ended::without_reply(status),
                },
            };
            let connection = &mut held.connection;
            // The server may have begun to drain during the connect: then nothing new goes to it, and the
            // module hears what the server itself would have said.
            if self.addr(server) != Some(connection.addr) {
                return Ended::without_reply(Status::Overloaded);
            }
            let request = payload.request(connection.addr, wait.saturating_sub(started.elapsed()));
            let progress = Rc::clone(&connection.progress);
            let answer = async {
                match connection.send(request, None, sent).await {
                    Ok(response) => Some(reply::read(response).await),
                    // It had been closed, or something came on it unasked: the server has not failed, and
                    // has seen no request.
                    Err(ExchangeError::Unsent) if reused => None,
                    Err(ExchangeError::Unsent) => Some(Ended::without_reply(Status::Unreachable)),
                    Err(ExchangeError::Foreign) => Some(Ended::without_reply(Status::Malformed)),
                    Err(ExchangeError::Broken(e)) => Some(Ended::without_reply(reply::broken(Some(&e)))),
                }
            };
            let ended = tokio::select! {
                biased;
                ended = answer => ended,
                () = progress.stalled(ANSWER_TIME) => Some(Ended::without_reply(Status::Malformed)),
            };
            let Some(ended) = ended else { continue };
            if !matches!(ended.status, Status::Malformed | Status::Broken | Status::Unreachable) {
                // Before the outcome is told, as the module may answer it with the next attempt.
                let places = Rc::clone(&held.place.0);
                let kept = self.keep(server, held).await;
                // A queue that is full leaves the connection open.
                if ended.status == Status::Overloaded && !reused && !kept {
                    places.no_room_until.set(Some(Instant::now() + NO_ROOM));
                }
            }
            return ended;
        }
    }

    /// Health-checks a server on a connection of its own.
    pub async fn probe(&self, server: &ServerId) -> Status {
        let probe = async {
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
        let status = tokio::time::timeout(PROBE_TIME, probe).await;
        status.map_or(Status::TimedOut, |status| status.unwrap_or_else(|failed| failed))
    }

    /// Closes what would be unused for too long by the next sweep.
    pub fn close_unused(&self, now: Instant) {
        for server in self.servers.borrow_mut().values_mut() {
            // The last used is at the end, and kept longest.
            let surplus = server.idle.len().saturating_sub(1);
            let mut index = 0;
            server.idle.retain(|held| {
                let time = if index < surplus { self.surplus_time } else { self.idle_time };
                index += 1;
                !held.connection.is_closed() && now.duration_since(held.idle_since) + SWEEP < time
            });
        }
    }

    fn take_idle(&self, server: &ServerId, write: bool) -> Option<Held> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(server)?;
        if !write && server.places.must_wait() && server.places.writes_waiting.get() > 0 {
            return None;
        }
        let idle = &mut server.idle;
        while let Some(held) = idle.pop() {
            if !held.connection.is_closed() && held.idle_since.elapsed() < self.idle_time {
                return Some(held);
            }
        }
        None
    }

    /// Where a server has no room for more, waits until one of this node's connections there may be free, and
    /// says whether it has waited. The caller looks again.
    async fn await_place(&self, server: &ServerId, write: bool) -> bool {
        let places = self.servers.borrow().get(server).map(|server| Rc::clone(&server.places));
        let Some(places) = places.filter(|places| places.must_wait()) else { return false };
        if write {
            let waiting = WaitingWrite::begin(places);
            waiting.0.freed_for_writes.notified().await;
        } else {
            places.freed_for_reads.notified().await;
        }
        true
    }

    async fn connect(&self, server: &ServerId) -> Result<Held, Status> {
        let (addr, place) = {
            let servers = self.servers.borrow();
            let server = servers.get(server).filter(|server| server.ready).ok_or(Status::Overloaded)?;
            (server.addr, ServerPlace::claim(&server.places))
        };
        // No socket left is this node's want, not the server's: nothing was sent.
        let open = self.claim_socket().ok_or(Status::NotSent)?;
        let connecting = Connection::open(addr, open, LONGEST_HEAD);
        let connection = tokio::time::timeout(self.connect_timeout, connecting).await;
        let connection = connection.ok().flatten().ok_or(Status::Unreachable)?;
        Ok(Held { connection, idle_since: Instant::now(), place })
    }

    /// Counts one more socket; at the limit the connection that has been idle longest makes room.
    fn claim_socket(&self) -> Option<OpenSocket> {
        if self.open.get() >= self.most_open {
            let mut servers = self.servers.borrow_mut();
            let idlest = servers.values_mut().filter(|server| !server.idle.is_empty());
            idlest.min_by_key(|server| server.idle[0].idle_since)?.idle.remove(0);
        }
        Some(OpenSocket::claim(&self.open))
    }

    /// Keeps a connection whose answer has been read whole, if it can go on.
    async fn keep(&self, server: &ServerId, mut held: Held) -> bool {
        if !held.connection.is_free().await {
            return false;
        }
        held.idle_since = Instant::now();
        let mut servers = self.servers.borrow_mut();
        let kept = servers.get_mut(server).filter(|s| s.ready && s.addr == held.connection.addr);
        let Some(server) = kept else { return false };
        server.idle.push(held);
        server.places.freed();
        true
    }
}

/// Closes connections before their servers do, for as long as there are upstreams.
async fn sweep(upstreams: Weak<Upstreams>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let Some(upstreams) = upstreams.upgrade() else { return };
        upstreams.close_unused(Instant::now());
    }
}
