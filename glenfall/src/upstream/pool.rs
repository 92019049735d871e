//! Connections to servers and shields, one request at a time on each, and whole answers read from them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use glenfall_http_client::send::{self, ExecutionStatus, SendEvent};
use glenfall_http_client::{BodyEnd, Connection, ExchangeError, OpenSocket, Progress, RequestProgress};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::http::headers::TRY_ID;
use crate::http::response::ServerResponse;
use crate::memory_budget::MemoryBudget;

/// A connection not up by then is not waited for: the opening packet was lost, or the machine is dark.
const CONNECT: Duration = Duration::from_millis(300);
/// Idle connections are closed this long before their server does, as a request that crosses the close ends
/// as a reset.
const EARLY: Duration = Duration::from_millis(1500);
/// How long servers keep idle connections where they don't say.
pub const KEPT: Duration = Duration::from_secs(6);
/// Longest head of an answer.
const LONGEST_HEAD: usize = 32 << 10;
/// Largest body of an answer that is held in memory.
const LARGEST: usize = 16 << 20;
/// From its first byte an answer comes whole within this time, or it is asked for elsewhere. Where it can't be, it is
/// waited for: silence alone is no end of an answer.
pub const ANSWER_TIME: Duration = Duration::from_secs(1);
/// No server forgets a connection that was in use as short a time ago as this.
pub const SURE: Duration = Duration::from_millis(100);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection, or not all was written: it has not run.
    NotSent,
    /// Written, and nothing that can be used came back: it may have run.
    NoResponse,
    /// The same, as time ran out.
    TimedOut,
}

struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// How far an idle connection is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// The other side is ours: it closes what it forgets.
    Internal,
    /// A server may have forgotten it without a word, and what is sent on it is lost: the end of the request waits
    /// until that would have shown.
    Origin,
}

/// All connections that one process opens.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    /// A connection has become idle.
    rested: Notify,
    open: Rc<Cell<usize>>,
    most: usize,
    /// Connections opened so far.
    pub opened: Cell<u64>,
    /// Where answers are held.
    pub memory: MemoryBudget,
}

impl Pool {
    /// A pool of so many connections at most.
    pub fn new(most: usize, memory: MemoryBudget) -> Rc<Self> {
        Rc::new(Pool {
            idle: RefCell::default(),
            rested: Notify::new(),
            open: Rc::default(),
            most,
            opened: Cell::new(0),
            memory,
        })
    }

    /// Closes what would be unused for too long, for as long as the process runs.
    pub async fn sweep(&self) {
        loop {
            // Without idle connections there is nothing to wake up for.
            while self.idle.borrow().is_empty() {
                self.rested.notified().await;
            }
            sleep(SWEEP).await;
            let now = Instant::now();
            self.idle.borrow_mut().retain(|_, idle| {
                idle.retain(|i| i.until > now && !i.connection.is_closed());
                !idle.is_empty()
            });
        }
    }

    /// Closes the idle connections to a server that takes nothing more.
    pub fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Whether there is an idle connection to a server.
    pub fn is_warm(&self, addr: SocketAddr) -> bool {
        let now = Instant::now();
        let usable = |idle: &Idle| idle.until > now && !idle.connection.is_closed();
        self.idle.borrow().get(&addr).is_some_and(|idle| idle.iter().any(usable))
    }

    fn take_idle(&self, addr: SocketAddr, trust: UpstreamKind) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if last.until > now && !last.connection.is_closed() {
                if trust == UpstreamKind::Origin && now - last.since >= SURE {
                    last.connection.be_wary();
                }
                return Some(last.connection);
            }
        }
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Option<Connection> {
        if self.open.get() >= self.most {
            // The connection that would be closed first makes memory.
            let mut all = self.idle.borrow_mut();
            let first = all.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].until)?;
            first.remove(0);
        }
        self.opened.set(self.opened.get() + 1);
        let opening = Connection::open(addr, OpenSocket::claim(&self.open), LONGEST_HEAD);
        timeout(CONNECT, opening).await.ok().flatten()
    }

    /// Sends a request and reads the whole answer. `still` is asked when a connection is up: the server may
    /// have begun to drain meanwhile.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: impl Fn() -> Request<Full<Bytes>>,
        until: Instant,
        trust: UpstreamKind,
        still: impl Fn() -> bool,
    ) -> Result<ServerResponse, SendError> {
        self.exchange_within(Some(ANSWER_TIME), addr, request, until, trust, still).await
    }

    /// The same. An answer has to be whole so long after its first byte; `None` where it can't be asked for elsewhere,
    /// and is waited for until the end.
    pub async fn exchange_within(
        &self,
        whole_within: Option<Duration>,
        addr: SocketAddr,
        request: impl Fn() -> Request<Full<Bytes>>,
        until: Instant,
        trust: UpstreamKind,
        still: impl Fn() -> bool,
    ) -> Result<ServerResponse, SendError> {
        loop {
            let (mut connection, reused) = self.connection(addr, until, trust).await?;
            if !still() {
                return Err(SendError::NotSent);
            }
            let sent = RequestProgress::default();
            let ended = self.exchange_on(&mut connection, request(), &sent, whole_within, until).await;
            match ended {
                Ok(Answered { reply, kept_for }) => {
                    if let Some(kept_for) = kept_for {
                        self.keep(addr, connection, kept_for).await;
                    }
                    return Ok(reply);
                }
                Err(event) => {
                    let stage = sent.stage();
                    // Nothing is read or written on it any more.
                    drop(connection);
                    if event == SendEvent::WrongRequest {
                        // What else the server says on connections that it had before may be as wrong.
                        self.forget(addr);
                    }
                    // It had been closed, or something came on it unasked; the server has seen nothing.
                    let was_stale = reused && event == SendEvent::Broken;
                    match send::execution_status(stage, event, false) {
                        ExecutionStatus::NotRun if was_stale => {}
                        ExecutionStatus::NotRun => return Err(SendError::NotSent),
                        _ if event == SendEvent::TimedOut => return Err(SendError::TimedOut),
                        _ => return Err(SendError::NoResponse),
                    }
                }
            }
        }
    }

    /// An idle connection to a server, or a new one; and whether it was used before.
    async fn connection(
        &self,
        addr: SocketAddr,
        until: Instant,
        trust: UpstreamKind,
    ) -> Result<(Connection, bool), SendError> {
        if let Some(idle) = self.take_idle(addr, trust) {
            return Ok((idle, true));
        }
        match timeout_at(until, self.connect(addr)).await {
            Ok(Some(new)) => Ok((new, false)),
            _ => Err(SendError::NotSent),
        }
    }

    /// One exchange on a connection: its answer, or what came in place of one.
    async fn exchange_on(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        sent: &RequestProgress,
        whole_within: Option<Duration>,
        until: Instant,
    ) -> Result<Answered, SendEvent> {
        let method = request.method().clone();
        let progress = Rc::clone(&connection.progress);
        // What waits for memory of ours is no fault of the server's.
        let waiting = Cell::new(false);
        let exchange = async {
            match connection.send(request, Some(&TRY_ID), sent).await {
                Ok(response) => {
                    read(response, &method, &self.memory, &waiting).await.ok_or(SendEvent::Malformed)
                }
                Err(ExchangeError::Unsent | ExchangeError::Broken(_)) => Err(SendEvent::Broken),
                Err(ExchangeError::Foreign) => Err(SendEvent::WrongRequest),
            }
        };
        tokio::select! {
            biased;
            ended = exchange => ended,
            () = stalled(&progress, whole_within, &waiting) => Err(SendEvent::Malformed),
            () = tokio::time::sleep_until(until) => Err(SendEvent::TimedOut),
        }
    }

    /// Keeps a connection whose answer has been read whole, if it can go on.
    async fn keep(&self, addr: SocketAddr, mut connection: Connection, kept_for: Duration) {
        if connection.is_free().await {
            let since = Instant::now();
            let idle = Idle { connection, since, until: since + kept_for };
            self.idle.borrow_mut().entry(addr).or_default().push(idle);
            self.rested.notify_one();
        }
    }
}

/// Ends when an answer has begun and does not come whole in time, though there is memory for it.
async fn stalled(progress: &Progress, whole_within: Option<Duration>, waiting: &Cell<bool>) {
    let Some(whole_within) = whole_within else { return std::future::pending().await };
    loop {
        progress.stalled(whole_within).await;
        if !waiting.get() {
            return;
        }
    }
}

/// A whole answer, and for how long its connection may be kept.
struct Answered {
    reply: ServerResponse,
    kept_for: Option<Duration>,
}

/// Reads an answer whole. `None` where it is no whole answer.
async fn read(
    response: Response<Incoming>,
    method: &Method,
    memory: &MemoryBudget,
    waiting: &Cell<bool>,
) -> Option<Answered> {
    let (head, body) = response.into_parts();
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    let bodiless =
        method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let has_end = bodiless || BodyEnd::of(&head.headers) != BodyEnd::Unclear;
    if !has_end || body.size_hint().lower() > LARGEST as u64 {
        return None;
    }
    let body = read_body(body, memory, waiting).await?;
    let kept_for = kept_for(&head.headers);
    Some(Answered { reply: ServerResponse::new(head, body), kept_for })
}

/// Reads a body for which there is memory, or will be.
async fn read_body(mut body: Incoming, memory: &MemoryBudget, waiting: &Cell<bool>) -> Option<Bytes> {
    if body.is_end_stream() {
        return Some(Bytes::new());
    }
    let stated = body.size_hint().lower() as usize;
    waiting.set(true);
    let mut held = memory.hold(stated).await?;
    waiting.set(false);
    let mut buffer = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let length = buffer.len() + data.len();
        if buffer.is_empty() && body.is_end_stream() && length <= held.bytes() {
            return Some(held.keeping(data));
        }
        if length > LARGEST {
            return None;
        }
        if length > held.bytes() {
            // No length is stated: as much again as has come.
            waiting.set(true);
            held.grow((2 * length).min(LARGEST)).await?;
            waiting.set(false);
        }
        buffer.extend_from_slice(&data);
    }
    Some(held.keeping(buffer.freeze()))
}

/// How long a connection may be kept idle after an answer.
pub fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let words = |name| headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    let mut closes = words(header::CONNECTION).flat_map(|value| value.split(','));
    if closes.any(|word| word.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let keep_alive = header::HeaderName::from_static("keep-alive");
    let stated = words(keep_alive).flat_map(|value| value.split(',')).find_map(|part| {
        let (name, value) = part.split_once('=')?;
        (name.trim().eq_ignore_ascii_case("timeout")).then(|| value.trim().parse().ok()).flatten()
    });
    let kept =
        stated.map_or(KEPT, |seconds: u64| Duration::from_secs(seconds.min(3600)).saturating_sub(EARLY));
    (!kept.is_zero()).then_some(kept)
}
