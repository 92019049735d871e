//! What a request's sends to servers have come to so far.

use glenfall_control_plane::invariant::Invariant;
use glenfall_http_client::send::{ExecutionStatus, SendEvent, SendSequence, SendStage};
use hyper::header::HeaderName;
use hyper::StatusCode;

use super::{Outcome, Refusal, FULL, NONE};
use crate::http::failure::{Cause, Failure};
use crate::http::response::ServerResponse;
use crate::upstream::origins::SendOutcome;
use crate::upstream::pool::SendError;

const NOT_RUN: HeaderName = HeaderName::from_static("x-glenfall-not-run");

/// The sends of one request so far.
pub(super) struct Attempts {
    pub sends: SendSequence,
    /// Servers that were chosen.
    pub tried: Vec<String>,
    /// How the sends to them ended, as the log tells it.
    ends: Vec<SendEnd>,
    /// A server may have run it: it had all of the request, and has not said that it did not run it.
    may_have_run: bool,
    repeatable: bool,
    allowed: u32,
    /// What kept the request from going to another server.
    stopped_by: Option<Cause>,
    /// It has its turn under the ceiling, and no server has had it since.
    pub under_ceiling: bool,
    /// What is known of the request, if it goes to no further server.
    fallback: Outcome,
}

/// How a send ended: what happened, and the status of the answer, if any.
struct SendEnd {
    event: SendEvent,
    status: Option<StatusCode>,
}

impl SendEnd {
    fn describe(&self) -> String {
        let status = self.status.map_or(0, |status| status.as_u16());
        match self.event {
            SendEvent::NoConnection => "no connection".into(),
            SendEvent::TimedOut => "no answer in time".into(),
            SendEvent::NotRun => format!("not run ({status})"),
            _ if self.status.is_some() => format!("answered {status}"),
            _ => "answer lost".into(),
        }
    }
}

impl Attempts {
    pub fn new(allowed: u32, repeatable: bool) -> Self {
        Attempts {
            sends: SendSequence::new(allowed, repeatable),
            tried: Vec::new(),
            ends: Vec::new(),
            may_have_run: false,
            repeatable,
            allowed,
            stopped_by: None,
            under_ceiling: false,
            fallback: Outcome::NotRun(Refusal::new(Cause::NoConnection, NONE)),
        }
    }

    /// It goes to no further server for this cause.
    pub fn not_sent(&mut self, cause: Cause) {
        self.sends.settle();
        self.stopped_by = Some(cause);
        if let Outcome::NotRun(refusal) = &mut self.fallback {
            if self.ends.is_empty() {
                refusal.failure = cause.into();
            }
        }
    }

    /// What must hold as the request is sent to a server.
    pub fn check_send(&self) {
        let repeated = self.may_have_run && !self.repeatable;
        Invariant::SingleRun.check(!repeated, || self.describe());
        Invariant::SendsAllowed.check(self.sends.used() < self.allowed, || self.describe());
    }

    fn describe(&self) -> String {
        describe(&self.tried, &self.ends, self.stopped_by)
    }

    /// What came of the request, once it goes to no further server.
    pub fn into_outcome(self) -> Outcome {
        let refused = matches!(self.fallback, Outcome::NotRun(_));
        let promises = refused && !self.repeatable;
        Invariant::RefusedNotRun.check(!(promises && self.may_have_run), || self.describe());
        let Attempts { tried, ends, stopped_by, fallback, .. } = self;
        let way = || describe(&tried, &ends, stopped_by);
        let with_way = |failure: Failure| Failure::after(failure.cause, way());
        match fallback {
            Outcome::Answered(reply) if !reply.status().is_server_error() => Outcome::Answered(reply),
            Outcome::Answered(mut reply) => {
                reply.set_way(way());
                Outcome::Answered(reply)
            }
            Outcome::NotRun(refusal) => {
                Outcome::NotRun(Refusal { failure: with_way(refusal.failure), ..refusal })
            }
            Outcome::Unknown(failure) => Outcome::Unknown(with_way(failure)),
            Outcome::TimedOut(failure) => Outcome::TimedOut(with_way(failure)),
        }
    }

    /// Takes the end of a send, and says what it tells of the server.
    pub fn ended(&mut self, ended: Result<ServerResponse, SendError>) -> SendOutcome {
        let (stage, event) = match &ended {
            Ok(reply) => (SendStage::Answering, event(reply)),
            Err(SendError::NotSent) => (SendStage::Unconnected, SendEvent::NoConnection),
            Err(SendError::NoResponse) => (SendStage::Answering, SendEvent::Broken),
            Err(SendError::TimedOut) => (SendStage::Answering, SendEvent::TimedOut),
        };
        // What did not reach a server is still to be had under the ceiling.
        self.under_ceiling = event == SendEvent::NoConnection;
        let status = ended.as_ref().ok().map(|reply| reply.status());
        let failure = status.is_some_and(|status| status.is_server_error());
        let fate = self.sends.ended(stage, event, failure);
        self.ends.push(SendEnd { event, status });
        self.may_have_run |= match &ended {
            Ok(reply) => !says_not_run(reply),
            Err(trouble) => *trouble != SendError::NotSent,
        };
        match (fate, ended) {
            // It has not been sent: what is known of it is what was known before.
            (ExecutionStatus::NotRun, Err(_)) => {}
            (ExecutionStatus::NotRun, Ok(_)) => self.turned_away(status),
            (ExecutionStatus::Answered, Ok(reply)) => self.fallback = Outcome::Answered(reply),
            _ if event == SendEvent::TimedOut => self.fallback = Outcome::TimedOut(Cause::NoAnswer.into()),
            (_, Ok(_)) => self.fallback = Outcome::Unknown(Cause::UnprovenRefusal.into()),
            (_, Err(_)) => self.fallback = Outcome::Unknown(Cause::AnswerLost.into()),
        }
        match event {
            SendEvent::NotRun if status == Some(StatusCode::MISDIRECTED_REQUEST) => SendOutcome::Failed,
            SendEvent::NotRun => SendOutcome::Rejected,
            SendEvent::NoConnection | SendEvent::Broken | SendEvent::TimedOut | SendEvent::Malformed => {
                SendOutcome::Failed
            }
            _ if failure => SendOutcome::ServerError,
            _ => SendOutcome::Success,
        }
    }

    /// A server says that it has not run the request.
    fn turned_away(&mut self, status: Option<StatusCode>) {
        // Another server of the service would say the same of its ceiling, and count it.
        let ceiling = status == Some(StatusCode::TOO_MANY_REQUESTS);
        if ceiling {
            self.sends.settle();
        }
        if !matches!(self.fallback, Outcome::Answered(_)) {
            let (cause, retry_after) =
                if ceiling { (Cause::ServerRateLimit, NONE) } else { (Cause::ServersFull, FULL) };
            self.fallback = Outcome::NotRun(Refusal::new(cause, retry_after));
        }
    }
}

/// Whom a request was sent to, how that ended, and what kept it from going on.
fn describe(tried: &[String], ends: &[SendEnd], stopped_by: Option<Cause>) -> String {
    let sends = tried.iter().zip(ends).map(|(server, end)| format!("{server}: {}", end.describe()));
    let stop = stopped_by.filter(|_| !ends.is_empty()).map(|cause| format!("stopped by {}", cause.name()));
    sends.chain(stop).collect::<Vec<_>>().join(", ")
}

/// Whether an answer says that the request has not run.
fn says_not_run(reply: &ServerResponse) -> bool {
    reply.headers().contains_key(NOT_RUN) || reply.status() == StatusCode::MISDIRECTED_REQUEST
}

/// What a whole answer of a server says.
fn event(reply: &ServerResponse) -> SendEvent {
    let status = reply.status();
    let failure = status.is_client_error() || status.is_server_error();
    let said = says_not_run(reply);
    match status.as_u16() {
        _ if said && failure => SendEvent::NotRun,
        // One that says that it has not run and what came of it.
        _ if said => SendEvent::Malformed,
        408 | 429 | 503 => SendEvent::UnprovenRefusal,
        _ if status.is_server_error() => SendEvent::Failure,
        _ => SendEvent::Success,
    }
}
