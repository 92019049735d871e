//! A stub of a user's server: it responds to requests and sends heartbeats to control.

use std::cell::Cell;
use std::net::SocketAddrV4;
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

use super::HEARTBEAT_INTERVAL;
use crate::http::headers::TRY_ID_HEADER;
use crate::http::response::{LABELS_HEADER, SEAL_HEADER};
use crate::http_server::{self, plain_response, FullRequest, FullResponse, Handler, ServerConfig};
use crate::memory_budget::MemoryBudget;
use crate::operator::commands::{ControlAddresses, MAX_RESPONSE_BYTES};
use crate::operator::local_system::LocalSystem;
use crate::upstream::pool::{ExchangeParams, Pool};

/// The number of the first server's machine.
const FIRST_MACHINE: u8 = 100;
/// Maximum number of open connections from proxies.
const MAX_CONNECTIONS: usize = 64;
/// Maximum bytes of request bodies in memory.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum number of open connections to control.
const MAX_CONTROL_CONNECTIONS: usize = 8;
/// Timeout of one heartbeat to one control node.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// The header in which a proxy names the server that the request is for. The address may have passed to another server.
const TARGET_SERVER_HEADER: &str = "x-glenfall-want-server";

struct StubServer {
    id: String,
    /// The number of requests that it has executed.
    executed_requests: Cell<u64>,
}

impl Handler for StubServer {
    async fn handle(&self, request: FullRequest) -> FullResponse {
        let target = request.head.headers.get(TARGET_SERVER_HEADER).and_then(|value| value.to_str().ok());
        if target.is_some_and(|target| target != self.id) {
            return plain_response(StatusCode::MISDIRECTED_REQUEST, "another server");
        }
        self.executed_requests.set(self.executed_requests.get() + 1);
        let (method, uri, executed_requests) =
            (&request.head.method, &request.head.uri, self.executed_requests.get());
        let body = format!("{method} {uri} run {executed_requests} at {}\n", self.id);
        let mut response = FullResponse::new(Full::new(Bytes::from(body)));
        let headers = response.headers_mut();
        headers.insert(SEAL_HEADER, HeaderValue::from_static("demo"));
        headers.insert(LABELS_HEADER, HeaderValue::from_static("demo-label"));
        if let Some(id) = request.head.headers.get(TRY_ID_HEADER) {
            headers.insert(TRY_ID_HEADER, id.clone());
        }
        response
    }

    fn limits(&self) -> RequestLimits {
        RequestLimits::default()
    }

    fn is_draining(&self) -> bool {
        false
    }
}

/// Starts a stub server and its heartbeats. `stopping` stops the server; its heartbeats go on until the process ends.
pub(super) async fn start(
    number: u8,
    system: &LocalSystem,
    stopping: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let ip = system.machine_address(FIRST_MACHINE + number);
    let listener = TcpListener::bind((ip, 0)).await?;
    let address = SocketAddrV4::new(ip, listener.local_addr()?.port());
    let id = format!("demo-{number}");
    let config = ServerConfig {
        listen: address,
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        drain_accept_time: Duration::ZERO,
        shutdown_timeout: Duration::ZERO,
    };
    let server = Rc::new(StubServer { id: id.clone(), executed_requests: Cell::new(0) });
    spawn_local(http_server::serve_at(listener, config, server, stopping));
    let heartbeats = Heartbeats { id, address, zone: system.zone(number), controls: system.controls() };
    spawn_local(heartbeats.send_all());
    Ok(())
}

/// The heartbeats of one server.
struct Heartbeats {
    id: String,
    address: SocketAddrV4,
    zone: String,
    controls: ControlAddresses,
}

impl Heartbeats {
    /// Sends heartbeats for as long as the process runs, each to the first control node that acknowledges it.
    async fn send_all(self) {
        let pool = Pool::new(MAX_CONTROL_CONNECTIONS, MemoryBudget::new(MAX_RESPONSE_BYTES));
        for sequence in 1u64.. {
            let body = self.body(sequence);
            for control in &self.controls.controls {
                let params = ExchangeParams::internal(*control, Instant::now() + HEARTBEAT_TIMEOUT);
                let response = pool.exchange(params, || self.request(&body)).await;
                if response.is_ok_and(|response| response.status().is_success()) {
                    break;
                }
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn body(&self, sequence: u64) -> Bytes {
        let heartbeat = json!({
            "backend": "demo", "addr": self.address, "zone": self.zone, "rev": "v1", "capacity": 8,
            "status": "ready", "warmupLeftMs": 0, "callSeq": sequence,
        });
        Bytes::from(heartbeat.to_string())
    }

    fn request(&self, body: &Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = Method::PUT;
        *request.uri_mut() = format!("/api/servers/{}", self.id).parse().unwrap_or_default();
        request.headers_mut().insert(header::HOST, HeaderValue::from_static("control"));
        request
    }
}
