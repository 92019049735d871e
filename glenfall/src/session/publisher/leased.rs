//! Sessions with their leases at some moment, to see later whether a purge was acknowledged too early.

use glenfall_control_plane::Millis;

use super::{Session, Sessions};

/// A session and its lease at some moment.
pub struct LeasedSession {
    id: u64,
    sent: u64,
    until: Millis,
}

impl Sessions {
    /// The sessions that hold a lease, each with the number of the last change that it was sent.
    pub fn leased(&self) -> Vec<LeasedSession> {
        let (all, grants, now) = (self.all.borrow(), self.grants.borrow(), self.now());
        let leased = |(id, session): (&u64, &Session)| {
            grants.ends(now, id).map(|until| LeasedSession { id: *id, sent: session.sent, until })
        };
        all.iter().filter_map(leased).collect()
    }

    /// Those of these sessions that stand, whose leases of then are neither over nor given back, and that have not applied
    /// what they had been sent. A lease that was granted since follows that on the same connection.
    pub fn still_behind(&self, leased: &[LeasedSession]) -> Vec<String> {
        let (all, grants, now) = (self.all.borrow(), self.grants.borrow(), self.now());
        let standing = leased.iter().filter(|then| now < then.until && grants.ends(now, &then.id).is_some());
        let behind =
            standing.filter_map(|then| all.get(&then.id).filter(|session| session.applied < then.sent));
        behind.map(|session| session.node.clone()).collect()
    }
}
