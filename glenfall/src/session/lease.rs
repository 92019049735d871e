//! The lease that a process holds on copies: by its own steady clock, and looked at whenever a copy is served.

use std::cell::Cell;
use std::time::Duration;

use glenfall_control_plane::lease::Lease;
use glenfall_control_plane::Millis;
use tokio::time::Instant;

/// A lease as its holder has it.
pub struct HeldLease {
    began: Instant,
    lease: Cell<Lease>,
}

impl Default for HeldLease {
    fn default() -> Self {
        HeldLease { began: Instant::now(), lease: Cell::default() }
    }
}

impl HeldLease {
    /// What a request for a renewal has to name.
    pub fn now(&self) -> Millis {
        self.began.elapsed().as_millis() as Millis
    }

    /// A lease was granted in answer to a request that was sent at this reading of the clock.
    pub fn renew(&self, sent: Millis, lasts: Millis) {
        let mut lease = self.lease.get();
        lease.renew(self.now(), sent, lasts);
        self.lease.set(lease);
    }

    /// It is given back, or void.
    pub fn end(&self) {
        self.lease.set(Lease::default());
    }

    /// Until when it stands.
    pub fn until(&self) -> Instant {
        self.began + Duration::from_millis(self.lease.get().until())
    }

    /// Whether it stands now.
    pub fn stands(&self) -> bool {
        self.lease.get().is_valid(self.now())
    }
}
