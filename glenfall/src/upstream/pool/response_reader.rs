//! Reads complete responses into memory that is reserved in the budget of the process.

use std::cell::Cell;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use glenfall_http_client::{BodyFraming, Progress};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};

use super::keep_alive::idle_timeout;
use crate::http::response::ServerResponse;
use crate::memory_budget::{MemoryBudget, Reservation};

/// Largest body of a response that is held in memory.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A complete response, and how long its connection may stay idle.
pub struct CompleteResponse {
    /// The response, with its body read to the end.
    pub response: ServerResponse,
    /// The idle timeout of its connection; `None` if the connection has to be closed.
    pub idle_timeout: Option<Duration>,
}

/// Why no complete response could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The server changes to another protocol.
    #[error("the server responded with status 101 (switching protocols)")]
    SwitchingProtocols,
    /// The headers do not determine where the body ends.
    #[error("the response headers do not determine where the body ends")]
    AmbiguousFraming,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the response body is longer than the limit")]
    TooLarge,
    /// The body is larger than the whole memory budget.
    #[error("the response body is larger than the memory budget")]
    ExceedsMemoryBudget,
    /// The connection failed before the end of the body.
    #[error("the connection failed before the end of the response body")]
    Incomplete,
}

/// Reads one response, and reserves the memory for its body.
pub struct ResponseReader<'a> {
    memory: &'a MemoryBudget,
    /// Set while the reader waits for memory. Such waits do not count as stalls of the server.
    is_waiting_for_memory: Cell<bool>,
}

impl<'a> ResponseReader<'a> {
    /// A reader that reserves memory in a budget.
    pub fn new(memory: &'a MemoryBudget) -> Self {
        ResponseReader { memory, is_waiting_for_memory: Cell::new(false) }
    }

    /// Reads the response to a request with this method to its end.
    pub async fn read(
        &self,
        response: Response<Incoming>,
        method: &Method,
    ) -> Result<CompleteResponse, ReadError> {
        let (head, body) = response.into_parts();
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(ReadError::SwitchingProtocols);
        }
        if !has_unambiguous_framing(&head, method) {
            return Err(ReadError::AmbiguousFraming);
        }
        let body = self.read_body(body).await?;
        let idle_timeout = idle_timeout(&head.headers);
        Ok(CompleteResponse { response: ServerResponse::new(head, body), idle_timeout })
    }

    /// Returns once a response that has begun is not complete within the timeout, unless the reader is waiting for
    /// memory. Never returns if there is no timeout.
    pub async fn stalled(&self, progress: &Progress, completion_timeout: Option<Duration>) {
        let Some(completion_timeout) = completion_timeout else { return std::future::pending().await };
        loop {
            progress.response_timed_out(completion_timeout).await;
            if !self.is_waiting_for_memory.get() {
                return;
            }
        }
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, ReadError> {
        // 0 if no length is stated.
        let stated_length = body.size_hint().lower();
        if stated_length > MAX_BODY_BYTES as u64 {
            return Err(ReadError::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let stated_length = stated_length as usize;
        let mut reservation = self.reserve(stated_length).await?;
        let mut buffer = BytesMut::with_capacity(stated_length);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Incomplete)?;
            let Ok(data) = frame.into_data() else { continue };
            let length = buffer.len() + data.len();
            if buffer.is_empty() && body.is_end_stream() && length <= reservation.bytes() {
                // A body of a single frame is used without copying it.
                return Ok(reservation.attach_to(data));
            }
            if length > MAX_BODY_BYTES {
                return Err(ReadError::TooLarge);
            }
            if length > reservation.bytes() {
                // Without a stated length, the reservation grows to twice what has arrived.
                self.grow(&mut reservation, (2 * length).min(MAX_BODY_BYTES)).await?;
            }
            buffer.extend_from_slice(&data);
        }
        Ok(reservation.attach_to(buffer.freeze()))
    }

    async fn reserve(&self, bytes: usize) -> Result<Reservation, ReadError> {
        self.is_waiting_for_memory.set(true);
        let reservation = self.memory.reserve(bytes).await.ok_or(ReadError::ExceedsMemoryBudget)?;
        self.is_waiting_for_memory.set(false);
        Ok(reservation)
    }

    async fn grow(&self, reservation: &mut Reservation, bytes: usize) -> Result<(), ReadError> {
        self.is_waiting_for_memory.set(true);
        reservation.grow_to(bytes).await.ok_or(ReadError::ExceedsMemoryBudget)?;
        self.is_waiting_for_memory.set(false);
        Ok(())
    }
}

fn has_unambiguous_framing(head: &Parts, method: &Method) -> bool {
    let has_no_body =
        method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body || BodyFraming::of(&head.headers) != BodyFraming::Ambiguous
}
