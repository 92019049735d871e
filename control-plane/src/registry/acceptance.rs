//! Tracks when this node could accept heartbeats.
//!
//! A missing heartbeat indicates a crashed server only if this node could have accepted one. The node cannot do so
//! while its process is stopped, or while it rejects heartbeats because it has no quorum. In this module, both are
//! *downtime*.

use crate::Millis;

/// If two updates are this far apart or more, the process is considered to have been stopped between them, and may have
/// missed heartbeats. This is shorter than a heartbeat interval, and longer than the time between two updates on a busy
/// machine.
const STALL_THRESHOLD: Millis = 400;

/// Downtime of this node.
#[derive(Default)]
pub(super) struct HeartbeatAcceptance {
    /// Time of the last update.
    updated_at: Option<Millis>,
    /// Sum of all downtime since the process started.
    total_downtime: Millis,
    /// Length of the ongoing downtime; 0 while the node accepts heartbeats.
    current_downtime: Millis,
    /// End of the last downtime of at least one heartbeat interval, in which a heartbeat of every server may have been
    /// missed.
    accepting_since: Millis,
}

impl HeartbeatAcceptance {
    /// Records whether this node accepts heartbeats now. The time since the last update counts as downtime if it does
    /// not, or if that time is so long that the process was stopped. Downtime of a heartbeat interval or more restarts
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

    /// Sum of all downtime since the process started. The difference between two results is the downtime between the
    /// calls.
    pub(super) fn total_downtime(&self) -> Millis {
        self.total_downtime
    }

    /// End of the last downtime of at least one heartbeat interval; 0 if there was none.
    pub(super) fn accepting_since(&self) -> Millis {
        self.accepting_since
    }
}
