//! The HTTP handler of a shield: reads that edges send.

use std::rc::Rc;

use glenfall_control_plane::config::RequestLimits;
use tokio::time::Instant;

use super::read::ReadResult;
use super::Shield;
use crate::http::headers::TRY_ID_HEADER;
use crate::http_server::{FullRequest, FullResponse, Handler};

/// Limits for edges' requests. Edges have applied the operator's limits to clients already; the headers that edges add
/// must fit as well. Reads have no body.
const EDGE_REQUEST_LIMITS: RequestLimits = RequestLimits {
    max_header_bytes: 64 << 10,
    max_body_bytes: 0,
    header_timeout_ms: 5000,
    idle_timeout_ms: 30_000,
};

/// Handles the requests of edges.
pub struct ShieldHandler(pub Rc<Shield>);

impl Handler for ShieldHandler {
    async fn handle(&self, request: FullRequest) -> FullResponse {
        let received = Instant::now();
        let ReadResult { mut response, source, report } = self.0.read(&request).await;
        response.set_shield_source(source);
        response.set_send_report(report);
        response.set_failure();
        // The edge uses this id to check that the response belongs to its request.
        response.set_try_id(request.head.headers.get(TRY_ID_HEADER));
        self.0.counters.read_latency.record(received.elapsed());
        response.into()
    }

    fn limits(&self) -> RequestLimits {
        EDGE_REQUEST_LIMITS
    }

    fn is_draining(&self) -> bool {
        self.0.watch_client.is_draining()
    }
}
