//! Headers and size limits of the HTTP messages between clients, this node and servers.

use hyper::header::HeaderName;

/// The id of a request, the same for each attempt.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender of a request waits for the response, in milliseconds.
pub const DEADLINE_MS_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The key by which a server recognises a write that it has already applied.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The class of a request, which is also the first segment of its path.
pub const CLASS_HEADER: HeaderName = HeaderName::from_static("x-class");
/// The tenant of a request.
pub const TENANT_HEADER: HeaderName = HeaderName::from_static("x-tenant");
/// A client's estimate of the work that a request takes, in microseconds.
pub const COST_HINT_HEADER: HeaderName = HeaderName::from_static("x-cost-hint");
/// Set to `1` by a server to state that it has not run the request.
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");
/// Whether a server had the object in its cache: `hit`, `miss` or `pending`.
pub const CACHE_HEADER: HeaderName = HeaderName::from_static("x-cache");
/// A server's report of its load.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");

/// Largest body of any message, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Largest head of any message, in bytes. Also the size of the read buffer, so that a head that does not end is
/// rejected early.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
