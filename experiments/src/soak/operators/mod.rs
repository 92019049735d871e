//! The operators of a run: they change the configuration, race each other, retry what had no definite answer, read at any
//! node, and purge. Every answer is checked against what they sent.

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
use crate::ledger::Ledger;
use crate::plan::Plan;
use calls::{Call, ControlClient};
pub use changes::host_of_version;
use changes::{ConfigChange, InvalidDocument};

/// A change without a definite answer is retried for this time.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// A purge without a definite answer is retried for this time.
const PURGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before the next node is called.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// How often the first configuration is sent.
const FIRST_CONFIG_ATTEMPTS: usize = 10;
/// Pauses between changes, in milliseconds.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 300..1400;
/// Pauses between purges, in milliseconds.
const PURGE_PAUSE_MS: std::ops::Range<u64> = 100..500;
/// Objects that are purged.
const PURGED_OBJECTS: u64 = 8;

/// What is known of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeState {
    /// No definite answer so far: it may be committed or not.
    Unclear,
    Acknowledged,
    Refused,
}

/// A change that was sent, and its state.
#[derive(Clone)]
struct SentChange {
    change: ConfigChange,
    state: ChangeState,
}

/// The newest version that is known to be committed, and since when.
#[derive(Clone, Copy)]
pub struct CommittedVersion {
    /// The version.
    pub rev: u64,
    /// When it was acknowledged or read first.
    pub known_at: Instant,
}

/// All operators of a run.
pub struct Operators {
    plan: Plan,
    control: ControlClient,
    oracle: Rc<Oracle>,
    rng: Rc<RefCell<ChaCha8Rng>>,
    /// By the numbers of the changes.
    sent: RefCell<BTreeMap<u64, SentChange>>,
    /// The number of the change that was acknowledged upon each version.
    winners: RefCell<BTreeMap<u64, u64>>,
    newest: Cell<Option<CommittedVersion>>,
    /// What the operators take for the newest version.
    current: RefCell<ConfigChange>,
    next_number: Cell<u64>,
    response_losses: ActiveFaults,
}

impl Operators {
    /// Creates the operators of a system with these control nodes.
    pub fn new(plan: &Plan, controls: ControlAddresses, oracle: &Rc<Oracle>, seed: u64) -> Rc<Self> {
        let rng = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
        let response_losses = ActiveFaults::default();
        Rc::new(Operators {
            plan: plan.clone(),
            control: ControlClient::new(controls, Rc::clone(&rng), response_losses.clone()),
            oracle: Rc::clone(oracle),
            rng,
            sent: RefCell::default(),
            winners: RefCell::default(),
            newest: Cell::new(None),
            current: RefCell::new(ConfigChange::none()),
            next_number: Cell::new(1),
            response_losses,
        })
    }

    /// Begins a fault in which many responses to operators are lost.
    pub fn begin_response_losses(&self) -> ActiveFault {
        self.response_losses.begin()
    }

    /// Returns the newest version that is known to be committed.
    pub fn newest(&self) -> Option<CommittedVersion> {
        self.newest.get()
    }

    /// Puts the first configuration; false where it is not acknowledged.
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

    /// Changes the configuration until it is aborted; at times two operators race, or a document is invalid.
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

    async fn change_once(&self, repeats: bool) {
        let change = self.next_change();
        if !self.send_until_answered(&change).await {
            self.read_current().await;
        } else if repeats {
            self.send_again(&change).await;
        }
    }

    /// Returns the next change of the newest version that is known.
    fn next_change(&self) -> ConfigChange {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let version_step = self.rng.borrow_mut().random_range(1..4);
        self.current.borrow().next(number, version_step)
    }

    fn put_call(&self, change: &ConfigChange) -> Call {
        let body = Bytes::from(change.document(&self.plan).to_string());
        Call::put_config(change.builds_on, body)
    }

    /// Sends a change until it has a definite answer; whether it was acknowledged.
    async fn send_until_answered(&self, change: &ConfigChange) -> bool {
        let call = self.put_call(change);
        let sent = SentChange { change: change.clone(), state: ChangeState::Unclear };
        self.sent.borrow_mut().insert(change.number, sent);
        let began_at = Instant::now();
        while began_at.elapsed() < CHANGE_TIMEOUT {
            let response = self.control.call_any(&call).await;
            match response.map(|response| response.status()) {
                Some(StatusCode::OK) => {
                    self.acknowledged(change);
                    return true;
                }
                Some(status) if status.is_client_error() => {
                    self.refused(change);
                    return false;
                }
                _ => sleep(RETRY_PAUSE).await,
            }
        }
        self.oracle.count("order without a clear answer");
        false
    }

    fn set_state(&self, change: &ConfigChange, state: ChangeState) {
        if let Some(sent) = self.sent.borrow_mut().get_mut(&change.number) {
            sent.state = state;
        }
    }

    fn acknowledged(&self, change: &ConfigChange) {
        self.oracle.count("order acknowledged");
        self.set_state(change, ChangeState::Acknowledged);
        let before = self.winners.borrow_mut().insert(change.builds_on, change.number);
        if let Some(before) = before.filter(|before| *before != change.number) {
            let details = format!("orders {before} and {} upon version {}", change.number, change.builds_on);
            self.oracle.violated(Invariant::OneChangePerVersion, details);
        }
        self.note_committed(change.rev);
        if self.current.borrow().rev < change.rev {
            self.current.replace(change.clone());
        }
    }

    fn refused(&self, change: &ConfigChange) {
        self.oracle.count("order refused");
        self.set_state(change, ChangeState::Refused);
    }

    /// What was acknowledged or read is committed, and nothing older is read from then on.
    fn note_committed(&self, rev: u64) {
        if self.newest.get().is_none_or(|newest| newest.rev < rev) {
            self.newest.set(Some(CommittedVersion { rev, known_at: Instant::now() }));
        }
    }

    /// Two operators change the same version at the same time.
    async fn race(&self) {
        let (first, mut second) = (self.next_change(), self.next_change());
        if self.rng.borrow_mut().random_bool(0.5) {
            second.rev = first.rev;
        }
        let (first_acknowledged, second_acknowledged) =
            tokio::join!(self.send_until_answered(&first), self.send_until_answered(&second));
        if first_acknowledged && second_acknowledged {
            let details = "both of a race were acknowledged".to_owned();
            self.oracle.violated(Invariant::OneChangePerVersion, details);
        }
        self.read_current().await;
    }

    /// Sends an acknowledged change again, with no other sent since.
    async fn send_again(&self, change: &ConfigChange) {
        let response = self.control.call_any(&self.put_call(change)).await;
        let status = response.map(|response| response.status());
        if let Some(status) = status.filter(hyper::StatusCode::is_client_error) {
            let details = format!("order {}: {status}", change.number);
            self.oracle.violated(Invariant::RetryAcknowledged, details);
        }
    }

    async fn send_invalid(&self) {
        let change = self.next_change();
        let kind = self.rng.borrow_mut().random_range(0..InvalidDocument::ALL.len());
        let invalid = InvalidDocument::ALL[kind];
        let call = Call::put_config(change.builds_on, invalid.of(&change, &self.plan).into());
        let response = self.control.call_any(&call).await;
        if response.is_some_and(|response| response.status().is_success()) {
            let details = format!("an invalid document of kind {invalid:?}");
            self.oracle.violated(Invariant::InvalidConfigRejected, details);
        }
    }

    // ---- Purges ----

    /// Changes and purges objects until it is aborted.
    pub async fn purge_objects(self: Rc<Self>, ledger: Rc<Ledger>) {
        loop {
            let pause = self.rng.borrow_mut().random_range(PURGE_PAUSE_MS);
            let object = self.rng.borrow_mut().random_range(1..=PURGED_OBJECTS);
            sleep(Duration::from_millis(pause)).await;
            let path = format!("/{}/{object}", self.plan.classes[0].name);
            let old_version = ledger.change(&path);
            if self.purge(&path).await {
                self.oracle.count("purge acknowledged");
                ledger.purged(&path, old_version);
            } else {
                self.oracle.count("purge without an answer");
            }
        }
    }

    /// Sends a purge until it is acknowledged; false where it is not in time.
    async fn purge(&self, path: &str) -> bool {
        let body = json!({ "hostname": crate::plan::ROUTE_HOST, "urlPath": path }).to_string();
        let call = Call { method: Method::POST, path: "/api/purge", builds_on: None, body: body.into() };
        let began_at = Instant::now();
        while began_at.elapsed() < PURGE_TIMEOUT {
            let response = self.control.call_any(&call).await;
            if response.is_some_and(|response| response.status().is_success()) {
                return true;
            }
            sleep(RETRY_PAUSE).await;
        }
        false
    }
}
