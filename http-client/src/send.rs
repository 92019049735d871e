//! Retry safety: whether a request may be sent again, by how far its last send came and how that ended. This is the one
//! module that decides it, for the proxies and for the balancer node; `docs/hardening.md` has its table.
//!
//! A request without its last byte has not run, whatever happens: once anything is received nothing more of it is written,
//! and its connection is closed. From the last byte on only an explicit statement of the server, under the request's id,
//! shows that the request has not run.

use std::fmt;

/// How far a send has come. The stages are in the order in which a send passes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendStage {
    /// There is no connection yet.
    Unconnected,
    /// The connection is open, and nothing is written on it.
    Connected,
    /// Some of the request is written, but not its last byte.
    PartlySent,
    /// The request is written completely.
    Sent,
    /// An interim response (1xx) was received.
    Informed,
    /// The head of a response was received, but not all of its body.
    Answering,
}

impl SendStage {
    /// All stages, in order.
    pub const ALL: [SendStage; 6] = [
        SendStage::Unconnected,
        SendStage::Connected,
        SendStage::PartlySent,
        SendStage::Sent,
        SendStage::Informed,
        SendStage::Answering,
    ];

    /// Whether the server has, or may have, the last byte of the request.
    pub fn is_sent(self) -> bool {
        self >= SendStage::Sent
    }
}

/// What ends a send, or happens during it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendEvent {
    /// The connection is refused or not established in time, or the server has begun to drain.
    NoConnection,
    /// The server reset or closed the connection.
    Broken,
    /// No complete response was received before the deadline.
    TimedOut,
    /// What was received is no response, or a response whose end is ambiguous.
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
    /// This process was signalled to stop.
    Stopping,
}

impl SendEvent {
    /// All events.
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
    /// Nothing changes: the send goes on.
    Waits,
    /// The request has not run at the server and never will. It may go to another server, or be rejected with the promise
    /// that it has not run.
    NotRun,
    /// The request may have run. Only an idempotent request is sent again, and the client is promised nothing.
    Unknown,
    /// The server has responded. After a failure an idempotent request may be sent again.
    Answered,
    /// Nobody waits for the response any more.
    Dropped,
}

impl ExecutionStatus {
    /// Whether the request may be sent to another server. `failure`: the server responded with an error of its own.
    pub fn may_retry(self, idempotent: bool, failure: bool) -> bool {
        match self {
            ExecutionStatus::NotRun => true,
            ExecutionStatus::Unknown => idempotent,
            ExecutionStatus::Answered => idempotent && failure,
            ExecutionStatus::Waits | ExecutionStatus::Dropped => false,
        }
    }
}

impl fmt::Display for ExecutionStatus {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ExecutionStatus::Waits => "waits",
            ExecutionStatus::NotRun => "not run",
            ExecutionStatus::Unknown => "unknown",
            ExecutionStatus::Answered => "answered",
            ExecutionStatus::Dropped => "dropped",
        })
    }
}

/// What is known about a request at this stage after this event. `idempotent` matters only for
/// [`SendEvent::UnprovenRefusal`]: the response to an idempotent request is forwarded as it is.
pub fn execution_status(stage: SendStage, event: SendEvent, idempotent: bool) -> ExecutionStatus {
    match event {
        SendEvent::Stopping => ExecutionStatus::Waits,
        SendEvent::Abandoned => ExecutionStatus::Dropped,
        SendEvent::NoConnection
        | SendEvent::Broken
        | SendEvent::TimedOut
        | SendEvent::Malformed
        | SendEvent::WrongRequest => {
            if stage.is_sent() {
                ExecutionStatus::Unknown
            } else {
                ExecutionStatus::NotRun
            }
        }
        SendEvent::NotRun => ExecutionStatus::NotRun,
        SendEvent::UnprovenRefusal if !idempotent => ExecutionStatus::Unknown,
        SendEvent::UnprovenRefusal | SendEvent::Failure | SendEvent::Success => ExecutionStatus::Answered,
    }
}

/// Bounds the failed connects of one request. Nothing was sent to these servers, so that they don't count as sends, but
/// each may cost a connect time-out.
const MAX_UNREACHABLE_SERVERS: u32 = 4;

/// The sends of one request to one server after another: a state machine over [`execution_status`].
#[derive(Clone, Debug)]
pub struct SendSequence {
    max_sends: u32,
    idempotent: bool,
    used: u32,
    unreachable: u32,
    /// No further send may begin, whatever is left of `max_sends`.
    stopped: bool,
}

impl SendSequence {
    /// The sends of a request that may be sent to this many servers.
    pub fn new(max_sends: u32, idempotent: bool) -> Self {
        SendSequence { max_sends, idempotent, used: 0, unreachable: 0, stopped: false }
    }

    /// The number of servers that the request was sent to.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Whether the request may be sent to another server now.
    pub fn may_begin(&self) -> bool {
        !self.stopped && self.used < self.max_sends && self.unreachable < MAX_UNREACHABLE_SERVERS
    }

    /// Whether another send may follow the one that begins now, however that ends: this one must leave time for it.
    pub fn another_may_follow(&self) -> bool {
        self.idempotent && self.used + 1 < self.max_sends
    }

    /// Whether the request would be sent to another server if more sends were allowed.
    pub fn is_exhausted(&self) -> bool {
        !self.stopped && self.used > 0 && self.used == self.max_sends
    }

    /// Records the end of a send. `failure`: the server responded with an error of its own.
    pub fn record_end(&mut self, stage: SendStage, event: SendEvent, failure: bool) -> ExecutionStatus {
        let status = execution_status(stage, event, self.idempotent);
        if event == SendEvent::NoConnection {
            self.unreachable += 1;
        } else {
            self.used += 1;
        }
        self.stopped = !status.may_retry(self.idempotent, failure);
        status
    }

    /// Stops the sequence: the request is sent to no other server.
    pub fn stop(&mut self) {
        self.stopped = true;
    }
}
