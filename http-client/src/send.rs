//! Retry safety: whether a request may be sent again, depending on how far its last send got and how that ended. This
//! module is the only one that decides this, for the proxies and for the balancer node; `docs/hardening.md` contains
//! its table.
//!
//! A request has not run if its last byte was not written: once anything is received, nothing more of the request is
//! written and its connection is closed. From the last byte on, only an explicit statement of the server, under the
//! request's id, shows that the request has not run.

use std::fmt;

/// How far a send has progressed. The stages are in the order in which a send passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendStage {
    /// No connection is open yet.
    Unconnected,
    /// The connection is open, and nothing has been written on it.
    Connected,
    /// Part of the request has been written, but not its last byte.
    PartlySent,
    /// The request has been written completely.
    Sent,
    /// An interim response (1xx) was received.
    InterimReceived,
    /// The head of a response was received, but not all of its body.
    ResponseStarted,
}

impl SendStage {
    /// All stages, in the order of a send.
    pub const ALL: [SendStage; 6] = [
        SendStage::Unconnected,
        SendStage::Connected,
        SendStage::PartlySent,
        SendStage::Sent,
        SendStage::InterimReceived,
        SendStage::ResponseStarted,
    ];

    /// Whether the server has, or may have, the last byte of the request.
    pub fn is_sent(self) -> bool {
        self >= SendStage::Sent
    }
}

/// An event that ends a send or occurs during it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendEvent {
    /// The connection was refused or not established in time, or the server has begun to drain.
    NoConnection,
    /// The server reset or closed the connection.
    Broken,
    /// No complete response was received before the deadline.
    TimedOut,
    /// The received bytes are not a response, or are a response whose end is ambiguous.
    Malformed,
    /// The response does not carry the id of this request.
    WrongRequest,
    /// A complete response which states that the request has not run.
    NotRun,
    /// A complete response whose status suggests that the request has not run (408, 429, 503), without that statement.
    UnprovenRefusal,
    /// A complete response with another server error.
    Failure,
    /// Any other complete response.
    Success,
    /// The client has closed its connection.
    Abandoned,
    /// This process received the signal to stop.
    Stopping,
}

impl SendEvent {
    /// All events, in the order of their declaration.
    pub const ALL: [SendEvent; 11] = [
        SendEvent::NoConnection,
        SendEvent::Broken,
        SendEvent::TimedOut,
        SendEvent::Malformed,
        SendEvent::WrongRequest,
        SendEvent::NotRun,
        SendEvent::UnprovenRefusal,
        SendEvent::Failure,
        SendEvent::Success,
        SendEvent::Abandoned,
        SendEvent::Stopping,
    ];
}

/// What is known about the execution of a request after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionStatus {
    /// Not decided yet: the send continues.
    InProgress,
    /// The request has not run at the server and never will. It may be sent to another server, or rejected with the
    /// guarantee that it has not run.
    NotRun,
    /// The request may have run. Only an idempotent request is sent again, and the client gets no guarantee.
    MayHaveRun,
    /// The server has responded. After a failure an idempotent request may be sent again.
    Answered,
    /// The client has disconnected, so the response is no longer needed.
    Cancelled,
}

impl ExecutionStatus {
    /// Whether the request may be sent to another server. `is_server_error` is whether the server responded with a
    /// server error (5xx).
    pub fn may_retry(self, idempotent: bool, is_server_error: bool) -> bool {
        match self {
            ExecutionStatus::NotRun => true,
            ExecutionStatus::MayHaveRun => idempotent,
            ExecutionStatus::Answered => idempotent && is_server_error,
            ExecutionStatus::InProgress | ExecutionStatus::Cancelled => false,
        }
    }
}

impl fmt::Display for ExecutionStatus {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ExecutionStatus::InProgress => "waits",
            ExecutionStatus::NotRun => "not run",
            ExecutionStatus::MayHaveRun => "unknown",
            ExecutionStatus::Answered => "answered",
            ExecutionStatus::Cancelled => "dropped",
        })
    }
}

/// What is known about the execution of a request at this stage after this event. `idempotent` matters only for
/// [`SendEvent::UnprovenRefusal`]: the response to an idempotent request is forwarded unchanged.
pub fn execution_status(stage: SendStage, event: SendEvent, idempotent: bool) -> ExecutionStatus {
    match event {
        SendEvent::Stopping => ExecutionStatus::InProgress,
        SendEvent::Abandoned => ExecutionStatus::Cancelled,
        SendEvent::NoConnection
        | SendEvent::Broken
        | SendEvent::TimedOut
        | SendEvent::Malformed
        | SendEvent::WrongRequest => {
            if stage.is_sent() {
                ExecutionStatus::MayHaveRun
            } else {
                ExecutionStatus::NotRun
            }
        }
        SendEvent::NotRun => ExecutionStatus::NotRun,
        SendEvent::UnprovenRefusal if !idempotent => ExecutionStatus::MayHaveRun,
        SendEvent::UnprovenRefusal | SendEvent::Failure | SendEvent::Success => ExecutionStatus::Answered,
    }
}

/// Limit on the failed connects of one request. Nothing was sent to these servers, so they do not count as sends, but
/// each may cost a connect timeout.
const MAX_UNREACHABLE_SERVERS: u32 = 4;

/// The successive sends of one request to different servers: a state machine over [`execution_status`].
#[derive(Clone, Debug)]
pub struct SendSequence {
    max_sends: u32,
    idempotent: bool,
    used: u32,
    unreachable: u32,
    /// Set when no further send may begin, even if `max_sends` is not reached.
    stopped: bool,
}

impl SendSequence {
    /// Starts a sequence for a request that may be sent to up to `max_sends` servers.
    pub fn new(max_sends: u32, idempotent: bool) -> Self {
        SendSequence { max_sends, idempotent, used: 0, unreachable: 0, stopped: false }
    }

    /// The number of servers that the request was sent to.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Whether the request may be sent to another server now.
    pub fn may_send(&self) -> bool {
        !self.stopped && self.used < self.max_sends && self.unreachable < MAX_UNREACHABLE_SERVERS
    }

    /// Whether another send may follow the one that begins now, however this one ends. If so, this one must leave
    /// time for it.
    pub fn another_may_follow(&self) -> bool {
        self.idempotent && self.used + 1 < self.max_sends
    }

    /// Whether the request is not sent to another server only because `max_sends` is reached.
    pub fn is_exhausted(&self) -> bool {
        !self.stopped && self.used > 0 && self.used == self.max_sends
    }

    /// Records the end of a send. `is_server_error` is whether the server responded with a server error (5xx).
    pub fn record_end(
        &mut self,
        stage: SendStage,
        event: SendEvent,
        is_server_error: bool,
    ) -> ExecutionStatus {
        let status = execution_status(stage, event, self.idempotent);
        if event == SendEvent::NoConnection {
            self.unreachable += 1;
        } else {
            self.used += 1;
        }
        self.stopped = !status.may_retry(self.idempotent, is_server_error);
        status
    }

    /// Ends the sequence: the request is sent to no further server.
    pub fn stop(&mut self) {
        self.stopped = true;
    }
}
