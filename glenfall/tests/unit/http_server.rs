//! Clients' connections: timeouts of heads, of idle connections and of bodies, body memory, and eviction.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

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

/// Responds with the length of each request's body; a request for `/pending` never gets a response.
struct LengthHandler {
    limits: Cell<RequestLimits>,
    /// Notified when a request for `/pending` is being handled.
    pending: Notify,
}

impl Handler for LengthHandler {
    async fn handle(&self, request: FullRequest) -> FullResponse {
        if request.path_and_query() == "/pending" {
            self.pending.notify_one();
            std::future::pending::<()>().await;
        }
        let mut response = plain_response(StatusCode::OK, "");
        response.headers_mut().insert("x-length", HeaderValue::from(request.body.len()));
        response
    }

    fn limits(&self) -> RequestLimits {
        self.limits.get()
    }

    fn is_draining(&self) -> bool {
        false
    }
}

const TEST_LIMITS: RequestLimits = RequestLimits {
    max_header_bytes: 8 << 10,
    max_body_bytes: 4000,
    header_timeout_ms: 150,
    idle_timeout_ms: 900,
};

/// Starts a server for two connections and 5000 bytes of bodies, which stops when the sender is dropped.
async fn start_server(limits: RequestLimits) -> (Rc<LengthHandler>, SocketAddrV4, watch::Sender<bool>) {
    let (listener, listen) = listener().await;
    let (stop, stopping) = watch::channel(false);
    let config = ServerConfig {
        listen,
        max_connections: 2,
        max_body_bytes: 5000,
        drain_accept_time: Duration::ZERO,
        shutdown_timeout: Duration::ZERO,
    };
    let handler = Rc::new(LengthHandler { limits: Cell::new(limits), pending: Notify::new() });
    spawn_local(serve_at(listener, config, Rc::clone(&handler), stopping));
    (handler, listen, stop)
}

fn post(path: &str, header: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{header}\r\n\r\n{body}")
}

/// Sends these chunks, with a pause in milliseconds after each. Returns what the client receives until its connection
/// closes, and how long that takes.
async fn send_chunks(chunks: &[(&str, u64)]) -> (String, Duration) {
    send_chunks_with_memory_in_use(0, chunks).await
}

/// Like `send_chunks`, while the body of another request uses this many of the 5000 bytes.
async fn send_chunks_with_memory_in_use(bytes_in_use: usize, chunks: &[(&str, u64)]) -> (String, Duration) {
    let (handler, addr, _stop) = start_server(TEST_LIMITS).await;
    let mut other = TcpStream::connect(addr).await.expect("a connection");
    if bytes_in_use > 0 {
        let body = post("/pending", &format!("Content-Length: {bytes_in_use}"), &"b".repeat(bytes_in_use));
        other.write_all(body.as_bytes()).await.expect("a request");
        handler.pending.notified().await;
    }
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let (mut read_half, mut write_half) = stream.split();
    let send = async {
        for (chunk, pause) in chunks {
            // The server may have closed the connection by then.
            let _ = write_half.write_all(chunk.as_bytes()).await;
            sleep(Duration::from_millis(*pause)).await;
        }
        std::future::pending::<()>().await;
    };
    let started = Instant::now();
    let mut text = String::new();
    tokio::select! {
        () = send => {}
        read = read_half.read_to_string(&mut text) => { read.expect("an orderly close"); }
    }
    (text, started.elapsed())
}

#[test]
fn heads_and_idle_connections_have_separate_timeouts() {
    run_local(async {
        let request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        let ms = Duration::from_millis;
        let (text, elapsed) = send_chunks(&[("GET / HT", 0)]).await;
        assert!(text.starts_with("HTTP/1.1 408 ") && elapsed >= ms(150), "{text} after {elapsed:?}");
        // The timeout does not restart with each byte of a head.
        let (text, _) = send_chunks(&[("GET / H", 60), ("T", 60), ("T", 60), ("P", 60), ("/1", 600)]).await;
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        // Idle for longer than a head may take.
        let (text, elapsed) = send_chunks(&[("", 300), (request, 300), (request, 0)]).await;
        assert_eq!(text.matches("HTTP/1.1 200 ").count(), 2, "{text}");
        assert!(!text.contains("408") && elapsed >= ms(600 + 900), "{text} after {elapsed:?}");
    });
}

#[test]
fn bodies_are_read_completely_within_their_limits() {
    run_local(async {
        let post = |header: &str, body: &str| post("/", header, body);
        let chunk = |length: usize| format!("{length:x}\r\n{}\r\n", "b".repeat(length));
        let chunks = "Transfer-Encoding: chunked";
        for (case, first, rest, expected) in [
            ("complete", post("Content-Length: 5", "hello"), String::new(), "x-length: 5\r\n"),
            ("in two writes", post("Content-Length: 4000", "a"), "a".repeat(3999), "x-length: 4000\r\n"),
            ("one byte too many", post("Content-Length: 4001", ""), String::new(), "HTTP/1.1 413 "),
            ("chunked", post(chunks, &chunk(900)), chunk(3100) + "0\r\n\r\n", "x-length: 4000\r\n"),
            (
                "chunked, one byte too many",
                post(chunks, &chunk(1000)),
                chunk(3001) + "0\r\n\r\n",
                "HTTP/1.1 413 ",
            ),
            ("malformed chunk", post(chunks, &chunk(10)), "what\r\n".into(), "HTTP/1.1 400 "),
            ("never complete", post("Content-Length: 9", "eight"), String::new(), "HTTP/1.1 408 "),
        ] {
            let (text, _) = send_chunks(&[(&first, 50), (&rest, 0)]).await;
            assert!(text.contains(expected), "{case}: {text}");
        }
        let (text, _) =
            send_chunks_with_memory_in_use(3000, &[(&post("Content-Length: 2000", &"a".repeat(2000)), 0)])
                .await;
        assert!(text.contains("x-length: 2000"), "{text}");
        for request in [post("Content-Length: 2001", "a"), post(chunks, &chunk(2001))] {
            let (text, _) = send_chunks_with_memory_in_use(3000, &[(&request, 0)]).await;
            assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("retry-after: 0.200"), "{text}");
        }
    });
}

/// Sends a request with a body of four bytes on a connection that stays open; `None` if the connection has closed.
async fn post_four_bytes(stream: &mut TcpStream) -> Option<String> {
    stream.write_all(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody").await.ok()?;
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") && !received.ends_with(b"large") {
        if stream.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
    }
    String::from_utf8(received).ok()
}

#[test]
fn a_connection_follows_the_current_limits_not_those_of_when_it_was_opened() {
    run_local(async {
        // The idle timeout before and after a change.
        let (first, later) = (600, 60_000);
        let limits = RequestLimits { idle_timeout_ms: first, max_body_bytes: 4, ..RequestLimits::default() };
        let (handler, addr, _stop) = start_server(limits).await;
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        assert!(post_four_bytes(&mut stream).await.expect("a response").starts_with("HTTP/1.1 200 "));
        // The idle timeout is raised while the connection is idle.
        let limits = RequestLimits { idle_timeout_ms: later, ..limits };
        handler.limits.set(limits);
        sleep(Duration::from_millis(2 * first)).await;
        let after = post_four_bytes(&mut stream).await;
        assert!(after.expect("the connection is open").starts_with("HTTP/1.1 200 "));
        // The largest body is made smaller.
        handler.limits.set(RequestLimits { max_body_bytes: 3, ..limits });
        let too_large = post_four_bytes(&mut stream).await;
        assert!(too_large.expect("a response").starts_with("HTTP/1.1 413 "));
    });
}

#[test]
fn an_idle_client_keeps_the_idle_timeout_of_its_last_response_where_that_is_longer() {
    run_local(async {
        let limits = RequestLimits { idle_timeout_ms: 3000, ..RequestLimits::default() };
        let (handler, addr, _stop) = start_server(limits).await;
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        sleep(Duration::from_secs(2)).await;
        assert!(post_four_bytes(&mut stream).await.is_some());
        // The idle timeout is far shorter from now on; the timer of the connection fires 3 s after it was opened.
        handler.limits.set(RequestLimits { idle_timeout_ms: 50, ..limits });
        sleep(Duration::from_millis(1500)).await;
        let after = post_four_bytes(&mut stream).await;
        assert!(after.expect("the connection is open").starts_with("HTTP/1.1 200 "));
        // A client that becomes idle from now on has the shorter timeout.
        sleep(Duration::from_millis(3500)).await;
        assert!(post_four_bytes(&mut stream).await.is_none());
    });
}

/// Sends a `GET` on an open connection, and returns the status line of the response; `None` if it has closed.
async fn get_status(stream: &mut TcpStream) -> Option<String> {
    stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await.ok()?;
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut response).await.ok()? == 0 {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&response).lines().next().unwrap_or_default().to_owned())
}

/// The server has capacity for two connections.
#[test]
fn a_new_connection_evicts_the_longest_idle_one_and_never_one_with_a_request_in_flight() {
    run_local(async {
        let limits = RequestLimits { idle_timeout_ms: 60_000, ..TEST_LIMITS };
        let (handler, addr, _stop) = start_server(limits).await;
        let connect = || async { TcpStream::connect(addr).await.expect("a connection") };
        let ok = Some("HTTP/1.1 200 OK".to_owned());
        let (mut first, mut second) = (connect().await, connect().await);
        assert_eq!(get_status(&mut first).await, ok);
        assert_eq!(get_status(&mut second).await, ok);
        // Now the first is idle for a shorter time than the second.
        assert_eq!(get_status(&mut first).await, ok);
        let mut third = connect().await;
        assert_eq!(get_status(&mut third).await, ok, "the new connection is served at once");
        assert_eq!(second.read(&mut [0]).await.expect("an orderly close"), 0);
        assert_eq!(get_status(&mut first).await, ok, "the first connection stays open");
        // The first connection has a request in flight: the next one evicts the third.
        first.write_all(post("/pending", "Content-Length: 1", "b").as_bytes()).await.expect("a request");
        handler.pending.notified().await;
        let mut fourth = connect().await;
        assert_eq!(get_status(&mut fourth).await, ok);
        assert_eq!(third.read(&mut [0]).await.expect("an orderly close"), 0);
        let still_open = tokio::time::timeout(Duration::from_millis(50), first.read(&mut [0])).await;
        assert!(still_open.is_err(), "the request is still in flight");
    });
}
