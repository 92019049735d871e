//! What a play has shown: promises that were broken, and when which machine was in trouble.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// A machine is in touch again so long after its trouble, and all are after one of the core: `contactMs`.
pub const CONTACT: Duration = Duration::from_secs(4);

/// A promise that a play can find broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Promise {
    /// What may run once ran twice.
    RunsOnce,
    /// What was refused with a promise has run.
    RefusedHasNotRun,
    /// A success is the server's whole answer.
    AnswerIsWhole,
    /// No old version after its purge.
    PurgeEndsCopies,
    /// A proper request gets no 404 that no configuration gives.
    RouteIsKnown,
    /// A request that was read gets a whole answer.
    AnswerComes,
    /// It comes soon after its deadline at the latest.
    AnswerComesInTime,
    /// Nothing more comes to a server that left.
    LeavingIsFinal,
    /// A read of the configuration is no older than what was acknowledged before.
    ReadIsNewest,
    /// What is read under a version is what was sent and not refused.
    DocumentIsSent,
    /// One change wins upon each version.
    OneChangeWins,
    /// An acknowledged change is not refused when it is sent again.
    AcknowledgedStays,
    /// An invalid configuration is refused.
    InvalidIsRefused,
    /// A version is in force everywhere soon after it was acknowledged.
    VersionComesIntoForce,
    /// No edge goes back to an older version.
    VersionStays,
    /// No process ends by itself.
    ProcessStays,
    /// The invariants of the code hold.
    InvariantHolds,
    /// A failed request is named in the log.
    FailureIsLogged,
    /// After all troubles the system is whole again.
    SystemRecovers,
    /// Then everything is served.
    CalmIsServed,
}

/// A promise found broken.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub promise: Promise,
    /// Seconds from the start of the load.
    pub at: f64,
    pub details: String,
}

/// Whether a trouble is planned work, in which requests are still answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Planned,
    Unplanned,
}

/// A failed request that a log has to explain.
pub struct Failed {
    pub id: String,
    pub edge: usize,
    pub status: u16,
}

/// The troubles of a machine.
#[derive(Default)]
struct MachineTroubles {
    /// How many it has now.
    now: u32,
    /// When the last one ended.
    last: Option<Instant>,
}

/// What one play has shown so far.
pub struct Observed {
    pub began: Instant,
    violations: RefCell<Vec<Violation>>,
    /// Requests by how they ended.
    ended: RefCell<BTreeMap<&'static str, u64>>,
    /// By machine and whether they are planned.
    troubled: RefCell<BTreeMap<(u8, Kind), MachineTroubles>>,
    cores: Cell<u8>,
    failed: RefCell<Vec<Failed>>,
    causes: RefCell<BTreeMap<String, u64>>,
}

/// Violations of one promise that are kept.
const MOST_KEPT: usize = 20;

impl Observed {
    pub fn new(cores: u8) -> Self {
        Observed {
            began: Instant::now(),
            violations: RefCell::default(),
            ended: RefCell::default(),
            troubled: RefCell::default(),
            cores: Cell::new(cores),
            failed: RefCell::default(),
            causes: RefCell::default(),
        }
    }

    /// Notes a broken promise.
    pub fn broken(&self, promise: Promise, details: String) {
        let mut all = self.violations.borrow_mut();
        if all.iter().filter(|violation| violation.promise == promise).count() < MOST_KEPT {
            all.push(Violation { promise, at: self.began.elapsed().as_secs_f64(), details });
        }
    }

    /// Counts how something ended.
    pub fn count(&self, how: &'static str) {
        *self.ended.borrow_mut().entry(how).or_default() += 1;
    }

    /// A machine is in trouble from now on.
    pub fn begins(&self, machine: u8, kind: Kind) {
        self.troubled.borrow_mut().entry((machine, kind)).or_default().now += 1;
    }

    /// One of its troubles is over.
    pub fn ends(&self, machine: u8, kind: Kind) {
        let mut troubled = self.troubled.borrow_mut();
        let of_machine = troubled.entry((machine, kind)).or_default();
        of_machine.now = of_machine.now.saturating_sub(1);
        of_machine.last = Some(Instant::now());
    }

    /// Whether a machine has had no trouble of a kind since a moment.
    pub fn without(&self, kind: Kind, machine: u8, since: Instant) -> bool {
        let troubled = self.troubled.borrow();
        let past = |of: &MachineTroubles| of.now == 0 && of.last.is_none_or(|last| last < since);
        troubled.get(&(machine, kind)).is_none_or(past)
    }

    fn calm_since(&self, machine: u8, since: Instant) -> bool {
        self.without(Kind::Planned, machine, since) && self.without(Kind::Unplanned, machine, since)
    }

    /// Whether a machine has been in touch all the while since a moment: neither it nor the core had any trouble since
    /// `CONTACT` before it.
    pub fn in_touch_since(&self, machine: u8, since: Instant) -> bool {
        let before = since.checked_sub(CONTACT).unwrap_or(since);
        let calm = |machine| self.calm_since(machine, before);
        since >= self.began + CONTACT && calm(machine) && (1..=self.cores.get()).all(calm)
    }

    /// Whether that holds for all machines up to this one.
    pub fn all_in_touch_since(&self, last: u8, since: Instant) -> bool {
        (1..=last).all(|machine| self.in_touch_since(machine, since))
    }

    /// A request failed that the log of an edge has to name.
    pub fn failed(&self, id: &str, edge: usize, status: u16) {
        self.failed.borrow_mut().push(Failed { id: id.to_owned(), edge, status });
    }

    pub fn take_failed(&self) -> Vec<Failed> {
        self.failed.take()
    }

    /// What the logs tell of the causes of failures.
    pub fn set_causes(&self, causes: BTreeMap<String, u64>) {
        self.causes.replace(causes);
    }

    pub fn causes(&self) -> BTreeMap<String, u64> {
        self.causes.borrow().clone()
    }

    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.ended.borrow().clone()
    }
}
