//! Checks the responses to clients against the requests that servers executed, the purges, and the history of faults.

use std::time::Duration;

use glenfall::http::response::{ServerResponse, SEAL_HEADER};
use glenfall::upstream::pool::SendError;
use hyper::StatusCode;
use tokio::time::Instant;

use super::{Clients, SentRequest};
use crate::execution_log::{ResponseCheck, PURGE_PROPAGATION_TIMEOUT};
use crate::plan::RouteKind;
use crate::soak::fault_history::FaultKind;
use crate::soak::oracle::Invariant;

/// How long after its deadline a response may arrive. Large enough for a machine that is busy with several runs.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(1200);

/// A request whose connection ended without a response.
pub struct UnansweredRequest {
    /// The try id of the request.
    pub id: String,
    /// Index of the edge that the request was sent to.
    pub edge: usize,
    /// Milliseconds from sending the request until its connection ended.
    pub after_ms: u64,
}

impl Clients {
    pub(super) fn check_response(&self, sent: &SentRequest, response: &ServerResponse, elapsed: Duration) {
        let SentRequest { class, edge, id, sent_at, .. } = sent;
        let status = response.status();
        let latest = Duration::from_millis(class.deadline_ms) + DEADLINE_TOLERANCE;
        if elapsed > latest && self.in_contact_since(*edge, *sent_at) {
            let details = format!("{id}: response {status} only after {} ms", elapsed.as_millis());
            self.oracle.record_violation(Invariant::AnsweredByDeadline, details);
        }
        if status.is_success() {
            self.check_success(sent, response);
        } else {
            self.check_failure(sent, response);
        }
    }

    pub(super) fn in_contact_since(&self, edge: usize, since: Instant) -> bool {
        self.history.in_contact_since(self.edges[edge].machine, since)
    }

    fn check_success(&self, sent: &SentRequest, response: &ServerResponse) {
        let SentRequest { class, edge, path, id, sent_at } = sent;
        self.oracle.count("served");
        let sealed = response.headers().contains_key(SEAL_HEADER);
        match self.execution_log.check(path, *sent_at, sealed, response.body(), class.bytes) {
            ResponseCheck::Valid => {}
            ResponseCheck::Incomplete => {
                self.oracle.record_violation(
                    Invariant::ResponseComplete,
                    format!("{id}: incomplete response for {path}"),
                );
            }
            ResponseCheck::Stale if self.in_contact_since(*edge, *sent_at - PURGE_PROPAGATION_TIMEOUT) => {
                self.oracle.record_violation(
                    Invariant::NoStaleAfterPurge,
                    format!("{id}: purged version of {path}"),
                );
            }
            ResponseCheck::Stale => self.oracle.count("stale response, edge not in contact"),
        }
    }

    fn check_failure(&self, sent: &SentRequest, response: &ServerResponse) {
        let SentRequest { class, edge, path, id, .. } = sent;
        let status = response.status();
        self.oracle.count(match status.as_u16() {
            503 => "rejected (503)",
            502 => "outcome unknown (502)",
            504 => "deadline exceeded (504)",
            500 => "failed (500)",
            _ => "other failures",
        });
        if status == StatusCode::NOT_FOUND {
            self.oracle
                .record_violation(Invariant::RouteKnown, format!("{id}: no route for {path} at edge {edge}"));
        }
        if is_not_executed(status) && class.kind == RouteKind::Mutating {
            self.rejected_writes.borrow_mut().push(id.clone());
        }
        if !response.headers().contains_key(SEAL_HEADER) {
            self.oracle.record_failed_request(id, *edge, status.as_u16());
        }
        // Status 500 is excluded: the emulated servers fail a share of the requests on purpose.
        if self.expects_success.get() && status != StatusCode::INTERNAL_SERVER_ERROR {
            let details = format!("{id}: {status} at edge {edge}");
            self.oracle.record_violation(Invariant::ServedAfterRecovery, details);
        }
    }

    pub(super) fn check_unanswered(&self, sent: &SentRequest, error: SendError, elapsed: Duration) {
        let SentRequest { edge, id, sent_at, .. } = sent;
        match error {
            SendError::NotSent => self.oracle.count("not sent"),
            SendError::NoResponse => self.record_unanswered(sent, elapsed),
            SendError::TimedOut => {
                self.oracle.count("no response in time");
                if self.in_contact_since(*edge, *sent_at) {
                    let details = format!("{id}: no response from edge {edge}");
                    self.oracle.record_violation(Invariant::AnsweredByDeadline, details);
                }
            }
        }
        if self.expects_success.get() {
            let details = format!("{id}: {error:?} at edge {edge}");
            self.oracle.record_violation(Invariant::ServedAfterRecovery, details);
        }
    }

    fn record_unanswered(&self, sent: &SentRequest, elapsed: Duration) {
        let SentRequest { edge, id, sent_at, .. } = sent;
        self.oracle.count("connection ended without a response");
        let machine = self.edges[*edge].machine;
        if self.history.is_free_of(FaultKind::Unplanned, machine, *sent_at) {
            // A request sent while the edge closes the connection is lost without being read, which is allowed. Whether
            // this one was read is checked after the run.
            let after_ms = elapsed.as_millis() as u64;
            self.unanswered.borrow_mut().push(UnansweredRequest { id: id.clone(), edge: *edge, after_ms });
        }
    }

    /// Makes the checks that are only possible after the run: no rejected write was executed, no unanswered request
    /// had been read, and no write was executed twice.
    pub fn check_after_run(&self, was_read: impl Fn(&UnansweredRequest) -> bool) {
        for request in self.unanswered.borrow().iter() {
            if was_read(request) || self.execution_log.was_executed(&request.id) {
                let UnansweredRequest { id, edge, after_ms } = request;
                let details =
                    format!("{id}: connection to edge {edge} ended without a response after {after_ms} ms");
                self.oracle.record_violation(Invariant::ReadRequestAnswered, details);
            }
        }
        for id in self.rejected_writes.borrow().iter().filter(|id| self.execution_log.was_executed(id)) {
            self.oracle.record_violation(Invariant::RejectedNotExecuted, id.clone());
        }
        let executed_twice = self.execution_log.violations().executed_twice;
        if executed_twice > 0 {
            self.oracle.record_violation(
                Invariant::AtMostOnce,
                format!("{executed_twice} requests were executed more than once"),
            );
        }
    }
}

/// Whether a status code guarantees that the request was not executed.
fn is_not_executed(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
