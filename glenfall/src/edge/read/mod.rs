//! Reads at an edge: from its local cache, through the shields, and from the servers where no shield answers.

pub(super) mod attempt_log;
mod attempts;
mod pending_attempts;
mod shield_request;

use std::rc::Rc;

use hyper::header::{self, HeaderMap};

use self::attempts::ReadAttempts;
use super::routed_request::RoutedRequest;
use super::{Edge, NOT_READY_RETRY_AFTER};
use crate::cache::StoredResponse;
use crate::http::failure::Cause;
use crate::http::response::{LocalResponse, ProxyResponse};
use crate::shield::max_age;

impl Edge {
    /// Answers a read of an object.
    pub(super) async fn read(&self, routed: RoutedRequest<'_>) -> ProxyResponse {
        self.counters.reads.increment();
        let object = routed.object();
        let cached = self.local_cache.get(&object).filter(|_| self.watch_client.may_serve_stored_responses());
        let max_age = max_age(routed.route);
        if let Some(stored) = cached.as_ref().filter(|stored| stored.age() < max_age) {
            self.counters.local_hits.increment();
            self.local_cache.check_not_purged(&object, stored);
            return stored.respond_to(&routed.headers).into();
        }
        if !self.forwarder.pool.memory.has_capacity() {
            self.counters.rejected.increment();
            return LocalResponse::rejected(Cause::NoMemory, NOT_READY_RETRY_AFTER).into();
        }
        let headers = Rc::new(shield_headers(&routed.headers, cached.as_deref()));
        ReadAttempts::new(self, &routed, object, cached, headers).run().await
    }
}

/// The headers of a read's requests to shields. A stale stored response is revalidated, and the object is requested
/// without a range: it is transferred only if it has changed, and is then stored.
fn shield_headers(client_headers: &HeaderMap, stale: Option<&StoredResponse>) -> HeaderMap {
    let mut headers = client_headers.clone();
    if let Some(etag) = stale.and_then(|stored| stored.headers.get(header::ETAG)) {
        headers.remove(header::RANGE);
        headers.remove(header::IF_RANGE);
        headers.insert(header::IF_NONE_MATCH, etag.clone());
    }
    headers
}
