//! The leases that a publisher grants to its sessions. None outlasts the lease that the publisher itself holds.

use std::cell::{Cell, RefCell};

use glenfall_control_plane::lease::Grants;
use glenfall_control_plane::Millis;
use tokio::time::Instant;

use super::session::SessionId;

/// The granted leases, measured on the publisher's own clock.
pub(super) struct SessionLeases {
    clock_start: Instant,
    own_expiry: Cell<Millis>,
    /// Leases by session, also of sessions that have ended.
    grants: RefCell<Grants<SessionId>>,
}

impl Default for SessionLeases {
    fn default() -> Self {
        SessionLeases { clock_start: Instant::now(), own_expiry: Cell::new(0), grants: RefCell::default() }
    }
}

impl SessionLeases {
    pub(super) fn now(&self) -> Millis {
        self.clock_start.elapsed().as_millis() as Millis
    }

    /// Whether the publisher itself holds a lease.
    pub(super) fn has_own_lease(&self) -> bool {
        self.now() < self.own_expiry.get()
    }

    /// Sets the end of the publisher's own lease.
    pub(super) fn set_own_expiry(&self, end: Instant) {
        self.own_expiry.set(end.saturating_duration_since(self.clock_start).as_millis() as Millis);
    }

    /// Grants a lease for a request that was received at this reading of the clock. Returns its duration, counted from
    /// the request; `None` if the publisher has no lease itself.
    pub(super) fn grant(&self, holder: SessionId, received_at: Millis) -> Option<Millis> {
        self.grants.borrow_mut().grant_sublease(self.now(), holder, received_at, self.own_expiry.get())
    }

    pub(super) fn release(&self, holder: SessionId) {
        self.grants.borrow_mut().release(&holder);
    }

    /// The end of a session's lease; `None` if it has none.
    pub(super) fn expiry(&self, now: Millis, holder: SessionId) -> Option<Millis> {
        self.grants.borrow().expiry(now, &holder)
    }

    /// The end of the lease that ends last; `None` if there is none.
    pub(super) fn last_expiry(&self, now: Millis) -> Option<Millis> {
        self.grants.borrow().last_expiry(now, |_| true)
    }

    /// The sessions that hold leases, including sessions that have ended.
    pub(super) fn holders(&self) -> Vec<SessionId> {
        let now = self.now();
        let mut grants = self.grants.borrow_mut();
        grants.remove_expired(now);
        grants.holders(now).collect()
    }
}
