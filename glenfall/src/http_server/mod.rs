//! The client side of a proxy: accepts connections, reads requests whole, and ends in order.

pub mod client_timeouts;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use glenfall_control_plane::config::RequestLimits;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::http::failure::Cause;
use crate::http::response::LocalResponse;
use crate::http_server::client_timeouts::{ClientTimeouts, Ended, TimedStream};

/// A whole answer, of whatever origin: proxies make theirs as [`ProxyResponse`](crate::http::response::ProxyResponse).
pub type FullResponse = Response<Full<Bytes>>;

/// Pause when no descriptor is left for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// hyper reads heads into a buffer of at least this size.
const LEAST_HEAD: usize = 8 << 10;
/// A body may take `idleTimeoutMs`, and more at this many bytes a second; slower clients would hold what it takes
/// for ever.
const SLOWEST_BODY: f64 = 32.0 * 1024.0;

/// What a client is told whose head took too long. hyper has no way to say it.
const SLOW_HEAD: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Answers requests that have been read whole.
pub trait Handler: 'static {
    /// Answers a request that was read whole. Dropped where its client goes.
    fn handle(&self, request: FullRequest) -> impl Future<Output = FullResponse>;
    /// What clients have to keep to.
    fn limits(&self) -> RequestLimits;
    /// Answers close their connections: the process leaves.
    fn is_draining(&self) -> bool;
    /// A request was turned away before it was read whole.
    fn on_rejected(&self, _head: &Parts, _response: &LocalResponse, _began: Instant) {}
    /// A client took too long for the head of a request.
    fn on_slow_head(&self) {}
}

/// A request and all of its body.
pub struct FullRequest {
    /// Method, path, headers.
    pub head: Parts,
    /// All of it.
    pub body: Bytes,
}

impl FullRequest {
    /// The host that the request is for.
    pub fn host(&self) -> &str {
        self.head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("")
    }

    /// As the request line had it.
    pub fn path_and_query(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |path| path.as_str())
    }
}

/// An answer of the system's own.
pub fn plain_response(status: StatusCode, why: &'static str) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The request has not run and never will; it may come again after so long.
pub fn retry_later_response(status: StatusCode, why: &'static str, retry_after: Duration) -> FullResponse {
    let mut response = plain_response(status, why);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Connections of clients, counted.
struct Clients {
    open: Cell<usize>,
    most: usize,
    /// Those that have been answered and rest, the longest first; each hears when it is to make way for a new one.
    resting: RefCell<BTreeMap<u64, Rc<Notify>>>,
    rests: Cell<u64>,
    /// Bytes of bodies under way, and how many there may be.
    bodies: Cell<usize>,
    most_bodies: usize,
    closed: Notify,
}

impl Clients {
    /// Closes the connection that has rested longest: its other side opens a new one when it has something to say.
    fn evict(&self) {
        if let Some((_, evicted)) = self.resting.borrow_mut().pop_first() {
            evicted.notify_one();
        }
    }
}

/// A connection of a client, counted until this is dropped.
struct Client {
    clients: Rc<Clients>,
    /// Its place among those that rest.
    rest: Cell<Option<u64>>,
    evicted: Rc<Notify>,
}

impl Client {
    fn new(clients: &Rc<Clients>) -> Self {
        clients.open.set(clients.open.get() + 1);
        Client { clients: Rc::clone(clients), rest: Cell::new(None), evicted: Rc::default() }
    }

    fn begins(&self) {
        if let Some(rest) = self.rest.take() {
            self.clients.resting.borrow_mut().remove(&rest);
        }
    }

    fn rests(&self) {
        let rest = self.clients.rests.get() + 1;
        self.clients.rests.set(rest);
        self.rest.set(Some(rest));
        self.clients.resting.borrow_mut().insert(rest, Rc::clone(&self.evicted));
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.begins();
        self.clients.open.set(self.clients.open.get() - 1);
        self.clients.closed.notify_waiters();
    }
}

/// BodyReservation taken for a body.
struct BodyReservation<'a>(&'a Clients, usize);

impl BodyReservation<'_> {
    /// Takes so much in all; false where there is not as much.
    fn make(&mut self, bytes: usize) -> bool {
        let others = self.0.bodies.get() - self.1;
        let fits = others + bytes <= self.0.most_bodies;
        if fits {
            self.0.bodies.set(others + bytes);
            self.1 = bytes;
        }
        fits
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.0.bodies.set(self.0.bodies.get() - self.1);
    }
}

/// How a proxy takes clients.
pub struct ServerConfig {
    /// Where clients connect.
    pub listen: SocketAddrV4,
    /// Most connections held open. With one more the one that has rested longest is closed.
    pub max_connections: usize,
    /// Most bytes of request bodies held, of all connections together.
    pub max_body_bytes: usize,
    /// After the signal to stop, connections go on being accepted for so long: those who send them here
    /// learn of it late.
    pub drain_accept_time: Duration,
    /// And after this long in all, what is not done is given up.
    pub grace: Duration,
}

/// Serves until told to stop and all that was taken is answered.
pub async fn serve<H: Handler>(
    terms: ServerConfig,
    handler: Rc<H>,
    stopping: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(terms.listen).await?;
    serve_at(listener, terms, handler, stopping).await;
    Ok(())
}

/// The same, at a listener that is open already.
pub async fn serve_at<H: Handler>(
    listener: TcpListener,
    terms: ServerConfig,
    handler: Rc<H>,
    stopping: watch::Receiver<bool>,
) {
    // Accepted sockets inherit it, which saves a call for each connection. Without it answers are slower, but whole.
    let _ = SockRef::from(&listener).set_tcp_nodelay(true);
    let clients = Rc::new(Clients {
        open: Cell::new(0),
        most: terms.max_connections,
        resting: RefCell::default(),
        rests: Cell::new(0),
        bodies: Cell::new(0),
        most_bodies: terms.max_body_bytes,
        closed: Notify::new(),
    });
    tokio::select! {
        () = accept(&listener, &handler, &clients, &stopping) => {}
        () = async {
            stop_requested(stopping.clone()).await;
            sleep(terms.drain_accept_time).await;
        } => {}
    }
    drop(listener);
    let none_left = async {
        while clients.open.get() > 0 {
            clients.closed.notified().await;
        }
    };
    if timeout(terms.grace.saturating_sub(terms.drain_accept_time), none_left).await.is_err() {
        tracing::warn!(connections = clients.open.get(), listen = %terms.listen, "given up as the grace ends");
    }
}

/// Ends once the process is told to stop.
pub async fn stop_requested(mut stopping: watch::Receiver<bool>) {
    // An error means that nobody is left to signal, which ends the process as well.
    let _ = stopping.wait_for(|stop| *stop).await;
}

async fn accept<H: Handler>(
    listener: &TcpListener,
    handler: &Rc<H>,
    clients: &Rc<Clients>,
    stopping: &watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while clients.open.get() >= clients.most {
                    clients.evict();
                    // One that is evicted as its next request comes stays, and another one is asked.
                    let _ = timeout(ACCEPT_PAUSE, clients.closed.notified()).await;
                }
                let client = Client::new(clients);
                spawn_local(connection(stream, Rc::clone(handler), client, stopping.clone()));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    client: Client,
    stopping: watch::Receiver<bool>,
) {
    let limits = handler.limits();
    let time = |ms: u64| Duration::from_millis(ms.max(1));
    let timeouts = ClientTimeouts::new({
        let handler = Rc::clone(&handler);
        move || {
            let limits = handler.limits();
            client_timeouts::Limits {
                head: time(limits.header_timeout_ms),
                idle: time(limits.idle_timeout_ms),
            }
        }
    });
    let served = Cell::new(false);
    let respond = service_fn(|request: Request<Incoming>| {
        served.set(true);
        let (handler, client, timeouts) = (&handler, &client, &timeouts);
        async move {
            let _busy = timeouts.busy();
            client.begins();
            let answer = respond_to(request, &**handler, &client.clients).await;
            client.rests();
            Ok::<_, Infallible>(answer)
        }
    });
    let mut serving = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(LEAST_HEAD))
        .serve_connection(TokioIo::new(TimedStream::new(stream, &timeouts)), respond);
    let ended = loop {
        tokio::select! {
            // An error is the client's, who has gone or has been told.
            ended = timeouts.keep(&mut serving) => break Some(ended),
            () = stop_requested(stopping.clone()) => break None,
            () = client.evicted.notified() => if timeouts.is_resting() {
                Pin::new(&mut serving).graceful_shutdown();
                break Some(timeouts.keep(&mut serving).await);
            }
        }
    };
    let ended = match ended {
        Some(ended) => ended,
        None => close(&mut serving, &timeouts, &served, time(limits.header_timeout_ms.min(1000))).await,
    };
    if ended == Ended::SlowHead {
        handler.on_slow_head();
        serving.into_parts().io.inner().last_word(SLOW_HEAD);
    }
}

/// Reads a request whole and answers it; the answer says whether another may follow on the connection.
async fn respond_to<H: Handler>(request: Request<Incoming>, handler: &H, clients: &Clients) -> FullResponse {
    // Beside `Transfer-Encoding` hyper hides a length; the two may disagree on where the next request begins, so that
    // nothing more is read on the connection.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let limits = handler.limits();
    let began = Instant::now();
    let (head, body) = request.into_parts();
    let (mut answer, understood) = match read_whole(&head, body, &limits, clients).await {
        Ok((body, _room)) => (handler.handle(FullRequest { head, body }).await, true),
        Err(local) => {
            handler.on_rejected(&head, &local, began);
            (FullResponse::from(local), false)
        }
    };
    if chunked || !understood || handler.is_draining() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Ends a connection in order, as the process leaves.
async fn close<S>(
    serving: &mut http1::Connection<TokioIo<TimedStream>, S>,
    timeouts: &ClientTimeouts,
    served: &Cell<bool>,
    first_within: Duration,
) -> Ended
where
    S: HttpService<Incoming, ResBody = Full<Bytes>>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // A new connection gets its first answer: its request may be on its way.
    if !served.get() {
        let first = async {
            loop {
                sleep(Duration::from_millis(20)).await;
                if served.get() {
                    return;
                }
            }
        };
        tokio::select! {
            ended = timeouts.keep(serving) => return ended,
            () = first => {}
            () = sleep(first_within) => {}
        }
    }
    // Closes at once between requests, else with the answer.
    Pin::new(&mut *serving).graceful_shutdown();
    timeouts.keep(serving).await
}

/// Reads the body of a request whole, and holds the memory for it.
async fn read_whole<'a>(
    head: &Parts,
    body: Incoming,
    limits: &RequestLimits,
    clients: &'a Clients,
) -> Result<(Bytes, BodyReservation<'a>), LocalResponse> {
    if head.uri.authority().is_some() || head.method == hyper::Method::CONNECT {
        return Err(LocalResponse::bad_request("a path expected"));
    }
    let hosts = head.headers.get_all(header::HOST).iter().count();
    if hosts != 1 {
        return Err(LocalResponse::bad_request("one Host expected"));
    }
    // A body is held whole, so that it can go to a second server where the first has not run it.
    let most = limits.max_body_bytes.min(clients.most_bodies);
    let stated = body.size_hint().lower() as usize;
    if stated > most {
        return Err(LocalResponse::payload_too_large());
    }
    if body.is_end_stream() {
        return Ok((Bytes::new(), BodyReservation(clients, 0)));
    }
    let mut reservation = BodyReservation(clients, 0);
    let body = read_body(body, stated, most, limits, &mut reservation).await?;
    Ok((body, reservation))
}

async fn read_body(
    mut body: Incoming,
    stated: usize,
    most: usize,
    limits: &RequestLimits,
    reservation: &mut BodyReservation<'_>,
) -> Result<Bytes, LocalResponse> {
    let began = Instant::now();
    let idle = Duration::from_millis(limits.idle_timeout_ms.max(1));
    // Of a stated length all is taken at once, else what has come and as much again.
    let no_room = || LocalResponse::refused(Cause::NoBodyMemory, Duration::from_millis(200));
    if !reservation.make(stated) {
        return Err(no_room());
    }
    let mut buffer = BytesMut::with_capacity(stated);
    loop {
        let timeouts = Duration::from_secs_f64(buffer.len() as f64 / SLOWEST_BODY);
        let due = (Instant::now() + idle).min(began + idle + timeouts);
        let data = match timeout_at(due, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) => return Ok(buffer.freeze()),
            Ok(Some(Err(_))) => return Err(LocalResponse::bad_request("broken body")),
            Err(_) => return Err(LocalResponse::request_timeout()),
        };
        let length = buffer.len() + data.len();
        if length > most {
            return Err(LocalResponse::payload_too_large());
        }
        if buffer.is_empty() && body.is_end_stream() {
            return if reservation.make(length) { Ok(data) } else { Err(no_room()) };
        }
        if length > buffer.capacity() {
            let grown = (2 * length).min(most);
            if !reservation.make(grown) {
                return Err(no_room());
            }
            buffer.reserve(grown - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
}
