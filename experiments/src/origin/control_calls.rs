//! Calls from origin servers to control nodes, with failover between nodes.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use glenfall::operator::commands::ControlAddresses;
use glenfall::upstream::pool::{ExchangeParams, Pool};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request};
use tokio::time::Instant;

/// Timeout of a call to one control node, after which the next one is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Calls control nodes in turn until one accepts the call. Returns whether any did.
pub async fn call_any_control(
    pool: &Pool,
    controls: &ControlAddresses,
    method: Method,
    uri: &str,
    body: Bytes,
) -> bool {
    call_from(0, pool, controls, method, uri, body).await.is_some()
}

/// Calls control nodes in turn, starting with the index `first`, until one accepts the call. Returns the index of that
/// node; `None` if none accepted it.
pub(super) async fn call_from(
    first: usize,
    pool: &Pool,
    controls: &ControlAddresses,
    method: Method,
    uri: &str,
    body: Bytes,
) -> Option<usize> {
    let count = controls.controls.len();
    for index in (first..first + count).map(|index| index % count) {
        if call_one(pool, controls.controls[index], method.clone(), uri, body.clone()).await {
            return Some(index);
        }
    }
    None
}

async fn call_one(pool: &Pool, control: SocketAddrV4, method: Method, uri: &str, body: Bytes) -> bool {
    let request = || {
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri.parse().unwrap_or_default();
        request.headers_mut().insert(header::HOST, HeaderValue::from_static("control"));
        request
    };
    let params = ExchangeParams::internal(control, Instant::now() + CALL_TIMEOUT);
    let response = pool.exchange(params, request).await;
    response.is_ok_and(|response| response.status().is_success())
}
