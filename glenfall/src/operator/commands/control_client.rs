//! HTTP calls to control, retried over its nodes.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Uri};
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use super::error::OperatorError;
use crate::http::response::ServerResponse;
use crate::memory_budget::MemoryBudget;
use crate::upstream::pool::{ExchangeParams, Pool};

/// Timeout of one call to a control node. A node that can respond does so within a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How many times each node is called before the command fails.
const ATTEMPTS_PER_NODE: usize = 3;
/// The pause after a call without a definite response.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of connections that a command opens.
const MAX_CONNECTIONS: usize = 8;
/// Maximum bytes of control's responses in memory. The largest response, an exported state, is smaller.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The field by which control rejects a change that builds on a version so old that control no longer knows whether the
/// change was applied.
const FORGOTTEN_UP_TO_FIELD: &str = "forgottenUpTo";

/// The addresses of the control nodes to call.
#[derive(Args, Clone)]
pub struct ControlAddresses {
    /// Address of a control node (its `controlAddr` setting); may be repeated
    #[arg(long = "control", required = true)]
    pub controls: Vec<SocketAddrV4>,
}

pub(super) struct ControlRequest {
    pub method: Method,
    pub path: &'static str,
    /// The version of the configuration that the request builds on.
    pub if_match: Option<u64>,
    pub body: Bytes,
    /// Timeout of one call to one node.
    pub timeout: Duration,
}

/// Calls control nodes in turn until one gives a definite response: a success, or a rejection that every other node would
/// give too. `if_match` is the version of the configuration that the request builds on.
pub async fn call_control(
    addresses: &ControlAddresses,
    method: Method,
    path: &'static str,
    if_match: Option<u64>,
    body: Bytes,
) -> Result<ServerResponse, OperatorError> {
    ControlRequest { method, path, if_match, body, timeout: CALL_TIMEOUT }.send(addresses).await
}

/// Reads a document from control.
pub(super) async fn get(
    addresses: &ControlAddresses,
    path: &'static str,
) -> Result<ServerResponse, OperatorError> {
    call_control(addresses, Method::GET, path, None, Bytes::new()).await
}

impl ControlRequest {
    /// Sends the request to control nodes in turn until one gives a definite response. A repeated request is safe:
    /// control recognizes changes that it has already applied, and a repeated purge does no harm.
    pub async fn send(&self, addresses: &ControlAddresses) -> Result<ServerResponse, OperatorError> {
        let pool = Pool::new(MAX_CONNECTIONS, MemoryBudget::new(MAX_RESPONSE_BYTES));
        for address in addresses.controls.iter().cycle().take(addresses.controls.len() * ATTEMPTS_PER_NODE) {
            let params = ExchangeParams::internal(*address, Instant::now() + self.timeout);
            match pool.exchange(params, || self.to_http(*address)).await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) if response.status().is_client_error() || is_final(&response) => {
                    let status = response.status().as_u16();
                    return Err(OperatorError::Rejected { status, body: body_text(&response) });
                }
                Ok(_) | Err(_) => sleep(RETRY_BACKOFF).await,
            }
        }
        Err(OperatorError::NoDefiniteResponse)
    }

    fn to_http(&self, address: SocketAddrV4) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from_static(self.path);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        if let Some(version) = self.if_match {
            request.headers_mut().insert(header::IF_MATCH, HeaderValue::from(version));
        }
        request
    }
}

/// Whether every node would give this response, now and later, whatever its status: the request is older than the changes
/// that control remembers.
fn is_final(response: &ServerResponse) -> bool {
    let body = serde_json::from_slice::<Value>(response.body());
    body.is_ok_and(|body| body.get(FORGOTTEN_UP_TO_FIELD).is_some())
}

/// The body of a response as text; invalid UTF-8 is replaced.
pub(super) fn body_text(response: &ServerResponse) -> String {
    String::from_utf8_lossy(response.body()).into_owned()
}

/// Reads a document from each control node; returns a list of them as indented JSON. A node that does not respond, or
/// rejects the request, has an entry with the field `error`.
pub(super) async fn get_from_each(
    addresses: &ControlAddresses,
    path: &'static str,
) -> Result<String, OperatorError> {
    let mut documents = Vec::new();
    for control in &addresses.controls {
        let one_node = ControlAddresses { controls: vec![*control] };
        documents.push(match get(&one_node, path).await {
            Ok(response) => serde_json::from_slice(response.body()).unwrap_or(Value::Null),
            Err(error) => json!({ "control": control, "error": error.to_string() }),
        });
    }
    Ok(serde_json::to_string_pretty(&documents).unwrap_or_default())
}
