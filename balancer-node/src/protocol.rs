//! Headers and bounds of the HTTP messages between clients, this node and servers.

use hyper::header::HeaderName;

/// A request's id, the same at each server.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender of a request waits, in milliseconds.
pub const DEADLINE_MS_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The key by which a server recognises a write that it has already applied.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The class of a request, which its path names as well.
pub const CLASS_HEADER: HeaderName = HeaderName::from_static("x-class");
/// The tenant of a request.
pub const TENANT_HEADER: HeaderName = HeaderName::from_static("x-tenant");
/// A client's estimate of the work of a request, in microseconds.
pub const COST_HINT_HEADER: HeaderName = HeaderName::from_static("x-cost-hint");
/// A server states with it that a request has not run.
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");
/// Whether a server had the object in its cache.
pub const CACHE_HEADER: HeaderName = HeaderName::from_static("x-cache");
/// A server's report of its load.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");

/// Largest body of any message, in bytes.
pub const MAX_BODY_SIZE: usize = 64 << 10;
/// Largest head of any message, in bytes, and the size of reads: a head without end is noticed early.
pub const MAX_HEAD_SIZE: usize = 16 << 10;
