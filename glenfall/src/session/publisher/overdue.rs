//! Sessions that have not applied updates in time. They are granted no lease until they have applied them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::session::SessionId;

/// The updates that a session had not applied when a wait for them timed out.
struct OverdueUpdates {
    first: u64,
    /// When `first` became overdue, or when the session applied the update that was `first` before.
    since: Instant,
    last: u64,
}

/// The overdue updates of all sessions.
#[derive(Default)]
pub(super) struct OverdueSessions {
    by_session: RefCell<BTreeMap<SessionId, OverdueUpdates>>,
}

impl OverdueSessions {
    pub(super) fn contains(&self, session: SessionId) -> bool {
        self.by_session.borrow().contains_key(&session)
    }

    /// Records that a wait for an update has timed out.
    pub(super) fn record(&self, session: SessionId, number: u64) {
        let mut by_session = self.by_session.borrow_mut();
        let new = OverdueUpdates { first: number, since: Instant::now(), last: number };
        let overdue = by_session.entry(session).or_insert(new);
        overdue.last = overdue.last.max(number);
    }

    /// Records that a session has applied the updates up to the number `applied`. Returns true if the session was overdue
    /// and no longer is.
    pub(super) fn acknowledge(&self, session: SessionId, applied: u64) -> bool {
        let mut by_session = self.by_session.borrow_mut();
        let Some(overdue) = by_session.get_mut(&session) else { return false };
        if applied >= overdue.last {
            by_session.remove(&session);
            return true;
        }
        if applied >= overdue.first {
            overdue.first = overdue.last;
            overdue.since = Instant::now();
        }
        false
    }

    pub(super) fn remove(&self, session: SessionId) {
        self.by_session.borrow_mut().remove(&session);
    }

    /// Removes and returns the sessions that have been overdue for at least `duration`.
    pub(super) fn remove_overdue_for(&self, duration: Duration) -> Vec<SessionId> {
        let exceeds_duration =
            |_: &SessionId, overdue: &mut OverdueUpdates| overdue.since.elapsed() >= duration;
        self.by_session.borrow_mut().extract_if(.., exceeds_duration).map(|(session, _)| session).collect()
    }
}
