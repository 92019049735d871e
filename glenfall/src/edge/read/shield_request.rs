//! One request to a shield, and the classification of its result.

use std::net::SocketAddr;

use bytes::Bytes;
use glenfall_balancer::ServerId;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::Request;
use tokio::time::Instant;

use super::attempt_log::AttemptOutcome;
use crate::edge::routed_request::RoutedRequest;
use crate::edge::Edge;
use crate::http::headers::DEADLINE_HEADER;
use crate::http::response::{ServerResponse, ShieldSource};
use crate::http::send_budget::{Allowance, SENDS_HEADER};
use crate::shield::{CONFIG_VERSION_HEADER, REPEATED_REQUEST_HEADER};
use crate::upstream::pool::{ExchangeParams, SendError};

/// A request for an object to one shield.
pub(super) struct ShieldRequest<'a> {
    pub routed: &'a RoutedRequest<'a>,
    pub headers: &'a HeaderMap,
    /// The sends that the shield may use.
    pub allowance: Allowance,
    /// Whether another shield may have counted the request towards the retry budget, or sent it to a server.
    pub is_retry: bool,
}

impl ShieldRequest<'_> {
    fn to_http(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self.routed.request.head.uri.clone();
        let remaining = self.routed.deadline.saturating_duration_since(Instant::now());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(DEADLINE_HEADER, HeaderValue::from((remaining.as_millis() as u64).max(1)));
        headers.insert(CONFIG_VERSION_HEADER, HeaderValue::from(self.routed.config.rev));
        headers.insert(SENDS_HEADER, self.allowance.encode());
        if self.is_retry {
            headers.insert(REPEATED_REQUEST_HEADER, HeaderValue::from_static("1"));
        }
        request
    }
}

impl Edge {
    /// Sends a request to a shield and reads its response.
    pub(super) async fn send_to_shield(
        &self,
        shield: &ServerId,
        request: ShieldRequest<'_>,
    ) -> Result<ServerResponse, SendError> {
        let address: SocketAddr = shield.0.parse().map_err(|_| SendError::NotSent)?;
        let _in_flight = self.shields.begin_request(shield);
        let deadline = request.routed.deadline;
        let pool = &self.forwarder.pool;
        pool.exchange(ExchangeParams::internal(address, deadline), || request.to_http()).await
    }

    /// The outcome of an attempt at a shield, and its response if that can be used.
    pub(super) fn classify(
        &self,
        result: Result<ServerResponse, SendError>,
    ) -> (AttemptOutcome, Option<ServerResponse>) {
        let response = match result {
            Ok(response) => response,
            Err(SendError::NotSent) => return (AttemptOutcome::Unreachable, None),
            Err(SendError::NoResponse | SendError::TimedOut) => {
                return (AttemptOutcome::ConnectionLost, None);
            }
        };
        match response.shield_source() {
            None => (AttemptOutcome::ConnectionLost, None),
            Some(ShieldSource::ConfigOutdated) => (AttemptOutcome::ConfigOutdated, None),
            // A purge is acknowledged once all lease holders have applied it; a shield without a lease may have missed it.
            Some(ShieldSource::WithoutLease) if self.watch_client.may_serve_stored_responses() => {
                (AttemptOutcome::NoLease, None)
            }
            Some(_) => (AttemptOutcome::Answered, Some(response)),
        }
    }
}
