//! Reads of the configuration, each of which is checked against what was sent and acknowledged before.

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

/// Pauses between reads, in milliseconds.
const READ_PAUSE_MS: std::ops::Range<u64> = 100..500;

impl Operators {
    /// Reads the configuration at any node until it is aborted.
    pub async fn read_config(self: Rc<Self>) {
        loop {
            let node = self.control.any_node();
            let pause = self.rng.borrow_mut().random_range(READ_PAUSE_MS);
            let _ = self.read_at(node).await;
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Reads until some node answers which change is committed.
    pub(super) async fn read_current(&self) {
        let began_at = Instant::now();
        while began_at.elapsed() < CHANGE_TIMEOUT {
            let node = self.control.any_node();
            if let Some(change) = self.read_at(node).await {
                // What is read is committed, whatever its sender was answered.
                self.current.replace(change);
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the newest configuration at each node.
    pub async fn read_back(&self, timeout: Duration) {
        for node in 0..self.control.node_count() {
            let began_at = Instant::now();
            while self.read_at(node).await.is_none() {
                if began_at.elapsed() > timeout {
                    let details = format!("nothing is read at node {node} in the end");
                    self.oracle.violated(Invariant::LinearizableRead, details);
                    break;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Reads the configuration at a node, checks it against what was acknowledged before, and returns the change that made
    /// it. `None` where the node does not answer.
    async fn read_at(&self, node: usize) -> Option<ConfigChange> {
        let newest_before = self.newest.get();
        let response = self.control.call(node, &Call::get_config()).await?;
        if response.status() != StatusCode::OK {
            self.check_failed_read(response.status(), newest_before);
            return None;
        }
        self.oracle.count("read answered");
        let document: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        self.check_read_version(node, &document, newest_before);
        let change = self.check_read_document(&document)?;
        self.note_committed(change.rev);
        Some(change)
    }

    fn check_failed_read(&self, status: StatusCode, newest_before: Option<CommittedVersion>) {
        self.oracle.count(if status.is_server_error() { "read refused" } else { "read: 4xx" });
        if newest_before.is_some() && status.is_client_error() {
            let details = format!("{status} after an acknowledgement");
            self.oracle.violated(Invariant::LinearizableRead, details);
        }
    }

    fn check_read_version(&self, node: usize, document: &Value, newest_before: Option<CommittedVersion>) {
        let rev = document["rev"].as_u64().unwrap_or(0);
        if let Some(before) = newest_before.filter(|before| rev < before.rev) {
            let details = format!("{rev} at node {node}, after {} was acknowledged", before.rev);
            self.oracle.violated(Invariant::LinearizableRead, details);
        }
    }

    /// Checks that a document is as some change sent it, and returns the change.
    fn check_read_document(&self, document: &Value) -> Option<ConfigChange> {
        let rev = document["rev"].as_u64().unwrap_or(0);
        let number = change_number(document);
        let sent = number.and_then(|number| self.sent.borrow().get(&number).cloned());
        let Some(SentChange { change, state }) = sent else {
            let details = format!("version {rev} with mark {number:?} was never sent");
            self.oracle.violated(Invariant::ReadDocumentWasSent, details);
            return None;
        };
        if state == ChangeState::Refused || *document != change.document(&self.plan) {
            let details = format!("version {rev}, order {}: {state:?}, not as sent", change.number);
            self.oracle.violated(Invariant::ReadDocumentWasSent, details);
        }
        Some(change)
    }
}
