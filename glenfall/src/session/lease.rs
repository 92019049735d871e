//! The lease that lets a process serve stored responses, as its holder has it: by the holder's own monotonic clock, and
//! checked whenever a stored response is served.

use std::cell::Cell;
use std::time::Duration;

use glenfall_control_plane::lease::Lease;
use glenfall_control_plane::Millis;
use tokio::time::Instant;

/// A lease, and the clock of its holder.
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
    /// The reading of the holder's clock, which a request for a renewal has to name.
    pub fn now(&self) -> Millis {
        self.clock_start.elapsed().as_millis() as Millis
    }

    /// Takes a lease of `duration` that was granted upon a request sent at the reading `sent_at` of the clock.
    pub fn renew(&self, sent_at: Millis, duration: Millis) {
        let mut lease = self.lease.get();
        lease.renew(self.now(), sent_at, duration);
        self.lease.set(lease);
    }

    /// Gives up the lease.
    pub fn end(&self) {
        self.lease.set(Lease::default());
    }

    /// The end of the lease; not later than now where there is none.
    pub fn until(&self) -> Instant {
        self.clock_start + Duration::from_millis(self.lease.get().expires_at())
    }

    /// Whether the lease is valid now.
    pub fn is_valid(&self) -> bool {
        self.lease.get().is_valid(self.now())
    }
}
