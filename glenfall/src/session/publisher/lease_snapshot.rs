//! The sessions that hold a lease at some moment, to check later whether a purge was acknowledged too early.

use glenfall_control_plane::Millis;

use super::session::{Session, SessionId};
use super::sessions::Sessions;

/// A session and its lease at some moment.
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
            let lease_end = self.leases.end(now, *id)?;
            Some(LeasedSession { id: *id, sent: session.sent(), lease_end })
        };
        self.by_id.borrow().iter().filter_map(leased).collect()
    }

    /// The nodes of those of these sessions that are still there, whose leases of then have neither ended nor been released,
    /// and that have not applied what they had been sent. A lease that was granted since follows that on the same
    /// connection.
    pub fn lease_holders_behind(&self, leased: &[LeasedSession]) -> Vec<String> {
        let now = self.leases.now();
        let sessions = self.by_id.borrow();
        leased
            .iter()
            .filter(|then| now < then.lease_end && self.has_lease(now, then.id))
            .filter_map(|then| sessions.get(&then.id).filter(|session| !session.has_applied(then.sent)))
            .map(|session| session.node().to_owned())
            .collect()
    }
}
