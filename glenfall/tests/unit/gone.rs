//! Clients that leave before they are answered: their requests end at the server, and go to no other one.

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
const PATIENCE: Duration = Duration::from_secs(30);
/// What is still sent for a client that has gone would have come by then.
const ALL_SENT: Duration = Duration::from_millis(700);

/// How long it takes until all have had their turn.
const ALL_TURNS: Duration = Duration::from_millis(1300);

/// What a server sees.
#[derive(Default)]
struct Seen {
    requests: RefCell<Vec<String>>,
    arrived: Notify,
    /// Connections that their caller has closed with a request under way.
    closed: Cell<usize>,
    ended: Notify,
}

/// Reads requests and answers none.
async fn work(mut stream: TcpStream, seen: Rc<Seen>) {
    let mut heard = Vec::new();
    while stream.read_buf(&mut heard).await.is_ok_and(|read| read > 0) {
        if heard.ends_with(b"\r\n\r\n") {
            let line = String::from_utf8_lossy(&heard).lines().next().unwrap_or_default().to_owned();
            seen.requests.borrow_mut().push(line);
            seen.arrived.notify_one();
            heard.clear();
        }
    }
    seen.closed.set(seen.closed.get() + 1);
    seen.ended.notify_one();
}

struct Path {
    edge: SocketAddrV4,
    seen: Rc<Seen>,
    _running: watch::Sender<bool>,
}

/// An edge with clients, and two servers of each service that answer nothing.
async fn start() -> Path {
    let seen = Rc::new(Seen::default());
    let mut servers = Vec::new();
    for name in ["a", "b"] {
        let recorded = Rc::clone(&seen);
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
        grace,
    };
    spawn_local(serve_at(listener, terms, Rc::new(edge::EdgeHandler(edge)), stopping));
    Path { edge: address, seen, _running: running }
}

async fn ask(edge: SocketAddrV4, method: &str, path: &str) -> TcpStream {
    let mut client = TcpStream::connect(edge).await.expect("the edge");
    let head = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nX-Glenfall-Try-Id: {path}\r\n\r\n");
    client.write_all(head.as_bytes()).await.expect("it is taken");
    client
}

#[test]
fn a_request_whose_client_has_left_ends_at_its_server_and_goes_to_no_other() {
    run_local(async {
        for (method, path) in [("GET", "/i/x"), ("DELETE", "/w/x")] {
            let Path { edge, seen, _running } = start().await;
            let client = ask(edge, method, path).await;
            timeout(PATIENCE, seen.arrived.notified()).await.expect("it reaches a server");
            drop(client);
            timeout(PATIENCE, seen.ended.notified()).await.expect("its connection is closed");
            sleep(ALL_SENT).await;
            assert_eq!(*seen.requests.borrow(), [format!("{method} {path} HTTP/1.1")]);
        }
    });
}

/// How many of these requests, which come at once, reach a server in the end.
async fn sent(requests: usize, clients_leave: bool) -> usize {
    let Path { edge, seen, _running } = start().await;
    let mut clients = Vec::new();
    for number in 0..requests {
        clients.push(ask(edge, "GET", &format!("/waits/{number}")).await);
    }
    timeout(PATIENCE, seen.arrived.notified()).await.expect("some reach a server");
    let sent = || seen.requests.borrow().iter().cloned().collect::<BTreeSet<_>>().len();
    if clients_leave {
        clients.clear();
        sleep(ALL_TURNS + ALL_SENT).await;
    } else {
        let all = async {
            while sent() < requests {
                seen.arrived.notified().await;
            }
        };
        timeout(PATIENCE, all).await.expect("all get a turn");
    }
    sent()
}

#[test]
fn a_request_that_waits_for_its_turn_is_not_sent_once_its_client_has_left() {
    run_local(async {
        let (stay, leave) = tokio::join!(sent(40, false), sent(40, true));
        assert_eq!(stay, 40, "all get a turn");
        println!("of those whose clients left {leave} were sent");
        assert!(leave < 40, "all were sent");
    });
}
