//! Reads a request completely before it is handled, so that a proxy can send it to a second server if the first one has
//! not run it.

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

/// The lowest rate at which a client may send a body: a body may take `idleTimeoutMs` plus the time that it needs at
/// this rate. Without it, slow clients could occupy the memory for their bodies indefinitely.
const MIN_BODY_BYTES_PER_S: f64 = 32.0 * 1024.0;
/// The `Retry-After` of a request that was rejected because there was no memory for its body.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a request was rejected before it was read completely. Its response has a short text instead of this message.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The target is an absolute URI, or the method is CONNECT: this server is not a forward proxy. The response body is
    /// `a path expected`: the target has to be in origin form (RFC 9112, section 3.2.1).
    #[error("the request target is not a path")]
    NotOriginForm,
    /// There is no `Host` header, or more than one. The response body is `one Host expected`.
    #[error("the request does not have exactly one Host header")]
    HostCount,
    /// The body is longer than the limit.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body violates its framing, or the client closed the connection before its end. The response body is
    /// `broken body`.
    #[error("the body is malformed or incomplete")]
    MalformedBody,
    /// The body was not received completely in time.
    #[error("the body was not received completely in time")]
    BodyTimeout,
    /// There is no memory for the body.
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

/// A complete body and the reservation of its memory.
pub struct ReservedBody<'a> {
    /// The complete body.
    pub bytes: Bytes,
    /// Returns the memory when dropped, which should be after the response.
    pub reservation: BodyReservation<'a>,
}

/// Checks the head of a request, and reads its body completely, within the limits and the memory budget.
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

/// Limits on the size of a body and on the time to receive it.
struct BodyBounds {
    /// The length of the body according to the request head; 0 if the head has none.
    declared_bytes: usize,
    max_bytes: usize,
    /// The longest pause between two parts of the body, and the time that any body may take however short it is.
    idle_timeout: Duration,
}

impl BodyBounds {
    /// The deadline for the next part of the body, after this many bytes were received.
    fn deadline(&self, started: Instant, received_bytes: usize) -> Instant {
        let transfer_time = Duration::from_secs_f64(received_bytes as f64 / MIN_BODY_BYTES_PER_S);
        (Instant::now() + self.idle_timeout).min(started + self.idle_timeout + transfer_time)
    }
}

/// Reads a body. If its length is known, its memory is reserved at once; otherwise the reservation grows to twice the
/// received length whenever it is too small.
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
            // The complete body is in one frame, so it is not copied to the buffer.
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
