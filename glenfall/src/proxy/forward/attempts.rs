//! What a request's sends to servers have come to so far.

use glenfall_http::send::{Event, Fate, Sends, Stage};
use hyper::header::HeaderName;
use hyper::StatusCode;

use super::{Outcome, FULL, NONE};
use crate::proxy::origins::End;
use crate::proxy::pool::Trouble;
use crate::proxy::response::ServerResponse;

const NOT_RUN: HeaderName = HeaderName::from_static("x-glenfall-not-run");

/// The sends of one request so far.
pub(super) struct Attempts {
    pub sends: Sends,
    /// Servers that were chosen.
    pub tried: Vec<String>,
    /// It has its turn under the ceiling, and no server has had it since.
    pub under_ceiling: bool,
    /// What is known of the request, if it goes to no further server.
    pub fallback: Outcome,
}

impl Attempts {
    pub fn new(allowed: u32, repeatable: bool) -> Self {
        let (sends, fallback) = (Sends::new(allowed, repeatable), Outcome::NotRun(NONE));
        Attempts { sends, tried: Vec::new(), under_ceiling: false, fallback }
    }

    /// Takes the end of a send, and says what it tells of the server.
    pub fn ended(&mut self, ended: Result<ServerResponse, Trouble>) -> End {
        let (stage, event) = match &ended {
            Ok(reply) => (Stage::Answering, event(reply)),
            Err(Trouble::Unsent) => (Stage::Unconnected, Event::NoConnection),
            Err(Trouble::Unknown) => (Stage::Answering, Event::Broken),
            Err(Trouble::TimedOut) => (Stage::Answering, Event::Silence),
        };
        // What did not reach a server is still to be had under the ceiling.
        self.under_ceiling = event == Event::NoConnection;
        let status = ended.as_ref().ok().map(|reply| reply.status());
        let failure = status.is_some_and(|status| status.is_server_error());
        let fate = self.sends.ended(stage, event, failure);
        match (fate, ended) {
            // It has not been sent: what is known of it is what was known before.
            (Fate::NotRun, Err(_)) => {}
            (Fate::NotRun, Ok(_)) => self.turned_away(status),
            (Fate::Answered, Ok(reply)) => self.fallback = Outcome::Answered(reply),
            _ => self.fallback = if event == Event::Silence { Outcome::TimedOut } else { Outcome::Unknown },
        }
        match event {
            Event::NotRun if status == Some(StatusCode::MISDIRECTED_REQUEST) => End::Failed,
            Event::NotRun => End::TurnedAway,
            Event::NoConnection | Event::Broken | Event::Silence | Event::Noise => End::Failed,
            _ if failure => End::Erred,
            _ => End::Answered,
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
            self.fallback = Outcome::NotRun(if ceiling { NONE } else { FULL });
        }
    }
}

/// What a whole answer of a server says.
fn event(reply: &ServerResponse) -> Event {
    let status = reply.status();
    let failure = status.is_client_error() || status.is_server_error();
    let said = reply.headers().contains_key(NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST;
    match status.as_u16() {
        _ if said && failure => Event::NotRun,
        // One that says that it has not run and what came of it.
        _ if said => Event::Noise,
        408 | 429 | 503 => Event::Unproven,
        _ if status.is_server_error() => Event::Failure,
        _ => Event::Success,
    }
}
