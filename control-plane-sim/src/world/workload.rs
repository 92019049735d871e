//! The workload: operators send change requests, retry them at other nodes where no definite answer came, read, and
//! request other voters.

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

/// An operator moves on to another node after this time without an answer.
const ANSWER_TIMEOUT: Millis = 1000;
/// How often a request is sent at most; after that its operator abandons it.
const MAX_ATTEMPTS: u32 = 8;
/// How many requests are retried at the same time at most.
const MAX_OPEN_REQUESTS: usize = 8;

impl World {
    /// Sends a call to a node; `None` where no process runs. A paused process finds the call when it goes on.
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

    /// Reads the newest document at a node; `None` where no process runs.
    pub fn read(&mut self, number: u8) -> Option<u64> {
        self.send_call(number, Call::Read, CallPurpose::Read)
    }

    /// Begins a quorum read for the sessions that wait at a node; it covers all that have opened before it.
    pub(super) fn read_for_sessions(&mut self, number: u8) {
        let now = self.now;
        let machine = self.machine(number);
        let Some(newest) = machine.sessions.due_read(now) else { return };
        let Some(chain) = &machine.chain else { return };
        let known_seq = chain.committed().seq;
        machine.sessions.read_began(now, newest);
        if self.injected_bug == Some(InjectedBug::UnprovenSession) {
            return self.serve_sessions(number, newest, &Outcome::Unchanged);
        }
        self.send_call(number, Call::ReadNewer { known_seq }, CallPurpose::Sessions { newest });
    }

    // ---- Changes ----

    /// Sends a change request once. `rev` is the version that it makes. `None` where no process runs.
    pub fn send_change(&mut self, number: u8, change: ConfigChange, rev: u64, builds_on: u64) -> Option<u64> {
        let request = ChangeRequest::new(number, change, rev, builds_on);
        let index = self.operators.add_request(request);
        self.send_request(number, index)
    }

    fn send_request(&mut self, number: u8, index: u64) -> Option<u64> {
        let call = self.operators.request(index).call();
        self.send_call(number, call, CallPurpose::Change { request: index })
    }

    /// Sends, once, a change to a version that is higher by `version_step` than the newest that operators know.
    pub fn change_once(&mut self, number: u8, version_step: u64) -> Option<u64> {
        let next = self.operators.next_document(version_step);
        let change = ConfigChange::Put(next.complete().into_bytes());
        self.send_change(number, change, next.rev, next.builds_on)
    }

    /// Sends a change to a version that is higher by `version_step` than the newest that operators know, and retries
    /// until there is a definite answer. The first `lost_answers` answers are lost.
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
        self.attempt(index);
    }

    /// Sends a change request again as it was, counted back from the newest, unless it was rejected.
    pub fn resend(&mut self, number: u8, requests_back: usize) {
        let requests = &self.operators.requests;
        let Some(index) = requests.len().checked_sub(1 + requests_back) else { return };
        if requests[index].rejected {
            return;
        }
        self.coverage.repeats += 1;
        self.send_request(number, index as u64);
    }

    /// Retries the requests that have had no definite answer for too long.
    pub(super) fn retry_requests(&mut self) {
        for index in 0..self.operators.requests.len() {
            let next_attempt_at = self.operators.requests[index].next_attempt_at;
            if next_attempt_at.is_some_and(|at| at <= self.now) {
                self.attempt(index as u64);
            }
        }
    }

    fn attempt(&mut self, index: u64) {
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
        let (receiver, pause) = (request.receiver, backoff(request.attempts));
        self.coverage.repeats += u64::from(is_retry);
        // Where no process runs, the connection is refused at once.
        if self.send_request(receiver, index).is_none() {
            self.operators.request(index).next_attempt_at = Some(now + pause);
        }
    }

    // ---- Voters ----

    /// Requests other voters at a node.
    pub fn request_voter_change(&mut self, number: u8, change: VoterChange) {
        let (now, losses) = (self.now, usize::from(self.size.losses));
        if self.is_paused(number) {
            return;
        }
        let Some(chain) = &mut self.machine(number).chain else { return };
        let before = chain.members().voters.len();
        match chain.request_voter_change(now, change) {
            Ok(voters) => {
                let (voters, needed) = (voters.len(), (2 * losses + 1).min(before));
                self.require(voters >= needed, || Violation::TooFewVoters { voters, needed });
                self.coverage.requested_voter_changes += 1;
            }
            Err(rejection) => {
                self.require(!rejection.to_string().is_empty(), || Violation::EmptyRejection);
            }
        }
    }

    // ---- Without a schedule ----

    /// Lets one operator, or two at the same time, change the newest version that they know, and another one read.
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
