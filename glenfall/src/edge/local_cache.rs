//! The edge's local cache of hot objects, and the recent purges that keep outdated responses out of it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{AgedPurge, Purge};
use tokio::time::Instant;

use crate::cache::{Cache, ObjectKey, StoredResponse};

/// Time after a purge during which no response that it matches is stored. A shield may receive the purge later than
/// this edge, and a response from before the purge may be in flight.
pub const PURGE_BARRIER_TIME: Duration = Duration::from_secs(3);
/// Maximum number of purges that are kept for [`PURGE_BARRIER_TIME`]. Beyond it, all objects count as purged.
pub const MAX_RECENT_PURGES: usize = 1024;
/// How many of the newest purges a stored response is checked against when it is served.
const CHECKED_PURGES: usize = 8;

struct RecentPurge {
    received: Instant,
    purge: Purge,
}

impl RecentPurge {
    fn is_expired(&self) -> bool {
        self.received.elapsed() >= PURGE_BARRIER_TIME
    }

    fn matches(&self, object: &ObjectKey, stored: &StoredResponse) -> bool {
        match &self.purge {
            Purge::Everything => true,
            Purge::Label(label) => stored.has_label(label),
            Purge::Object { hostname, path } => object.matches_location(hostname, path),
        }
    }
}

/// The stored responses of this edge, and the purges of the last [`PURGE_BARRIER_TIME`].
pub(super) struct LocalCache {
    responses: RefCell<Cache>,
    /// Ordered by arrival, the oldest first.
    recent_purges: RefCell<VecDeque<RecentPurge>>,
}

impl LocalCache {
    /// An empty cache that holds at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        LocalCache { responses: RefCell::new(Cache::new(max_bytes)), recent_purges: RefCell::default() }
    }

    /// The stored response for an object, whatever its age.
    pub fn get(&self, object: &ObjectKey) -> Option<Rc<StoredResponse>> {
        self.responses.borrow_mut().get(object)
    }

    /// Stores a response, unless a recent purge matches it.
    pub fn store(&self, object: &ObjectKey, stored: StoredResponse) {
        let mut recent_purges = self.recent_purges.borrow_mut();
        while recent_purges.front().is_some_and(RecentPurge::is_expired) {
            recent_purges.pop_front();
        }
        if !recent_purges.iter().any(|recent| recent.matches(object, &stored)) {
            self.responses.borrow_mut().insert(object.clone(), Rc::new(stored));
        }
    }

    /// Removes the responses that the purges match, and stores none of them again within [`PURGE_BARRIER_TIME`].
    pub fn purge(&self, purges: &[AgedPurge]) {
        let received = Instant::now();
        let mut recent_purges = self.recent_purges.borrow_mut();
        for aged in purges {
            self.responses.borrow_mut().purge(aged);
            // An older purge has reached the shields as well.
            if Duration::from_millis(aged.age_ms) < PURGE_BARRIER_TIME {
                recent_purges.push_back(RecentPurge { received, purge: aged.purge.clone() });
            }
        }
        if recent_purges.len() > MAX_RECENT_PURGES {
            recent_purges.clear();
            recent_purges.push_back(RecentPurge { received, purge: Purge::Everything });
        }
    }

    /// Checks the invariant that none of the newest purges matches a served response.
    pub fn check_not_purged(&self, object: &ObjectKey, stored: &StoredResponse) {
        let recent_purges = self.recent_purges.borrow();
        let newest = recent_purges.iter().rev().take(CHECKED_PURGES);
        let is_purged =
            newest.filter(|recent| !recent.is_expired()).any(|recent| recent.matches(object, stored));
        Invariant::CopyNotPurged.check(!is_purged, || format!("{object:?}"));
    }

    /// The number of purges that are kept.
    pub fn recent_purge_count(&self) -> usize {
        self.recent_purges.borrow().len()
    }
}
