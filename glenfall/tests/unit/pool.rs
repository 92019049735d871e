//! The connection pool: which bytes are read as a response, which requests are sent again, and how long connections
//! stay idle.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::pool::{
    idle_timeout, ExchangeParams, Pool, SendError, UpstreamKind, DEFAULT_IDLE_TIMEOUT, MAX_TRUSTED_IDLE_TIME,
};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use crate::support::{run_local, start_fake_server};

const FIRST_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const LATER_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlater";

fn pool() -> Rc<Pool> {
    Pool::new(8, MemoryBudget::new(1 << 20))
}

/// Sends a request, and returns the body of its response.
async fn exchange(
    pool: &Pool,
    addr: SocketAddr,
    method: Method,
    body: &'static str,
    kind: UpstreamKind,
) -> Result<String, SendError> {
    let request = || {
        let mut request = Request::new(Full::new(Bytes::from_static(body.as_bytes())));
        *request.method_mut() = method.clone();
        *request.uri_mut() = Uri::from_static("/x");
        request
    };
    let deadline = Instant::now() + Duration::from_secs(20);
    let params = ExchangeParams { kind, ..ExchangeParams::internal(addr, deadline) };
    let response = pool.exchange(params, request).await?;
    Ok(String::from_utf8_lossy(response.body()).into_owned())
}

/// A server that sends one text in response to the first request that it ever receives, and then, unrequested, another
/// one; each later request gets [`LATER_RESPONSE`].
async fn server(response: &'static str, unrequested: &'static str) -> SocketAddr {
    let first = Cell::new(true);
    let connection = move |mut stream: TcpStream| {
        let mut first_texts = first.replace(false).then_some((response, unrequested));
        async move {
            let mut received = Vec::new();
            while stream.read_buf(&mut received).await.is_ok_and(|n| n > 0) {
                if !received.ends_with(b"\r\n\r\n") {
                    continue;
                }
                received.clear();
                let (response, unrequested) = first_texts.take().unwrap_or((LATER_RESPONSE, ""));
                let _ = stream.write_all(response.as_bytes()).await;
                if !unrequested.is_empty() {
                    sleep(Duration::from_millis(50)).await;
                    let _ = stream.write_all(unrequested.as_bytes()).await;
                }
            }
        }
    };
    start_fake_server(connection).await.into()
}

/// The responses to two requests, one after the other.
async fn two_exchanges(
    response: &'static str,
    unrequested: &'static str,
    kind: UpstreamKind,
) -> [Result<String, SendError>; 2] {
    let (pool, addr) = (pool(), server(response, unrequested).await);
    let mut results = Vec::new();
    for _ in 0..2 {
        results.push(exchange(&pool, addr, Method::GET, "", kind).await);
        sleep(Duration::from_millis(150)).await;
    }
    results.try_into().expect("two")
}

#[test]
fn only_bytes_that_follow_a_request_are_read_as_its_response() {
    run_local(async {
        let ok = |text: &str| Ok(text.to_owned());
        let two_responses = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst\
                     HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore";
        let with_early_hints =
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        let longer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst and more than that";
        let shorter = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfirst";
        let without_length = "HTTP/1.1 200 OK\r\n\r\nfirst";
        for (case, response, unrequested, expected) in [
            ("normal", FIRST_RESPONSE, "", [ok("first"), ok("later")]),
            ("a second response immediately", two_responses, "", [ok("first"), ok("later")]),
            ("a second response late", FIRST_RESPONSE, FIRST_RESPONSE, [ok("first"), ok("later")]),
            ("noise late", FIRST_RESPONSE, "noise", [ok("first"), ok("later")]),
            ("a 1xx before", with_early_hints, "", [ok("first"), ok("later")]),
            ("a 1xx late", FIRST_RESPONSE, "HTTP/1.1 100 Continue\r\n\r\n", [ok("first"), ok("later")]),
            ("longer than it says", longer, "", [ok("first"), ok("later")]),
            ("shorter than it says", shorter, "", [Err(SendError::NoResponse), ok("later")]),
            ("no length", without_length, "", [Err(SendError::NoResponse), ok("later")]),
        ] {
            for kind in [UpstreamKind::Internal, UpstreamKind::Origin] {
                assert_eq!(two_exchanges(response, unrequested, kind).await, expected, "{case}, {kind:?}");
            }
        }
    });
}

#[test]
fn a_response_without_a_length_is_complete_only_once_its_connection_is_closed_in_order() {
    run_local(async {
        for (end, expected) in [("close", Ok("first".to_owned())), ("reset", Err(SendError::NoResponse))] {
            let connection = move |mut stream: TcpStream| async move {
                let mut received = Vec::new();
                while !received.ends_with(b"\r\n\r\n")
                    && stream.read_buf(&mut received).await.is_ok_and(|n| n > 0)
                {}
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n\r\nfirst").await;
                // The bytes arrive before the connection ends.
                sleep(Duration::from_millis(50)).await;
                if end == "reset" {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            };
            let (pool, addr) = (pool(), start_fake_server(connection).await.into());
            assert_eq!(exchange(&pool, addr, Method::GET, "", UpstreamKind::Origin).await, expected, "{end}");
            assert!(!pool.has_idle_connection(addr), "{end}: its connection is closed");
        }
    });
}

/// A server that drops connections without notice: after its first response, it resets the connection as soon as it has
/// received a few bytes more. Counts the requests that it received completely.
async fn dropping_server(complete_requests: Rc<Cell<u32>>) -> SocketAddr {
    let connection = move |mut stream: TcpStream| {
        let complete_requests = Rc::clone(&complete_requests);
        async move {
            let mut received = Vec::new();
            while !received.ends_with(b"\r\n\r\nbody") {
                if stream.read_buf(&mut received).await.is_ok_and(|n| n == 0) {
                    return;
                }
            }
            complete_requests.set(complete_requests.get() + 1);
            let _ = stream.write_all(FIRST_RESPONSE.as_bytes()).await;
            let mut more = [0; 4096];
            let read = stream.read(&mut more).await.unwrap_or(0);
            let is_complete = more[..read].ends_with(b"body");
            complete_requests.set(complete_requests.get() + u32::from(is_complete));
            // Closes with a reset, without reading the rest.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    };
    start_fake_server(connection).await.into()
}

#[test]
fn a_request_on_a_dropped_connection_is_sent_again_only_if_it_was_not_sent_completely() {
    run_local(async {
        for (kind, expected) in [
            // The reset arrives before the last byte is sent.
            (UpstreamKind::Origin, Ok("first".to_owned())),
            // It was sent completely in one write, so that it may have run.
            (UpstreamKind::Internal, Err(SendError::NoResponse)),
        ] {
            let complete_requests = Rc::new(Cell::new(0));
            let (pool, addr) = (pool(), dropping_server(Rc::clone(&complete_requests)).await);
            let send = || exchange(&pool, addr, Method::POST, "body", kind);
            assert!(send().await.is_ok());
            assert!(pool.has_idle_connection(addr));
            sleep(MAX_TRUSTED_IDLE_TIME).await;
            let second = send().await;
            assert_eq!((second, complete_requests.get()), (expected, 2), "{kind:?}");
        }
    });
}

#[test]
fn the_idle_timeout_is_shorter_than_the_server_states() {
    let timeout_for = |name: &'static str, value: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert(name, value.parse().unwrap());
        idle_timeout(&headers)
    };
    assert_eq!(timeout_for("keep-alive", "timeout=5, max=100"), Some(Duration::from_millis(3500)));
    assert_eq!(timeout_for("keep-alive", "timeout=1"), None);
    assert_eq!(timeout_for("connection", "Close"), None);
    assert_eq!(timeout_for("server", "x"), Some(DEFAULT_IDLE_TIMEOUT));
}

/// The sweep waits while no connection is idle; one that becomes idle after such a wait is closed all the same.
#[test]
fn connections_that_become_idle_while_the_sweep_waits_are_closed_in_time() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let pool = pool();
        let sweeping = Rc::clone(&pool);
        spawn_local(async move { sweeping.sweep().await });
        for _ in 0..2 {
            let served = async {
                let (mut stream, _) = listener.accept().await.expect("the client");
                let mut received = Vec::new();
                while !received.ends_with(b"\r\n\r\n") {
                    stream.read_buf(&mut received).await.expect("a request");
                }
                // The client keeps the connection for half a second.
                let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=2\r\n\r\nok";
                stream.write_all(response.as_bytes()).await.expect("it is read");
                stream
            };
            let exchange = exchange(&pool, addr, Method::GET, "", UpstreamKind::Internal);
            let (body, mut stream) = tokio::join!(exchange, served);
            assert_eq!(body, Ok("ok".to_owned()));
            assert!(pool.has_idle_connection(addr));
            let closed = timeout(Duration::from_secs(30), stream.read(&mut [0])).await;
            assert_eq!(closed.expect("a close, long before this timeout").expect("in order"), 0);
        }
    });
}
