//! Edges, shields and servers over real sockets. Each shield and each server works as it should, or fails in one chosen
//! way.

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

use crate::support::{listener, server, settings, start_fake_server};

/// The `deadlineMs` of each route.
pub const ROUTE_DEADLINE: Duration = Duration::from_secs(3);
/// Nothing is sent for a request any more once this time has passed since its start.
pub const SEND_CUTOFF: Duration = Duration::from_millis(3300);
/// Longer than one window of the retry budget (`retryWindowS`), after which the shared part of the budget can be used.
pub const RETRY_WINDOW: Duration = Duration::from_millis(60);
const SERVER_COUNT: usize = 4;
/// Size of the body of a complete response.
pub const BODY_BYTES: usize = 3000;

/// What a server does with a request that it has received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerBehavior {
    Responds,
    /// Responds with a seal, so that the response may be stored.
    RespondsSealed,
    Fails,
    Resets,
    Hangs,
    /// Sends half of a response, and nothing after it.
    Stalls,
}

pub const SERVER_BEHAVIORS: [ServerBehavior; 5] = [
    ServerBehavior::Responds,
    ServerBehavior::Fails,
    ServerBehavior::Resets,
    ServerBehavior::Hangs,
    ServerBehavior::Stalls,
];

/// How a shield behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShieldBehavior {
    Healthy,
    /// Accepts connections, reads nothing, and sends nothing.
    Frozen,
    Resets,
    /// Handles its requests, and all its responses are lost.
    LosesResponses,
    Unreachable,
    /// Has received no configuration yet.
    Unconfigured,
}

pub const SHIELD_BEHAVIORS: [ShieldBehavior; 6] = [
    ShieldBehavior::Healthy,
    ShieldBehavior::Frozen,
    ShieldBehavior::Resets,
    ShieldBehavior::LosesResponses,
    ShieldBehavior::Unreachable,
    ShieldBehavior::Unconfigured,
];

/// The servers that each request has reached, by the id in `X-Glenfall-Try-Id`.
pub type ReachedServers = Rc<RefCell<BTreeMap<String, BTreeSet<usize>>>>;

/// The id of a request; `None` until the request is received completely.
fn try_id(received: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(received).ok()?.strip_suffix("\r\n\r\n")?;
    let mut lines = text.lines().filter_map(|line| line.split_once(": "));
    let (_, id) = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-glenfall-try-id"))?;
    Some(id.to_owned())
}

async fn serve_requests(
    mut stream: TcpStream,
    number: usize,
    behavior: ServerBehavior,
    reached: ReachedServers,
) {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {
        let Some(id) = try_id(&received) else { continue };
        received.clear();
        reached.borrow_mut().entry(id.clone()).or_default().insert(number);
        let (status, sent) = match behavior {
            ServerBehavior::Responds => ("200 OK", BODY_BYTES),
            ServerBehavior::RespondsSealed => ("200 OK\r\nX-Glenfall-Seal: s", BODY_BYTES),
            ServerBehavior::Fails => ("500 Failed", BODY_BYTES),
            ServerBehavior::Stalls => ("200 OK", BODY_BYTES / 2),
            ServerBehavior::Resets => return,
            ServerBehavior::Hangs => continue,
        };
        let head =
            format!("HTTP/1.1 {status}\r\nX-Glenfall-Try-Id: {id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let response = head + &"b".repeat(sent);
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Starts servers that all behave in this way.
pub async fn start_servers(behavior: ServerBehavior, reached: &ReachedServers) -> Vec<Server> {
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let reached = Rc::clone(reached);
        let connection = move |stream| serve_requests(stream, number, behavior, Rc::clone(&reached));
        let port = start_fake_server(connection).await.port();
        servers.push(server(&format!("server-{number}"), port));
        let backend = "rate-limited".into();
        servers.push(Server { backend, ..server(&format!("rate-limited-{number}"), port) });
    }
    servers
}

const RETRY_SETTINGS: &str = "[timing]\nretryWindowS = 0.05\nretrySlack = 1000\n";

/// Routes for reads with 1, 2 and 3 tries, one for writes, one for idempotent requests, and two of services with a rate
/// limit: one that admits nothing, and one at which requests queue.
fn document() -> Arc<Vec<u8>> {
    let route = |name: &str, kind: &str, service: &str, tries: u32| {
        let deadline = ROUTE_DEADLINE.as_millis();
        format!(
            r#"{{"name": "{name}", "hostname": "h", "pathPrefix": "/{name}/", "type": "{kind}", "deadlineMs": {deadline},
            "backend": "{service}", "tries": {tries}, "maxAgeS": 60, "targetMs": 9000}}"#
        )
    };
    let mut routes: Vec<String> =
        (1..=3).map(|tries| route(&tries.to_string(), "cacheable", "s", tries)).collect();
    routes.push(route("w", "mutating", "s", 2));
    routes.push(route("i", "idempotent", "s", 3));
    routes.push(route("c", "cacheable", "rate-limited", 2));
    routes.push(route("queued", "idempotent", "queued", 2));
    let services =
        r#"{"name": "s"}, {"name": "rate-limited", "ratePerS": 0.001}, {"name": "queued", "ratePerS": 40}"#;
    let text = format!(r#"{{"rev": 1, "paths": [{}], "backends": [{services}]}}"#, routes.join(","));
    Arc::new(text.into_bytes())
}

/// Applies to a proxy what its publisher would send: the configuration, the fleet, the connection, and a lease.
fn apply_control_updates(watch_client: &WatchClient, handler: &impl WatchHandler, fleet: &Fleet) {
    assert!(watch_client.apply_update(Update::Config { rev: 1, document: document() }, handler));
    assert!(watch_client
        .apply_update(Update::Fleet(FleetUpdate::Snapshot { version: 1, fleet: fleet.clone() }), handler));
    assert!(watch_client.apply_update(Update::Connected(true), handler));
    assert!(watch_client
        .handle_message(PublisherMessage::LeaseGranted { sent_at: 0, duration: 600_000 }, handler));
}

/// A connection pool with enough memory for all responses of a test.
pub fn pool() -> Rc<Pool> {
    Pool::new(64, MemoryBudget::new(1 << 20))
}

/// Starts an edge, with a retry budget that allows what a test needs.
pub async fn start_edge(servers: &[Server], shields: &[SocketAddrV4], pool: Rc<Pool>) -> Rc<Edge> {
    start_edge_with("", servers, shields, pool).await.0
}

/// Starts an edge with more settings under `[timing]`, and returns its watch client as well.
pub async fn start_edge_with(
    timing: &str,
    servers: &[Server],
    shields: &[SocketAddrV4],
    pool: Rc<Pool>,
) -> (Rc<Edge>, Rc<WatchClient>) {
    let node_settings = Rc::new(settings(&format!("{RETRY_SETTINGS}{timing}")));
    let watch_client = WatchClient::new(Rc::clone(&node_settings), ProxyRole::Edge);
    let edge = Edge::new(&node_settings, Rc::clone(&watch_client), pool);
    apply_control_updates(&watch_client, &*edge, &fleet(servers, shields));
    sleep(RETRY_WINDOW).await;
    (edge, watch_client)
}

/// A request as an edge has read it, of a client whose deadline is later than that of any route.
pub fn request(method: &str, path: &str, id: &str) -> FullRequest {
    request_within(2 * ROUTE_DEADLINE, method, path, id)
}

/// A request as an edge has read it, of a client with this deadline.
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

/// Starts a shield, and returns the address at which it serves reads.
async fn start_real_shield(
    is_configured: bool,
    servers: &[Server],
    stopping: &watch::Receiver<bool>,
) -> SocketAddrV4 {
    let node_settings = Rc::new(settings(RETRY_SETTINGS));
    let watch_client = WatchClient::new(Rc::clone(&node_settings), ProxyRole::Shield);
    let shield = Shield::new(&node_settings, Rc::clone(&watch_client), pool());
    if is_configured {
        apply_control_updates(&watch_client, &*shield, &fleet(servers, &[]));
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
    let (accept_time, stop_timeout) = (Duration::ZERO, Duration::ZERO);
    let config = ServerConfig {
        listen,
        max_connections: 64,
        max_body_bytes: 0,
        drain_accept_time: accept_time,
        shutdown_timeout: stop_timeout,
    };
    spawn_local(serve_at(listener, config, Rc::new(shield::ShieldHandler(shield)), stopping.clone()));
}

/// A shield that is down, and can be started at the address that is reserved for it.
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

    /// Starts the shield, and returns it for its counters.
    pub fn start(self, servers: &[Server], stopping: &watch::Receiver<bool>) -> Rc<Shield> {
        self.start_with_watch_client(servers, stopping).0
    }

    /// Starts the shield, and returns its watch client as well.
    pub fn start_with_watch_client(
        self,
        servers: &[Server],
        stopping: &watch::Receiver<bool>,
    ) -> (Rc<Shield>, Rc<WatchClient>) {
        let node_settings = Rc::new(settings(RETRY_SETTINGS));
        let watch_client = WatchClient::new(Rc::clone(&node_settings), ProxyRole::Shield);
        let shield = Shield::new(&node_settings, Rc::clone(&watch_client), pool());
        apply_control_updates(&watch_client, &*shield, &fleet(servers, &[]));
        let listener = self.socket.listen(64).expect("it listens");
        serve_shield(Rc::clone(&shield), listener, self.address, stopping);
        (shield, watch_client)
    }
}

/// Starts one shield for each behavior, and returns the addresses at which they serve reads.
pub async fn start_shields(
    behaviors: &[ShieldBehavior],
    servers: &[Server],
    stopping: &watch::Receiver<bool>,
) -> Vec<SocketAddrV4> {
    let mut shields = Vec::new();
    for behavior in behaviors {
        shields.push(start_shield(*behavior, servers, stopping).await);
    }
    shields
}

/// An address that refuses connections, and that no other socket is given while the test runs.
fn closed_port() -> SocketAddrV4 {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = socket.local_addr().expect("its address").to_string();
    // The socket stays bound for as long as the test runs, and never listens.
    spawn_local(async move {
        std::future::pending::<()>().await;
        drop(socket);
    });
    address.parse().expect("an address of version 4")
}

async fn start_shield(
    behavior: ShieldBehavior,
    servers: &[Server],
    stopping: &watch::Receiver<bool>,
) -> SocketAddrV4 {
    match behavior {
        ShieldBehavior::Healthy => start_real_shield(true, servers, stopping).await,
        ShieldBehavior::Unconfigured => start_real_shield(false, servers, stopping).await,
        ShieldBehavior::Unreachable => closed_port(),
        ShieldBehavior::Frozen => {
            start_fake_server(|stream| async move {
                sleep(SEND_CUTOFF).await;
                drop(stream);
            })
            .await
        }
        ShieldBehavior::Resets => {
            start_fake_server(|mut stream| async move {
                let mut received = Vec::new();
                while try_id(&received).is_none() && stream.read_buf(&mut received).await.is_ok_and(|n| n > 0)
                {
                }
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            })
            .await
        }
        ShieldBehavior::LosesResponses => {
            let real_shield = start_real_shield(true, servers, stopping).await;
            start_fake_server(move |mut stream| async move {
                let mut shield = TcpStream::connect(real_shield).await.expect("the real shield");
                let (mut from_edge, _to_edge) = stream.split();
                let (_from_shield, mut to_shield) = shield.split();
                let _ = tokio::io::copy(&mut from_edge, &mut to_shield).await;
                sleep(SEND_CUTOFF).await;
            })
            .await
        }
    }
}

fn fleet(servers: &[Server], shields: &[SocketAddrV4]) -> Fleet {
    fleet_of(1, servers, shields)
}

/// A fleet whose shields all have this incarnation.
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
