//! The oracle of a run: the invariants that it found violated, and counts of how requests ended.

use std::cell::RefCell;
use std::collections::BTreeMap;

use serde::Serialize;
use tokio::time::Instant;

/// How many violations of one invariant are retained.
const MAX_VIOLATIONS_PER_INVARIANT: usize = 20;

/// An invariant that a run can find violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Invariant {
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A request that was rejected as not executed has not run.
    RejectedNotExecuted,
    /// A successful response is the complete response of the server.
    ResponseComplete,
    /// No old version is served after its purge.
    NoStaleAfterPurge,
    /// A request of a configured route is not answered with 404.
    RouteKnown,
    /// A request that was read is answered completely.
    ReadRequestAnswered,
    /// The answer comes soon after the deadline of the request at the latest.
    AnsweredByDeadline,
    /// No request reaches a server after it has deregistered.
    NoRequestAfterDeregistration,
    /// A read of the configuration is not older than what was acknowledged before.
    LinearizableRead,
    /// The document that is read under a version was sent, and was not rejected.
    ReadDocumentWasSent,
    /// One change wins upon each version.
    OneChangePerVersion,
    /// An acknowledged change is not rejected when it is sent again.
    RetryAcknowledged,
    /// An invalid configuration is rejected.
    InvalidConfigRejected,
    /// A version is applied everywhere soon after it was acknowledged.
    VersionPropagated,
    /// No edge goes back to an older version.
    NoVersionRollback,
    /// No process exits unexpectedly.
    NoUnexpectedExit,
    /// The invariants that the code checks itself hold.
    RuntimeAssertion,
    /// A failed request is in the log of its edge.
    FailureLogged,
    /// After all faults the system recovers.
    SystemRecovers,
    /// After that all requests are served.
    ServedAfterRecovery,
}

/// An invariant that was violated.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The invariant.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// When it was found violated, in seconds from the start of the run.
    pub at: f64,
    /// What was observed.
    pub details: String,
}

/// A failed request, which the log of its edge has to explain.
pub struct FailedRequest {
    /// Its try id.
    pub id: String,
    /// The index of the edge.
    pub edge: usize,
    /// The status of its response.
    pub status: u16,
}

/// What one run has shown so far.
pub struct Oracle {
    began_at: Instant,
    violations: RefCell<Vec<Violation>>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
    failed_requests: RefCell<Vec<FailedRequest>>,
    logged_causes: RefCell<BTreeMap<String, u64>>,
}

impl Oracle {
    /// Begins a run.
    pub fn new() -> Self {
        Oracle {
            began_at: Instant::now(),
            violations: RefCell::default(),
            counts: RefCell::default(),
            failed_requests: RefCell::default(),
            logged_causes: RefCell::default(),
        }
    }

    /// Notes a violation, unless there are enough of its invariant.
    pub fn violated(&self, invariant: Invariant, details: String) {
        let mut violations = self.violations.borrow_mut();
        let count = violations.iter().filter(|violation| violation.invariant == invariant).count();
        if count < MAX_VIOLATIONS_PER_INVARIANT {
            violations.push(Violation { invariant, at: self.began_at.elapsed().as_secs_f64(), details });
        }
    }

    /// Counts how something ended.
    pub fn count(&self, how: &'static str) {
        *self.counts.borrow_mut().entry(how).or_default() += 1;
    }

    /// Notes a failed request that the log of its edge has to explain.
    pub fn request_failed(&self, id: &str, edge: usize, status: u16) {
        self.failed_requests.borrow_mut().push(FailedRequest { id: id.to_owned(), edge, status });
    }

    /// Returns the failed requests that were noted, and forgets them.
    pub fn take_failed_requests(&self) -> Vec<FailedRequest> {
        self.failed_requests.take()
    }

    /// Notes the causes of failures, as logged, with their counts.
    pub fn set_logged_causes(&self, causes: BTreeMap<String, u64>) {
        self.logged_causes.replace(causes);
    }

    /// Returns the causes of failures, as logged, with their counts.
    pub fn logged_causes(&self) -> BTreeMap<String, u64> {
        self.logged_causes.borrow().clone()
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// Returns how often each outcome was counted.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.borrow().clone()
    }
}
