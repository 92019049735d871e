//! Proxies and stand-ins over real sockets: an edge, shields that are well, frozen, reset, mute, gone or behind, and
//! servers that answer, fail, reset, hang or stall.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::edge::Edge;
use glenfall::http_server::{serve_at, FullRequest, ServerConfig};
use glenfall::memory_budget::MemoryBudget;
use glenfall::shield::{self, Shield};
use glenfall::upstream::pool::Pool;
use glenfall::watch_client::{WatchClient, WatchHandler};
use glenfall_control_plane::fleet::{Fleet, FleetUpdate};
use glenfall_control_plane::messages::{Member, ProxyRole, PublisherMessage, Server, Update};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::support::{listener, server, settings, stand_in};

/// How long a route lets its requests take, and after how long nothing is sent for them any more.
pub const DEADLINE: Duration = Duration::from_secs(3);
pub const ALL_SENT: Duration = Duration::from_millis(3300);
/// The part of the retry budget that is shared out comes into force after its window.
pub const RETRY_WINDOW: Duration = Duration::from_millis(60);
const SERVERS: usize = 4;
/// Bytes of an answer's body.
pub const BODY: usize = 3000;

/// What a server does with a request that it has whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerActs {
    Answers,
    /// The same, with a seal: its answers may be kept.
    Seals,
    Fails,
    Resets,
    Hangs,
    /// Half of an answer, and no more.
    Stalls,
}

pub const SERVER_ACTS: [ServerActs; 5] =
    [ServerActs::Answers, ServerActs::Fails, ServerActs::Resets, ServerActs::Hangs, ServerActs::Stalls];

/// What a shield does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShieldActs {
    Well,
    /// It reads nothing and says nothing.
    Frozen,
    Resets,
    /// It does as it should, and its answers are lost.
    Mute,
    Unreachable,
    /// It knows no configuration yet.
    Behind,
}

pub const SHIELD_ACTS: [ShieldActs; 6] = [
    ShieldActs::Well,
    ShieldActs::Frozen,
    ShieldActs::Resets,
    ShieldActs::Mute,
    ShieldActs::Unreachable,
    ShieldActs::Behind,
];

/// The servers that each try has reached.
pub type Reached = Rc<RefCell<BTreeMap<String, BTreeSet<usize>>>>;

/// The id of a try, once its request is there whole.
fn try_id(heard: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(heard).ok()?.strip_suffix("\r\n\r\n")?;
    let mut lines = text.lines().filter_map(|line| line.split_once(": "));
    let (_, id) = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-glenfall-try-id"))?;
    Some(id.to_owned())
}

async fn serve_requests(mut stream: TcpStream, number: usize, acts: ServerActs, reached: Reached) {
    let mut heard = Vec::new();
    while stream.read_buf(&mut heard).await.is_ok_and(|read| read > 0) {
        let Some(id) = try_id(&heard) else { continue };
        heard.clear();
        reached.borrow_mut().entry(id.clone()).or_default().insert(number);
        let (status, sent) = match acts {
            ServerActs::Answers => ("200 OK", BODY),
            ServerActs::Seals => ("200 OK\r\nX-Glenfall-Seal: s", BODY),
            ServerActs::Fails => ("500 Failed", BODY),
            ServerActs::Stalls => ("200 OK", BODY / 2),
            ServerActs::Resets => return,
            ServerActs::Hangs => continue,
        };
        let head = format!("HTTP/1.1 {status}\r\nX-Glenfall-Try-Id: {id}\r\nContent-Length: {BODY}\r\n\r\n");
        let answer = head + &"b".repeat(sent);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Starts servers that all do the same.
pub async fn start_servers(acts: ServerActs, reached: &Reached) -> Vec<Server> {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let reached = Rc::clone(reached);
        let connection = move |stream| serve_requests(stream, number, acts, Rc::clone(&reached));
        let port = stand_in(connection).await.port();
        servers.push(server(&format!("server-{number}"), port));
        let backend = "ceiling".into();
        servers.push(Server { backend, ..server(&format!("under-ceiling-{number}"), port) });
    }
    servers
}

const SETTINGS: &str = "[timing]\nretryWindowS = 0.05\nretrySlack = 1000\n";

/// Routes for reads with 1, 2 and 3 tries, one for writes, one for requests that may be repeated, and two of services under
/// a ceiling: one that leaves nothing, and one at which requests wait for their turns.
fn document() -> Arc<Vec<u8>> {
    let route = |name: &str, kind: &str, service: &str, tries: u32| {
        let deadline = DEADLINE.as_millis();
        format!(
            r#"{{"name": "{name}", "hostname": "h", "pathPrefix": "/{name}/", "type": "{kind}", "deadlineMs": {deadline},
            "backend": "{service}", "tries": {tries}, "maxAgeS": 60, "targetMs": 9000}}"#
        )
    };
    let mut routes: Vec<String> =
        (1..=3).map(|tries| route(&tries.to_string(), "cacheable", "s", tries)).collect();
    routes.push(route("w", "mutating", "s", 2));
    routes.push(route("i", "idempotent", "s", 3));
    routes.push(route("c", "cacheable", "ceiling", 2));
    routes.push(route("waits", "idempotent", "turns", 2));
    let services =
        r#"{"name": "s"}, {"name": "ceiling", "ratePerS": 0.001}, {"name": "turns", "ratePerS": 40}"#;
    let text = format!(r#"{{"rev": 1, "paths": [{}], "backends": [{services}]}}"#, routes.join(","));
    Arc::new(text.into_bytes())
}

/// Tells a proxy what control would.
fn tell(feed: &WatchClient, follower: &impl WatchHandler, fleet: &Fleet) {
    assert!(feed.apply_update(Update::Config { rev: 1, document: document() }, follower));
    assert!(feed
        .apply_update(Update::Fleet(FleetUpdate::Snapshot { version: 1, fleet: fleet.clone() }), follower));
    assert!(feed.apply_update(Update::Connected(true), follower));
    assert!(feed.handle_message(PublisherMessage::LeaseGranted { sent_at: 0, duration: 600_000 }, follower));
}

/// A pool with room for all answers of a test.
pub fn pool() -> Rc<Pool> {
    Pool::new(64, MemoryBudget::new(1 << 20))
}

/// Starts an edge, with a retry budget that allows what a test needs.
pub async fn start_edge(servers: &[Server], shields: &[SocketAddrV4], pool: Rc<Pool>) -> Rc<Edge> {
    start_edge_with("", servers, shields, pool).await.0
}

/// The same with more settings under `[timing]`, and what feeds it.
pub async fn start_edge_with(
    timing: &str,
    servers: &[Server],
    shields: &[SocketAddrV4],
    pool: Rc<Pool>,
) -> (Rc<Edge>, Rc<WatchClient>) {
    let boot = Rc::new(settings(&format!("{SETTINGS}{timing}")));
    let feed = WatchClient::new(Rc::clone(&boot), ProxyRole::Edge);
    let edge = Edge::new(&boot, Rc::clone(&feed), pool);
    tell(&feed, &*edge, &fleet(servers, shields));
    sleep(RETRY_WINDOW).await;
    (edge, feed)
}

/// A request as an edge has read it, of a client that waits for longer than any route allows.
pub fn request(method: &str, path: &str, id: &str) -> FullRequest {
    request_within(2 * DEADLINE, method, path, id)
}

/// A request of a client that waits for so long.
pub fn request_within(deadline: Duration, method: &str, path: &str, id: &str) -> FullRequest {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("Host", "h")
        .header("X-Glenfall-Try-Id", id)
        .header("X-Glenfall-Deadline", deadline.as_millis().to_string());
    let (head, ()) = request.body(()).expect("a request").into_parts();
    FullRequest { head, body: Bytes::new() }
}

/// Starts a shield, and returns where it takes reads.
async fn start_shield(is_told: bool, servers: &[Server], stopping: &watch::Receiver<bool>) -> SocketAddrV4 {
    let boot = Rc::new(settings(SETTINGS));
    let feed = WatchClient::new(Rc::clone(&boot), ProxyRole::Shield);
    let shield = Shield::new(&boot, Rc::clone(&feed), pool());
    if is_told {
        tell(&feed, &*shield, &fleet(servers, &[]));
    }
    let (listener, address) = listener().await;
    serve_shield(shield, listener, address, stopping);
    address
}

fn serve_shield(
    shield: Rc<Shield>,
    listener: TcpListener,
    listen: SocketAddrV4,
    stopping: &watch::Receiver<bool>,
) {
    let (still_accepting, grace) = (Duration::ZERO, Duration::ZERO);
    let terms = ServerConfig {
        listen,
        max_connections: 64,
        max_body_bytes: 0,
        drain_accept_time: still_accepting,
        shutdown_timeout: grace,
    };
    spawn_local(serve_at(listener, terms, Rc::new(shield::ShieldHandler(shield)), stopping.clone()));
}

/// A shield that is down, and can be started at the address that it had.
pub struct DownShield {
    socket: TcpSocket,
    pub address: SocketAddrV4,
}

impl DownShield {
    pub fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let address = socket.local_addr().expect("its address").to_string();
        DownShield { socket, address: address.parse().expect("an address of version 4") }
    }

    /// Starts it; what it gives holds its counters.
    pub fn start(self, servers: &[Server], stopping: &watch::Receiver<bool>) -> Rc<Shield> {
        self.start_fed(servers, stopping).0
    }

    /// The same, with what feeds it.
    pub fn start_fed(
        self,
        servers: &[Server],
        stopping: &watch::Receiver<bool>,
    ) -> (Rc<Shield>, Rc<WatchClient>) {
        let boot = Rc::new(settings(SETTINGS));
        let feed = WatchClient::new(Rc::clone(&boot), ProxyRole::Shield);
        let shield = Shield::new(&boot, Rc::clone(&feed), pool());
        tell(&feed, &*shield, &fleet(servers, &[]));
        let listener = self.socket.listen(64).expect("it listens");
        serve_shield(Rc::clone(&shield), listener, self.address, stopping);
        (shield, feed)
    }
}

/// Starts what stands for shields, and returns where they take reads.
pub async fn start_shields(
    acts: &[ShieldActs],
    servers: &[Server],
    stopping: &watch::Receiver<bool>,
) -> Vec<SocketAddrV4> {
    let mut shields = Vec::new();
    for acts in acts {
        shields.push(start_one(*acts, servers, stopping).await);
    }
    shields
}

/// An address that refuses connections, and that nobody else gets.
fn closed_port() -> SocketAddrV4 {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = socket.local_addr().expect("its address").to_string();
    // It is bound for as long as the test runs, and never listens.
    spawn_local(async move {
        std::future::pending::<()>().await;
        drop(socket);
    });
    address.parse().expect("an address of version 4")
}

async fn start_one(acts: ShieldActs, servers: &[Server], stopping: &watch::Receiver<bool>) -> SocketAddrV4 {
    match acts {
        ShieldActs::Well => start_shield(true, servers, stopping).await,
        ShieldActs::Behind => start_shield(false, servers, stopping).await,
        ShieldActs::Unreachable => closed_port(),
        ShieldActs::Frozen => {
            stand_in(|stream| async move {
                sleep(ALL_SENT).await;
                drop(stream);
            })
            .await
        }
        ShieldActs::Resets => {
            stand_in(|mut stream| async move {
                let mut heard = Vec::new();
                while try_id(&heard).is_none() && stream.read_buf(&mut heard).await.is_ok_and(|n| n > 0) {}
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            })
            .await
        }
        ShieldActs::Mute => {
            let behind = start_shield(true, servers, stopping).await;
            stand_in(move |mut stream| async move {
                let mut shield = TcpStream::connect(behind).await.expect("the shield behind it");
                let (mut from_edge, _to_edge) = stream.split();
                let (_from_shield, mut to_shield) = shield.split();
                let _ = tokio::io::copy(&mut from_edge, &mut to_shield).await;
                sleep(ALL_SENT).await;
            })
            .await
        }
    }
}

fn fleet(servers: &[Server], shields: &[SocketAddrV4]) -> Fleet {
    fleet_of(1, servers, shields)
}

/// A fleet whose shields are processes of one incarnation.
pub fn fleet_of(incarnation: u64, servers: &[Server], shields: &[SocketAddrV4]) -> Fleet {
    let member = |(number, http): (usize, &SocketAddrV4)| Member {
        node: format!("shield-{number}"),
        zone: "other".into(),
        proxy: ProxyRole::Shield,
        http: *http,
        ready: true,
        incarnation,
    };
    let shields = shields.iter().enumerate().map(member).collect();
    Fleet { complete: true, servers: servers.to_vec(), shields, edges: vec![1], cores: 2 }
}
