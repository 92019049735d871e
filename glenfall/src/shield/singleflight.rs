//! Request collapsing (singleflight): reads of one object that miss while it is being fetched share that fetch.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use glenfall_control_plane::messages::Purge;
use tokio::sync::watch;

use super::fetch_result::FetchEnd;
use crate::cache::{ObjectKey, StoredResponse};

/// Bound on the fetches in flight; reads that miss beyond it are rejected.
const MAX_FETCHES: usize = 1024;

/// Receives the end of a fetch.
pub(super) type FetchReceiver = watch::Receiver<Option<FetchEnd>>;

/// [`MAX_FETCHES`] fetches are in flight.
pub(super) struct TooManyFetches;

/// A fetch in flight that reads may share.
struct SharedFetch {
    receiver: FetchReceiver,
    purges: Rc<PurgesDuringFetch>,
}

/// The purges received since a fetch began: the response that it brings may be older than they are.
#[derive(Default)]
struct PurgesDuringFetch {
    labels: RefCell<Vec<String>>,
    /// The object itself was purged.
    object: Cell<bool>,
}

impl PurgesDuringFetch {
    fn name(&self, copy: &StoredResponse) -> bool {
        self.object.get() || self.labels.borrow().iter().any(|label| copy.has_label(label))
    }
}

/// A fetch that has begun, as the task that carries it out has it.
pub(super) struct StartedFetch {
    key: ObjectKey,
    sender: watch::Sender<Option<FetchEnd>>,
    purges: Rc<PurgesDuringFetch>,
}

impl StartedFetch {
    /// Whether a purge that was received since the fetch began names what it has brought.
    pub fn is_purged(&self, copy: &StoredResponse) -> bool {
        self.purges.name(copy)
    }

    /// Hands the end of the fetch to all reads that wait for it.
    pub fn publish(self, end: FetchEnd) {
        self.sender.send_replace(Some(end));
    }
}

/// The fetches in flight.
#[derive(Default)]
pub(super) struct SingleFlight {
    /// Fetches that reads may share, by what they fetch.
    shared: RefCell<HashMap<ObjectKey, SharedFetch>>,
    /// The number of all fetches in flight, those included that are no longer shared because of a purge.
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

    /// Ends a fetch: no read shares it from now on. A purge may have removed it before, and another fetch of the same
    /// object may have begun, which goes on.
    pub fn finish(&self, fetch: &StartedFetch) {
        self.in_flight.set(self.in_flight.get() - 1);
        let mut shared = self.shared.borrow_mut();
        if shared.get(&fetch.key).is_some_and(|known| Rc::ptr_eq(&known.purges, &fetch.purges)) {
            shared.remove(&fetch.key);
        }
    }

    /// Notes a purge at the fetches in flight. Fetches of an object that is purged itself are no longer shared; whether
    /// a response has a purged label shows when it has arrived.
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
                    fetch.purges.object.set(true);
                }
            }
            Purge::Everything => {
                for (_, fetch) in shared.drain() {
                    fetch.purges.object.set(true);
                }
            }
        }
    }
}
