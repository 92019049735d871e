//! The client side of a proxy: accepts connections, reads requests whole, and ends in order.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_plane::config::ReqLimits;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::pace::{Ended, Pace, Paced};

/// A whole answer.
pub type Answer = Response<Full<Bytes>>;

pub const TRY_ID: HeaderName = HeaderName::from_static("x-glenfall-try-id");
pub const DEADLINE: HeaderName = HeaderName::from_static("x-glenfall-deadline");
/// What begins the names that are the system's own.
const OWN: &str = "x-glenfall-";

/// Pause when no descriptor is left for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// hyper reads heads into a buffer of at least this size.
const LEAST_HEAD: usize = 8 << 10;
/// Largest request body held in memory; the operator's limit may be far above what a small machine holds.
const LARGEST_BODY: usize = 8 << 20;
/// The machine's processes share its memory: bodies under way hold no more than this all together.
const BODIES: usize = 48 << 20;

/// What a client is told whose head took too long. hyper has no way to say it.
const SLOW_HEAD: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Answers requests that have been read whole.
pub trait Handler: 'static {
    async fn answer(&self, request: Whole) -> Answer;
    fn limits(&self) -> ReqLimits;
    /// Answers close their connections: the process leaves.
    fn leaving(&self) -> bool;
}

/// A request and all of its body.
pub struct Whole {
    pub head: hyper::http::request::Parts,
    pub body: Bytes,
}

impl Whole {
    /// The host that the request is for.
    pub fn host(&self) -> &str {
        self.head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("")
    }

    pub fn path_and_query(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |path| path.as_str())
    }
}

/// An answer of the system's own.
pub fn plain(status: StatusCode, why: &'static str) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The request has not run and never will; it may come again after so long.
pub fn refused(status: StatusCode, why: &'static str, retry_after: Duration) -> Answer {
    let mut response = plain(status, why);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Headers that go on to the other side: all but those that concern one connection, and the system's own.
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(str::trim))
        .collect();
    let stays = |name: &HeaderName| {
        let hop = [
            header::CONNECTION,
            header::TRANSFER_ENCODING,
            header::CONTENT_LENGTH,
            header::TE,
            header::TRAILER,
            header::UPGRADE,
            header::EXPECT,
            header::PROXY_AUTHENTICATE,
            header::PROXY_AUTHORIZATION,
        ];
        hop.contains(name)
            || matches!(name.as_str(), "keep-alive" | "proxy-connection")
            || (name.as_str().starts_with(OWN) && *name != TRY_ID && name.as_str() != "x-glenfall-seal")
            || named.iter().any(|word| name.as_str().eq_ignore_ascii_case(word))
    };
    headers
        .iter()
        .filter(|(name, _)| !stays(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Connections of clients, counted.
struct Clients {
    open: Cell<usize>,
    most: usize,
    bodies: Cell<usize>,
    closed: Notify,
}

struct Client(Rc<Clients>);

impl Drop for Client {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed.notify_waiters();
    }
}

/// Room taken for a body.
struct Room<'a>(&'a Clients, usize);

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.0.bodies.set(self.0.bodies.get() - self.1);
    }
}

/// How a proxy takes clients.
pub struct Terms {
    pub listen: SocketAddrV4,
    /// Most connections held open.
    pub most: usize,
    /// After the signal to stop, connections go on being accepted for so long: those who send them here
    /// learn of it late.
    pub still_accepting: Duration,
    /// And after this long in all, what is not done is given up.
    pub grace: Duration,
}

/// Serves until told to stop and all that was taken is answered.
pub async fn serve<H: Handler>(
    terms: Terms,
    handler: Rc<H>,
    stopping: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(terms.listen).await?;
    let clients = Rc::new(Clients {
        open: Cell::new(0),
        most: terms.most,
        bodies: Cell::new(0),
        closed: Notify::new(),
    });
    tokio::select! {
        () = accept(&listener, &handler, &clients, &stopping) => {}
        () = async {
            signalled(stopping.clone()).await;
            sleep(terms.still_accepting).await;
        } => {}
    }
    drop(listener);
    let none_left = async {
        while clients.open.get() > 0 {
            clients.closed.notified().await;
        }
    };
    let _ = timeout(terms.grace.saturating_sub(terms.still_accepting), none_left).await;
    Ok(())
}

pub async fn signalled(mut stopping: watch::Receiver<bool>) {
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
        while clients.open.get() >= clients.most {
            clients.closed.notified().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                clients.open.set(clients.open.get() + 1);
                let client = Client(Rc::clone(clients));
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
    let _ = stream.set_nodelay(true);
    let limits = handler.limits();
    let time = |ms: u64| Duration::from_millis(ms.max(1));
    let pace = Pace::new(time(limits.header_timeout_ms), time(limits.idle_timeout_ms));
    let served = Cell::new(false);
    let respond = service_fn(|request: Request<Incoming>| {
        served.set(true);
        let (handler, clients, pace) = (&handler, &client.0, &pace);
        async move {
            let _busy = pace.busy();
            // Beside `Transfer-Encoding` hyper hides a length; the two may disagree on where the next
            // request begins, so that nothing more is read on the connection.
            let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
            let (mut answer, understood) = match read_whole(request, &limits, clients).await {
                Ok((whole, _room)) => (handler.answer(whole).await, true),
                Err(answer) => (answer, false),
            };
            if chunked || !understood || handler.leaving() {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut serving = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(LEAST_HEAD))
        .serve_connection(Paced::new(stream, &pace), respond);
    let ended = tokio::select! {
        // An error is the client's, who has gone or has been told.
        ended = pace.keep(&mut serving) => Some(ended),
        () = signalled(stopping) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => close(&mut serving, &pace, &served, time(limits.header_timeout_ms.min(1000))).await,
    };
    if ended == Ended::SlowHead {
        serving.into_parts().io.last_word(SLOW_HEAD);
    }
}

/// Ends a connection in order, as the process leaves.
async fn close<S>(
    serving: &mut http1::Connection<Paced, S>,
    pace: &Pace,
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
            ended = pace.keep(serving) => return ended,
            () = first => {}
            () = sleep(first_within) => {}
        }
    }
    // Closes at once between requests, else with the answer.
    Pin::new(&mut *serving).graceful_shutdown();
    pace.keep(serving).await
}

async fn read_whole<'a>(
    request: Request<Incoming>,
    limits: &ReqLimits,
    clients: &'a Clients,
) -> Result<(Whole, Room<'a>), Answer> {
    let (head, body) = request.into_parts();
    if head.uri.authority().is_some() || head.method == hyper::Method::CONNECT {
        return Err(plain(StatusCode::BAD_REQUEST, "a path expected"));
    }
    let hosts = head.headers.get_all(header::HOST).iter().count();
    if hosts != 1 {
        return Err(plain(StatusCode::BAD_REQUEST, "one Host expected"));
    }
    let most = limits.max_body_bytes.min(LARGEST_BODY);
    let stated = body.size_hint().lower() as usize;
    if stated > most {
        return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
    }
    if body.is_end_stream() {
        return Ok((Whole { head, body: Bytes::new() }, Room(clients, 0)));
    }
    // A body in chunks may grow to the most; what is asked for is given back once it is known.
    let mut room = Room(clients, stated.max(1));
    clients.bodies.set(clients.bodies.get() + room.1);
    if clients.bodies.get() > BODIES {
        return Err(refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "no room for the body",
            Duration::from_millis(200),
        ));
    }
    let time = Duration::from_millis(limits.idle_timeout_ms.max(1));
    match timeout(time, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            clients.bodies.set(clients.bodies.get() - room.1 + body.len());
            room.1 = body.len();
            Ok((Whole { head, body }, room))
        }
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(_)) => Err(plain(StatusCode::BAD_REQUEST, "broken body")),
        Err(_) => Err(plain(StatusCode::REQUEST_TIMEOUT, "body took too long")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::task::LocalSet;
    use tokio::time::Instant;

    struct Ok204;

    impl Handler for Ok204 {
        async fn answer(&self, _whole: Whole) -> Answer {
            plain(StatusCode::NO_CONTENT, "")
        }

        fn limits(&self) -> ReqLimits {
            ReqLimits {
                max_header_bytes: 8 << 10,
                max_body_bytes: 1 << 10,
                header_timeout_ms: 150,
                idle_timeout_ms: 900,
            }
        }

        fn leaving(&self) -> bool {
            false
        }
    }

    /// What a client that says these pieces, pausing for a while after each, hears in all; and when it ends.
    async fn heard(pieces: &[(&str, u64)]) -> (String, Duration) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let (_stop, stopping) = watch::channel(false);
        spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("the client");
            let clients =
                Clients { open: Cell::new(1), most: 1, bodies: Cell::new(0), closed: Notify::new() };
            connection(stream, Rc::new(Ok204), Client(Rc::new(clients)), stopping).await;
        });
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        let mut ends = stream.split();
        let say = async {
            for (piece, pause) in pieces {
                // The other side may have ended it by then.
                let _ = ends.1.write_all(piece.as_bytes()).await;
                sleep(Duration::from_millis(*pause)).await;
            }
            std::future::pending::<()>().await;
        };
        let began = Instant::now();
        let mut text = String::new();
        tokio::select! {
            () = say => {}
            read = ends.0.read_to_string(&mut text) => { read.expect("an end in order"); }
        }
        (text, began.elapsed())
    }

    #[test]
    fn a_head_has_one_limit_and_idling_another() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
            let ms = Duration::from_millis;
            let (text, took) = heard(&[("GET / HT", 0)]).await;
            assert!(text.starts_with("HTTP/1.1 408 ") && took >= ms(150), "{text} after {took:?}");
            // Bytes that trickle in give no more time.
            let (text, _) = heard(&[("GET / H", 60), ("T", 60), ("T", 60), ("P", 60), ("/1", 600)]).await;
            assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
            // Idle for longer than a head may take.
            let (text, took) = heard(&[("", 300), (whole, 300), (whole, 0)]).await;
            assert_eq!(text.matches("HTTP/1.1 204 ").count(), 2, "{text}");
            assert!(!text.contains("408") && took >= ms(600 + 900), "{text} after {took:?}");
        });
    }
}
