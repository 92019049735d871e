//! Requests to several peers at once, matched with their acknowledgements by correlation ids.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::messages::{CallId, PeerMessage};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::links::PeerLinks;

/// Why a request was not acknowledged by all peers that it was sent to.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A peer disconnected before it acknowledged; it may have sessions that were not notified.
    #[error("peer {disconnected} disconnected; request not acknowledged by {unacknowledged:?}")]
    Disconnected {
        /// The peer that disconnected.
        disconnected: Ipv4Addr,
        /// All peers that had not acknowledged, in order.
        unacknowledged: Vec<Ipv4Addr>,
    },
    /// Not all peers acknowledged within the time limit.
    #[error("request not acknowledged within the time limit by {unacknowledged:?}")]
    TimedOut {
        /// The peers that had not acknowledged, in order.
        unacknowledged: Vec<Ipv4Addr>,
    },
}

/// A request whose sender waits for acknowledgements.
struct PendingRequest {
    unacknowledged: BTreeSet<Ipv4Addr>,
    /// Peers whose acknowledgement covers every process that may use a lease that they granted.
    complete_peers: Vec<Ipv4Addr>,
    /// The first peer that disconnected before it acknowledged.
    disconnected: Option<Ipv4Addr>,
}

impl PendingRequest {
    fn new(peers: &[Ipv4Addr]) -> Self {
        PendingRequest {
            unacknowledged: peers.iter().copied().collect(),
            complete_peers: Vec::new(),
            disconnected: None,
        }
    }

    fn is_resolved(&self) -> bool {
        self.unacknowledged.is_empty() || self.disconnected.is_some()
    }

    fn into_result(self) -> Result<Vec<Ipv4Addr>, RequestError> {
        let unacknowledged = Vec::from_iter(self.unacknowledged);
        match self.disconnected {
            Some(disconnected) => Err(RequestError::Disconnected { disconnected, unacknowledged }),
            None if unacknowledged.is_empty() => Ok(self.complete_peers),
            None => Err(RequestError::TimedOut { unacknowledged }),
        }
    }
}

/// Requests to several peers.
///
/// Owns the pending requests and the correlation ids. Each pending request belongs to one waiting caller and is removed
/// when that caller stops waiting, for whatever reason. A request fails when a peer disconnects before it acknowledges,
/// even if that peer reconnects later.
pub struct PeerRequests {
    links: Rc<PeerLinks>,
    pending: RefCell<BTreeMap<u64, PendingRequest>>,
    next_id: Cell<u64>,
    /// Signals that a pending request may have completed or failed.
    progress: Notify,
}

/// Guard that removes a pending request when its caller stops waiting, also when the caller's future is cancelled.
struct PendingGuard<'a> {
    requests: &'a PeerRequests,
    id: u64,
}

impl PendingGuard<'_> {
    fn finish(&self) -> Option<PendingRequest> {
        self.requests.pending.borrow_mut().remove(&self.id)
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.finish();
    }
}

impl PeerRequests {
    /// Starts without pending requests. Requests are sent on `links`.
    pub fn new(links: Rc<PeerLinks>) -> Self {
        PeerRequests { links, pending: RefCell::default(), next_id: Cell::new(1), progress: Notify::new() }
    }

    /// Sends a request to these peers and waits until each has acknowledged it. Returns those whose acknowledgement was
    /// complete: it covers every process that may use a lease that the peer granted.
    ///
    /// # Errors
    ///
    /// When a peer disconnects before it acknowledges, or not all peers acknowledge within `time_limit`.
    pub async fn send_to_all(
        &self,
        peers: &[Ipv4Addr],
        request: impl Fn(CallId) -> PeerMessage,
        time_limit: Duration,
    ) -> Result<Vec<Ipv4Addr>, RequestError> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.pending.borrow_mut().insert(id, PendingRequest::new(peers));
        let guard = PendingGuard { requests: self, id };
        let incarnation = self.links.local().incarnation;
        for peer in peers {
            self.links.send(*peer, request(CallId { incarnation, number: id }));
        }
        // The result is read from the pending request, whether the wait timed out or not.
        let _ = timeout(time_limit, self.wait_until_resolved(id)).await;
        guard.finish().unwrap_or_else(|| PendingRequest::new(peers)).into_result()
    }

    async fn wait_until_resolved(&self, id: u64) {
        loop {
            let progress = self.progress.notified();
            if self.pending.borrow().get(&id).is_none_or(PendingRequest::is_resolved) {
                return;
            }
            progress.await;
        }
    }

    /// Records an acknowledgement of a peer.
    pub fn acknowledged(&self, peer: Ipv4Addr, id: CallId, complete: bool) {
        if id.incarnation != self.links.local().incarnation {
            tracing::debug!(%peer, "acknowledgement ignored: the request was sent by an earlier incarnation");
            return;
        }
        if let Some(request) = self.pending.borrow_mut().get_mut(&id.number) {
            if request.unacknowledged.remove(&peer) && complete {
                request.complete_peers.push(peer);
            }
        }
        self.progress.notify_waiters();
    }

    /// Fails the requests that a peer has not acknowledged, as sessions at that peer may not have been notified.
    pub fn peer_disconnected(&self, peer: Ipv4Addr) {
        for request in self.pending.borrow_mut().values_mut() {
            if request.disconnected.is_none() && request.unacknowledged.contains(&peer) {
                request.disconnected = Some(peer);
            }
        }
        self.progress.notify_waiters();
    }
}
