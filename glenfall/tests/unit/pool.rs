//! Connections to servers: what is read as an answer, what goes out again, and how long they are kept.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::pool::{kept_for, Pool, SendError, UpstreamKind, KEPT, SURE};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use crate::support::{run_local, stand_in};

const FIRST: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const LATER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlater";

fn pool() -> Rc<Pool> {
    Pool::new(8, MemoryBudget::new(1 << 20))
}

/// The body of the answer to a request.
async fn exchanged(
    pool: &Pool,
    addr: SocketAddr,
    method: Method,
    body: &'static str,
    trust: UpstreamKind,
) -> Result<String, SendError> {
    let request = || {
        let mut request = Request::new(Full::new(Bytes::from_static(body.as_bytes())));
        *request.method_mut() = method.clone();
        *request.uri_mut() = Uri::from_static("/x");
        request
    };
    let until = Instant::now() + Duration::from_secs(20);
    let reply = pool.exchange(addr, request, until, trust, || true).await?;
    Ok(String::from_utf8_lossy(reply.body()).into_owned())
}

/// A server that says one text to the first request that it ever gets, and then, unasked, another one; to each
/// later request it answers `later`.
async fn server(answer: &'static str, unasked: &'static str) -> SocketAddr {
    let first = Cell::new(true);
    let connection = move |mut stream: TcpStream| {
        let mut said = first.replace(false).then_some((answer, unasked));
        async move {
            let mut heard = Vec::new();
            while stream.read_buf(&mut heard).await.is_ok_and(|n| n > 0) {
                if !heard.ends_with(b"\r\n\r\n") {
                    continue;
                }
                heard.clear();
                let (answer, unasked) = said.take().unwrap_or((LATER, ""));
                let _ = stream.write_all(answer.as_bytes()).await;
                if !unasked.is_empty() {
                    sleep(Duration::from_millis(50)).await;
                    let _ = stream.write_all(unasked.as_bytes()).await;
                }
            }
        }
    };
    stand_in(connection).await.into()
}

/// What two requests get, one after the other.
async fn two(
    answer: &'static str,
    unasked: &'static str,
    trust: UpstreamKind,
) -> [Result<String, SendError>; 2] {
    let (pool, addr) = (pool(), server(answer, unasked).await);
    let mut got = Vec::new();
    for _ in 0..2 {
        got.push(exchanged(&pool, addr, Method::GET, "", trust).await);
        sleep(Duration::from_millis(150)).await;
    }
    got.try_into().expect("two")
}

#[test]
fn an_answer_is_read_as_the_next_one_only_where_it_came_in_answer() {
    run_local(async {
        let ok = |text: &str| Ok(text.to_owned());
        let twice = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst\
                     HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore";
        let informed = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
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
            ("shorter than it says", shorter, "", [Err(SendError::NoResponse), ok("later")]),
            ("no length", neither, "", [Err(SendError::NoResponse), ok("later")]),
        ] {
            for trust in [UpstreamKind::Internal, UpstreamKind::Origin] {
                assert_eq!(two(answer, unasked, trust).await, got, "{case}, {trust:?}");
            }
        }
    });
}

/// What the end of a connection makes of an answer without a length on it.
#[test]
fn an_answer_without_a_length_is_whole_once_its_connection_has_ended_in_order() {
    run_local(async {
        for (end, got) in [("close", Ok("first".to_owned())), ("reset", Err(SendError::NoResponse))] {
            let connection = move |mut stream: TcpStream| async move {
                let mut heard = Vec::new();
                while !heard.ends_with(b"\r\n\r\n") && stream.read_buf(&mut heard).await.is_ok_and(|n| n > 0)
                {
                }
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n\r\nfirst").await;
                // The bytes come before the end does.
                sleep(Duration::from_millis(50)).await;
                if end == "reset" {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            };
            let (pool, addr) = (pool(), stand_in(connection).await.into());
            assert_eq!(exchanged(&pool, addr, Method::GET, "", UpstreamKind::Origin).await, got, "{end}");
            assert!(!pool.is_warm(addr), "{end}: its connection is over");
        }
    });
}

/// A server that forgets connections without a word: what comes after its first answer is reset, once a few bytes
/// of it are there. Counts the requests that reached it whole.
async fn forgetful(whole: Rc<Cell<u32>>) -> SocketAddr {
    let connection = move |mut stream: TcpStream| {
        let whole = Rc::clone(&whole);
        async move {
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
        }
    };
    stand_in(connection).await.into()
}

#[test]
fn a_request_on_a_forgotten_connection_goes_out_again_only_where_it_was_not_sent_whole() {
    run_local(async {
        for (trust, got) in [
            // The reset comes before the last byte goes.
            (UpstreamKind::Origin, Ok("first".to_owned())),
            // Sent whole at once, it may have run.
            (UpstreamKind::Internal, Err(SendError::NoResponse)),
        ] {
            let whole = Rc::new(Cell::new(0));
            let (pool, addr) = (pool(), forgetful(Rc::clone(&whole)).await);
            let send = || exchanged(&pool, addr, Method::POST, "body", trust);
            assert!(send().await.is_ok());
            assert!(pool.is_warm(addr));
            sleep(SURE).await;
            let second = send().await;
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

/// The sweep rests while no connection is idle; one that becomes idle after such a rest is closed all the same.
#[test]
fn connections_that_become_idle_after_a_rest_are_closed_in_time() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let pool = pool();
        let sweeping = Rc::clone(&pool);
        spawn_local(async move { sweeping.sweep().await });
        for _ in 0..2 {
            let served = async {
                let (mut stream, _) = listener.accept().await.expect("the client");
                let mut heard = Vec::new();
                while !heard.ends_with(b"\r\n\r\n") {
                    stream.read_buf(&mut heard).await.expect("a request");
                }
                // Kept for half a second by the client.
                let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=2\r\n\r\nok";
                stream.write_all(answer.as_bytes()).await.expect("it is read");
                stream
            };
            let asked = exchanged(&pool, addr, Method::GET, "", UpstreamKind::Internal);
            let (body, mut stream) = tokio::join!(asked, served);
            assert_eq!(body, Ok("ok".to_owned()));
            assert!(pool.is_warm(addr));
            let closed = timeout(Duration::from_secs(30), stream.read(&mut [0])).await;
            assert_eq!(closed.expect("a close, long after it is due").expect("in order"), 0);
        }
    });
}
