//! The ledger of an experiment: what servers ran and which objects were purged. Responses to clients are checked against
//! it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

/// An acknowledged purge takes effect everywhere within this time.
pub const PURGE_TIMEOUT: Duration = Duration::from_secs(2);

/// How often each guarantee was violated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// A request that may run at most once ran more than once.
    pub ran_twice: u64,
    /// A request was rejected as not executed, and had run.
    pub rejected_after_run: u64,
    /// A successful response is not the complete response of the server.
    pub incomplete: u64,
    /// An old version of an object was served, long after its purge.
    pub stale: u64,
}

/// What the check of a successful response found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseCheck {
    /// It is complete and not too old.
    Valid,
    /// It is not the complete response of the server.
    Incomplete,
    /// It is an old version, long after its purge.
    Stale,
}

#[derive(Default)]
struct Object {
    version: u64,
    /// When the purge of each older version was acknowledged.
    purged_at: HashMap<u64, Instant>,
}

/// The state of all objects, and the requests that servers ran.
#[derive(Default)]
pub struct Ledger {
    objects: RefCell<HashMap<String, Object>>,
    /// How often each request that may run at most once ran, by its try id.
    runs: RefCell<HashMap<String, u32>>,
    violations: RefCell<ViolationCounts>,
}

/// Returns the body of a version of an object: a line that names both, and filler up to `length` bytes.
pub fn body(path: &str, version: u64, length: usize) -> Bytes {
    let mut body = format!("{path} v{version}\n").into_bytes();
    let mut filler = glenfall_balancer::mix(version ^ path.len() as u64);
    while body.len() < length {
        filler = glenfall_balancer::mix(filler);
        body.extend_from_slice(&filler.to_le_bytes());
    }
    body.truncate(length);
    body.into()
}

/// Returns the version that a body names.
fn version_of(path: &str, body: &[u8]) -> Option<u64> {
    let first_line = body.split(|byte| *byte == b'\n').next()?;
    let first_line = std::str::from_utf8(first_line).ok()?;
    first_line.strip_prefix(path)?.strip_prefix(" v")?.parse().ok()
}

impl Ledger {
    /// Returns the newest version of an object.
    pub fn version(&self, path: &str) -> u64 {
        self.objects.borrow().get(path).map_or(0, |object| object.version)
    }

    /// Changes an object, and returns the version that is outdated.
    pub fn change(&self, path: &str) -> u64 {
        let mut objects = self.objects.borrow_mut();
        let object = objects.entry(path.to_owned()).or_default();
        object.version += 1;
        object.version - 1
    }

    /// Notes that the purge of a version was acknowledged.
    pub fn purged(&self, path: &str, version: u64) {
        if let Some(object) = self.objects.borrow_mut().get_mut(path) {
            object.purged_at.insert(version, Instant::now());
        }
    }

    /// Notes that a server begins to run a request that may run at most once.
    pub fn ran(&self, id: &str) {
        let mut runs = self.runs.borrow_mut();
        let times = runs.entry(id.to_owned()).or_default();
        *times += 1;
        if *times == 2 {
            self.violations.borrow_mut().ran_twice += 1;
        }
    }

    /// Whether a request that may run at most once has run.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.borrow().contains_key(id)
    }

    /// Notes that a request was rejected as not executed.
    pub fn rejected(&self, id: &str) {
        if self.has_run(id) {
            self.violations.borrow_mut().rejected_after_run += 1;
        }
    }

    /// Checks a successful response to a request that was sent at `sent_at`, and counts a violation. See [`Ledger::check`].
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

    /// Checks a successful response to a request that was sent at `sent_at`. It has to be `sealed` by its server, and to
    /// have the body of a version that is `length` bytes long.
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
            Some(purged_at) if sent_at >= *purged_at + PURGE_TIMEOUT => ResponseCheck::Stale,
            _ => ResponseCheck::Valid,
        }
    }

    /// Returns how often each guarantee was violated.
    pub fn violations(&self) -> ViolationCounts {
        self.violations.borrow().clone()
    }
}
