//! Reads client requests and rejects invalid ones.

use std::time::Duration;

use glenfall_balancer::{ClassId, Key, Seconds, Settings, TenantId};
use glenfall_balancer_settings::Names;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{header, Method, Request, StatusCode};
use tokio::time::timeout;

use crate::payload::Payload;
use crate::protocol::{
    CLASS_HEADER, COST_HINT_HEADER, DEADLINE_MS_HEADER, IDEMPOTENCY_KEY_HEADER, MAX_BODY_BYTES,
    REQUEST_ID_HEADER, TENANT_HEADER,
};

/// Subtracted from the client's time limit: the time that a request may have spent in transit, in the kernel
/// and in this node's queue since the client's clock started, and that its response takes to return.
const TRANSIT_TIME: Duration = Duration::from_millis(10);
/// Longest time limit that a request gets, whatever its client states, as each request holds a timer.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(100);
/// Largest time limit that a client may state, in milliseconds; a request with a larger one is rejected.
const MAX_STATED_TIMEOUT_MS: u64 = 3_600_000;
/// Longest path with its query, in bytes.
const MAX_PATH_BYTES: usize = 2 << 10;
/// Longest id of a request, in bytes.
const MAX_ID_BYTES: usize = 64;
const MICROSECONDS_PER_SECOND: Seconds = 1e6;

/// A client's request that can be forwarded.
pub struct ClientRequest {
    /// Time until the client stops waiting.
    pub time_left: Duration,
    /// The class that its path names.
    pub class: ClassId,
    /// Its tenant, if it states one that the settings contain.
    pub tenant: Option<TenantId>,
    /// The key of the object that it reads or writes.
    pub key: Key,
    /// Whether the request is a write.
    pub is_write: bool,
    /// The client's estimate of the work, in seconds.
    pub work_hint: Option<Seconds>,
    /// The part that is forwarded.
    pub payload: Payload,
}

/// A rejected request, with the status of the response.
pub struct Rejected(pub StatusCode);

const BAD_REQUEST: Rejected = Rejected(StatusCode::BAD_REQUEST);
const NOT_FOUND: Rejected = Rejected(StatusCode::NOT_FOUND);

/// Reads requests, with the classes and tenants of the settings.
pub struct RequestReader {
    names: Names,
    settings: Settings,
}

impl RequestReader {
    /// A reader for these settings.
    pub fn new(settings: &Settings) -> Self {
        RequestReader { names: Names::of(settings), settings: settings.clone() }
    }

    /// Reads a complete request, with its body within `body_timeout`. Requests that violate the protocol are
    /// rejected before they reach the balancer, and must neither affect servers nor count against a tenant's
    /// quota. A server that cannot read a request closes the connection, whatever else waits on it.
    ///
    /// # Errors
    ///
    /// The status with which the request was rejected.
    pub async fn read(
        &self,
        request: Request<Incoming>,
        body_timeout: Duration,
    ) -> Result<ClientRequest, Rejected> {
        let (head, body) = request.into_parts();
        check_framing(&head)?;
        let target = Target::of(head.uri.path()).ok_or(NOT_FOUND)?;
        let class = self.names.class(target.class).ok_or(NOT_FOUND)?;
        let key = target.key;
        let is_write = is_write(&head.method)?;
        // The path names the class as well, and the two must agree.
        if text(&head.headers, &CLASS_HEADER)?.is_some_and(|name| name != target.class) {
            return Err(BAD_REQUEST);
        }
        let id = request_id(&head.headers)?;
        let tenant = text(&head.headers, &TENANT_HEADER)?.and_then(|name| self.names.tenant(name));
        let client_timeout = self.client_timeout(&head.headers, class)?;
        let work_hint =
            number(&head.headers, &COST_HINT_HEADER)?.map(|work| work as Seconds / MICROSECONDS_PER_SECOND);
        check_body(&body, is_write)?;
        let body =
            timeout(client_timeout.min(body_timeout), Limited::new(body, MAX_BODY_BYTES).collect()).await;
        let body = body.map_err(|_| Rejected(StatusCode::REQUEST_TIMEOUT))?.map_err(|_| BAD_REQUEST)?;
        let payload = Payload {
            method: head.method,
            uri: head.uri,
            id,
            idempotency_key: single(&head.headers, &IDEMPOTENCY_KEY_HEADER)?.cloned(),
            body: body.to_bytes(),
        };
        // The client's time limit counts from the last byte of the request, which has just arrived.
        let time_left = client_timeout.saturating_sub(TRANSIT_TIME);
        Ok(ClientRequest { time_left, class, tenant, key, is_write, work_hint, payload })
    }

    /// The client's time limit: the one that it states, or else that of its class.
    fn client_timeout(&self, headers: &HeaderMap, class: ClassId) -> Result<Duration, Rejected> {
        match number(headers, &DEADLINE_MS_HEADER)? {
            Some(ms) if ms > MAX_STATED_TIMEOUT_MS => Err(BAD_REQUEST),
            Some(ms) => Ok(Duration::from_millis(ms).min(MAX_CLIENT_TIMEOUT)),
            None => Ok(Duration::from_secs_f64(self.settings.classes[class.0].deadline)),
        }
    }
}

/// Rejects what could make node and server disagree on where a request ends. hyper hides a `Content-Length`
/// that comes with a `Transfer-Encoding`, in either order, and the two may disagree on where the next request
/// begins. Valid clients send a `Content-Length`, so they never need a `Transfer-Encoding`. Also rejects a
/// target with an authority, and a path above `MAX_PATH_BYTES`.
fn check_framing(head: &Parts) -> Result<(), Rejected> {
    if head.headers.contains_key(header::TRANSFER_ENCODING) || head.uri.authority().is_some() {
        return Err(BAD_REQUEST);
    }
    if head.uri.path_and_query().is_none_or(|path| path.as_str().len() > MAX_PATH_BYTES) {
        return Err(Rejected(StatusCode::URI_TOO_LONG));
    }
    Ok(())
}

fn is_write(method: &Method) -> Result<bool, Rejected> {
    match *method {
        Method::GET => Ok(false),
        Method::PUT => Ok(true),
        _ => Err(Rejected(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

/// Rejects a body whose stated length is too large at once, before the client has sent it.
fn check_body(body: &Incoming, is_write: bool) -> Result<(), Rejected> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE));
    }
    if !is_write && !body.is_end_stream() {
        return Err(BAD_REQUEST);
    }
    Ok(())
}

/// The class and key that a path names.
struct Target<'a> {
    /// The first segment of the path, which names the class.
    class: &'a str,
    /// The hash of the last segment of the path, which names the object.
    key: Key,
}

impl<'a> Target<'a> {
    fn of(path: &'a str) -> Option<Self> {
        let (class, rest) = path.strip_prefix('/')?.split_once('/')?;
        let name = rest.rsplit('/').next().filter(|name| !name.is_empty())?;
        Some(Target { class, key: Key(fnv1a(name)) })
    }
}

/// FNV-1a: the same on every node and in every version, which the standard library's hashers do not guarantee.
fn fnv1a(text: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// The request's id, which is required: servers respond to no request without one.
fn request_id(headers: &HeaderMap) -> Result<HeaderValue, Rejected> {
    let id = single(headers, &REQUEST_ID_HEADER)?.filter(|id| is_id(id.as_bytes()));
    id.cloned().ok_or(BAD_REQUEST)
}

/// Ids consist of up to `MAX_ID_BYTES` letters, digits, `-`, `_` and `.`.
fn is_id(id: &[u8]) -> bool {
    let is_allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.".contains(byte);
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.iter().all(is_allowed)
}

/// The value of a header that may appear at most once: of two values, node and server might use different ones.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, Rejected> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(BAD_REQUEST);
    }
    Ok(first)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Rejected> {
    single(headers, name)?.map(|value| value.to_str().map_err(|_| BAD_REQUEST)).transpose()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Rejected> {
    text(headers, name)?.map(|value| value.parse().map_err(|_| BAD_REQUEST)).transpose()
}
