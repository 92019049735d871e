//! The operators of a run. They change the configuration, sometimes concurrently, retry calls without a definite
//! response, read from any control node, and purge objects. Every response is checked against the changes that were
//! sent.

mod calls;
mod changes;
mod reads;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::operator::commands::ControlAddresses;
use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::{sleep, Instant};

use super::active_faults::{ActiveFault, ActiveFaults};
use super::oracle::{Invariant, Oracle};
use crate::execution_log::ExecutionLog;
use crate::plan::Plan;
use calls::{Call, ControlClient};
pub use changes::host_of_version;
use changes::{ConfigChange, InvalidDocument};

/// How long a change without a definite response is retried.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a purge that was not acknowledged is retried.
const PURGE_RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before a call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Maximum number of attempts to put the first configuration, each with its own retries.
const FIRST_CONFIG_ATTEMPTS: usize = 10;
/// Range of pauses between changes, in milliseconds.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 300..1400;
/// Range of pauses between purges, in milliseconds.
const PURGE_PAUSE_MS: std::ops::Range<u64> = 100..500;
/// Number of objects that purges are drawn from.
const PURGED_OBJECTS: u64 = 8;

/// What the operators know about the outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeState {
    /// No definite response so far: the change may be committed or not.
    Unknown,
    Acknowledged,
    Rejected,
}

/// A change that was sent, with what is known about its outcome.
#[derive(Clone)]
struct SentChange {
    change: ConfigChange,
    state: ChangeState,
}

/// A version that is known to be committed.
#[derive(Clone, Copy)]
pub struct CommittedVersion {
    /// Number of the version.
    pub rev: u64,
    /// When it was first acknowledged or read.
    pub known_at: Instant,
}

/// All operators of a run.
pub struct Operators {
    plan: Plan,
    control: ControlClient,
    oracle: Rc<Oracle>,
    rng: Rc<RefCell<ChaCha8Rng>>,
    /// All changes sent so far, by their numbers.
    sent: RefCell<BTreeMap<u64, SentChange>>,
    /// The number of the acknowledged change, by the version that it is based on.
    acknowledged_changes: RefCell<BTreeMap<u64, u64>>,
    newest: Cell<Option<CommittedVersion>>,
    /// The change that the operators assume to be the newest, on which the next change is based.
    current: RefCell<ConfigChange>,
    next_number: Cell<u64>,
    response_losses: ActiveFaults,
}

impl Operators {
    /// Creates operators that call the control nodes `controls`.
    pub fn new(plan: &Plan, controls: ControlAddresses, oracle: &Rc<Oracle>, seed: u64) -> Rc<Self> {
        let rng = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
        let response_losses = ActiveFaults::default();
        Rc::new(Operators {
            plan: plan.clone(),
            control: ControlClient::new(controls, Rc::clone(&rng), response_losses.clone()),
            oracle: Rc::clone(oracle),
            rng,
            sent: RefCell::default(),
            acknowledged_changes: RefCell::default(),
            newest: Cell::new(None),
            current: RefCell::new(ConfigChange::initial()),
            next_number: Cell::new(1),
            response_losses,
        })
    }

    /// Begins a fault in which most responses to operators are lost. It ends when the guard is dropped.
    pub fn begin_response_losses(&self) -> ActiveFault {
        self.response_losses.begin()
    }

    /// Returns the newest version that is known to be committed; `None` before the first.
    pub fn newest(&self) -> Option<CommittedVersion> {
        self.newest.get()
    }

    /// Puts the first configuration. Returns false if it is not acknowledged.
    pub async fn put_first_config(&self) -> bool {
        let change = self.next_change();
        for _ in 0..FIRST_CONFIG_ATTEMPTS {
            if self.send_until_answered(&change).await {
                return true;
            }
        }
        false
    }

    // ---- Changes ----

    /// Changes the configuration at random intervals: with single, concurrent, resent and invalid changes. Runs
    /// until it is aborted.
    pub async fn change_config(self: Rc<Self>) {
        loop {
            let pause = self.rng.borrow_mut().random_range(CHANGE_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            let kind = self.rng.borrow_mut().random_range(0..10);
            match kind {
                0 | 1 => self.race().await,
                2 => self.send_invalid().await,
                3 | 4 => self.change_once(true).await,
                _ => self.change_once(false).await,
            }
        }
    }

    async fn change_once(&self, resend: bool) {
        let change = self.next_change();
        if !self.send_until_answered(&change).await {
            self.refresh_current().await;
        } else if resend {
            self.resend(&change).await;
        }
    }

    /// Returns a new change based on the newest known version.
    fn next_change(&self) -> ConfigChange {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let version_step = self.rng.borrow_mut().random_range(1..4);
        self.current.borrow().next(number, version_step)
    }

    fn put_call(&self, change: &ConfigChange) -> Call {
        let body = Bytes::from(change.document(&self.plan).to_string());
        Call::put_config(change.builds_on, body)
    }

    /// Sends a change until it gets a definite response. Returns whether it was acknowledged.
    async fn send_until_answered(&self, change: &ConfigChange) -> bool {
        let call = self.put_call(change);
        let sent = SentChange { change: change.clone(), state: ChangeState::Unknown };
        self.sent.borrow_mut().insert(change.number, sent);
        let began_at = Instant::now();
        while began_at.elapsed() < CHANGE_TIMEOUT {
            let response = self.control.call_any(&call).await;
            match response.map(|response| response.status()) {
                Some(StatusCode::OK) => {
                    self.record_acknowledged(change);
                    return true;
                }
                Some(status) if status.is_client_error() => {
                    self.record_rejected(change);
                    return false;
                }
                _ => sleep(RETRY_PAUSE).await,
            }
        }
        self.oracle.count("change without a definite response");
        false
    }

    fn set_state(&self, change: &ConfigChange, state: ChangeState) {
        if let Some(sent) = self.sent.borrow_mut().get_mut(&change.number) {
            sent.state = state;
        }
    }

    fn record_acknowledged(&self, change: &ConfigChange) {
        self.oracle.count("change acknowledged");
        self.set_state(change, ChangeState::Acknowledged);
        let before = self.acknowledged_changes.borrow_mut().insert(change.builds_on, change.number);
        if let Some(before) = before.filter(|before| *before != change.number) {
            let details = format!(
                "changes {before} and {}, both based on version {}, were acknowledged",
                change.number, change.builds_on
            );
            self.oracle.record_violation(Invariant::OneChangePerVersion, details);
        }
        self.record_committed(change.rev);
        if self.current.borrow().rev < change.rev {
            self.current.replace(change.clone());
        }
    }

    fn record_rejected(&self, change: &ConfigChange) {
        self.oracle.count("change rejected");
        self.set_state(change, ChangeState::Rejected);
    }

    /// Records that a version was acknowledged or read, and so is committed: later reads must not return an older one.
    fn record_committed(&self, rev: u64) {
        if self.newest.get().is_none_or(|newest| newest.rev < rev) {
            self.newest.set(Some(CommittedVersion { rev, known_at: Instant::now() }));
        }
    }

    /// Sends two concurrent changes based on the same version.
    async fn race(&self) {
        let (first, mut second) = (self.next_change(), self.next_change());
        if self.rng.borrow_mut().random_bool(0.5) {
            second.rev = first.rev;
        }
        let (first_acknowledged, second_acknowledged) =
            tokio::join!(self.send_until_answered(&first), self.send_until_answered(&second));
        if first_acknowledged && second_acknowledged {
            let details = "two concurrent changes based on the same version were acknowledged".to_owned();
            self.oracle.record_violation(Invariant::OneChangePerVersion, details);
        }
        self.refresh_current().await;
    }

    /// Resends an acknowledged change before any other change is sent.
    async fn resend(&self, change: &ConfigChange) {
        let response = self.control.call_any(&self.put_call(change)).await;
        let status = response.map(|response| response.status());
        if let Some(status) = status.filter(hyper::StatusCode::is_client_error) {
            let details = format!("change {} was rejected when resent: {status}", change.number);
            self.oracle.record_violation(Invariant::RetryAcknowledged, details);
        }
    }

    async fn send_invalid(&self) {
        let change = self.next_change();
        let kind = self.rng.borrow_mut().random_range(0..InvalidDocument::ALL.len());
        let invalid = InvalidDocument::ALL[kind];
        let call = Call::put_config(change.builds_on, invalid.of(&change, &self.plan).into());
        let response = self.control.call_any(&call).await;
        if response.is_some_and(|response| response.status().is_success()) {
            let details = format!("an invalid document was accepted: {invalid:?}");
            self.oracle.record_violation(Invariant::InvalidConfigRejected, details);
        }
    }

    // ---- Purges ----

    /// Modifies and purges random objects. Runs until it is aborted.
    pub async fn purge_objects(self: Rc<Self>, execution_log: Rc<ExecutionLog>) {
        loop {
            let pause = self.rng.borrow_mut().random_range(PURGE_PAUSE_MS);
            let object = self.rng.borrow_mut().random_range(1..=PURGED_OBJECTS);
            sleep(Duration::from_millis(pause)).await;
            let path = format!("/{}/{object}", self.plan.classes[0].name);
            let old_version = execution_log.start_new_version(&path);
            if self.purge(&path).await {
                self.oracle.count("purge acknowledged");
                execution_log.record_purge(&path, old_version);
            } else {
                self.oracle.count("purge not acknowledged");
            }
        }
    }

    /// Sends a purge until it is acknowledged. Returns false if that takes longer than `PURGE_RETRY_TIMEOUT`.
    async fn purge(&self, path: &str) -> bool {
        let body = json!({ "hostname": crate::plan::ROUTE_HOST, "urlPath": path }).to_string();
        let call = Call { method: Method::POST, path: "/api/purge", builds_on: None, body: body.into() };
        let began_at = Instant::now();
        while began_at.elapsed() < PURGE_RETRY_TIMEOUT {
            let response = self.control.call_any(&call).await;
            if response.is_some_and(|response| response.status().is_success()) {
                return true;
            }
            sleep(RETRY_PAUSE).await;
        }
        false
    }
}
