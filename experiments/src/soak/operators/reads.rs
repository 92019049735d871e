//! Reads of the configuration, each of which is checked against the changes sent and acknowledged so far.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rand::Rng;
use serde_json::Value;
use tokio::time::{sleep, Instant};

use super::calls::Call;
use super::changes::{change_number, ConfigChange};
use super::{ChangeState, CommittedVersion, Operators, SentChange, CHANGE_TIMEOUT, RETRY_PAUSE};
use crate::soak::oracle::Invariant;

/// Range of pauses between reads, in milliseconds.
const READ_PAUSE_MS: std::ops::Range<u64> = 100..500;

impl Operators {
    /// Reads the configuration from random control nodes. Runs until it is aborted.
    pub async fn read_config(self: Rc<Self>) {
        loop {
            let node = self.control.any_node();
            let pause = self.rng.borrow_mut().random_range(READ_PAUSE_MS);
            let _ = self.read_at(node).await;
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Reads the configuration until a control node returns it, and bases the next change on it.
    pub(super) async fn refresh_current(&self) {
        let began_at = Instant::now();
        while began_at.elapsed() < CHANGE_TIMEOUT {
            let node = self.control.any_node();
            if let Some(change) = self.read_at(node).await {
                // A change that is read is committed, whatever response its sender got.
                self.current.replace(change);
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the newest configuration from each control node, and reports nodes that do not return it in time.
    pub async fn read_back(&self, timeout: Duration) {
        for node in 0..self.control.node_count() {
            let began_at = Instant::now();
            while self.read_at(node).await.is_none() {
                if began_at.elapsed() > timeout {
                    let details =
                        format!("control node {node} did not return the configuration after the run");
                    self.oracle.record_violation(Invariant::LinearizableRead, details);
                    break;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Reads the configuration from a control node, checks it, and returns the change that made it. `None` if the
    /// node returns no configuration, or one that was never sent.
    async fn read_at(&self, node: usize) -> Option<ConfigChange> {
        let newest_before = self.newest.get();
        let response = self.control.call(node, &Call::get_config()).await?;
        if response.status() != StatusCode::OK {
            self.check_failed_read(response.status(), newest_before);
            return None;
        }
        self.oracle.count("read succeeded");
        let document: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        self.check_read_version(node, &document, newest_before);
        let change = self.check_read_document(&document)?;
        self.record_committed(change.rev);
        Some(change)
    }

    fn check_failed_read(&self, status: StatusCode, newest_before: Option<CommittedVersion>) {
        self.oracle.count(if status.is_server_error() { "read failed (5xx)" } else { "read failed (4xx)" });
        if newest_before.is_some() && status.is_client_error() {
            let details = format!("a read failed with {status} although a version is committed");
            self.oracle.record_violation(Invariant::LinearizableRead, details);
        }
    }

    fn check_read_version(&self, node: usize, document: &Value, newest_before: Option<CommittedVersion>) {
        let rev = document["rev"].as_u64().unwrap_or(0);
        if let Some(before) = newest_before.filter(|before| rev < before.rev) {
            let details = format!(
                "version {rev} read from control node {node} although version {} is committed",
                before.rev
            );
            self.oracle.record_violation(Invariant::LinearizableRead, details);
        }
    }

    /// Checks that a document is identical to that of a change that was not rejected, and returns the change.
    fn check_read_document(&self, document: &Value) -> Option<ConfigChange> {
        let rev = document["rev"].as_u64().unwrap_or(0);
        let number = change_number(document);
        let sent = number.and_then(|number| self.sent.borrow().get(&number).cloned());
        let Some(SentChange { change, state }) = sent else {
            let details = format!("version {rev} with change number {number:?} was never sent");
            self.oracle.record_violation(Invariant::ReadDocumentWasSent, details);
            return None;
        };
        if state == ChangeState::Rejected || *document != change.document(&self.plan) {
            let details = format!(
                "version {rev}, change {}: rejected or different from what was sent ({state:?})",
                change.number
            );
            self.oracle.record_violation(Invariant::ReadDocumentWasSent, details);
        }
        Some(change)
    }
}
