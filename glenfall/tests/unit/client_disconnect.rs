//! Clients that disconnect before they are answered: their requests are cancelled at the server, and not retried.

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
use crate::support::{listener, run_local, server, stand_in};

/// Longest wait for anything that has to come.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// What is sent after a client has disconnected would have arrived after this time.
const SETTLING_TIME: Duration = Duration::from_millis(700);

/// How long it takes until the rate limit has admitted all requests.
const QUEUE_TIME: Duration = Duration::from_millis(1300);

/// What the servers observe.
#[derive(Default)]
struct Observed {
    requests: RefCell<Vec<String>>,
    arrived: Notify,
    /// Connections that their caller has closed with a request under way.
    closed: Cell<usize>,
    ended: Notify,
}

/// Reads requests and answers none.
async fn work(mut stream: TcpStream, observed: Rc<Observed>) {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {
        if received.ends_with(b"\r\n\r\n") {
            let line = String::from_utf8_lossy(&received).lines().next().unwrap_or_default().to_owned();
            observed.requests.borrow_mut().push(line);
            observed.arrived.notify_one();
            received.clear();
        }
    }
    observed.closed.set(observed.closed.get() + 1);
    observed.ended.notify_one();
}

struct TestSystem {
    edge: SocketAddrV4,
    observed: Rc<Observed>,
    _running: watch::Sender<bool>,
}

/// An edge with clients, and two servers of each service that answer nothing.
async fn start() -> TestSystem {
    let observed = Rc::new(Observed::default());
    let mut servers = Vec::new();
    for name in ["a", "b"] {
        let recorded = Rc::clone(&observed);
        let port = stand_in(move |stream| work(stream, Rc::clone(&recorded))).await.port();
        servers.push(server(name, port));
        servers.push(Server { backend: "turns".into(), ..server(&format!("turns-{name}"), port) });
    }
    let edge = start_edge(&servers, &[], pool()).await;
    let (listener, address) = listener().await;
    let (running, stopping) = watch::channel(false);
    let (still_accepting, grace) = (Duration::ZERO, Duration::ZERO);
    let terms = ServerConfig {
        listen: address,
        max_connections: 64,
        max_body_bytes: 1 << 20,
        drain_accept_time: still_accepting,
        shutdown_timeout: grace,
    };
    spawn_local(serve_at(listener, terms, Rc::new(edge::EdgeHandler(edge)), stopping));
    TestSystem { edge: address, observed, _running: running }
}

async fn send(edge: SocketAddrV4, method: &str, path: &str) -> TcpStream {
    let mut client = TcpStream::connect(edge).await.expect("the edge");
    let head = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nX-Glenfall-Try-Id: {path}\r\n\r\n");
    client.write_all(head.as_bytes()).await.expect("it is taken");
    client
}

#[test]
fn a_request_whose_client_disconnects_is_cancelled_and_not_retried() {
    run_local(async {
        for (method, path) in [("GET", "/i/x"), ("DELETE", "/w/x")] {
            let TestSystem { edge, observed, _running } = start().await;
            let client = send(edge, method, path).await;
            timeout(TEST_TIMEOUT, observed.arrived.notified()).await.expect("it reaches a server");
            drop(client);
            timeout(TEST_TIMEOUT, observed.ended.notified()).await.expect("its connection is closed");
            sleep(SETTLING_TIME).await;
            assert_eq!(*observed.requests.borrow(), [format!("{method} {path} HTTP/1.1")]);
        }
    });
}

/// How many of this number of concurrent requests reach a server.
async fn sent(requests: usize, clients_disconnect: bool) -> usize {
    let TestSystem { edge, observed, _running } = start().await;
    let mut clients = Vec::new();
    for number in 0..requests {
        clients.push(send(edge, "GET", &format!("/waits/{number}")).await);
    }
    timeout(TEST_TIMEOUT, observed.arrived.notified()).await.expect("some reach a server");
    let sent = || observed.requests.borrow().iter().cloned().collect::<BTreeSet<_>>().len();
    if clients_disconnect {
        clients.clear();
        sleep(QUEUE_TIME + SETTLING_TIME).await;
    } else {
        let all = async {
            while sent() < requests {
                observed.arrived.notified().await;
            }
        };
        timeout(TEST_TIMEOUT, all).await.expect("all are admitted");
    }
    sent()
}

#[test]
fn a_request_queued_for_the_rate_limit_is_not_sent_after_its_client_disconnects() {
    run_local(async {
        let (connected, disconnected) = tokio::join!(sent(40, false), sent(40, true));
        assert_eq!(connected, 40, "all are admitted");
        println!("of those whose clients disconnected {disconnected} were sent");
        assert!(disconnected < 40, "all were sent");
    });
}
