//! The attempts of one request: which servers it was sent to, how each attempt ended, and whether another may follow.

use glenfall_control_plane::invariant::Invariant;
use glenfall_http_client::send::{ExecutionStatus, SendEvent, SendSequence, SendStage};
use hyper::StatusCode;

use super::outcome::{Outcome, Rejection, AT_CAPACITY_RETRY_AFTER, UNAVAILABLE_RETRY_AFTER};
use super::response_event::{response_event, states_not_run};
use crate::http::failure::{Cause, Failure};
use crate::http::response::ServerResponse;
use crate::http::send_budget::SendReport;
use crate::upstream::origins::SendOutcome;
use crate::upstream::pool::SendError;

/// The attempts of one request so far.
pub struct Attempts {
    sends: SendSequence,
    max_sends: u32,
    idempotent: bool,
    trace: Trace,
    /// Whether a server may have run the request: one has received it completely, and has not stated that it was
    /// not run.
    may_have_run: bool,
    /// Whether the request holds a token of the rate limit that no send has used up.
    has_rate_limit_token: bool,
    /// How the request ends if it is sent to no further server.
    outcome_so_far: Outcome,
}

impl Attempts {
    /// The attempts of a request that may be sent to `max_sends` servers.
    pub fn new(max_sends: u32, idempotent: bool) -> Self {
        Attempts {
            sends: SendSequence::new(max_sends, idempotent),
            max_sends,
            idempotent,
            trace: Trace::default(),
            may_have_run: false,
            has_rate_limit_token: false,
            outcome_so_far: Outcome::NotRun(Rejection::new(Cause::NoConnection, UNAVAILABLE_RETRY_AFTER)),
        }
    }

    /// Whether the request may be sent to another server now.
    pub fn may_send(&self) -> bool {
        self.sends.may_send()
    }

    /// Whether another attempt may follow the one that begins now, whatever its outcome.
    pub fn another_may_follow(&self) -> bool {
        self.sends.another_may_follow()
    }

    /// Whether a server has received the request.
    pub fn was_sent(&self) -> bool {
        self.sends.used() > 0
    }

    /// The servers that were selected, in order.
    pub fn tried(&self) -> &[String] {
        &self.trace.servers
    }

    /// Records that a server was selected for the next attempt.
    pub fn server_selected(&mut self, id: &str) {
        self.trace.servers.push(id.to_owned());
    }

    /// Whether the next attempt needs no further token of the rate limit.
    pub fn has_rate_limit_token(&self) -> bool {
        self.has_rate_limit_token
    }

    /// Records that the next attempt has its token of the rate limit.
    pub fn rate_limit_token_acquired(&mut self) {
        self.has_rate_limit_token = true;
    }

    /// Records that the request is sent to no further server, and why.
    pub fn stop(&mut self, cause: Cause) {
        self.sends.stop();
        self.trace.stopped_by = Some(cause);
        if let Outcome::NotRun(rejection) = &mut self.outcome_so_far {
            if self.trace.ends.is_empty() {
                rejection.failure = cause.into();
            }
        }
    }

    /// Checks the invariants that hold whenever the request is sent to a server.
    pub fn check_send(&self) {
        let may_run_twice = self.may_have_run && !self.idempotent;
        Invariant::SingleRun.check(!may_run_twice, || self.trace.describe());
        Invariant::SendsAllowed.check(self.sends.used() < self.max_sends, || self.trace.describe());
    }

    /// Records the end of an attempt. Returns the outcome to record for the server.
    pub fn record(&mut self, result: Result<ServerResponse, SendError>) -> SendOutcome {
        let status = result.as_ref().ok().map(ServerResponse::status);
        let end = AttemptEnd { event: event_of(&result), status };
        let execution = self.sends.record_end(stage_of(&result), end.event, end.is_server_error());
        self.trace.ends.push(end);
        // A token is used up only by a request that reached a server.
        self.has_rate_limit_token = end.event == SendEvent::NoConnection;
        self.may_have_run |= match &result {
            Ok(response) => !states_not_run(response),
            Err(error) => *error != SendError::NotSent,
        };
        self.update_outcome(execution, end, result);
        end.outcome()
    }

    fn update_outcome(
        &mut self,
        execution: ExecutionStatus,
        end: AttemptEnd,
        result: Result<ServerResponse, SendError>,
    ) {
        match (execution, result) {
            // The request was not sent: the outcome of the earlier attempts remains.
            (ExecutionStatus::NotRun, Err(_)) => {}
            (ExecutionStatus::NotRun, Ok(response)) => self.rejected_by_server(response.status()),
            (ExecutionStatus::Answered, Ok(response)) => self.outcome_so_far = Outcome::Answered(response),
            _ if end.event == SendEvent::TimedOut => {
                self.outcome_so_far = Outcome::TimedOut(Cause::NoResponse.into());
            }
            (_, Ok(_)) => self.outcome_so_far = Outcome::Unknown(Cause::UnconfirmedRejection.into()),
            (_, Err(_)) => self.outcome_so_far = Outcome::Unknown(Cause::ResponseLost.into()),
        }
    }

    /// A server states that it has not run the request.
    fn rejected_by_server(&mut self, status: StatusCode) {
        let is_rate_limit = status == StatusCode::TOO_MANY_REQUESTS;
        if is_rate_limit {
            // Another server of the service has the same rate limit, and would count the request against it.
            self.sends.stop();
        }
        // An earlier attempt's response is more useful to the client than a rejection.
        if matches!(self.outcome_so_far, Outcome::Answered(_)) {
            return;
        }
        self.outcome_so_far = Outcome::NotRun(match is_rate_limit {
            true => Rejection::new(Cause::ServerRateLimit, UNAVAILABLE_RETRY_AFTER),
            false => Rejection::new(Cause::ServersOverloaded, AT_CAPACITY_RETRY_AFTER),
        });
    }

    /// How many servers received the request, and whether it ended because no sends were left.
    pub fn report(&self) -> SendReport {
        SendReport { used: self.sends.used(), exhausted: self.sends.is_exhausted() }
    }

    /// How the request ended, once it is sent to no further server. Failures carry the trace of all attempts.
    pub fn into_outcome(self) -> Outcome {
        let reports_not_run = matches!(self.outcome_so_far, Outcome::NotRun(_)) && !self.idempotent;
        let is_false_report = reports_not_run && self.may_have_run;
        Invariant::RefusedNotRun.check(!is_false_report, || self.trace.describe());
        let trace = self.trace;
        let with_trace = |failure: Failure| Failure::with_attempts(failure.cause, trace.describe());
        match self.outcome_so_far {
            Outcome::Answered(response) if !response.status().is_server_error() => {
                Outcome::Answered(response)
            }
            Outcome::Answered(mut response) => {
                response.set_attempts(trace.describe());
                Outcome::Answered(response)
            }
            Outcome::NotRun(rejection) => {
                Outcome::NotRun(Rejection { failure: with_trace(rejection.failure), ..rejection })
            }
            Outcome::Unknown(failure) => Outcome::Unknown(with_trace(failure)),
            Outcome::TimedOut(failure) => Outcome::TimedOut(with_trace(failure)),
        }
    }
}

/// The servers that were selected for a request, and how its attempts ended, for logs and failures.
#[derive(Default)]
struct Trace {
    /// The servers that were selected; the last one may not have been sent the request.
    servers: Vec<String>,
    ends: Vec<AttemptEnd>,
    /// Why the request was sent to no further server.
    stopped_by: Option<Cause>,
}

impl Trace {
    fn describe(&self) -> String {
        let attempts = self.servers.iter().zip(&self.ends);
        let mut steps: Vec<String> =
            attempts.map(|(server, end)| format!("{server}: {}", end.describe())).collect();
        if let Some(cause) = self.stopped_by.filter(|_| !self.ends.is_empty()) {
            steps.push(format!("stopped by {}", cause.name()));
        }
        steps.join(", ")
    }
}

/// How an attempt ended: the event, and the status of the response, if any.
#[derive(Clone, Copy)]
struct AttemptEnd {
    event: SendEvent,
    status: Option<StatusCode>,
}

impl AttemptEnd {
    fn is_server_error(self) -> bool {
        self.status.is_some_and(|status| status.is_server_error())
    }

    fn describe(self) -> String {
        let status = self.status.map_or(0, |status| status.as_u16());
        match self.event {
            SendEvent::NoConnection => "no connection".into(),
            SendEvent::TimedOut => "no answer in time".into(),
            SendEvent::NotRun => format!("not run ({status})"),
            _ if self.status.is_some() => format!("answered {status}"),
            _ => "answer lost".into(),
        }
    }

    /// The outcome to record for the server.
    fn outcome(self) -> SendOutcome {
        match self.event {
            SendEvent::NotRun if self.status == Some(StatusCode::MISDIRECTED_REQUEST) => SendOutcome::Failed,
            SendEvent::NotRun => SendOutcome::Rejected,
            SendEvent::NoConnection | SendEvent::Broken | SendEvent::TimedOut | SendEvent::Malformed => {
                SendOutcome::Failed
            }
            _ if self.is_server_error() => SendOutcome::ServerError,
            _ => SendOutcome::Success,
        }
    }
}

fn event_of(result: &Result<ServerResponse, SendError>) -> SendEvent {
    match result {
        Ok(response) => response_event(response),
        Err(SendError::NotSent) => SendEvent::NoConnection,
        Err(SendError::NoResponse) => SendEvent::Broken,
        Err(SendError::TimedOut) => SendEvent::TimedOut,
    }
}

/// The stage that the send had reached when it ended, as far as it matters: whether the server received the request.
fn stage_of(result: &Result<ServerResponse, SendError>) -> SendStage {
    match result {
        Err(SendError::NotSent) => SendStage::Unconnected,
        Ok(_) | Err(SendError::NoResponse | SendError::TimedOut) => SendStage::ResponseStarted,
    }
}
