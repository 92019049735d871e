//! Records which requests servers executed, and which objects were changed and purged, to check responses to clients.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

/// Maximum time until an acknowledged purge takes effect on all edges.
pub const PURGE_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of violations of each guarantee.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Requests that may be executed at most once and were executed more than once.
    pub executed_twice: u64,
    /// Requests rejected as not executed that had been executed.
    pub rejected_after_execution: u64,
    /// Successful responses that were not the complete response of the server.
    pub incomplete: u64,
    /// Responses with a version whose purge was acknowledged `PURGE_PROPAGATION_TIMEOUT` or longer before the request
    /// was sent.
    pub stale: u64,
}

/// Result of the check of a successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseCheck {
    /// The response is complete and not stale.
    Valid,
    /// The response is not the complete response of the server.
    Incomplete,
    /// The response is a version whose purge was acknowledged `PURGE_PROPAGATION_TIMEOUT` or longer before the request
    /// was sent.
    Stale,
}

#[derive(Default)]
struct Object {
    version: u64,
    /// When the purge of each older version was acknowledged, by version.
    purged_at: HashMap<u64, Instant>,
}

/// The versions of all objects, and the executions of requests that may be executed at most once.
#[derive(Default)]
pub struct ExecutionLog {
    objects: RefCell<HashMap<String, Object>>,
    /// Number of executions of each request that may be executed at most once, by try id.
    executions: RefCell<HashMap<String, u32>>,
    violations: RefCell<ViolationCounts>,
}

/// Returns the body of a version of an object: a line with path and version, and deterministic filler up to `length`
/// bytes.
pub fn body(path: &str, version: u64, length: usize) -> Bytes {
    let mut body = format!("{path} v{version}\n").into_bytes();
    let mut filler = glenfall_balancer::splitmix64(version ^ path.len() as u64);
    while body.len() < length {
        filler = glenfall_balancer::splitmix64(filler);
        body.extend_from_slice(&filler.to_le_bytes());
    }
    body.truncate(length);
    body.into()
}

/// Returns the version in the first line of a body; `None` if the body is not of the object at `path`.
fn version_of(path: &str, body: &[u8]) -> Option<u64> {
    let first_line = body.split(|byte| *byte == b'\n').next()?;
    let first_line = std::str::from_utf8(first_line).ok()?;
    first_line.strip_prefix(path)?.strip_prefix(" v")?.parse().ok()
}

impl ExecutionLog {
    /// Returns the newest version of an object, 0 if it was never changed.
    pub fn version(&self, path: &str) -> u64 {
        self.objects.borrow().get(path).map_or(0, |object| object.version)
    }

    /// Changes an object, and returns the version that was replaced.
    pub fn start_new_version(&self, path: &str) -> u64 {
        let mut objects = self.objects.borrow_mut();
        let object = objects.entry(path.to_owned()).or_default();
        object.version += 1;
        object.version - 1
    }

    /// Records that the purge of a version has just been acknowledged.
    pub fn record_purge(&self, path: &str, version: u64) {
        if let Some(object) = self.objects.borrow_mut().get_mut(path) {
            object.purged_at.insert(version, Instant::now());
        }
    }

    /// Records that a server starts to execute a request that may be executed at most once.
    pub fn record_execution(&self, id: &str) {
        let mut executions = self.executions.borrow_mut();
        let times = executions.entry(id.to_owned()).or_default();
        *times += 1;
        if *times == 2 {
            self.violations.borrow_mut().executed_twice += 1;
        }
    }

    /// Whether a server has started to execute a request that may be executed at most once.
    pub fn was_executed(&self, id: &str) -> bool {
        self.executions.borrow().contains_key(id)
    }

    /// Records that a request was rejected as not executed, and counts a violation if it was executed.
    pub fn record_rejection(&self, id: &str) {
        if self.was_executed(id) {
            self.violations.borrow_mut().rejected_after_execution += 1;
        }
    }

    /// Checks a successful response like [`ExecutionLog::check`], and counts any violation.
    pub fn check_and_count(
        &self,
        path: &str,
        sent_at: Instant,
        sealed: bool,
        response_body: &[u8],
        length: usize,
    ) {
        match self.check(path, sent_at, sealed, response_body, length) {
            ResponseCheck::Valid => {}
            ResponseCheck::Incomplete => self.violations.borrow_mut().incomplete += 1,
            ResponseCheck::Stale => self.violations.borrow_mut().stale += 1,
        }
    }

    /// Checks a successful response to a request that was sent at `sent_at`. The response must have the seal header
    /// of its server, and the body of some version of the object, with `length` bytes.
    pub fn check(
        &self,
        path: &str,
        sent_at: Instant,
        sealed: bool,
        response_body: &[u8],
        length: usize,
    ) -> ResponseCheck {
        let is_complete = |version: &u64| sealed && response_body == &body(path, *version, length)[..];
        let Some(version) = version_of(path, response_body).filter(is_complete) else {
            return ResponseCheck::Incomplete;
        };
        let objects = self.objects.borrow();
        let purged_at = objects.get(path).and_then(|object| object.purged_at.get(&version));
        match purged_at {
            Some(purged_at) if sent_at >= *purged_at + PURGE_PROPAGATION_TIMEOUT => ResponseCheck::Stale,
            _ => ResponseCheck::Valid,
        }
    }

    /// Returns the number of violations of each guarantee so far.
    pub fn violations(&self) -> ViolationCounts {
        self.violations.borrow().clone()
    }
}
