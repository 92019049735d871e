//! Beats of servers that say nothing new, gathered for the peers. Each keeps a server on every control node's list for four
//! beats, so that a moment's delay costs nothing; one message with a heartbeat of the chain carries those of many servers,
//! and wakes a peer that is woken anyway.

use std::cell::RefCell;

use glenfall_control_plane::messages::PeerMessage;
use glenfall_control_plane::registry::{ObservedServer, ServerEntry};
use glenfall_control_plane::Millis;

/// Beats that are gathered at most: where no heartbeats go out, as no peer is there, they need not be told.
pub const MOST: usize = 1024;

/// Beats that peers have not been told of, each with when it was heard.
#[derive(Default)]
pub struct BeatRelay(RefCell<Vec<(ServerEntry, Millis)>>);

impl BeatRelay {
    /// Gathers a beat, in place of an earlier one of the same server. Where there are too many, the oldest goes.
    pub fn add(&self, now: Millis, entry: ServerEntry) {
        let mut beats = self.0.borrow_mut();
        beats.retain(|(earlier, _)| earlier.id != entry.id);
        if beats.len() >= MOST {
            beats.remove(0);
        }
        beats.push((entry, now));
    }

    /// What peers are to be told, if anything.
    pub fn take(&self, now: Millis) -> Option<PeerMessage> {
        let beats = self.0.take();
        let aged = |(entry, heard)| ObservedServer { entry, age_ms: now.saturating_sub(heard) };
        (!beats.is_empty()).then(|| PeerMessage::Servers(beats.into_iter().map(aged).collect()))
    }
}
