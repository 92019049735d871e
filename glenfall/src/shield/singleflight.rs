//! Request collapsing (singleflight): reads that miss while their object is being fetched share that fetch.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use glenfall_control_plane::messages::Purge;
use tokio::sync::watch;

use super::fetch_result::FetchResult;
use crate::cache::{ObjectKey, StoredResponse};

/// Maximum number of fetches in flight; reads that would start another are rejected.
const MAX_FETCHES: usize = 1024;

/// Receives the result of a fetch; `None` until the fetch has ended.
pub(super) type FetchReceiver = watch::Receiver<Option<FetchResult>>;

/// No fetch can be started, as [`MAX_FETCHES`] are in flight.
pub(super) struct TooManyFetches;

/// A fetch in flight that reads may share.
struct SharedFetch {
    receiver: FetchReceiver,
    purges: Rc<PurgesDuringFetch>,
}

/// The purges received since a fetch began. Its response may be older than they are.
#[derive(Default)]
struct PurgesDuringFetch {
    labels: RefCell<Vec<String>>,
    /// Whether the object itself was purged.
    object_purged: Cell<bool>,
}

impl PurgesDuringFetch {
    fn cover(&self, response: &StoredResponse) -> bool {
        self.object_purged.get() || self.labels.borrow().iter().any(|label| response.has_label(label))
    }
}

/// A fetch that has begun, as held by the task that carries it out.
pub(super) struct StartedFetch {
    key: ObjectKey,
    sender: watch::Sender<Option<FetchResult>>,
    purges: Rc<PurgesDuringFetch>,
}

impl StartedFetch {
    /// Whether a purge that was received since the fetch began covers its response.
    pub fn is_purged(&self, response: &StoredResponse) -> bool {
        self.purges.cover(response)
    }

    /// Sends the result of the fetch to all reads that wait for it.
    pub fn publish(self, result: FetchResult) {
        self.sender.send_replace(Some(result));
    }
}

/// The fetches in flight.
#[derive(Default)]
pub(super) struct SingleFlight {
    /// Fetches that reads may share, by object.
    shared: RefCell<HashMap<ObjectKey, SharedFetch>>,
    /// The number of all fetches in flight, including those that are no longer shared because of a purge.
    in_flight: Cell<usize>,
}

impl SingleFlight {
    /// The fetch in flight for an object, if reads may share it.
    pub fn join(&self, key: &ObjectKey) -> Option<FetchReceiver> {
        self.shared.borrow().get(key).map(|fetch| fetch.receiver.clone())
    }

    /// Begins a fetch that reads may share from now on.
    pub fn start(&self, key: &ObjectKey) -> Result<(StartedFetch, FetchReceiver), TooManyFetches> {
        if self.in_flight.get() >= MAX_FETCHES {
            return Err(TooManyFetches);
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let (sender, receiver) = watch::channel(None);
        let purges = Rc::new(PurgesDuringFetch::default());
        let shared = SharedFetch { receiver: receiver.clone(), purges: Rc::clone(&purges) };
        self.shared.borrow_mut().insert(key.clone(), shared);
        Ok((StartedFetch { key: key.clone(), sender, purges }, receiver))
    }

    /// Ends a fetch: no read joins it from now on. If a purge has already removed it, a newer fetch of the same object
    /// may be in flight, which stays shared.
    pub fn finish(&self, fetch: &StartedFetch) {
        self.in_flight.set(self.in_flight.get() - 1);
        let mut shared = self.shared.borrow_mut();
        if shared.get(&fetch.key).is_some_and(|current| Rc::ptr_eq(&current.purges, &fetch.purges)) {
            shared.remove(&fetch.key);
        }
    }

    /// Records a purge for the fetches in flight. Fetches of a purged object are no longer shared. Whether a response
    /// has a purged label is known only once it has arrived.
    pub fn purge(&self, purge: &Purge) {
        let mut shared = self.shared.borrow_mut();
        match purge {
            Purge::Label(label) => {
                for fetch in shared.values() {
                    fetch.purges.labels.borrow_mut().push(label.clone());
                }
            }
            Purge::Object { hostname, path } => {
                for (_, fetch) in shared.extract_if(|key, _| key.matches_location(hostname, path)) {
                    fetch.purges.object_purged.set(true);
                }
            }
            Purge::Everything => {
                for (_, fetch) in shared.drain() {
                    fetch.purges.object_purged.set(true);
                }
            }
        }
    }
}
