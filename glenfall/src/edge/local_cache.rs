//! The edge's own cache of hot objects, and the recent purges that keep outdated responses out of it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{AgedPurge, Purge};
use tokio::time::Instant;

use crate::cache::{Cache, ObjectKey, StoredResponse};

/// For this long after a purge no response that it names is stored. A shield may receive the purge later than this
/// edge, and a response from before it may be in flight.
pub const PURGE_BARRIER_TIME: Duration = Duration::from_secs(3);
/// Bound on the purges remembered for [`PURGE_BARRIER_TIME`]. With more of them, all objects count as purged.
pub const MAX_RECENT_PURGES: usize = 1024;
/// Number of the newest purges that a stored response is checked against when it is served.
const CHECKED_PURGES: usize = 8;

struct RecentPurge {
    received: Instant,
    purge: Purge,
}

impl RecentPurge {
    fn is_expired(&self) -> bool {
        self.received.elapsed() >= PURGE_BARRIER_TIME
    }

    fn names(&self, object: &ObjectKey, copy: &StoredResponse) -> bool {
        match &self.purge {
            Purge::Everything => true,
            Purge::Label(label) => copy.has_label(label),
            Purge::Object { hostname, path } => object.matches_location(hostname, path),
        }
    }
}

/// Stored responses of this edge, and the purges of the last [`PURGE_BARRIER_TIME`].
pub(super) struct LocalCache {
    responses: RefCell<Cache>,
    /// The oldest first.
    recent_purges: RefCell<VecDeque<RecentPurge>>,
}

impl LocalCache {
    /// An empty cache that uses at most this many bytes.
    pub fn new(max_bytes: usize) -> Self {
        LocalCache { responses: RefCell::new(Cache::new(max_bytes)), recent_purges: RefCell::default() }
    }

    /// The stored response for an object, whatever its age.
    pub fn get(&self, object: &ObjectKey) -> Option<Rc<StoredResponse>> {
        self.responses.borrow_mut().get(object)
    }

    /// Stores a response, unless a recent purge names it.
    pub fn store(&self, object: &ObjectKey, copy: StoredResponse) {
        let mut recent_purges = self.recent_purges.borrow_mut();
        while recent_purges.front().is_some_and(RecentPurge::is_expired) {
            recent_purges.pop_front();
        }
        if !recent_purges.iter().any(|recent| recent.names(object, &copy)) {
            self.responses.borrow_mut().insert(object.clone(), Rc::new(copy));
        }
    }

    /// Removes what the purges name, and keeps it out for [`PURGE_BARRIER_TIME`].
    pub fn purge(&self, purges: &[AgedPurge]) {
        let received = Instant::now();
        let mut recent_purges = self.recent_purges.borrow_mut();
        for aged in purges {
            self.responses.borrow_mut().purge(aged);
            // The shields have received a purge that is older than this as well.
            if Duration::from_millis(aged.age_ms) < PURGE_BARRIER_TIME {
                recent_purges.push_back(RecentPurge { received, purge: aged.purge.clone() });
            }
        }
        if recent_purges.len() > MAX_RECENT_PURGES {
            recent_purges.clear();
            recent_purges.push_back(RecentPurge { received, purge: Purge::Everything });
        }
    }

    /// Checks the invariant that a served response is named by none of the newest purges.
    pub fn check_not_purged(&self, object: &ObjectKey, copy: &StoredResponse) {
        let recent_purges = self.recent_purges.borrow();
        let newest = recent_purges.iter().rev().take(CHECKED_PURGES);
        let is_purged = newest.filter(|recent| !recent.is_expired()).any(|recent| recent.names(object, copy));
        Invariant::CopyNotPurged.check(!is_purged, || format!("{object:?}"));
    }

    /// How many purges are remembered.
    pub fn recent_purge_count(&self) -> usize {
        self.recent_purges.borrow().len()
    }
}
