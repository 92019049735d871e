//! Calls from operators to control nodes. Some responses are dropped on purpose, so that operators have to retry.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::response::ServerResponse;
use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::commands::ControlAddresses;
use glenfall::upstream::pool::{ExchangeParams, Pool};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Uri};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{timeout, Instant};

use crate::soak::active_faults::ActiveFaults;

/// Timeout of one call to a control node.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of times after which a call is dropped to lose its response, in milliseconds.
const LOST_WITHIN_MS: Range<u64> = 1..40;
/// Share of responses that are lost while the fault `OperatorResponsesLost` is active.
const LOST_SHARE_DURING_FAULT: f64 = 0.6;
/// Share of responses that are lost at all other times.
const LOST_SHARE: f64 = 0.05;
/// Maximum size of all buffered responses, in bytes.
const RESPONSE_MEMORY: usize = 64 << 20;
/// Maximum number of connections of all operators together.
const MAX_CONNECTIONS: usize = 64;

/// A call to a control node.
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// Path of the API, without a query.
    pub path: &'static str,
    /// The version that must be current for the call to apply, sent as `If-Match`; `None` without a condition.
    pub builds_on: Option<u64>,
    /// Body of the request, empty for a read.
    pub body: Bytes,
}

impl Call {
    /// Returns a call that reads the configuration.
    pub fn get_config() -> Call {
        Call { method: Method::GET, path: "/api/config", builds_on: None, body: Bytes::new() }
    }

    /// Returns a call that replaces the configuration, if the version `builds_on` is current.
    pub fn put_config(builds_on: u64, body: Bytes) -> Call {
        Call { method: Method::PUT, path: "/api/config", builds_on: Some(builds_on), body }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from_static(self.path);
        request.headers_mut().insert(header::HOST, HeaderValue::from_static("control"));
        if let Some(rev) = self.builds_on {
            request.headers_mut().insert(header::IF_MATCH, HeaderValue::from(rev));
        }
        request
    }
}

/// Calls control nodes on behalf of the operators.
pub struct ControlClient {
    controls: ControlAddresses,
    pool: Rc<Pool>,
    rng: Rc<RefCell<ChaCha8Rng>>,
    response_losses: ActiveFaults,
}

impl ControlClient {
    /// Creates a client. More responses are lost while any of `response_losses` is active.
    pub fn new(
        controls: ControlAddresses,
        rng: Rc<RefCell<ChaCha8Rng>>,
        response_losses: ActiveFaults,
    ) -> Self {
        let pool = Pool::new(MAX_CONNECTIONS, MemoryBudget::new(RESPONSE_MEMORY));
        ControlClient { controls, pool, rng, response_losses }
    }

    /// Returns the number of control nodes.
    pub fn node_count(&self) -> usize {
        self.controls.controls.len()
    }

    /// Returns the index of a random control node.
    pub fn any_node(&self) -> usize {
        self.rng.borrow_mut().random_range(0..self.node_count())
    }

    /// Calls a random control node; `None` if no response arrives.
    pub async fn call_any(&self, call: &Call) -> Option<ServerResponse> {
        self.call(self.any_node(), call).await
    }

    /// Calls the control node with the index `node`; `None` if no response arrives.
    pub async fn call(&self, node: usize, call: &Call) -> Option<ServerResponse> {
        let control = self.controls.controls[node % self.node_count()];
        let params = ExchangeParams::internal(control, Instant::now() + CALL_TIMEOUT);
        let exchange = self.pool.exchange(params, || call.request());
        match self.draw_loss() {
            // Dropping the exchange closes its connection.
            Some(within) => timeout(within, exchange).await.ok()?.ok(),
            None => exchange.await.ok(),
        }
    }

    /// Draws after what time the next call is dropped; `None` if its response is not lost.
    fn draw_loss(&self) -> Option<Duration> {
        let mut rng = self.rng.borrow_mut();
        let share = if self.response_losses.any_active() { LOST_SHARE_DURING_FAULT } else { LOST_SHARE };
        rng.random_bool(share).then(|| Duration::from_millis(rng.random_range(LOST_WITHIN_MS)))
    }
}
