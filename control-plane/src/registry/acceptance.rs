//! Record of when this node could accept heartbeats.
//!
//! A missing heartbeat is evidence of a crashed server only while this node could have accepted one. The node cannot do so
//! while its process is stopped, and while it rejects heartbeats because it has no quorum. Both are *downtime* here.

use crate::Millis;

/// A longer time between two updates means that the process was stopped, and may have missed heartbeats. The value is
/// shorter than a heartbeat interval, and longer than a busy machine takes between two updates.
const STALL_THRESHOLD: Millis = 400;

/// Downtime of this node.
#[derive(Default)]
pub(super) struct HeartbeatAcceptance {
    /// Time of the last update.
    updated_at: Option<Millis>,
    /// Sum of all downtime so far.
    total_downtime: Millis,
    /// Length of the downtime that lasts until now; 0 while the node accepts heartbeats.
    current_downtime: Millis,
    /// End of the last downtime that was long enough to miss a heartbeat of every server.
    accepting_since: Millis,
}

impl HeartbeatAcceptance {
    /// Records whether this node accepts heartbeats now. The time since the last update counts as downtime if it does not,
    /// or if that time is so long that the process was stopped. Downtime of a heartbeat interval or more restarts
    /// [`accepting_since`](Self::accepting_since).
    pub(super) fn update(&mut self, now: Millis, accepting: bool, heartbeat_interval: Millis) {
        let elapsed = now.saturating_sub(self.updated_at.unwrap_or(now));
        self.updated_at = Some(now);
        if accepting && elapsed < STALL_THRESHOLD {
            self.current_downtime = 0;
            return;
        }
        self.total_downtime += elapsed;
        self.current_downtime += elapsed;
        if self.current_downtime >= heartbeat_interval {
            self.accepting_since = now;
        }
    }

    /// Sum of all downtime so far. The difference of two readings is the downtime between them.
    pub(super) fn total_downtime(&self) -> Millis {
        self.total_downtime
    }

    /// End of the last downtime that was long enough to miss a heartbeat of every server; 0 where there was none.
    pub(super) fn accepting_since(&self) -> Millis {
        self.accepting_since
    }
}
