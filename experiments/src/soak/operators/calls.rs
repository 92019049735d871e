//! Calls of operators to control nodes. Some responses are lost on purpose, so that operators have to retry.

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

/// One call ends within this time; then another node is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A call whose response is lost ends within this time, in milliseconds.
const LOST_WITHIN_MS: Range<u64> = 1..40;
/// The share of responses that are lost while there is a fault.
const LOST_SHARE_DURING_FAULT: f64 = 0.6;
/// The share of responses that are lost otherwise.
const LOST_SHARE: f64 = 0.05;
/// Bytes of responses that are buffered at the same time.
const RESPONSE_MEMORY: usize = 64 << 20;
/// Connections that the operators hold.
const MAX_CONNECTIONS: usize = 64;

/// A call to a control node.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: &'static str,
    /// The version that it changes, if any.
    pub builds_on: Option<u64>,
    /// Its body.
    pub body: Bytes,
}

impl Call {
    /// Returns a call that reads the configuration.
    pub fn get_config() -> Call {
        Call { method: Method::GET, path: "/api/config", builds_on: None, body: Bytes::new() }
    }

    /// Returns a call that puts a configuration.
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

/// The connections of the operators to the control nodes.
pub struct ControlClient {
    controls: ControlAddresses,
    pool: Rc<Pool>,
    rng: Rc<RefCell<ChaCha8Rng>>,
    response_losses: ActiveFaults,
}

impl ControlClient {
    /// Creates a client; many responses are lost while there are active `response_losses`.
    pub fn new(
        controls: ControlAddresses,
        rng: Rc<RefCell<ChaCha8Rng>>,
        response_losses: ActiveFaults,
    ) -> Self {
        let pool = Pool::new(MAX_CONNECTIONS, MemoryBudget::new(RESPONSE_MEMORY));
        ControlClient { controls, pool, rng, response_losses }
    }

    /// Returns how many control nodes there are.
    pub fn node_count(&self) -> usize {
        self.controls.controls.len()
    }

    /// Draws one of the control nodes.
    pub fn any_node(&self) -> usize {
        self.rng.borrow_mut().random_range(0..self.node_count())
    }

    /// Calls any control node.
    pub async fn call_any(&self, call: &Call) -> Option<ServerResponse> {
        self.call(self.any_node(), call).await
    }

    /// Calls a control node; `None` where no response arrives.
    pub async fn call(&self, node: usize, call: &Call) -> Option<ServerResponse> {
        let control = self.controls.controls[node % self.node_count()];
        let params = ExchangeParams::internal(control, Instant::now() + CALL_TIMEOUT);
        let exchange = self.pool.exchange(params, || call.request());
        match self.draw_loss() {
            // The connection ends as the exchange is dropped.
            Some(within) => timeout(within, exchange).await.ok()?.ok(),
            None => exchange.await.ok(),
        }
    }

    /// Draws whether the next response is lost, and after which time.
    fn draw_loss(&self) -> Option<Duration> {
        let mut rng = self.rng.borrow_mut();
        let share = if self.response_losses.any() { LOST_SHARE_DURING_FAULT } else { LOST_SHARE };
        rng.random_bool(share).then(|| Duration::from_millis(rng.random_range(LOST_WITHIN_MS)))
    }
}
