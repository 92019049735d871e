//! Batches server heartbeats that change no status, and relays them to peers. Each heartbeat keeps a server in the
//! registry of every control node for four heartbeat intervals, so that a short delay does no harm. One message carries
//! the heartbeats of many servers, and is sent together with a heartbeat of the chain, so that it causes no wakeup of
//! its own at a peer.

use std::cell::RefCell;

use glenfall_control_plane::messages::PeerMessage;
use glenfall_control_plane::registry::{ObservedServer, ServerEntry};
use glenfall_control_plane::Millis;

/// Limit on the heartbeats that wait to be sent. While no peer is connected, none are sent, and none need to be.
pub const MAX_PENDING_HEARTBEATS: usize = 1024;

/// A heartbeat that has not been sent to peers yet.
struct PendingHeartbeat {
    entry: ServerEntry,
    received_at: Millis,
}

/// The heartbeats that wait to be sent to peers.
///
/// Holds at most [`MAX_PENDING_HEARTBEATS`], in the order in which they were received, and at most one per server.
#[derive(Default)]
pub struct HeartbeatRelay {
    pending: RefCell<Vec<PendingHeartbeat>>,
}

impl HeartbeatRelay {
    /// Adds a heartbeat, which replaces an earlier one of the same server. If the limit is reached, the oldest is
    /// dropped.
    pub fn add(&self, now: Millis, entry: ServerEntry) {
        let mut pending = self.pending.borrow_mut();
        pending.retain(|earlier| earlier.entry.id != entry.id);
        if pending.len() >= MAX_PENDING_HEARTBEATS {
            pending.remove(0);
        }
        pending.push(PendingHeartbeat { entry, received_at: now });
    }

    /// Removes all heartbeats and returns them as one message. `None` if there are none.
    pub fn take(&self, now: Millis) -> Option<PeerMessage> {
        let pending = self.pending.take();
        if pending.is_empty() {
            return None;
        }
        let with_age = |heartbeat: PendingHeartbeat| ObservedServer {
            entry: heartbeat.entry,
            age_ms: now.saturating_sub(heartbeat.received_at),
        };
        Some(PeerMessage::Servers(pending.into_iter().map(with_age).collect()))
    }
}
