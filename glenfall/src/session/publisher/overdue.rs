//! Sessions that have not applied updates that were waited for. They are granted no lease until they have.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::session::SessionId;

/// The updates that a session has not applied though they were waited for.
struct OverdueUpdates {
    first: u64,
    /// Since when the first of them is overdue.
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

    /// Notes that an update was waited for in vain.
    pub(super) fn note(&self, session: SessionId, number: u64) {
        let mut by_session = self.by_session.borrow_mut();
        let new = OverdueUpdates { first: number, since: Instant::now(), last: number };
        let overdue = by_session.entry(session).or_insert(new);
        overdue.last = overdue.last.max(number);
    }

    /// Notes which updates a session has applied. True where it was overdue and is not any more.
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

    /// Removes and returns the sessions that are overdue for so long.
    pub(super) fn take_behind_for(&self, duration: Duration) -> Vec<SessionId> {
        let is_behind = |_: &SessionId, overdue: &mut OverdueUpdates| overdue.since.elapsed() >= duration;
        self.by_session.borrow_mut().extract_if(.., is_behind).map(|(session, _)| session).collect()
    }
}
