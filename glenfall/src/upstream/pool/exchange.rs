//! One exchange: sends a request on a connection of the pool, and reads its complete response.

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

/// Time from the first byte of a response within which it has to be complete; otherwise the request is sent to another
/// server. It does not apply where the request can't be sent to another server: such a response may pause until the
/// deadline.
pub const RESPONSE_COMPLETION_TIMEOUT: Duration = Duration::from_secs(1);

/// Where a request is sent, and how long its response may take.
#[derive(Clone, Copy)]
pub struct ExchangeParams<'a> {
    /// The address of the server or shield.
    pub address: SocketAddr,
    /// Determines how far an idle connection to it is trusted.
    pub kind: UpstreamKind,
    /// The exchange fails if there is no complete response by this time.
    pub deadline: Instant,
    /// The time from the first byte of the response within which it has to be complete; `None` if the request can't be
    /// sent to another server, so that the response is waited for until the deadline.
    pub completion_timeout: Option<Duration>,
    /// Called once a connection is available: returns whether the request may still be sent, as the server may have
    /// begun to drain meanwhile.
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

/// What to do after a send without a response.
enum FailedSend {
    /// The reused connection was closed, or unsolicited data arrived on it. The server has not received the request,
    /// which can be sent on another connection.
    StaleConnection,
    /// The exchange fails with this error.
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
    /// Sends a request and reads the complete response. `build_request` is called for each connection that the request
    /// is written to, as an idle one may turn out to be closed before the request is completely written.
    pub async fn exchange(
        &self,
        params: ExchangeParams<'_>,
        build_request: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<ServerResponse, SendError> {
        loop {
            let AcquiredConnection { mut connection, is_reused } =
                self.acquire(params.address, params.deadline, params.kind).await?;
            if !params.may_still_send() {
                return Err(SendError::NotSent);
            }
            let progress = RequestProgress::default();
            let event = match self.exchange_on(&mut connection, build_request(), &progress, &params).await {
                Ok(CompleteResponse { response, idle_timeout }) => {
                    if let Some(idle_timeout) = idle_timeout {
                        self.release(params.address, connection, idle_timeout).await;
                    }
                    return Ok(response);
                }
                Err(event) => event,
            };
            let stage = progress.stage();
            // The state of the connection is unknown: it can't be used again.
            drop(connection);
            if event == SendEvent::WrongRequest {
                // Responses on other idle connections to this address may belong to other requests as well.
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
            result = exchange => result,
            () = reader.stalled(&response_progress, params.completion_timeout) => Err(SendEvent::Malformed),
            () = sleep_until(params.deadline) => Err(SendEvent::TimedOut),
        }
    }
}
