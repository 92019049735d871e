//! Request collapsing (singleflight): reads that miss while their object is being fetched share that fetch.
//!
//! A fetch may return content from before a purge that was received while it was in flight. A purge of an object ends the
//! sharing of its fetch. Whether a response has a purged label is known only once it has arrived: until then reads go on
//! joining the fetch, and those that joined after the purge don't use a response that it covers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use glenfall_control_plane::messages::{AgedPurge, Purge};
use tokio::sync::watch;

use super::fetch_result::{FetchOutcome, FetchResult};
use crate::cache::{FetchStart, ObjectKey, PurgePosition, PurgeTarget, RecentPurges, StoredResponse};

/// Maximum number of fetches in flight; reads that would start another are rejected.
const MAX_FETCHES: usize = 1024;

/// Receives the result of a fetch; `None` until the fetch has ended.
pub(super) type FetchReceiver = watch::Receiver<Option<FetchResult>>;

/// No fetch can be started, as [`MAX_FETCHES`] are in flight.
pub(super) struct TooManyFetches;

/// A fetch in flight that reads may share.
struct SharedFetch {
    number: u64,
    receiver: FetchReceiver,
    start: FetchStart,
}

/// A fetch that has begun, as held by the task that carries it out.
pub(super) struct StartedFetch {
    key: ObjectKey,
    /// Identifies the fetch among all fetches of this process.
    number: u64,
    sender: watch::Sender<Option<FetchResult>>,
    start: FetchStart,
}

impl StartedFetch {
    /// Sends the result of the fetch to all reads that wait for it.
    pub fn publish(self, result: FetchResult) {
        self.sender.send_replace(Some(result));
    }
}

/// A read's share in the fetch of another read.
pub(super) struct JoinedFetch {
    /// Receives the result.
    pub receiver: FetchReceiver,
    start: FetchStart,
    joined_at: PurgePosition,
}

/// The fetches in flight, and the recent purges that their responses may be older than.
#[derive(Default)]
pub(super) struct SingleFlight {
    /// Fetches that reads may share, by object.
    shared: RefCell<HashMap<ObjectKey, SharedFetch>>,
    purges: RefCell<RecentPurges>,
    /// The number of all fetches in flight, including those that are no longer shared because of a purge.
    in_flight: Cell<usize>,
    /// The number of fetches that were ever started.
    started_count: Cell<u64>,
}

impl SingleFlight {
    /// Joins the fetch in flight for an object, if reads may share it.
    pub fn join(&self, key: &ObjectKey) -> Option<JoinedFetch> {
        let joined_at = self.purges.borrow().position();
        let shared = self.shared.borrow();
        let fetch = shared.get(key)?;
        Some(JoinedFetch { receiver: fetch.receiver.clone(), start: fetch.start, joined_at })
    }

    /// Begins a fetch that reads may share from now on.
    pub fn start(&self, key: &ObjectKey) -> Result<(StartedFetch, FetchReceiver), TooManyFetches> {
        if self.in_flight.get() >= MAX_FETCHES {
            return Err(TooManyFetches);
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let number = self.started_count.replace(self.started_count.get() + 1);
        let (sender, receiver) = watch::channel(None);
        let start = self.purges.borrow().fetch_start();
        let shared = SharedFetch { number, receiver: receiver.clone(), start };
        self.shared.borrow_mut().insert(key.clone(), shared);
        Ok((StartedFetch { key: key.clone(), number, sender, start }, receiver))
    }

    /// Ends a fetch: no read joins it from now on. If a purge has already removed it, a newer fetch of the same object
    /// may be in flight, which stays shared.
    pub fn finish(&self, fetch: &StartedFetch) {
        self.in_flight.set(self.in_flight.get() - 1);
        let mut shared = self.shared.borrow_mut();
        if shared.get(&fetch.key).is_some_and(|current| current.number == fetch.number) {
            shared.remove(&fetch.key);
        }
    }

    /// Records a purge for the fetches in flight. Fetches of a purged object are no longer shared.
    pub fn purge(&self, purge: &AgedPurge) {
        let Some(accepted_by) = self.purges.borrow_mut().record(purge) else { return };
        let mut shared = self.shared.borrow_mut();
        match &purge.purge {
            Purge::Label(_) => {}
            Purge::Object { hostname, path } => shared
                .retain(|key, fetch| fetch.start.at > accepted_by || !key.matches_location(hostname, path)),
            Purge::Everything => shared.retain(|_, fetch| fetch.start.at > accepted_by),
        }
    }

    /// Whether a purge that was received since the fetch began covers its response, which must then not be stored.
    pub fn is_purged(&self, fetch: &StartedFetch, response: &StoredResponse) -> bool {
        let purges = self.purges.borrow();
        let target = PurgeTarget { object: &fetch.key, labels: &response.labels };
        purges.cover_fetch(target, fetch.start, purges.position())
    }

    /// Whether the response of a joined fetch may be older than a purge that was received before the read joined it. The
    /// read must not use it then. Failures are used: they have no content.
    pub fn is_outdated(&self, key: &ObjectKey, joined: &JoinedFetch, outcome: &FetchOutcome) -> bool {
        let purges = self.purges.borrow();
        match outcome {
            FetchOutcome::Storable(response) => {
                let target = PurgeTarget { object: key, labels: &response.labels };
                purges.cover_fetch(target, joined.start, joined.joined_at)
            }
            FetchOutcome::Uncacheable(response) if response.status().is_success() => {
                let labels: Vec<&str> = response.labels().collect();
                let target = PurgeTarget { object: key, labels: &labels };
                purges.cover_fetch(target, joined.start, joined.joined_at)
            }
            FetchOutcome::Uncacheable(_)
            | FetchOutcome::Rejected(_)
            | FetchOutcome::Unknown(_)
            | FetchOutcome::TimedOut(_) => false,
        }
    }
}
