//! The whole system on loopback, with small stand-in servers, to look at and to try things on. It also shows
//! that the path works: it ends with an error where a step does not come true in time.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::config::RequestLimits;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::http::headers;
use crate::http::response::ServerResponse;
use crate::http_server::{self, plain_response, FullRequest, FullResponse, Handler};
use crate::memory_budget::MemoryBudget;
use crate::operator::commands::{self, ControlAddresses, MAX_RESPONSE_BYTES};
use crate::operator::local_system::{LocalSystem, SystemLayout};
use crate::upstream::pool::{ExchangeParams, Pool};

/// Each step of the demo comes true within this time, also on a busy machine.
const STEP: Duration = Duration::from_secs(30);
const BEAT_MS: u64 = 500;
/// Third byte of the machines' addresses.
const NET: u8 = 7;
const CORES: u8 = 3;
const EDGES: u8 = 2;
const HOST: &str = "demo.example";

#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    #[error("demo: {0}")]
    Io(#[from] std::io::Error),
    #[error("demo: {what} did not come within {} s", STEP.as_secs())]
    TooLate { what: &'static str },
    #[error("demo: {0}")]
    Broken(String),
    #[error("demo: {0}")]
    Ops(#[from] commands::OperatorError),
}

/// A server that stands in for a user's.
struct StandIn {
    id: String,
    /// Requests that it has run.
    runs: Cell<u64>,
}

impl Handler for StandIn {
    async fn handle(&self, whole: FullRequest) -> FullResponse {
        let text = |name: &str| whole.head.headers.get(name).and_then(|value| value.to_str().ok());
        if text("x-glenfall-want-server").is_some_and(|wanted| wanted != self.id) {
            return plain_response(StatusCode::MISDIRECTED_REQUEST, "another server");
        }
        self.runs.set(self.runs.get() + 1);
        let body =
            format!("{} {} run {} at {}\n", whole.head.method, whole.head.uri, self.runs.get(), self.id);
        let mut answer = FullResponse::new(Full::new(Bytes::from(body)));
        let headers = answer.headers_mut();
        headers.insert("x-glenfall-seal", HeaderValue::from_static("demo"));
        headers.insert("x-glenfall-tags", HeaderValue::from_static("demo-label"));
        if let Some(id) = whole.head.headers.get(headers::TRY_ID) {
            headers.insert(headers::TRY_ID, id.clone());
        }
        answer
    }

    fn limits(&self) -> RequestLimits {
        RequestLimits::default()
    }

    fn is_draining(&self) -> bool {
        false
    }
}

/// Starts the system and shows its path; then goes on until a signal, or ends if `once`.
pub async fn run(once: bool) -> Result<(), DemoError> {
    let layout = SystemLayout {
        net: NET,
        cores: CORES,
        seeds: CORES,
        edges: EDGES,
        zones: CORES,
        beat_ms: BEAT_MS,
        mem_mb: 256,
        losses: 0,
        relayed: false,
    };
    let program = std::env::current_exe()?;
    let mut local = LocalSystem::start(layout, &program).await?;
    let shown = show(&local, &program, once).await;
    if shown.is_err() {
        println!("logs:           {}", local.keep_folder().display());
    }
    shown
}

/// Shows each step of the path; then goes on until a signal, or ends if `once`.
async fn show(local: &LocalSystem, program: &Path, once: bool) -> Result<(), DemoError> {
    let at = local.controls();
    let (_stop, stopping) = watch::channel(false);
    for number in 0..2 {
        start_server(number, local, stopping.clone()).await?;
    }
    put_config(&at).await?;
    println!("configuration 1 is in force at {}", at.controls[0]);
    settled(&at).await?;
    println!("all know {CORES} shields and 2 servers");
    let edges = local.edges();
    let get = |path| ask(edges[0], Method::GET, path);
    let first = until("a read through edge and shield", || get("/pages/hello")).await?;
    print!("read:           {}", String::from_utf8_lossy(first.body()));
    let other =
        until("the same read at the other edge", || ask(edges[1], Method::GET, "/pages/hello")).await?;
    print!("other edge:     {}", String::from_utf8_lossy(other.body()));
    if other.body() != first.body() {
        return Err(DemoError::TooLate { what: "the shield's copy at the other edge" });
    }
    let body = json!({ "hostname": HOST, "urlPath": "/pages/hello" }).to_string();
    commands::call_control(&at, Method::POST, "/api/purge", None, body.into()).await?;
    let fresh = until("the read after a purge", || get("/pages/hello")).await?;
    print!("after a purge:  {}", String::from_utf8_lossy(fresh.body()));
    if fresh.body() == first.body() {
        return Err(DemoError::TooLate { what: "a fresh copy after the purge" });
    }
    let write = until("a write", || ask(edges[0], Method::POST, "/orders/1")).await?;
    print!("write:          {}", String::from_utf8_lossy(write.body()));
    if let Some(broken) = local.broken_invariants().into_iter().next() {
        return Err(DemoError::Broken(broken));
    }
    if once {
        println!("the whole path works");
        return Ok(());
    }
    println!("\ntry:    curl -H 'Host: {HOST}' http://{}/pages/hello", edges[0]);
    println!("see:    {} status --control {}", program.display(), at.controls[0]);
    println!("logs:   {}", local.folder.display());
    println!("Ctrl-C ends it.");
    crate::signals::terminated().await;
    Ok(())
}

/// Starts a stand-in server and its beats.
async fn start_server(
    number: u8,
    local: &LocalSystem,
    stopping: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let ip = local.machine(100 + number);
    let listener = TcpListener::bind((ip, 0)).await?;
    let listen = SocketAddrV4::new(ip, listener.local_addr()?.port());
    drop(listener);
    let id = format!("demo-{number}");
    let server = Rc::new(StandIn { id: id.clone(), runs: Cell::new(0) });
    let terms = http_server::ServerConfig {
        listen,
        max_connections: 64,
        max_body_bytes: 1 << 20,
        drain_accept_time: Duration::ZERO,
        grace: Duration::ZERO,
    };
    spawn_local(http_server::serve(terms, server, stopping));
    let (at, zone) = (local.controls(), local.zone(number));
    spawn_local(async move {
        let pool = Pool::new(8, MemoryBudget::new(MAX_RESPONSE_BYTES));
        for seq in 1u64.. {
            let body = json!({
                "backend": "demo", "addr": listen, "zone": zone, "rev": "v1", "capacity": 8,
                "status": "ready", "warmupLeftMs": 0, "callSeq": seq,
            });
            let body = Bytes::from(body.to_string());
            for control in &at.controls {
                let request = || {
                    let mut request = Request::new(Full::new(body.clone()));
                    *request.method_mut() = Method::PUT;
                    *request.uri_mut() = format!("/api/servers/{id}").parse().unwrap_or_default();
                    request.headers_mut().insert(header::HOST, HeaderValue::from_static("control"));
                    request
                };
                let deadline = Instant::now() + Duration::from_secs(1);
                let reply = pool.exchange(ExchangeParams::internal(*control, deadline), request).await;
                if reply.is_ok_and(|reply| reply.status().is_success()) {
                    break;
                }
            }
            sleep(Duration::from_millis(BEAT_MS)).await;
        }
    });
    Ok(())
}

async fn put_config(at: &ControlAddresses) -> Result<(), DemoError> {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "hostname": HOST, "pathPrefix": prefix, "type": kind, "deadlineMs": 2000,
            "targetMs": 200, "prio": 1, "backend": "demo", "tries": 2, "maxAgeS": 60.0,
        })
    };
    let config = json!({
        "rev": 1,
        "paths": [route("pages", "/pages/", "cacheable"), route("orders", "/orders/", "mutating")],
        "backends": [{ "name": "demo", "healthPath": "/health", "maxConns": 64 }],
        "reqLimits": {},
    });
    let body = Bytes::from(config.to_string());
    let began = Instant::now();
    loop {
        match commands::call_control(at, Method::PUT, "/api/config", Some(0), body.clone()).await {
            Ok(_) => return Ok(()),
            Err(commands::OperatorError::NoAnswer) if began.elapsed() < STEP => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Waits until every control node knows all shields and servers, and every session has applied that and holds a lease:
/// a shield without one has its copies passed over.
async fn settled(at: &ControlAddresses) -> Result<(), DemoError> {
    let began = Instant::now();
    while began.elapsed() < STEP {
        let told = commands::status(at).await?;
        let seen: Vec<serde_json::Value> = serde_json::from_str(&told).unwrap_or_default();
        let listed = |node: &serde_json::Value, list: &str, count: usize| {
            let ready =
                |items: &Vec<serde_json::Value>| items.iter().filter(|item| item["ready"] == true).count();
            node[list].as_array().is_some_and(|items| ready(items) == count)
        };
        let applied = |node: &serde_json::Value| {
            let sessions = node["sessions"].as_array();
            let settled = |session: &serde_json::Value| {
                session["applied"] == session["pushed"] && session["leased"] == true
            };
            sessions.is_some_and(|all| all.iter().all(settled))
        };
        let sessions: usize = seen.iter().filter_map(|node| Some(node["sessions"].as_array()?.len())).sum();
        let all = |node| listed(node, "shields", CORES.into()) && listed(node, "servers", 2) && applied(node);
        if sessions == usize::from(CORES + EDGES) && seen.iter().all(all) {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(DemoError::TooLate { what: "the word of all shields and servers" })
}

async fn ask(edge: SocketAddrV4, method: Method, path: &'static str) -> Option<ServerResponse> {
    let request = || {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = method.clone();
        *request.uri_mut() = hyper::Uri::from_static(path);
        request.headers_mut().insert(header::HOST, HeaderValue::from_static(HOST));
        request.headers_mut().insert(headers::TRY_ID, HeaderValue::from_static("demo-try"));
        request
    };
    let deadline = Instant::now() + Duration::from_secs(3);
    let pool = Pool::new(8, MemoryBudget::new(MAX_RESPONSE_BYTES));
    let reply = pool.exchange(ExchangeParams::internal(edge, deadline), request).await.ok()?;
    (reply.status() == StatusCode::OK && reply.headers().contains_key("x-glenfall-seal")).then_some(reply)
}

/// Repeats a step until it comes true.
async fn until<F: Future<Output = Option<ServerResponse>>>(
    what: &'static str,
    step: impl Fn() -> F,
) -> Result<ServerResponse, DemoError> {
    let began = Instant::now();
    while began.elapsed() < STEP {
        if let Some(reply) = step().await {
            return Ok(reply);
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(DemoError::TooLate { what })
}
