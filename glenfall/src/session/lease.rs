//! The holder's side of the lease that lets a process serve stored responses. Its expiry is measured on the holder's own
//! monotonic clock, and is checked whenever a stored response is served.

use std::cell::Cell;
use std::time::Duration;

use glenfall_control_plane::lease::Lease;
use glenfall_control_plane::Millis;
use tokio::time::Instant;

/// A lease, and the holder's clock on which its expiry is measured.
pub struct HeldLease {
    clock_start: Instant,
    lease: Cell<Lease>,
}

impl Default for HeldLease {
    fn default() -> Self {
        HeldLease { clock_start: Instant::now(), lease: Cell::default() }
    }
}

impl HeldLease {
    /// The reading of the holder's clock, in milliseconds. A request for a renewal carries it.
    pub fn now(&self) -> Millis {
        self.clock_start.elapsed().as_millis() as Millis
    }

    /// Renews the lease by a grant of `duration`, which counts from when its request was sent: `sent_at` on this clock.
    pub fn renew(&self, sent_at: Millis, duration: Millis) {
        let mut lease = self.lease.get();
        lease.renew(self.now(), sent_at, duration);
        self.lease.set(lease);
    }

    /// Ends the lease at once.
    pub fn end(&self) {
        self.lease.set(Lease::default());
    }

    /// When the lease expires; not later than now if there is none.
    pub fn expires_at(&self) -> Instant {
        self.clock_start + Duration::from_millis(self.lease.get().expires_at())
    }

    /// Whether there is a lease that has not expired.
    pub fn is_valid(&self) -> bool {
        self.lease.get().is_valid(self.now())
    }
}
