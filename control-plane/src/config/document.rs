//! The items of a configuration document, as the operator writes them in JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of a latency target: one hour. Larger values in a document are reduced to it, so that the conversion to
/// [`Duration`] cannot overflow.
const MAX_LATENCY_TARGET_MS: f64 = 3_600_000.0;
/// Maximum number of attempts of a request if its route does not specify `tries`.
const DEFAULT_TRIES: u32 = 1;

/// Whether the requests of a route may be executed more than once, and whether their responses may be stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum RouteKind {
    /// Object reads: GET and HEAD requests may be retried, and responses may be stored.
    Cacheable,
    /// Requests may be retried; responses are not stored.
    Idempotent,
    /// Requests are executed at most once: after a server may have executed one, it is not sent again. Kinds that this
    /// version does not know are treated as this one.
    #[default]
    #[serde(other)]
    Mutating,
}

/// A service that receives a weighted share of the requests of a route.
#[derive(Clone, Debug, Deserialize)]
pub struct WeightedBackend {
    /// Name of the service.
    pub backend: String,
    /// The service's share of the requests is its weight divided by the sum of all weights of the split. A service
    /// whose weight is not above 0 gets no requests.
    pub weight: f64,
}

/// A route: which requests it matches, and where and how they are sent.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// Name of the route, unique in the document.
    pub name: String,
    /// Host that the route matches, without a port; compared case-insensitively.
    pub hostname: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried, and responses stored.
    #[serde(rename = "type", default)]
    pub kind: RouteKind,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Latency target in milliseconds; the deadline if `None`.
    #[serde(default)]
    pub target_ms: Option<f64>,
    /// Priority of the route's requests: 0 is the highest.
    #[serde(default)]
    pub prio: u32,
    /// Name of the service; `None` if `split` names several.
    #[serde(default)]
    pub backend: Option<String>,
    /// The services that share the requests; empty if `backend` names one.
    #[serde(default)]
    pub split: Vec<WeightedBackend>,
    /// Maximum number of attempts of a request, including the first one.
    #[serde(default = "default_tries")]
    pub tries: u32,
    /// How long a stored response is fresh, in seconds.
    #[serde(default)]
    pub max_age_s: f64,
}

fn default_tries() -> u32 {
    DEFAULT_TRIES
}

impl Route {
    /// Name of the service for a request. `draw` is a number from 0 to 1 that the caller draws at random for the
    /// request; equal numbers give the same service. `None` if the route has no backend and no split with a positive
    /// weight.
    pub fn choose_backend(&self, draw: f64) -> Option<&str> {
        if let Some(backend) = &self.backend {
            return Some(backend);
        }
        let mut remaining = draw.clamp(0.0, 1.0) * self.split_weight();
        let mut chosen = None;
        for share in self.split.iter().filter(|share| share.weight > 0.0) {
            chosen = Some(share.backend.as_str());
            if remaining < share.weight {
                break;
            }
            remaining -= share.weight;
        }
        chosen
    }

    /// Sum of the weights of the split; negative weights count as 0.
    pub(super) fn split_weight(&self) -> f64 {
        self.split.iter().map(|share| share.weight.max(0.0)).sum()
    }

    /// The latency that clients of this route expect; at least one millisecond.
    pub fn latency_target(&self) -> Duration {
        let ms = self.target_ms.unwrap_or(self.deadline_ms as f64);
        Duration::from_secs_f64(ms.clamp(1.0, MAX_LATENCY_TARGET_MS) / 1000.0)
    }
}

/// A service that routes send requests to.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Backend {
    /// Name of the service, unique in the document.
    pub name: String,
    /// Path for health checks. Accepted in documents, but not used at present.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Maximum number of connections to one server. Accepted in documents, but not used at present.
    #[serde(default)]
    pub max_conns: Option<u32>,
    /// Rate limit of the service over all proxies, in requests per second; `None` for no limit.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
}

/// Limits of the size of client requests, and of the time that a client may take to send one.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct RequestLimits {
    /// Maximum size of a request line and its headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which all headers of a request have to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle between requests, and how long a body may make no progress, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}
