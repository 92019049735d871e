//! The state of the simulated operators: their change requests, the calls that have not been answered, and what they
//! know about committed versions.

use std::collections::BTreeMap;

use glenfall_control_plane::chain::{Call, Outcome};
use glenfall_control_plane::config::ConfigChange;
use glenfall_control_plane::Millis;

/// A request to change the configuration, which may be sent several times.
pub(crate) struct ChangeRequest {
    /// The version that the change creates.
    pub(crate) rev: u64,
    /// The version that the change is based on.
    pub(crate) builds_on: u64,
    pub(crate) change: ConfigChange,
    /// Whether the document fails the validation of configurations.
    pub(crate) invalid: bool,
    /// How many more answers are lost before they reach the operator.
    pub(crate) lost_answers: u32,
    /// When the request is sent next; `None` once it is answered or abandoned, and for a request that is sent only
    /// once.
    pub(crate) next_attempt_at: Option<Millis>,
    pub(crate) attempts: u32,
    /// The node that received the last attempt.
    pub(crate) receiver: u8,
    pub(crate) committed: bool,
    pub(crate) rejected: bool,
}

impl ChangeRequest {
    pub(crate) fn new(receiver: u8, change: ConfigChange, rev: u64, builds_on: u64) -> ChangeRequest {
        ChangeRequest {
            rev,
            builds_on,
            change,
            invalid: false,
            lost_answers: 0,
            next_attempt_at: None,
            attempts: 0,
            receiver,
            committed: false,
            rejected: false,
        }
    }

    /// Returns the call that carries the request.
    pub(crate) fn call(&self) -> Call {
        Call::Change { builds_on: self.builds_on, change: self.change.clone() }
    }

    /// Ends the retries with a definite answer, unless that answer is lost before it arrives.
    pub(crate) fn receive_answer(&mut self) {
        match self.lost_answers.checked_sub(1) {
            Some(left) if self.next_attempt_at.is_some() => self.lost_answers = left,
            _ => self.next_attempt_at = None,
        }
    }
}

/// Why a call was made, which selects the checks of its answer.
#[derive(Clone, Copy)]
pub(crate) enum CallPurpose {
    /// Sends a change request.
    Change {
        /// The index of the request in [`Operators::requests`].
        request: u64,
    },
    /// Reads the newest document.
    Read,
    /// Reads for the sessions that wait at a node.
    Sessions {
        /// The number of the newest session that the read covers.
        newest_session: u64,
    },
}

/// A call that has not been answered.
pub(crate) struct PendingCall {
    pub(crate) receiver: u8,
    /// The incarnation of the receiver's process.
    pub(crate) incarnation: u64,
    pub(crate) purpose: CallPurpose,
    /// The newest version that was acknowledged when the call began.
    pub(crate) acknowledged: u64,
    /// The newest version that was committed when the call began.
    pub(crate) committed: u64,
}

/// A committed change, as the first node published it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommittedChange {
    /// The version.
    pub rev: u64,
    /// The index of the change request that made it; `None` if the document names no request.
    pub request: Option<u64>,
}

/// The contents of the next document that an operator sends.
pub(crate) struct NextDocument {
    pub(crate) builds_on: u64,
    pub(crate) rev: u64,
    /// The index that the request of the document will have.
    pub(crate) request: usize,
}

impl NextDocument {
    pub(crate) fn complete(&self) -> String {
        format!("{{\"rev\":{},\"order\":{}}}", self.rev, self.request)
    }

    pub(crate) fn patch(&self) -> String {
        format!("{{\"rev\":{},\"upsert\":{{\"order\":{}}}}}", self.rev, self.request)
    }

    pub(crate) fn invalid(&self) -> String {
        self.complete().replace('}', ",\"paths\":1}")
    }
}

/// All operators of a cluster.
#[derive(Default)]
pub(crate) struct Operators {
    pub(crate) requests: Vec<ChangeRequest>,
    pub(crate) pending_calls: BTreeMap<u64, PendingCall>,
    last_call: u64,
    /// The outcome of each answered call.
    pub(crate) outcomes: BTreeMap<u64, Outcome>,
    /// By version: the index of the first acknowledged change request that builds on it.
    pub(crate) acknowledged: BTreeMap<u64, u64>,
    pub(crate) newest_acknowledged: u64,
    pub(crate) newest_committed: u64,
    /// The newest version that a conflict named. It may have been committed without an answer to its operator.
    pub(crate) newest_in_conflicts: u64,
}

impl Operators {
    pub(crate) fn request(&mut self, index: u64) -> &mut ChangeRequest {
        &mut self.requests[index as usize]
    }

    /// Adds a request and returns its index.
    pub(crate) fn add_request(&mut self, request: ChangeRequest) -> u64 {
        self.requests.push(request);
        self.requests.len() as u64 - 1
    }

    /// Returns how many requests are being retried.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests.iter().filter(|request| request.next_attempt_at.is_some()).count()
    }

    /// Returns the newest version that operators know, from acknowledgements and conflicts.
    pub(crate) fn newest_known(&self) -> u64 {
        self.newest_acknowledged.max(self.newest_in_conflicts)
    }

    /// Returns the next document, whose version is higher by `version_step` than the newest that operators know.
    pub(crate) fn next_document(&self, version_step: u64) -> NextDocument {
        let builds_on = self.newest_known();
        NextDocument { builds_on, rev: builds_on + version_step, request: self.requests.len() }
    }

    /// Records that a call begins, and returns its number.
    pub(crate) fn begin_call(&mut self, receiver: u8, incarnation: u64, purpose: CallPurpose) -> u64 {
        self.last_call += 1;
        let pending = PendingCall {
            receiver,
            incarnation,
            purpose,
            acknowledged: self.newest_acknowledged,
            committed: self.newest_committed,
        };
        self.pending_calls.insert(self.last_call, pending);
        self.last_call
    }
}
