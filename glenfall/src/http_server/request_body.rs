//! Reads a request completely before it is handled: a proxy can then send it to a second server if the first has not run
//! it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use glenfall_control_plane::config::RequestLimits;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request::Parts;
use hyper::Method;
use tokio::time::{timeout_at, Instant};

use crate::http::failure::Cause;
use crate::http::response::LocalResponse;
use crate::http_server::body_memory::{BodyMemory, BodyMemoryExhausted, BodyReservation};

/// A body may take `idleTimeoutMs` and, beyond that, the time that it needs at this rate. A slower client would occupy
/// the memory for its body without end.
const MIN_BODY_BYTES_PER_S: f64 = 32.0 * 1024.0;
/// When a client may retry a request for whose body there was no memory.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a request was rejected before it was read completely.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The target is an absolute URI, or the method is CONNECT: this server is no forward proxy.
    #[error("the request target is not a path")]
    NotOriginForm,
    /// There is no `Host` header, or more than one.
    #[error("the request has not exactly one Host header")]
    HostCount,
    /// The body is longer than the limit.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body violates its framing, or the client has closed the connection.
    #[error("the body is malformed or incomplete")]
    MalformedBody,
    /// The body was not complete in time.
    #[error("the body was not complete in time")]
    BodyTimeout,
    /// The bodies in flight use all of the memory for bodies.
    #[error(transparent)]
    NoBodyMemory(#[from] BodyMemoryExhausted),
}

impl From<RequestError> for LocalResponse {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::NotOriginForm => LocalResponse::bad_request("a path expected"),
            RequestError::HostCount => LocalResponse::bad_request("one Host expected"),
            RequestError::BodyTooLarge => LocalResponse::payload_too_large(),
            RequestError::MalformedBody => LocalResponse::bad_request("broken body"),
            RequestError::BodyTimeout => LocalResponse::request_timeout(),
            RequestError::NoBodyMemory(_) => {
                LocalResponse::rejected(Cause::NoBodyMemory, BODY_MEMORY_RETRY_AFTER)
            }
        }
    }
}

/// A complete body, with the memory that is reserved for it.
pub struct ReservedBody<'a> {
    /// The complete body.
    pub bytes: Bytes,
    /// To be dropped once the request is answered.
    pub reservation: BodyReservation<'a>,
}

/// Checks the head of a request, and reads its body completely.
pub async fn read_request_body<'a>(
    head: &Parts,
    body: Incoming,
    limits: &RequestLimits,
    memory: &'a BodyMemory,
) -> Result<ReservedBody<'a>, RequestError> {
    check_head(head)?;
    let max_bytes = limits.max_body_bytes.min(memory.capacity());
    let declared_bytes = body.size_hint().lower() as usize;
    if declared_bytes > max_bytes {
        return Err(RequestError::BodyTooLarge);
    }
    let mut reservation = memory.reservation();
    if body.is_end_stream() {
        return Ok(ReservedBody { bytes: Bytes::new(), reservation });
    }
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.max(1));
    let bounds = BodyBounds { declared_bytes, max_bytes, idle_timeout };
    let bytes = read_body(body, bounds, &mut reservation).await?;
    Ok(ReservedBody { bytes, reservation })
}

fn check_head(head: &Parts) -> Result<(), RequestError> {
    if head.uri.authority().is_some() || head.method == Method::CONNECT {
        return Err(RequestError::NotOriginForm);
    }
    if head.headers.get_all(header::HOST).iter().count() != 1 {
        return Err(RequestError::HostCount);
    }
    Ok(())
}

/// The size and time that a body may take.
struct BodyBounds {
    /// The length that its head states; 0 where it states none.
    declared_bytes: usize,
    max_bytes: usize,
    /// The longest pause between two parts of the body, and the time that any body has.
    idle_timeout: Duration,
}

impl BodyBounds {
    /// When more of the body has to arrive, of which this many bytes are there.
    fn deadline(&self, started: Instant, received_bytes: usize) -> Instant {
        let transfer_time = Duration::from_secs_f64(received_bytes as f64 / MIN_BODY_BYTES_PER_S);
        (Instant::now() + self.idle_timeout).min(started + self.idle_timeout + transfer_time)
    }
}

/// Reads a body. For a stated length all memory is reserved at once, else twice of what has arrived.
async fn read_body(
    mut body: Incoming,
    bounds: BodyBounds,
    reservation: &mut BodyReservation<'_>,
) -> Result<Bytes, RequestError> {
    let started = Instant::now();
    reservation.resize(bounds.declared_bytes)?;
    let mut buffer = BytesMut::with_capacity(bounds.declared_bytes);
    loop {
        let deadline = bounds.deadline(started, buffer.len());
        let data = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Err(RequestError::MalformedBody),
            Ok(None) => return Ok(buffer.freeze()),
            Err(_) => return Err(RequestError::BodyTimeout),
        };
        let length = buffer.len() + data.len();
        if length > bounds.max_bytes {
            return Err(RequestError::BodyTooLarge);
        }
        if buffer.is_empty() && body.is_end_stream() {
            // The complete body is in one frame, and needs no copy.
            reservation.resize(length)?;
            return Ok(data);
        }
        if length > buffer.capacity() {
            let new_capacity = (2 * length).min(bounds.max_bytes);
            reservation.resize(new_capacity)?;
            buffer.reserve(new_capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
}
