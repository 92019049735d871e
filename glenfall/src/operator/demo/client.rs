//! A client of the demo's edges.

use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::{sleep, Instant};

use super::{DemoError, DEMO_HOST, RETRY_INTERVAL, STEP_TIMEOUT};
use crate::http::headers::TRY_ID_HEADER;
use crate::http::response::{ServerResponse, SEAL_HEADER};
use crate::memory_budget::MemoryBudget;
use crate::operator::commands::MAX_RESPONSE_BYTES;
use crate::upstream::pool::{ExchangeParams, Pool};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of connections that one request may use.
const MAX_CONNECTIONS: usize = 8;

/// Sends a request to an edge. `None` unless the response is a server's 200, as its seal shows.
pub(super) async fn request(
    edge: SocketAddrV4,
    method: Method,
    path: &'static str,
) -> Option<ServerResponse> {
    let pool = Pool::new(MAX_CONNECTIONS, MemoryBudget::new(MAX_RESPONSE_BYTES));
    let params = ExchangeParams::internal(edge, Instant::now() + REQUEST_TIMEOUT);
    let response = pool.exchange(params, || http_request(&method, path)).await.ok()?;
    let is_from_server = response.headers().contains_key(SEAL_HEADER);
    (response.status() == StatusCode::OK && is_from_server).then_some(response)
}

fn http_request(method: &Method, path: &'static str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = method.clone();
    *request.uri_mut() = Uri::from_static(path);
    request.headers_mut().insert(header::HOST, HeaderValue::from_static(DEMO_HOST));
    request.headers_mut().insert(TRY_ID_HEADER, HeaderValue::from_static("demo-try"));
    request
}

/// Repeats the attempts of a step until one succeeds or [`STEP_TIMEOUT`] has passed.
pub(super) async fn retry<F: Future<Output = Option<ServerResponse>>>(
    step: &'static str,
    attempt: impl Fn() -> F,
) -> Result<ServerResponse, DemoError> {
    let started = Instant::now();
    while started.elapsed() < STEP_TIMEOUT {
        if let Some(response) = attempt().await {
            return Ok(response);
        }
        sleep(RETRY_INTERVAL).await;
    }
    Err(DemoError::StepFailed { step })
}
