//! The test oracle of a run: collects violated invariants, failed requests, and counts of outcomes.

use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::Serialize;
use tokio::time::Instant;

/// Maximum number of violations retained for one invariant.
const MAX_VIOLATIONS_PER_INVARIANT: usize = 20;

/// An invariant that a run checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Invariant {
    /// A non-idempotent request is executed at most once.
    AtMostOnce,
    /// A request that was rejected as not executed was not executed.
    RejectedNotExecuted,
    /// A successful response is the complete response of an origin server.
    ResponseComplete,
    /// No purged version of an object is served after the purge has taken effect.
    NoStaleAfterPurge,
    /// A request for a configured route does not get a 404 response.
    RouteKnown,
    /// A request that an edge has read gets a complete response.
    ReadRequestAnswered,
    /// A request gets a response before its deadline, plus a small tolerance.
    AnsweredByDeadline,
    /// No request reaches a server once its drain time after draining or deregistration has passed.
    NoRequestAfterDeregistration,
    /// A configuration read returns a version at least as new as any version acknowledged or read before it began.
    LinearizableRead,
    /// A configuration document that is read is identical to one that was sent and not rejected.
    ReadDocumentWasSent,
    /// Of the changes based on the same version, at most one is acknowledged.
    OneChangePerVersion,
    /// An acknowledged change is not rejected when it is resent.
    RetryAcknowledged,
    /// An invalid configuration is rejected.
    InvalidConfigRejected,
    /// Every edge applies a version within a time limit after it was acknowledged.
    VersionPropagated,
    /// No edge reverts to an older version.
    NoVersionRollback,
    /// No process exits unexpectedly.
    NoUnexpectedExit,
    /// No runtime assertion fails in the processes under test.
    RuntimeAssertion,
    /// Each failed request is logged by its edge, unless the edge has suppressed log lines.
    FailureLogged,
    /// The system is ready again within a time limit after the last fault.
    SystemRecovers,
    /// All requests are served after the system has recovered.
    ServedAfterRecovery,
}

/// A violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Which invariant was violated.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// When the violation was found, in seconds from the start of the run.
    pub at: f64,
    /// What was observed.
    pub details: String,
}

/// A request that failed, and so must be in the log of its edge.
pub struct FailedRequest {
    /// The try id of the request.
    pub id: String,
    /// Index of the edge that received the request, from 0.
    pub edge: usize,
    /// Status code of the response.
    pub status: u16,
}

/// The observations of one run.
pub struct Oracle {
    began_at: Instant,
    violations: RefCell<Vec<Violation>>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
    failed_requests: RefCell<Vec<FailedRequest>>,
    logged_causes: RefCell<BTreeMap<String, u64>>,
}

impl Oracle {
    /// Creates an oracle for a run that starts now.
    pub fn new() -> Self {
        Oracle {
            began_at: Instant::now(),
            violations: RefCell::default(),
            counts: RefCell::default(),
            failed_requests: RefCell::default(),
            logged_causes: RefCell::default(),
        }
    }

    /// Records a violation, unless the maximum number is already retained for its invariant.
    pub fn record_violation(&self, invariant: Invariant, details: String) {
        let mut violations = self.violations.borrow_mut();
        let count = violations.iter().filter(|violation| violation.invariant == invariant).count();
        if count < MAX_VIOLATIONS_PER_INVARIANT {
            violations.push(Violation { invariant, at: self.began_at.elapsed().as_secs_f64(), details });
        }
    }

    /// Adds one to the count of an outcome.
    pub fn count(&self, outcome: &'static str) {
        *self.counts.borrow_mut().entry(outcome).or_default() += 1;
    }

    /// Records a failed request, which must be in the log of its edge.
    pub fn record_failed_request(&self, id: &str, edge: usize, status: u16) {
        self.failed_requests.borrow_mut().push(FailedRequest { id: id.to_owned(), edge, status });
    }

    /// Returns the recorded failed requests, and clears them.
    pub fn take_failed_requests(&self) -> Vec<FailedRequest> {
        self.failed_requests.take()
    }

    /// Stores the logged causes of failures with their counts.
    pub fn set_logged_causes(&self, causes: BTreeMap<String, u64>) {
        self.logged_causes.replace(causes);
    }

    /// Returns the logged causes of failures with their counts.
    pub fn logged_causes(&self) -> BTreeMap<String, u64> {
        self.logged_causes.borrow().clone()
    }

    /// Returns the retained violations in the order in which they were found.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// Returns the count of each outcome.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.borrow().clone()
    }
}
