//! Snapshots of the sessions that hold a lease, to check later whether a purge was acknowledged too early.

use glenfall_control_plane::Millis;

use super::session::{Session, SessionId};
use super::sessions::Sessions;

/// A session and its lease when the snapshot was taken.
pub struct LeasedSession {
    id: SessionId,
    sent: u64,
    lease_end: Millis,
}

impl Sessions {
    /// The sessions that hold a lease, each with the number of the last update that it was sent.
    pub fn lease_holders(&self) -> Vec<LeasedSession> {
        let now = self.leases.now();
        let leased = |(id, session): (&SessionId, &Session)| {
            let lease_end = self.leases.expiry(now, *id)?;
            Some(LeasedSession { id: *id, sent: session.sent(), lease_end })
        };
        self.by_id.borrow().iter().filter_map(leased).collect()
    }

    /// The nodes of the sessions in a snapshot that still exist, still hold the lease that they had then, and have not
    /// applied the updates sent before it. Leases granted since need no check: they follow those updates on the same
    /// connection.
    pub fn lease_holders_not_applied(&self, leased: &[LeasedSession]) -> Vec<String> {
        let now = self.leases.now();
        let sessions = self.by_id.borrow();
        leased
            .iter()
            .filter(|entry| now < entry.lease_end && self.has_lease(now, entry.id))
            .filter_map(|entry| sessions.get(&entry.id).filter(|session| !session.has_applied(entry.sent)))
            .map(|session| session.node().to_owned())
            .collect()
    }
}
