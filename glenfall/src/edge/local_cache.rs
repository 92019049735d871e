//! The edge's local cache of hot objects, and the recent purges that keep outdated responses out of it.

use std::cell::RefCell;
use std::rc::Rc;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::AgedPurge;

use crate::cache::{Cache, ObjectKey, PurgeTarget, RecentPurges, StoredResponse};

/// How many of the newest purges a stored response is checked against when it is served.
const CHECKED_PURGES: usize = 8;

/// The stored responses of this edge, and the purges that it has received recently.
pub(super) struct LocalCache {
    responses: RefCell<Cache>,
    recent_purges: RefCell<RecentPurges>,
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

    /// Stores a response, unless a purge that this edge has received covers it and may be newer than its content. A shield
    /// may receive the purge later than this edge, and may still be waiting for a server that it asked before the purge.
    pub fn store(&self, object: &ObjectKey, stored: StoredResponse) {
        let fetched_at = stored.requested_at.get();
        let target = PurgeTarget { object, labels: &stored.labels };
        if !self.recent_purges.borrow().cover_fetched_at(target, fetched_at) {
            self.responses.borrow_mut().insert(object.clone(), Rc::new(stored));
        }
    }

    /// Removes the responses that the purges cover. None of them is stored again.
    pub fn purge(&self, purges: &[AgedPurge]) {
        let mut recent_purges = self.recent_purges.borrow_mut();
        for aged in purges {
            self.responses.borrow_mut().purge(aged);
            recent_purges.record(aged);
        }
    }

    /// Checks the invariant that none of the newest purges covers a served response.
    pub fn check_not_purged(&self, object: &ObjectKey, stored: &StoredResponse) {
        let target = PurgeTarget { object, labels: &stored.labels };
        let fetched_at = stored.requested_at.get();
        let is_purged =
            self.recent_purges.borrow().newest_cover_fetched_at(target, fetched_at, CHECKED_PURGES);
        Invariant::CopyNotPurged.check(!is_purged, || format!("{object:?}"));
    }

    /// The number of purges that are kept.
    pub fn recent_purge_count(&self) -> usize {
        self.recent_purges.borrow().len()
    }
}
