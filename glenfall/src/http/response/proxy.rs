//! The response that a proxy returns.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};

use super::shield_source::{ShieldSource, SHIELD_HEADER};
use super::{AGE_HEADER, LABELS_HEADER};
use crate::http::failure::{Failure, FAILURE_HEADER};
use crate::http::headers::TRY_ID_HEADER;
use crate::http::send_budget::{SendReport, SENDS_HEADER};

const NANOS_PER_MILLI: u128 = 1_000_000;

/// The response that a proxy returns to its client. Only headers for other processes of the system can still be set.
#[derive(Debug)]
pub struct ProxyResponse {
    response: Response<Full<Bytes>>,
    failure: Option<Failure>,
}

impl ProxyResponse {
    pub(super) fn new(status: StatusCode, headers: HeaderMap, body: Bytes, failure: Option<Failure>) -> Self {
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        ProxyResponse { response, failure }
    }

    /// The status that the client receives.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// The headers that the client receives.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Why the request failed, if it did; for the log.
    pub fn failure(&self) -> Option<&Failure> {
        self.failure.as_ref()
    }

    /// Adds attempts that were made earlier to the failure, if there is one.
    pub fn with_earlier_attempts(mut self, attempts: &str) -> Self {
        self.failure = self.failure.map(|failure| failure.with_earlier_attempts(attempts));
        self
    }

    /// Reports to an edge why the request failed, if it did.
    pub fn set_failure(&mut self) {
        if let Some(failure) = &self.failure {
            self.response.headers_mut().insert(FAILURE_HEADER, failure.encode());
        }
    }

    /// Reports to an edge where the response comes from.
    pub fn set_shield_source(&mut self, source: ShieldSource) {
        self.response.headers_mut().insert(SHIELD_HEADER, HeaderValue::from_static(source.name()));
    }

    /// Adds what an edge needs to store the response: its age, and its labels separated by spaces.
    pub fn set_cache_details(&mut self, age: Duration, labels: &str) {
        let headers = self.response.headers_mut();
        headers.insert(AGE_HEADER, HeaderValue::from(age.as_nanos().div_ceil(NANOS_PER_MILLI) as u64));
        if let Ok(labels) = HeaderValue::from_str(labels) {
            headers.insert(LABELS_HEADER, labels);
        }
    }

    /// Reports to an edge how much of its allowance was used. The header is omitted if nothing was used.
    pub fn set_send_report(&mut self, report: SendReport) {
        if report != SendReport::default() {
            self.response.headers_mut().insert(SENDS_HEADER, report.encode());
        }
    }

    /// Sets the id of the request that this responds to; `None` removes it.
    pub fn set_try_id(&mut self, id: Option<&HeaderValue>) {
        match id {
            Some(id) => self.response.headers_mut().insert(TRY_ID_HEADER, id.clone()),
            None => self.response.headers_mut().remove(TRY_ID_HEADER),
        };
    }
}

impl From<ProxyResponse> for Response<Full<Bytes>> {
    fn from(response: ProxyResponse) -> Self {
        response.response
    }
}
