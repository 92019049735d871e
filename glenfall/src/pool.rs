//! Connections to servers and shields, one request at a time on each, and whole answers read from them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use glenfall_http::send::{self, Event, Fate};
use glenfall_http::{tells_its_end, Connection, Failed, OpenSocket, Progress, Sent};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::response::ServerResponse;
use crate::room::Room;
use crate::serve::TRY_ID;

/// A connection not up by then is not waited for: the opening packet was lost, or the machine is dark.
const CONNECT: Duration = Duration::from_millis(300);
/// Idle connections are closed this long before their server does, as a request that crosses the close ends
/// as a reset.
const EARLY: Duration = Duration::from_millis(1500);
/// How long servers keep idle connections where they don't say.
const KEPT: Duration = Duration::from_secs(6);
/// Longest head of an answer.
const LONGEST_HEAD: usize = 32 << 10;
/// Largest body of an answer that is held in memory.
const LARGEST: usize = 16 << 20;
/// From its first byte an answer comes whole within this time, or it is asked for elsewhere. Where it can't be, it is
/// waited for: silence alone is no end of an answer.
pub const ANSWER_TIME: Duration = Duration::from_secs(1);
/// No server forgets a connection that was in use as short a time ago as this.
const SURE: Duration = Duration::from_millis(100);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// No connection, or not all was written: it has not run.
    Unsent,
    /// Written, and nothing that can be used came back: it may have run.
    Unknown,
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
pub enum Trust {
    /// The other side is ours: it closes what it forgets.
    Ours,
    /// A server may have forgotten it without a word, and what is sent on it is lost: the end of the request waits
    /// until that would have shown.
    Wary,
}

/// All connections that one process opens.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    most: usize,
    /// Connections opened so far.
    pub opened: Cell<u64>,
    /// Where answers are held.
    pub room: Room,
}

impl Pool {
    pub fn new(most: usize, room: Room) -> Rc<Self> {
        Rc::new(Pool { idle: RefCell::default(), open: Rc::default(), most, opened: Cell::new(0), room })
    }

    /// Closes what would be unused for too long, for as long as the process runs.
    pub async fn sweep(&self) {
        loop {
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

    fn take_idle(&self, addr: SocketAddr, trust: Trust) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if last.until > now && !last.connection.is_closed() {
                if trust == Trust::Wary && now - last.since >= SURE {
                    last.connection.be_wary();
                }
                return Some(last.connection);
            }
        }
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Option<Connection> {
        if self.open.get() >= self.most {
            // The connection that would be closed first makes room.
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
        trust: Trust,
        still: impl Fn() -> bool,
    ) -> Result<ServerResponse, Trouble> {
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
        trust: Trust,
        still: impl Fn() -> bool,
    ) -> Result<ServerResponse, Trouble> {
        loop {
            let (mut connection, reused) = match self.take_idle(addr, trust) {
                Some(connection) => (connection, true),
                None => match timeout_at(until, self.connect(addr)).await {
                    Ok(Some(connection)) => (connection, false),
                    _ => return Err(Trouble::Unsent),
                },
            };
            if !still() {
                return Err(Trouble::Unsent);
            }
            let sent = Sent::default();
            let request = request();
            let method = request.method().clone();
            let progress = Rc::clone(&connection.progress);
            // What waits for room of ours is no fault of the server's.
            let waiting = Cell::new(false);
            let exchange = async {
                match connection.send(request, Some(&TRY_ID), &sent).await {
                    Ok(response) => {
                        read(response, &method, &self.room, &waiting).await.ok_or((Event::Noise, false))
                    }
                    // It had been closed, or something came on it unasked; the server has seen nothing.
                    Err(Failed::Unsent) => Err((Event::Broken, reused)),
                    Err(Failed::Broken(_)) => Err((Event::Broken, false)),
                    Err(Failed::Foreign) => Err((Event::Foreign, false)),
                }
            };
            let ended = tokio::select! {
                biased;
                ended = exchange => ended,
                () = stalled(&progress, whole_within, &waiting) => Err((Event::Noise, false)),
                () = tokio::time::sleep_until(until) => Err((Event::Silence, false)),
            };
            match ended {
                Ok((reply, kept)) => {
                    if let Some(kept) = kept {
                        if connection.is_free().await {
                            let since = Instant::now();
                            let idle = Idle { connection, since, until: since + kept };
                            self.idle.borrow_mut().entry(addr).or_default().push(idle);
                        }
                    }
                    return Ok(reply);
                }
                // Nothing is read or written on it any more.
                Err((event, again)) => {
                    let stage = sent.stage();
                    drop(connection);
                    if event == Event::Foreign {
                        // What else the server says on connections that it had before may be as wrong.
                        self.forget(addr);
                    }
                    match send::fate(stage, event, false) {
                        Fate::NotRun if again => {}
                        Fate::NotRun => return Err(Trouble::Unsent),
                        _ if event == Event::Silence => return Err(Trouble::TimedOut),
                        _ => return Err(Trouble::Unknown),
                    }
                }
            }
        }
    }
}

/// Ends when an answer has begun and does not come whole in time, though there is room for it.
async fn stalled(progress: &Progress, whole_within: Option<Duration>, waiting: &Cell<bool>) {
    let Some(whole_within) = whole_within else { return std::future::pending().await };
    loop {
        progress.stalled(whole_within).await;
        if !waiting.get() {
            return;
        }
    }
}

/// Reads an answer whole, and for how long its connection may be kept. `None` where it is no whole answer.
async fn read(
    response: Response<Incoming>,
    method: &Method,
    room: &Room,
    waiting: &Cell<bool>,
) -> Option<(ServerResponse, Option<Duration>)> {
    let (head, body) = response.into_parts();
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    let bodiless =
        method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !(bodiless || tells_its_end(&head.headers)) || body.size_hint().lower() > LARGEST as u64 {
        return None;
    }
    let body = read_body(body, room, waiting).await?;
    let kept = kept_for(&head.headers);
    Some((ServerResponse::new(head, body), kept))
}

/// Reads a body for which there is room, or will be.
async fn read_body(mut body: Incoming, room: &Room, waiting: &Cell<bool>) -> Option<Bytes> {
    if body.is_end_stream() {
        return Some(Bytes::new());
    }
    let stated = body.size_hint().lower() as usize;
    waiting.set(true);
    let mut held = room.hold(stated).await?;
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
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
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

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::Uri;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::task::{spawn_local, LocalSet};

    const FIRST: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

    /// A server that says one text to the first request that it ever gets, and then, unasked, another one; to each
    /// later request it answers `later`.
    async fn server(answer: &'static str, unasked: &'static str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("its address");
        spawn_local(async move {
            let mut first = true;
            while let Ok((mut stream, _)) = listener.accept().await {
                let said = std::mem::replace(&mut first, false).then_some((answer, unasked));
                spawn_local(async move {
                    let mut said = said;
                    let mut heard = Vec::new();
                    while stream.read_buf(&mut heard).await.is_ok_and(|n| n > 0) {
                        if !heard.ends_with(b"\r\n\r\n") {
                            continue;
                        }
                        heard.clear();
                        let (answer, unasked) =
                            said.take().unwrap_or(("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlater", ""));
                        let _ = stream.write_all(answer.as_bytes()).await;
                        if !unasked.is_empty() {
                            sleep(Duration::from_millis(50)).await;
                            let _ = stream.write_all(unasked.as_bytes()).await;
                        }
                    }
                });
            }
        });
        addr
    }

    /// What two requests get, one after the other.
    async fn two(answer: &'static str, unasked: &'static str, trust: Trust) -> [Result<String, Trouble>; 2] {
        let (pool, addr) = (Pool::new(8, Room::new(1 << 20)), server(answer, unasked).await);
        let mut got = Vec::new();
        for _ in 0..2 {
            let request = || {
                let mut request = Request::new(Full::new(Bytes::new()));
                *request.uri_mut() = Uri::from_static("/x");
                request
            };
            let ended =
                pool.exchange(addr, request, Instant::now() + Duration::from_secs(20), trust, || true).await;
            got.push(ended.map(|reply| String::from_utf8_lossy(reply.body()).into_owned()));
            sleep(Duration::from_millis(150)).await;
        }
        got.try_into().expect("two")
    }

    #[test]
    fn an_answer_is_read_as_the_next_one_only_where_it_came_in_answer() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let ok = |text: &str| Ok(text.to_owned());
            let twice = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst\
                         HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore";
            let informed =
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
            let longer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst and more than that";
            let shorter = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfirst";
            let neither = "HTTP/1.1 200 OK\r\n\r\nfirst";
            for (case, answer, unasked, got) in [
                ("well", FIRST, "", [ok("first"), ok("later")]),
                ("a second answer at once", twice, "", [ok("first"), ok("later")]),
                ("a second answer late", FIRST, FIRST, [ok("first"), ok("later")]),
                ("noise late", FIRST, "noise", [ok("first"), ok("later")]),
                ("a 1xx before", informed, "", [ok("first"), ok("later")]),
                ("a 1xx late", FIRST, "HTTP/1.1 100 Continue\r\n\r\n", [ok("first"), ok("later")]),
                ("longer than it says", longer, "", [ok("first"), ok("later")]),
                ("shorter than it says", shorter, "", [Err(Trouble::Unknown), ok("later")]),
                ("no length", neither, "", [Err(Trouble::Unknown), ok("later")]),
            ] {
                for trust in [Trust::Ours, Trust::Wary] {
                    assert_eq!(two(answer, unasked, trust).await, got, "{case}, {trust:?}");
                }
            }
        });
    }

    /// A server that forgets connections without a word: what comes after its first answer is reset, once a few bytes
    /// of it are there. Counts the requests that reached it whole.
    async fn forgetful(whole: Rc<Cell<u32>>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("its address");
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let whole = Rc::clone(&whole);
                spawn_local(async move {
                    let mut heard = Vec::new();
                    while !heard.ends_with(b"\r\n\r\nbody") {
                        if stream.read_buf(&mut heard).await.is_ok_and(|n| n == 0) {
                            return;
                        }
                    }
                    whole.set(whole.get() + 1);
                    let _ = stream.write_all(FIRST.as_bytes()).await;
                    let mut more = [0; 4096];
                    let read = stream.read(&mut more).await.unwrap_or(0);
                    whole.set(whole.get() + u32::from(more[..read].ends_with(b"body")));
                    // Without waiting for what is still to come.
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                });
            }
        });
        addr
    }

    #[test]
    fn a_request_on_a_forgotten_connection_goes_out_again_only_where_it_was_not_sent_whole() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            for (trust, got) in [
                // The reset comes before the last byte goes.
                (Trust::Wary, Ok("first".to_owned())),
                // Sent whole at once, it may have run.
                (Trust::Ours, Err(Trouble::Unknown)),
            ] {
                let whole = Rc::new(Cell::new(0));
                let (pool, addr) = (Pool::new(8, Room::new(1 << 20)), forgetful(Rc::clone(&whole)).await);
                let request = || {
                    let mut request = Request::new(Full::new(Bytes::from_static(b"body")));
                    *request.method_mut() = Method::POST;
                    *request.uri_mut() = Uri::from_static("/x");
                    request
                };
                let until = || Instant::now() + Duration::from_secs(20);
                assert!(pool.exchange(addr, request, until(), trust, || true).await.is_ok());
                assert!(pool.is_warm(addr));
                sleep(SURE).await;
                let second = pool.exchange(addr, request, until(), trust, || true).await;
                let second = second.map(|reply| String::from_utf8_lossy(reply.body()).into_owned());
                assert_eq!((second, whole.get()), (got, 2), "{trust:?}");
            }
        });
    }

    #[test]
    fn a_connection_is_kept_for_less_than_the_server_says() {
        let kept = |name: &'static str, value: &'static str| {
            let mut headers = HeaderMap::new();
            headers.insert(name, value.parse().unwrap());
            kept_for(&headers)
        };
        assert_eq!(kept("keep-alive", "timeout=5, max=100"), Some(Duration::from_millis(3500)));
        assert_eq!(kept("keep-alive", "timeout=1"), None);
        assert_eq!(kept("connection", "Close"), None);
        assert_eq!(kept("server", "x"), Some(KEPT));
    }
}
