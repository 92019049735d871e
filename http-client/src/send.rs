//! What may follow a send, by how far it has come and what has happened: the one place that decides it, for the proxies
//! and for the balancer node.
//!
//! A request that is short of its last byte has not run, whatever comes: nothing more of it is written once anything
//! has come, and its connection is closed. From the last byte on only the server's own word, under the request's id, says
//! that it has not run.

use std::fmt;

/// How far a send has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendStage {
    /// No connection yet.
    Unconnected,
    /// A connection, and nothing written on it.
    Connected,
    /// Some of the request is written, and not its last byte.
    PartlySent,
    /// All of it is written.
    Sent,
    /// An interim answer (1xx) has come.
    Informed,
    /// The head of an answer has come, and not all of its body.
    Answering,
}

impl SendStage {
    /// All stages, in their order.
    pub const ALL: [SendStage; 6] = [
        SendStage::Unconnected,
        SendStage::Connected,
        SendStage::PartlySent,
        SendStage::Sent,
        SendStage::Informed,
        SendStage::Answering,
    ];

    /// The server has the last byte, or may have it.
    pub fn is_sent(self) -> bool {
        self >= SendStage::Sent
    }
}

/// What happens to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendEvent {
    /// The connection is refused or does not come up in time, or the server is to get nothing more.
    NoConnection,
    /// Reset or closed by the other side.
    Broken,
    /// The time that it had has passed.
    TimedOut,
    /// What came is no answer, or not one whose end can be told.
    Malformed,
    /// An answer that does not name this request.
    WrongRequest,
    /// A whole answer with the word that the request has not run.
    NotRun,
    /// A whole answer whose status promises that, without the word: 408, 429, 503.
    UnprovenRefusal,
    /// A whole answer that is a failure.
    Failure,
    /// Any other whole answer.
    Success,
    /// The client has gone.
    Abandoned,
    /// This process is told to stop.
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

/// What is known of a request then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionStatus {
    /// The send goes on as if nothing had happened.
    Waits,
    /// It has not run there and never will: it may go to another server, or be refused with a promise.
    NotRun,
    /// It may have run: it goes out again only if it may run twice, and its client is promised nothing.
    Unknown,
    /// The server has answered for it. Where that is a failure, what may run twice may go out again.
    Answered,
    /// Nobody waits for it.
    Dropped,
}

impl ExecutionStatus {
    /// Whether the same request may be sent to another server after this.
    pub fn may_retry(self, repeatable: bool, failure: bool) -> bool {
        match self {
            ExecutionStatus::NotRun => true,
            ExecutionStatus::Unknown => repeatable,
            ExecutionStatus::Answered => repeatable && failure,
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

/// What is known of a request to which something happens. `repeatable` matters only where a status promises what the
/// server does not say: of a request that may run twice it is passed on.
pub fn execution_status(stage: SendStage, event: SendEvent, repeatable: bool) -> ExecutionStatus {
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
        SendEvent::UnprovenRefusal if !repeatable => ExecutionStatus::Unknown,
        SendEvent::UnprovenRefusal | SendEvent::Failure | SendEvent::Success => ExecutionStatus::Answered,
    }
}

/// Servers that may be found unreachable for one request: nothing was sent to them, so that they don't count
/// as sends, but each costs the time of a connect.
const MOST_UNREACHABLE: u32 = 4;

/// The sends of one request, one server after another: a state machine over [`execution_status`].
#[derive(Clone, Debug)]
pub struct SendSequence {
    allowed: u32,
    repeatable: bool,
    used: u32,
    unreachable: u32,
    /// The last send was the last, whatever is left.
    settled: bool,
}

impl SendSequence {
    /// Of a request that may go to as many servers.
    pub fn new(allowed: u32, repeatable: bool) -> Self {
        SendSequence { allowed, repeatable, used: 0, unreachable: 0, settled: false }
    }

    /// Servers that it has been sent to.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Whether it may be sent to another server now.
    pub fn may_begin(&self) -> bool {
        !self.settled && self.used < self.allowed && self.unreachable < MOST_UNREACHABLE
    }

    /// Whether another send may follow the one that begins now, whatever comes of it: this one must leave time for it.
    pub fn another_may_follow(&self) -> bool {
        self.repeatable && self.used + 1 < self.allowed
    }

    /// Whether it would go to another server if more were allowed.
    pub fn is_short(&self) -> bool {
        !self.settled && self.used > 0 && self.used == self.allowed
    }

    /// Takes the end of a send; `failure` where the server has answered with an error of its own.
    pub fn ended(&mut self, stage: SendStage, event: SendEvent, failure: bool) -> ExecutionStatus {
        let fate = execution_status(stage, event, self.repeatable);
        if event == SendEvent::NoConnection {
            self.unreachable += 1;
        } else {
            self.used += 1;
        }
        self.settled = !fate.may_retry(self.repeatable, failure);
        fate
    }

    /// No other server is to be asked.
    pub fn settle(&mut self) {
        self.settled = true;
    }
}
