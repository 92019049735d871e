//! Responses to clients, typed by their source, so that status, seal and body always belong to one response of one
//! server.
//!
//! | type | created from | seal |
//! | --- | --- | --- |
//! | [`ServerResponse`] | the response received in one upstream exchange | the server's, with the server's status |
//! | [`CachedResponse`] | a stored response (a server's 200) | with 200 and 206 only: it is valid for the object and its ranges |
//! | [`LocalResponse`] | this process, for a failed request | never |
//!
//! Each is converted to a [`ProxyResponse`], the only type that proxies return to their clients. None of the types
//! allows its status, seal or body to be replaced, so that code that combines two responses does not compile:
//!
//! ```compile_fail,E0616
//! # use glenfall::http::response::ServerResponse;
//! # use hyper::StatusCode;
//! fn change_status(mut response: ServerResponse) -> ServerResponse {
//!     response.status = StatusCode::BAD_GATEWAY; // private
//!     response
//! }
//! ```
//!
//! ```compile_fail,E0599
//! # use glenfall::http::failure::Cause;
//! # use glenfall::http::response::{LocalResponse, ServerResponse};
//! fn local_with_headers(response: ServerResponse) -> LocalResponse {
//!     LocalResponse::bad_gateway(Cause::ResponseLost).with_headers(response.headers().clone()) // no such method
//! }
//! ```
//!
//! ```compile_fail,E0277
//! # use glenfall::http::response::ProxyResponse;
//! # use http_body_util::Full;
//! # use bytes::Bytes;
//! fn untyped(response: hyper::Response<Full<Bytes>>) -> ProxyResponse {
//!     response.into() // there is no such conversion
//! }
//! ```
//!
//! ```compile_fail,E0599
//! # use glenfall::http::response::{CachedResponse, ProxyResponse};
//! fn cached_with_status(response: CachedResponse) -> ProxyResponse {
//!     let mut response = ProxyResponse::from(response);
//!     *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE; // no such method
//!     response
//! }
//! ```

mod accessors;
mod cached;
mod forward;
mod local;
mod proxy;
mod server;
mod shield_source;

use hyper::header::HeaderName;

pub use cached::CachedResponse;
pub use local::LocalResponse;
pub use proxy::ProxyResponse;
pub use server::ServerResponse;
pub use shield_source::ShieldSource;

/// A server's signature of its response.
pub const SEAL_HEADER: HeaderName = HeaderName::from_static("x-glenfall-seal");
/// The labels of an object, by which it can be purged.
pub const LABELS_HEADER: HeaderName = HeaderName::from_static("x-glenfall-tags");
/// The age of a shield's stored response, in milliseconds.
pub const AGE_HEADER: HeaderName = HeaderName::from_static("x-glenfall-age-ms");
