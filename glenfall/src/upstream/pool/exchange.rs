//! One exchange: a request is sent on a connection of the pool, and its complete response is read.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_http_client::send::{self, ExecutionStatus, SendEvent, SendStage};
use glenfall_http_client::{Connection, ExchangeError, RequestProgress};
use http_body_util::Full;
use hyper::Request;
use tokio::time::{sleep_until, Instant};

use super::connection_pool::{AcquiredConnection, Pool, UpstreamKind};
use super::error::SendError;
use super::response_reader::{CompleteResponse, ResponseReader};
use crate::http::headers::TRY_ID_HEADER;
use crate::http::response::ServerResponse;

/// A response has to be complete within this time from its first byte, or the request is sent to another server. Where
/// it can't be sent to another one, the response is waited for: a pause alone does not end a response.
pub const RESPONSE_COMPLETION_TIMEOUT: Duration = Duration::from_secs(1);

/// Where a request is sent, and how long its response may take.
#[derive(Clone, Copy)]
pub struct ExchangeParams<'a> {
    /// The address of the server or shield.
    pub address: SocketAddr,
    /// How far an idle connection to it is trusted.
    pub kind: UpstreamKind,
    /// When the exchange ends without a response.
    pub deadline: Instant,
    /// The time from the first byte of the response within which it has to be complete; `None` where the request can't
    /// be sent to another server, and the response is waited for until the deadline.
    pub completion_timeout: Option<Duration>,
    /// Asked once a connection is established, whether the request may still be sent: the server may have begun to
    /// drain meanwhile.
    pub may_still_send: Option<&'a dyn Fn() -> bool>,
}

impl ExchangeParams<'_> {
    /// Parameters of an exchange with a process of this system, with [`RESPONSE_COMPLETION_TIMEOUT`].
    pub fn internal(address: impl Into<SocketAddr>, deadline: Instant) -> Self {
        ExchangeParams {
            address: address.into(),
            kind: UpstreamKind::Internal,
            deadline,
            completion_timeout: Some(RESPONSE_COMPLETION_TIMEOUT),
            may_still_send: None,
        }
    }

    fn may_still_send(&self) -> bool {
        self.may_still_send.is_none_or(|may_still_send| may_still_send())
    }
}

/// What follows from a send without a response.
enum FailedSend {
    /// An idle connection had been closed, or something unrequested arrived on it; the server has seen nothing of the
    /// request, which can be sent on another connection.
    StaleConnection,
    /// The exchange is over.
    Final(SendError),
}

impl FailedSend {
    fn classify(stage: SendStage, event: SendEvent, is_reused: bool) -> Self {
        match send::execution_status(stage, event, false) {
            ExecutionStatus::NotRun if is_reused && event == SendEvent::Broken => FailedSend::StaleConnection,
            ExecutionStatus::NotRun => FailedSend::Final(SendError::NotSent),
            _ if event == SendEvent::TimedOut => FailedSend::Final(SendError::TimedOut),
            _ => FailedSend::Final(SendError::NoResponse),
        }
    }
}

impl Pool {
    /// Sends a request and reads the complete response. `request` makes the request anew for each connection that it is
    /// written to: an idle one may prove closed before the request is complete on it.
    pub async fn exchange(
        &self,
        params: ExchangeParams<'_>,
        request: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<ServerResponse, SendError> {
        loop {
            let AcquiredConnection { mut connection, is_reused } =
                self.acquire(params.address, params.deadline, params.kind).await?;
            if !params.may_still_send() {
                return Err(SendError::NotSent);
            }
            let progress = RequestProgress::default();
            let event = match self.exchange_on(&mut connection, request(), &progress, &params).await {
                Ok(CompleteResponse { response, idle_timeout }) => {
                    if let Some(idle_timeout) = idle_timeout {
                        self.release(params.address, connection, idle_timeout).await;
                    }
                    return Ok(response);
                }
                Err(event) => event,
            };
            let stage = progress.stage();
            // Nothing may be read from it or written to it any more.
            drop(connection);
            if event == SendEvent::WrongRequest {
                // Responses on connections that the server had before may belong to other requests as well.
                self.close_idle(params.address);
            }
            match FailedSend::classify(stage, event, is_reused) {
                FailedSend::StaleConnection => {}
                FailedSend::Final(error) => return Err(error),
            }
        }
    }

    /// One exchange on a connection: its response, or the event that ended it without one.
    async fn exchange_on(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        request_progress: &RequestProgress,
        params: &ExchangeParams<'_>,
    ) -> Result<CompleteResponse, SendEvent> {
        let method = request.method().clone();
        let response_progress = Rc::clone(&connection.progress);
        let reader = ResponseReader::new(&self.memory);
        let exchange = async {
            match connection.send(request, Some(&TRY_ID_HEADER), request_progress).await {
                Ok(response) => reader.read(response, &method).await.map_err(|_| SendEvent::Malformed),
                Err(ExchangeError::NotSent | ExchangeError::ConnectionLost(_)) => Err(SendEvent::Broken),
                Err(ExchangeError::WrongRequest) => Err(SendEvent::WrongRequest),
            }
        };
        tokio::select! {
            biased;
            ended = exchange => ended,
            () = reader.stalled(&response_progress, params.completion_timeout) => Err(SendEvent::Malformed),
            () = sleep_until(params.deadline) => Err(SendEvent::TimedOut),
        }
    }
}
