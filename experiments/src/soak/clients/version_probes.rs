//! Probes whether an edge has applied a configuration version. Each version adds a route, so a probe requests that
//! route.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use tokio::time::{sleep, Instant};

use super::{ClientRequest, Clients};
use crate::soak::fault_history::FaultKind;
use crate::soak::operators::{host_of_version, CommittedVersion};
use crate::soak::oracle::Invariant;

/// Pause between two probes of an edge.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time from the acknowledgement of a version until every edge has applied it: `applyMs`, plus a margin for a
/// busy machine.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(3500);

impl Clients {
    /// Probes an edge for the newest version. Runs until it is aborted.
    pub async fn probe_versions(self: Rc<Self>, edge: usize) {
        loop {
            sleep(PROBE_INTERVAL).await;
            if let Some(newest) = self.operators.newest() {
                self.probe_version(edge, newest).await;
            }
        }
    }

    async fn probe_version(&self, edge: usize, version: CommittedVersion) {
        let probed = &self.edges[edge];
        let (restarts_before, sent_at) = (probed.restart_count(), Instant::now());
        let Some(status) = self.send_probe(edge, version.rev).await else { return };
        let has_restarted = probed.restart_count() != restarts_before;
        if has_restarted || !self.history.is_free_of(FaultKind::Unplanned, probed.machine, sent_at) {
            return;
        }
        if status == StatusCode::NOT_FOUND {
            self.check_unapplied_version(edge, version, sent_at);
        } else if status.is_success() {
            // Other statuses prove nothing: an edge without any configuration returns 503.
            probed.record_applied_version(version.rev);
        }
    }

    async fn send_probe(&self, edge: usize, rev: u64) -> Option<StatusCode> {
        let class = &self.plan.classes[0];
        let request = ClientRequest {
            method: Method::GET,
            host: &host_of_version(rev),
            path: &format!("/{}/1", class.name),
            id: &format!("probe-{:x}", self.next_number()),
            deadline: Duration::from_millis(class.deadline_ms),
        };
        let response = self.exchange(edge, &request).await.ok()?;
        Some(response.status())
    }

    fn check_unapplied_version(&self, edge: usize, version: CommittedVersion, sent_at: Instant) {
        let CommittedVersion { rev, known_at } = version;
        self.oracle.count("probe: version not applied yet");
        let is_newest = self.operators.newest().is_some_and(|newest| newest.rev == rev);
        if self.edges[edge].has_applied(rev) && is_newest {
            self.oracle.record_violation(
                Invariant::NoVersionRollback,
                format!("edge {edge} no longer has version {rev}"),
            );
        }
        if sent_at > known_at + PROPAGATION_TIMEOUT && self.in_contact_since(edge, sent_at) {
            let after_ms = (sent_at - known_at).as_millis();
            let details =
                format!("edge {edge} has not applied version {rev}, {after_ms} ms after its acknowledgement");
            self.oracle.record_violation(Invariant::VersionPropagated, details);
        }
    }
}
