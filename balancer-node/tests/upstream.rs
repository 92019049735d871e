//! Exchanges with servers: which connection a request uses, when it waits for one, and how a response is read.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenfall_balancer::{CacheStatus, Limits, RosterEntry, ServerId, ServerState, Status};
use glenfall_balancer_node::payload::Payload;
use glenfall_balancer_node::server_list::{ListedServer, ServerList};
use glenfall_balancer_node::upstream::{IdleTimeouts, Upstreams};
use glenfall_http_client::RequestProgress;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::LocalSet;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn server(number: usize) -> ServerId {
    ServerId(format!("s-{number}").as_str().into())
}

/// A list of servers, `s-1` and so on, in one state.
fn list(addrs: &[SocketAddr], state: ServerState) -> ServerList {
    let entry = |number| RosterEntry { server: server(number), state, ..RosterEntry::default() };
    let listed = |(number, &addr)| ListedServer { entry: entry(number), addr };
    ServerList { version: 1, is_complete: true, servers: (1..).zip(addrs).map(listed).collect() }
}

fn payload(body: &str) -> Payload {
    Payload {
        method: if body.is_empty() { Method::GET } else { Method::PUT },
        uri: Uri::from_static("/read/a"),
        id: HeaderValue::from_static("1"),
        idempotency_key: None,
        body: Bytes::from(body.to_owned()),
    }
}

fn limits() -> Limits {
    Limits { connect_timeout: 30.0, ..Limits::default() }
}

/// One server, `s-1`, at a listener.
fn upstreams(listener: &TcpListener, nodes: u32, max_open: usize) -> Rc<Upstreams> {
    // With 100 nodes, surplus connections are closed after a tenth of the time.
    let upstreams = Upstreams::start(&Limits { idle_timeout: 15.0, ..limits() }, nodes, max_open);
    upstreams.update(&list(&[listener.local_addr().unwrap()], ServerState::Ready));
    upstreams
}

fn on_loopback<F: Future>(test: impl FnOnce(TcpListener) -> F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        tokio::time::timeout(TEST_TIMEOUT, test(listener)).await.expect("the test ends")
    })
}

/// Serves one request on the next connection, and returns the connection.
async fn serve_one(listener: &TcpListener, status: &str) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    serve_again(&mut stream, status).await;
    stream
}

async fn serve_again(stream: &mut TcpStream, status: &str) {
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0, "a request");
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(response.as_bytes()).await.unwrap();
}

#[test]
fn a_request_that_waits_for_a_connect_is_not_sent_to_a_server_that_drains_meanwhile() {
    on_loopback(|listener| async move {
        let upstreams = upstreams(&listener, 1, 8);
        let (server, payload, sent) = (server(1), payload(""), RequestProgress::default());
        let (result, ()) = tokio::join! {
            biased;
            upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent),
            // Polled while the connect is in progress.
            async { upstreams.update(&list(&[listener.local_addr().unwrap()], ServerState::Draining)) },
        };
        assert_eq!((result.status, sent.is_sent()), (Status::Overloaded, false));
        let mut received = Vec::new();
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_to_end(&mut received).await.unwrap();
        assert_eq!(received, b"");
    });
}

#[test]
fn a_request_counts_as_completely_written_once_its_last_byte_is() {
    on_loopback(|listener| async move {
        let upstreams = upstreams(&listener, 1, 8);
        let (server, payload, sent) = (server(1), payload("body"), RequestProgress::default());
        let reply = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = Vec::new();
            while !received.ends_with(b"body") {
                assert!(stream.read_buf(&mut received).await.unwrap() > 0);
            }
            // Closes without a response: the request may have run.
        };
        let (result, ()) = tokio::join!(upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent), reply);
        assert_eq!((result.status, sent.is_sent()), (Status::Broken, true));
    });
}

#[test]
fn at_the_limit_the_longest_idle_connection_is_closed_and_no_more_are_opened() {
    on_loopback(|listener| async move {
        let upstreams = upstreams(&listener, 1, 1);
        let second = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addrs = [&listener, &second].map(|listener| listener.local_addr().unwrap());
        upstreams.update(&list(&addrs, ServerState::Ready));
        let (payload, first, other) = (payload(""), server(1), server(2));
        let (sent, unsent) = (RequestProgress::default(), RequestProgress::default());
        let (result, over_limit, mut stream) = tokio::join! {
            biased;
            upstreams.exchange(&first, &payload, TEST_TIMEOUT, &sent),
            upstreams.exchange(&first, &payload, TEST_TIMEOUT, &unsent),
            serve_one(&listener, "200 OK"),
        };
        assert_eq!((result.status, over_limit.status), (Status::Success, Status::NotSent));
        let (result, _) = tokio::join! {
            upstreams.exchange(&other, &payload, TEST_TIMEOUT, &sent),
            serve_one(&second, "200 OK"),
        };
        assert_eq!(result.status, Status::Success);
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0, "the idle connection is closed");
    });
}

#[test]
fn bytes_received_on_an_idle_connection_are_not_read_as_the_next_response() {
    on_loopback(|listener| async move {
        let upstreams = upstreams(&listener, 1, 8);
        let (server, payload) = (server(1), payload(""));
        let response = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{body}");
        let serve = |body: &'static str| {
            let listener = &listener;
            async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut [0; 1024]).await.unwrap();
                stream.write_all(response(body).as_bytes()).await.unwrap();
                stream
            }
        };
        let sent = RequestProgress::default();
        let (_, stream) =
            tokio::join!(upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent), serve("one"));
        // A second response follows, which the reactor has not reported when the next request begins.
        assert!(stream.try_write(response("one").as_bytes()).is_ok());
        let (result, _) = tokio::join! {
            biased;
            upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent),
            serve("two"),
        };
        assert_eq!(result.response.map(|response| response.body), Some(Bytes::from("two")));
    });
}

#[test]
fn where_a_server_rejects_connections_a_request_waits_for_the_open_one() {
    on_loopback(|listener| async move {
        let upstreams = upstreams(&listener, 100, 8);
        let (server, payload) = (server(1), payload(""));
        let sent = [RequestProgress::default(), RequestProgress::default(), RequestProgress::default()];
        let exchange = |n: usize| upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent[n]);
        let (first_started, second_rejected) = (Notify::new(), Notify::new());
        let (first, second, third, ()) = tokio::join! {
            exchange(0),
            // On a new connection, as the first one is in use; the server rejects it.
            async {
                first_started.notified().await;
                let result = exchange(1).await;
                // Extends the time for which the server counts as full, so that it does not end during a slow
                // test run.
                assert!(upstreams.must_wait(&server));
                upstreams.set_full_until(&server, Instant::now() + TEST_TIMEOUT);
                second_rejected.notify_one();
                result
            },
            async {
                second_rejected.notified().await;
                // The first connection is still open; the third request must wait for it and not open another
                // one.
                exchange(2).await
            },
            async {
                let (mut stream, _) = listener.accept().await.unwrap();
                first_started.notify_one();
                drop(serve_one(&listener, "503 Service Unavailable\r\nX-Not-Run: 1\r\nConnection: close").await);
                serve_again(&mut stream, "200 OK").await;
                serve_again(&mut stream, "200 OK").await;
            },
        };
        assert_eq!(first.status, Status::Success);
        assert_eq!(second.status, Status::Overloaded);
        assert_eq!(third.status, Status::Success);
    });
}

#[test]
fn a_request_that_waits_for_a_connection_opens_its_own_once_there_is_none() {
    on_loopback(|listener| async move {
        let upstreams = upstreams(&listener, 100, 8);
        let (server, payload, sent) = (server(1), payload(""), RequestProgress::default());
        upstreams.set_full_until(&server, Instant::now() + TEST_TIMEOUT);
        let other = upstreams.claim_slot(&server);
        let (result, _, ()) = tokio::join! {
            biased;
            upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent),
            serve_one(&listener, "200 OK"),
            async { drop(other) },
        };
        assert_eq!(result.status, Status::Success);
    });
}

#[test]
fn writes_get_a_free_connection_before_reads() {
    on_loopback(|listener| async move {
        let upstreams = upstreams(&listener, 100, 8);
        let server = server(1);
        upstreams.set_full_until(&server, Instant::now() + TEST_TIMEOUT);
        let open = upstreams.claim_slot(&server);
        let (reads, write) = ([payload(""), payload("")], payload("body"));
        let sent = [RequestProgress::default(), RequestProgress::default(), RequestProgress::default()];
        let served = async {
            drop(open);
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut methods = Vec::new();
            for _ in 0..3 {
                let mut received = Vec::new();
                while !(received.ends_with(b"body")
                    || received.ends_with(b"\r\n\r\n") && received.starts_with(b"GET"))
                {
                    assert!(stream.read_buf(&mut received).await.unwrap() > 0);
                }
                methods.push(received[..3].to_vec());
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            }
            (methods, stream)
        };
        let (one, two, three, (methods, _stream)) = tokio::join! {
            biased;
            upstreams.exchange(&server, &reads[0], TEST_TIMEOUT, &sent[0]),
            upstreams.exchange(&server, &reads[1], TEST_TIMEOUT, &sent[1]),
            upstreams.exchange(&server, &write, TEST_TIMEOUT, &sent[2]),
            served,
        };
        assert_eq!([one.status, two.status, three.status], [Status::Success; 3]);
        assert_eq!(methods, [b"PUT", b"GET", b"GET"]);
    });
}

#[test]
fn the_more_nodes_the_sooner_a_surplus_connection_is_closed() {
    let times = |nodes| {
        let IdleTimeouts { last_used, surplus } =
            on_loopback(|listener| async move { upstreams(&listener, nodes, 8).idle_timeouts() });
        (surplus.as_secs_f64(), last_used.as_secs_f64())
    };
    assert_eq!(times(3), (12.0, 12.0));
    assert_eq!(times(100), (1.2, 12.0));
}

#[test]
fn of_two_idle_connections_the_one_used_last_is_kept_longer() {
    on_loopback(|listener| async move {
        // Only the explicit calls of `close_unused` below matter here.
        let upstreams = upstreams(&listener, 100, 8);
        let (server, payload) = (server(1), payload(""));
        let sent = [RequestProgress::default(), RequestProgress::default()];
        let (.., (mut one, mut two)) = tokio::join! {
            upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent[0]),
            upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent[1]),
            async {
                let (mut one, _) = listener.accept().await.unwrap();
                let two = serve_one(&listener, "200 OK").await;
                serve_again(&mut one, "200 OK").await;
                (one, two)
            },
        };
        let used = Instant::now();
        upstreams.close_unused(used);
        assert_eq!(upstreams.idle_connections(&server), 2);
        upstreams.close_unused(used + Duration::from_secs(2));
        let (mut a, mut b) = ([0], [0]);
        tokio::select! {
            end = one.read(&mut a) => assert_eq!(end.unwrap(), 0),
            end = two.read(&mut b) => assert_eq!(end.unwrap(), 0),
        }
        assert_eq!(upstreams.idle_connections(&server), 1);
    });
}

/// The result of an exchange with a server that responds with this status line and these headers.
fn exchange_result(status: &str) -> (Status, Option<CacheStatus>) {
    on_loopback(|listener| async move {
        let upstreams = upstreams(&listener, 1, 8);
        let (server, payload, sent) = (server(1), payload(""), RequestProgress::default());
        let (result, _) = tokio::join!(
            upstreams.exchange(&server, &payload, TEST_TIMEOUT, &sent),
            serve_one(&listener, status)
        );
        (result.status, result.cache_status)
    })
}

#[test]
fn responses_have_the_status_that_the_protocol_gives_them() {
    for (head, status) in [
        ("200 OK", Status::Success),
        ("404 Absent", Status::NotCached),
        ("500 Error", Status::Error),
        ("503 Unavailable", Status::Error),
        ("500 Error\r\nX-Not-Run: 1", Status::Error),
        ("503 Unavailable\r\nX-Not-Run: 1", Status::Overloaded),
        ("504 Too Late\r\nX-Not-Run: 1", Status::Overloaded),
        ("101 Switching", Status::Malformed),
        ("204 Empty", Status::Malformed),
        ("206 Part", Status::Malformed),
    ] {
        assert_eq!(exchange_result(head).0, status, "{head}");
    }
    for (value, cache_status) in [
        ("hit", Some(CacheStatus::Hit)),
        ("miss", Some(CacheStatus::Miss)),
        ("pending", Some(CacheStatus::MissInProgress)),
        ("odd", None),
    ] {
        assert_eq!(
            exchange_result(&format!("200 OK\r\nX-Cache: {value}")),
            (Status::Success, cache_status),
            "{value}"
        );
    }
}
