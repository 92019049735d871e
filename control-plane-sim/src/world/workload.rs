//! The workload of the operators: they send change requests, retry them at other nodes until there is a definite
//! answer, read, and request voter changes.

use glenfall_control_plane::chain::{Call, Outcome, VoterChange};
use glenfall_control_plane::config::ConfigChange;
use glenfall_control_plane::Millis;
use rand::Rng;

use super::oracle::backoff;
use super::World;
use crate::action::DocumentKind;
use crate::injected_bug::InjectedBug;
use crate::machine::QueuedCall;
use crate::operators::{CallPurpose, ChangeRequest};
use crate::violation::Violation;

/// An operator retries at the next node after this time without an answer.
const ANSWER_TIMEOUT: Millis = 1000;
/// An operator abandons a request after sending it this many times.
const MAX_ATTEMPTS: u32 = 8;
/// Operators make no new change until fewer requests than this are being retried.
const MAX_OPEN_REQUESTS: usize = 8;

impl World {
    /// Sends a call to a node and returns the number of the call, or `None` if no process runs there. A paused process
    /// handles the call when it resumes.
    fn send_call(&mut self, number: u8, call: Call, purpose: CallPurpose) -> Option<u64> {
        self.chain(number)?;
        let incarnation = self.machine(number).incarnation;
        let call_number = self.operators.begin_call(number, incarnation, purpose);
        if self.is_paused(number) {
            self.machine(number).queued_calls.push(QueuedCall { number: call_number, call });
        } else {
            self.with_chain(number, |chain, now| chain.call(now, call_number, call));
        }
        Some(call_number)
    }

    /// Reads the newest document at a node. Returns the number of the call, or `None` if no process runs there.
    pub fn read(&mut self, number: u8) -> Option<u64> {
        self.send_call(number, Call::Read, CallPurpose::Read)
    }

    /// Begins a quorum read for the sessions that wait at a node. It covers all sessions that opened before it began.
    pub(super) fn read_for_sessions(&mut self, number: u8) {
        let now = self.now;
        let machine = self.machine(number);
        let Some(newest_session) = machine.sessions.due_read(now) else { return };
        let Some(chain) = &machine.chain else { return };
        let known_seq = chain.committed().seq;
        machine.sessions.record_read(now, newest_session);
        if self.injected_bug == Some(InjectedBug::SessionWithoutQuorumRead) {
            return self.serve_sessions(number, newest_session, &Outcome::Unchanged);
        }
        self.send_call(number, Call::ReadNewer { known_seq }, CallPurpose::Sessions { newest_session });
    }

    // ---- Changes ----

    /// Sends a change request once, which creates version `rev` from version `builds_on`. Returns the number of the
    /// call, or `None` if no process runs at the node.
    pub fn send_change(&mut self, number: u8, change: ConfigChange, rev: u64, builds_on: u64) -> Option<u64> {
        let request = ChangeRequest::new(number, change, rev, builds_on);
        let index = self.operators.add_request(request);
        self.send_request(number, index)
    }

    fn send_request(&mut self, number: u8, index: u64) -> Option<u64> {
        let call = self.operators.request(index).call();
        self.send_call(number, call, CallPurpose::Change { request: index })
    }

    /// Sends a change request once. Its version is the newest that operators know plus `version_step`.
    pub fn change_once(&mut self, number: u8, version_step: u64) -> Option<u64> {
        let next = self.operators.next_document(version_step);
        let change = ConfigChange::Put(next.complete().into_bytes());
        self.send_change(number, change, next.rev, next.builds_on)
    }

    /// Sends a change request and retries it until there is a definite answer. Its version is the newest that operators
    /// know plus `version_step`. The first `lost_answers` answers are lost.
    pub fn change_until_answered(
        &mut self,
        number: u8,
        version_step: u64,
        kind: DocumentKind,
        lost_answers: u32,
    ) {
        if self.operators.open_requests() >= MAX_OPEN_REQUESTS {
            return;
        }
        let next = self.operators.next_document(version_step);
        let change = match kind {
            DocumentKind::Put => ConfigChange::Put(next.complete().into_bytes()),
            DocumentKind::Patch => ConfigChange::Patch(next.patch().into_bytes()),
            DocumentKind::Invalid => ConfigChange::Put(next.invalid().into_bytes()),
        };
        let mut request = ChangeRequest::new(number, change, next.rev, next.builds_on);
        request.invalid = kind == DocumentKind::Invalid;
        request.lost_answers = lost_answers;
        request.next_attempt_at = Some(self.now);
        let index = self.operators.add_request(request);
        self.send_attempt(index);
    }

    /// Sends an earlier change request again unchanged, unless it was rejected. `requests_back` is 0 for the newest
    /// request.
    pub fn resend(&mut self, number: u8, requests_back: usize) {
        let requests = &self.operators.requests;
        let Some(index) = requests.len().checked_sub(1 + requests_back) else { return };
        if requests[index].rejected {
            return;
        }
        self.coverage.repeats += 1;
        self.send_request(number, index as u64);
    }

    /// Retries the requests whose next attempt is due.
    pub(super) fn retry_requests(&mut self) {
        for index in 0..self.operators.requests.len() {
            let next_attempt_at = self.operators.requests[index].next_attempt_at;
            if next_attempt_at.is_some_and(|at| at <= self.now) {
                self.send_attempt(index as u64);
            }
        }
    }

    fn send_attempt(&mut self, index: u64) {
        let (now, nodes) = (self.now, self.size.nodes());
        let request = self.operators.request(index);
        if request.attempts >= MAX_ATTEMPTS {
            request.next_attempt_at = None;
            return;
        }
        let is_retry = request.attempts > 0;
        if is_retry {
            request.receiver = request.receiver % nodes + 1;
        }
        request.attempts += 1;
        request.next_attempt_at = Some(now + ANSWER_TIMEOUT);
        let (receiver, retry_delay) = (request.receiver, backoff(request.attempts));
        self.coverage.repeats += u64::from(is_retry);
        // If no process runs, the connection is refused at once, and the retry need not wait for the answer timeout.
        if self.send_request(receiver, index).is_none() {
            self.operators.request(index).next_attempt_at = Some(now + retry_delay);
        }
    }

    // ---- Voters ----

    /// Requests a voter change at a node. Does nothing while its process is paused or does not run.
    pub fn request_voter_change(&mut self, number: u8, change: VoterChange) {
        let (now, losses) = (self.now, usize::from(self.size.losses));
        if self.is_paused(number) {
            return;
        }
        let Some(chain) = &mut self.machine(number).chain else { return };
        let voters_before = chain.members().voters.len();
        match chain.request_voter_change(now, change) {
            Ok(voters) => {
                let (voters, needed) = (voters.len(), (2 * losses + 1).min(voters_before));
                self.require(voters >= needed, || Violation::TooFewVoters { voters, needed });
                self.coverage.requested_voter_changes += 1;
            }
            Err(rejection) => {
                self.require(!rejection.to_string().is_empty(), || Violation::RejectionWithoutReason);
            }
        }
    }

    // ---- Without a schedule ----

    /// Sends one or two concurrent changes of the newest version that operators know to random nodes; another random
    /// node receives a read and a new session.
    pub fn run_operators(&mut self) {
        let (builds_on, nodes) = (self.operators.newest_known(), self.size.nodes());
        for _ in 0..self.rng.random_range(1..=2) {
            let receiver = self.rng.random_range(1..=nodes);
            let rev = builds_on + self.rng.random_range(1..9);
            let request = self.operators.requests.len();
            let document = format!("{{\"rev\":{rev},\"order\":{request}}}").into_bytes();
            self.send_change(receiver, ConfigChange::Put(document), rev, builds_on);
        }
        let reader = self.rng.random_range(1..=nodes);
        self.read(reader);
        self.open_session(reader);
    }
}
