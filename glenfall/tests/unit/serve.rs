//! Clients' connections: the limits of heads, of idling and of bodies, as they are in force.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use glenfall::http::headers::passed_on;
use glenfall::http_server::{plain_response, serve_at, FullRequest, FullResponse, Handler, ServerConfig};
use glenfall_control_plane::config::RequestLimits;
use hyper::header::HeaderValue;
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::support::{listener, run_local};

/// Tells how long the bodies are; who asks for `/held` waits for ever.
struct Lengths {
    limits: Cell<RequestLimits>,
    held: Notify,
}

impl Handler for Lengths {
    async fn handle(&self, whole: FullRequest) -> FullResponse {
        if whole.path_and_query() == "/held" {
            self.held.notify_one();
            std::future::pending::<()>().await;
        }
        let mut answer = plain_response(StatusCode::OK, "");
        answer.headers_mut().insert("x-length", HeaderValue::from(whole.body.len()));
        answer
    }

    fn limits(&self) -> RequestLimits {
        self.limits.get()
    }

    fn is_draining(&self) -> bool {
        false
    }
}

const LIMITS: RequestLimits = RequestLimits {
    max_header_bytes: 8 << 10,
    max_body_bytes: 4000,
    header_timeout_ms: 150,
    idle_timeout_ms: 900,
};

/// Takes clients until the sender is dropped.
async fn serving(limits: RequestLimits) -> (Rc<Lengths>, SocketAddrV4, watch::Sender<bool>) {
    let (listener, listen) = listener().await;
    let (stop, stopping) = watch::channel(false);
    let (still_accepting, grace) = (Duration::ZERO, Duration::ZERO);
    let terms = ServerConfig {
        listen,
        max_connections: 2,
        max_body_bytes: 5000,
        drain_accept_time: still_accepting,
        grace,
    };
    let handler = Rc::new(Lengths { limits: Cell::new(limits), held: Notify::new() });
    spawn_local(serve_at(listener, terms, Rc::clone(&handler), stopping));
    (handler, listen, stop)
}

fn post(path: &str, header: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{header}\r\n\r\n{body}")
}

/// What a client that says these pieces, pausing for a while after each, hears in all; and when it ends.
async fn heard(pieces: &[(&str, u64)]) -> (String, Duration) {
    heard_beside(0, pieces).await
}

/// The same, where the body of another request takes so many of 5000 bytes.
async fn heard_beside(others: usize, pieces: &[(&str, u64)]) -> (String, Duration) {
    let (handler, addr, _stop) = serving(LIMITS).await;
    let mut other = TcpStream::connect(addr).await.expect("a connection");
    if others > 0 {
        let body = post("/held", &format!("Content-Length: {others}"), &"b".repeat(others));
        other.write_all(body.as_bytes()).await.expect("a request");
        handler.held.notified().await;
    }
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
    run_local(async {
        let whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        let ms = Duration::from_millis;
        let (text, took) = heard(&[("GET / HT", 0)]).await;
        assert!(text.starts_with("HTTP/1.1 408 ") && took >= ms(150), "{text} after {took:?}");
        // Bytes that trickle in give no more time.
        let (text, _) = heard(&[("GET / H", 60), ("T", 60), ("T", 60), ("P", 60), ("/1", 600)]).await;
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        // Idle for longer than a head may take.
        let (text, took) = heard(&[("", 300), (whole, 300), (whole, 0)]).await;
        assert_eq!(text.matches("HTTP/1.1 200 ").count(), 2, "{text}");
        assert!(!text.contains("408") && took >= ms(600 + 900), "{text} after {took:?}");
    });
}

#[test]
fn bodies_are_read_whole_within_their_limits() {
    run_local(async {
        let post = |header: &str, body: &str| post("/", header, body);
        let chunk = |length: usize| format!("{length:x}\r\n{}\r\n", "b".repeat(length));
        let chunks = "Transfer-Encoding: chunked";
        for (case, first, rest, told) in [
            ("whole", post("Content-Length: 5", "hello"), String::new(), "x-length: 5\r\n"),
            ("in pieces", post("Content-Length: 4000", "a"), "a".repeat(3999), "x-length: 4000\r\n"),
            ("one more", post("Content-Length: 4001", ""), String::new(), "HTTP/1.1 413 "),
            ("in chunks", post(chunks, &chunk(900)), chunk(3100) + "0\r\n\r\n", "x-length: 4000\r\n"),
            ("one too many", post(chunks, &chunk(1000)), chunk(3001) + "0\r\n\r\n", "HTTP/1.1 413 "),
            ("no chunk", post(chunks, &chunk(10)), "what\r\n".into(), "HTTP/1.1 400 "),
            ("never whole", post("Content-Length: 9", "eight"), String::new(), "HTTP/1.1 408 "),
        ] {
            let (text, _) = heard(&[(&first, 50), (&rest, 0)]).await;
            assert!(text.contains(told), "{case}: {text}");
        }
        let (text, _) = heard_beside(3000, &[(&post("Content-Length: 2000", &"a".repeat(2000)), 0)]).await;
        assert!(text.contains("x-length: 2000"), "{text}");
        for full in [post("Content-Length: 2001", "a"), post(chunks, &chunk(2001))] {
            let (text, _) = heard_beside(3000, &[(&full, 0)]).await;
            assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("retry-after: 0.200"), "{text}");
        }
    });
}

/// Sends a request on a connection that stays open, and reads what comes; `None` where the connection has ended.
async fn asked(stream: &mut TcpStream) -> Option<String> {
    stream.write_all(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody").await.ok()?;
    let mut heard = Vec::new();
    while !heard.ends_with(b"\r\n\r\n") && !heard.ends_with(b"large") {
        if stream.read_buf(&mut heard).await.ok()? == 0 {
            return None;
        }
    }
    String::from_utf8(heard).ok()
}

#[test]
fn a_connection_goes_by_the_limits_in_force_not_by_those_of_when_it_was_opened() {
    run_local(async {
        // The idle limit at first, and after a change.
        let (first, later) = (600, 60_000);
        let limits = RequestLimits { idle_timeout_ms: first, max_body_bytes: 4, ..RequestLimits::default() };
        let (handler, addr, _stop) = serving(limits).await;
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        assert!(asked(&mut stream).await.expect("an answer").starts_with("HTTP/1.1 200 "));
        // While it rests, clients are allowed to rest for longer.
        let limits = RequestLimits { idle_timeout_ms: later, ..limits };
        handler.limits.set(limits);
        sleep(Duration::from_millis(2 * first)).await;
        let after = asked(&mut stream).await;
        assert!(after.expect("the connection is there").starts_with("HTTP/1.1 200 "));
        // Bodies may be shorter only.
        handler.limits.set(RequestLimits { max_body_bytes: 3, ..limits });
        let large = asked(&mut stream).await;
        assert!(large.expect("an answer").starts_with("HTTP/1.1 413 "));
    });
}

#[test]
fn a_client_that_rests_has_the_idle_limit_of_when_it_was_answered_where_that_is_longer() {
    run_local(async {
        let limits = RequestLimits { idle_timeout_ms: 3000, ..RequestLimits::default() };
        let (handler, addr, _stop) = serving(limits).await;
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        sleep(Duration::from_millis(2000)).await;
        assert!(asked(&mut stream).await.is_some());
        // Far less is allowed from now on, and the connection is looked at 3 s after it was opened.
        handler.limits.set(RequestLimits { idle_timeout_ms: 50, ..limits });
        sleep(Duration::from_millis(1500)).await;
        let after = asked(&mut stream).await;
        assert!(after.expect("the connection is there").starts_with("HTTP/1.1 200 "));
        // Whoever rests from now on has less.
        sleep(Duration::from_millis(3500)).await;
        assert!(asked(&mut stream).await.is_none());
    });
}

/// Asks for something small on an open connection; the status line of what comes back.
async fn status(stream: &mut TcpStream) -> Option<String> {
    stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await.ok()?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut answer).await.ok()? == 0 {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned())
}

/// Two connections are all that there is room for.
#[test]
fn a_new_client_takes_the_place_of_the_one_that_has_rested_longest_and_of_none_that_waits() {
    run_local(async {
        let limits = RequestLimits { idle_timeout_ms: 60_000, ..LIMITS };
        let (handler, addr, _stop) = serving(limits).await;
        let connect = || async { TcpStream::connect(addr).await.expect("a connection") };
        let ok = Some("HTTP/1.1 200 OK".to_owned());
        let (mut first, mut second) = (connect().await, connect().await);
        assert_eq!(status(&mut first).await, ok);
        assert_eq!(status(&mut second).await, ok);
        // It has rested for a shorter time now.
        assert_eq!(status(&mut first).await, ok);
        let mut third = connect().await;
        assert_eq!(status(&mut third).await, ok, "it is served at once");
        assert_eq!(second.read(&mut [0]).await.expect("an end in order"), 0);
        assert_eq!(status(&mut first).await, ok, "the other one stays");
        // One waits for its answer: the next client takes the place of the other.
        first.write_all(post("/held", "Content-Length: 1", "b").as_bytes()).await.expect("a request");
        handler.held.notified().await;
        let mut fourth = connect().await;
        assert_eq!(status(&mut fourth).await, ok);
        assert_eq!(third.read(&mut [0]).await.expect("an end in order"), 0);
        let open = tokio::time::timeout(Duration::from_millis(50), first.read(&mut [0])).await;
        assert!(open.is_err(), "it still waits");
    });
}

#[test]
fn headers_go_along_but_for_those_of_one_connection_and_of_the_system_itself() {
    let kept = ["x-glenfall-try-id", "x-glenfall-seal", "x-glenfall-key", "x-other", "host", "etag"];
    let taken_off = [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "x-named",
        "x-glenfall-deadline",
        "x-glenfall-want-server",
        "x-glenfall-rev",
        "x-glenfall-sends",
        "x-glenfall-again",
        "x-glenfall-failure",
        "x-glenfall-shield",
    ];
    let mut headers = hyper::HeaderMap::new();
    for name in kept.iter().chain(&taken_off) {
        headers.insert(*name, hyper::header::HeaderValue::from_static("x-named"));
    }
    let names: Vec<String> = passed_on(&headers).keys().map(ToString::to_string).collect();
    let expected = kept.map(str::to_owned);
    assert!(names.len() == expected.len() && expected.iter().all(|name| names.contains(name)), "{names:?}");
}
