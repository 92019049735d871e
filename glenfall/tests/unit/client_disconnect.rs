//! Clients that disconnect before they receive a response: their requests are cancelled at the server, and not retried.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use glenfall::edge;
use glenfall::http_server::{serve_at, ServerConfig};
use glenfall_control_plane::messages::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::proxies::{pool, start_edge};
use crate::support::{listener, run_local, server, start_fake_server};

/// Longest wait for an expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// After this time, a request that was still sent after its client disconnected would have reached a server.
const SETTLING_TIME: Duration = Duration::from_millis(700);

/// How long it takes until the rate limit has admitted all requests.
const QUEUE_TIME: Duration = Duration::from_millis(1300);

/// What the servers observe.
#[derive(Default)]
struct Observed {
    requests: RefCell<Vec<String>>,
    request_arrived: Notify,
    /// Number of connections that the edge has closed, each with a request in flight, as the servers never respond.
    closed: Cell<usize>,
    connection_closed: Notify,
}

/// Records the request lines of a connection, and never responds.
async fn record_requests(mut stream: TcpStream, observed: Rc<Observed>) {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {
        if received.ends_with(b"\r\n\r\n") {
            let line = String::from_utf8_lossy(&received).lines().next().unwrap_or_default().to_owned();
            observed.requests.borrow_mut().push(line);
            observed.request_arrived.notify_one();
            received.clear();
        }
    }
    observed.closed.set(observed.closed.get() + 1);
    observed.connection_closed.notify_one();
}

struct TestSystem {
    edge: SocketAddrV4,
    observed: Rc<Observed>,
    _running: watch::Sender<bool>,
}

/// Starts an edge, and two servers of each service that never respond.
async fn start() -> TestSystem {
    let observed = Rc::new(Observed::default());
    let mut servers = Vec::new();
    for name in ["a", "b"] {
        let recorded = Rc::clone(&observed);
        let port =
            start_fake_server(move |stream| record_requests(stream, Rc::clone(&recorded))).await.port();
        servers.push(server(name, port));
        servers.push(Server { backend: "queued".into(), ..server(&format!("queued-{name}"), port) });
    }
    let edge = start_edge(&servers, &[], pool()).await;
    let (listener, address) = listener().await;
    let (running, stopping) = watch::channel(false);
    let (accept_time, stop_timeout) = (Duration::ZERO, Duration::ZERO);
    let config = ServerConfig {
        listen: address,
        max_connections: 64,
        max_body_bytes: 1 << 20,
        drain_accept_time: accept_time,
        shutdown_timeout: stop_timeout,
    };
    spawn_local(serve_at(listener, config, Rc::new(edge::EdgeHandler(edge)), stopping));
    TestSystem { edge: address, observed, _running: running }
}

async fn send(edge: SocketAddrV4, method: &str, path: &str) -> TcpStream {
    let mut client = TcpStream::connect(edge).await.expect("the edge");
    let head = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nX-Glenfall-Try-Id: {path}\r\n\r\n");
    client.write_all(head.as_bytes()).await.expect("a request");
    client
}

#[test]
fn a_request_whose_client_disconnects_is_cancelled_and_not_retried() {
    run_local(async {
        for (method, path) in [("GET", "/i/x"), ("DELETE", "/w/x")] {
            let TestSystem { edge, observed, _running } = start().await;
            let client = send(edge, method, path).await;
            timeout(TEST_TIMEOUT, observed.request_arrived.notified()).await.expect("it reaches a server");
            drop(client);
            timeout(TEST_TIMEOUT, observed.connection_closed.notified())
                .await
                .expect("its connection is closed");
            sleep(SETTLING_TIME).await;
            assert_eq!(*observed.requests.borrow(), [format!("{method} {path} HTTP/1.1")]);
        }
    });
}

/// Sends this number of concurrent requests, and returns how many of them reach a server.
async fn count_sent(requests: usize, clients_disconnect: bool) -> usize {
    let TestSystem { edge, observed, _running } = start().await;
    let mut clients = Vec::new();
    for number in 0..requests {
        clients.push(send(edge, "GET", &format!("/queued/{number}")).await);
    }
    timeout(TEST_TIMEOUT, observed.request_arrived.notified()).await.expect("some reach a server");
    let sent = || observed.requests.borrow().iter().cloned().collect::<BTreeSet<_>>().len();
    if clients_disconnect {
        clients.clear();
        sleep(QUEUE_TIME + SETTLING_TIME).await;
    } else {
        let all_sent = async {
            while sent() < requests {
                observed.request_arrived.notified().await;
            }
        };
        timeout(TEST_TIMEOUT, all_sent).await.expect("all are admitted");
    }
    sent()
}

#[test]
fn a_request_queued_for_the_rate_limit_is_not_sent_after_its_client_disconnects() {
    run_local(async {
        let (connected, disconnected) = tokio::join!(count_sent(40, false), count_sent(40, true));
        assert_eq!(connected, 40, "all are admitted");
        println!("{disconnected} of 40 requests were sent after their clients had disconnected");
        assert!(disconnected < 40, "all were sent");
    });
}
