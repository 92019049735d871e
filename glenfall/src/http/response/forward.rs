//! Conversion of a server's response to the response to a client.

use hyper::{header, Method};

use super::local::LocalResponse;
use super::proxy::ProxyResponse;
use super::server::ServerResponse;
use super::shield_source::ShieldSource;
use crate::http::headers::forwardable_headers;

impl ServerResponse {
    /// The response that the client of a request with this method receives: without hop-by-hop headers.
    pub fn forward(self, method: &Method) -> ProxyResponse {
        let mut headers = forwardable_headers(self.headers());
        // The response to `HEAD` has no body, but states the length of the body that `GET` would return.
        if method == Method::HEAD {
            if let Some(length) = self.headers().get(header::CONTENT_LENGTH) {
                headers.insert(header::CONTENT_LENGTH, length.clone());
            }
        }
        ProxyResponse::new(self.status(), headers, self.body().clone(), self.failure())
    }

    /// A shield's response as its edge returns it. A response that the shield made itself has no headers of a server,
    /// and so no seal.
    pub fn forward_from_shield(self) -> ProxyResponse {
        match self.shield_source() {
            Some(ShieldSource::Local | ShieldSource::ConfigOutdated) => LocalResponse::relayed(&self).into(),
            _ => self.forward(&Method::GET),
        }
    }
}
