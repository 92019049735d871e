//! The oracle: checks the publications and answers of nodes against what was committed and acknowledged before.

use glenfall_control_plane::chain::{Outcome, Record};
use glenfall_control_plane::Millis;

use super::{PendingAction, World};
use crate::operators::{CallPurpose, CommittedChange, PendingCall};
use crate::violation::Violation;

/// Base of the exponential backoff after a failed attempt, doubled for each attempt up to [`MAX_BACKOFF_DOUBLINGS`].
const RETRY_BACKOFF_BASE: Millis = 100;
/// The backoff is doubled at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Returns how long an operator waits after its last attempt failed; `attempts` includes that one.
pub(super) fn backoff(attempts: u32) -> Millis {
    RETRY_BACKOFF_BASE << attempts.min(MAX_BACKOFF_DOUBLINGS)
}

/// Returns the index of the change request that a document belongs to, or `None` if the document contains none.
fn request_of(document: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct DocumentRequest {
        order: u64,
    }
    serde_json::from_slice::<DocumentRequest>(document).ok().map(|parsed| parsed.order)
}

/// The committed change with the next lower known log index.
#[derive(Clone, Copy)]
struct PreviousChange {
    seq: u64,
    rev: u64,
}

impl World {
    /// Returns the outcome of a call, or `None` while it is not answered.
    pub fn outcome(&self, call: u64) -> Option<&Outcome> {
        self.operators.outcomes.get(&call)
    }

    /// Returns the newest acknowledged version, 0 before the first.
    pub fn newest_acknowledged(&self) -> u64 {
        self.operators.newest_acknowledged
    }

    // ---- Publications ----

    /// Checks a record that a process has published.
    pub(super) fn check_published(&mut self, number: u8, record: &Record) {
        let seq = record.seq;
        let published_before = std::mem::replace(&mut self.machine(number).published, seq);
        self.require(seq > published_before, || Violation::PublishedOutOfOrder {
            node: number,
            seq,
            published_before,
        });
        self.check_committed(record);
    }

    /// Checks a committed record, which other nodes may have published before.
    fn check_committed(&mut self, record: &Record) {
        let (seq, rev) = (record.seq, record.rev);
        let change = CommittedChange { rev, request: request_of(&record.document) };
        if let Some(first) = self.committed.get(&seq).copied() {
            let first_rev = first.rev;
            let violation = || Violation::TwoCommitted { seq, first: first_rev, second: rev };
            return self.require(first == change, violation);
        }
        let previous = self.committed.range(..seq).next_back();
        let previous = previous.map(|(seq, change)| PreviousChange { seq: *seq, rev: change.rev });
        self.committed.insert(seq, change);
        self.operators.newest_committed = self.operators.newest_committed.max(rev);
        let increases = previous.is_none_or(|previous| previous.rev < rev);
        self.require(increases, || Violation::VersionNotIncreased { seq, rev });
        if let Some(request) = change.request {
            self.check_committed_request(request, seq, rev, previous);
        }
    }

    fn check_committed_request(&mut self, index: u64, seq: u64, rev: u64, previous: Option<PreviousChange>) {
        let Some(request) = self.operators.requests.get_mut(index as usize) else { return };
        request.committed = true;
        let (rejected, invalid, builds_on) = (request.rejected, request.invalid, request.builds_on);
        self.require(!rejected, || Violation::RejectedThenCommitted { rev });
        // `None` if no node has published the preceding change, so the base version is unknown.
        let base = match seq {
            1 => Some(0),
            _ => previous.filter(|previous| previous.seq + 1 == seq).map(|previous| previous.rev),
        };
        let has_right_base = base.is_none_or(|base| base == builds_on);
        self.require(has_right_base, || Violation::WrongBaseVersion { rev, builds_on });
        self.require(!invalid, || Violation::InvalidCommitted { rev });
    }

    // ---- Answers ----

    pub(super) fn check_answer(&mut self, number: u8, call: u64, outcome: Outcome) {
        let Some(pending) = self.operators.pending_calls.remove(&call) else { return };
        // The calls of a process end with the process.
        assert!(
            pending.receiver == number && pending.incarnation == self.machine(number).incarnation,
            "call {call} was answered by a process other than the one that received it"
        );
        match pending.purpose {
            CallPurpose::Sessions { newest_session } => self.serve_sessions(number, newest_session, &outcome),
            CallPurpose::Read => self.check_read(&pending, &outcome),
            CallPurpose::Change { request } => self.check_change_answer(&pending, request, &outcome),
        }
        self.operators.outcomes.insert(call, outcome);
    }

    fn check_read(&mut self, pending: &PendingCall, outcome: &Outcome) {
        let Outcome::Document(record) = outcome else { return };
        let (read, acknowledged) = (record.rev, pending.acknowledged);
        self.require(read >= acknowledged, || Violation::StaleRead { read, acknowledged });
        let committed = self.committed.get(&record.seq).is_some_and(|change| change.rev == read);
        self.require(committed || record.seq == 0, || Violation::UncommittedRead { read });
        self.coverage.reads += 1;
    }

    fn check_change_answer(&mut self, pending: &PendingCall, request: u64, outcome: &Outcome) {
        match outcome {
            Outcome::Done { rev } => self.check_acknowledgement(request, *rev),
            Outcome::Conflict { current } => {
                self.check_conflict(pending, request, *current);
                self.check_rejection(request);
            }
            Outcome::Invalid(_) => self.check_rejection(request),
            _ => {
                let now = self.now;
                let request = self.operators.request(request);
                let retry_delay = backoff(request.attempts);
                request.next_attempt_at = request.next_attempt_at.map(|_| now + retry_delay);
            }
        }
    }

    fn check_acknowledgement(&mut self, index: u64, acknowledged_rev: u64) {
        let request = self.operators.request(index);
        let (requested_rev, builds_on, committed) = (request.rev, request.builds_on, request.committed);
        self.require(acknowledged_rev == requested_rev, || Violation::WrongVersionAcknowledged {
            requested_rev,
            acknowledged_rev,
        });
        let first_index = *self.operators.acknowledged.entry(builds_on).or_insert(index);
        let first = self.operators.request(first_index).rev;
        let is_first = first_index == index;
        self.require(is_first, || match first == requested_rev {
            true => Violation::TwoContentsOfOneVersion { rev: requested_rev },
            false => Violation::TwoAcknowledged { builds_on, first, second: requested_rev },
        });
        self.require(committed, || Violation::AcknowledgedUncommitted { rev: requested_rev });
        self.operators.newest_acknowledged = self.operators.newest_acknowledged.max(requested_rev);
        self.coverage.changes += 1;
        self.operators.request(index).receive_answer();
        let due_at = self.now;
        let actions = std::mem::take(&mut self.on_acknowledged);
        self.pending_actions.extend(actions.into_iter().map(|action| PendingAction { due_at, action }));
    }

    fn check_rejection(&mut self, index: u64) {
        self.coverage.refusals += 1;
        let request = self.operators.request(index);
        request.rejected = true;
        let (rev, committed) = (request.rev, request.committed);
        self.require(!committed, || Violation::CommittedThenRejected { rev });
        self.operators.request(index).receive_answer();
    }

    /// Checks a rejection for a conflict. The version that it names must be committed, and not older than the newest one
    /// that was acknowledged before the call. The version that the request builds on must not have been the newest one
    /// throughout the call.
    fn check_conflict(&mut self, pending: &PendingCall, index: u64, current: u64) {
        let builds_on = self.operators.request(index).builds_on;
        let newest = self.operators.newest_committed;
        let was_always_newest = pending.committed == builds_on && newest == builds_on;
        self.require(!was_always_newest, || Violation::FalseConflict { builds_on });
        let acknowledged = pending.acknowledged;
        self.require(current >= acknowledged, || Violation::StaleRejection { current, acknowledged });
        let committed = current == 0 || self.committed.values().any(|change| change.rev == current);
        self.require(committed, || Violation::UncommittedRejection { current });
        self.operators.newest_in_conflicts = self.operators.newest_in_conflicts.max(current);
    }
}
