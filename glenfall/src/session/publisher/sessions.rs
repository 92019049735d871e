//! The table of a publisher's sessions: pushes updates to all of them, grants them leases, and ends those that are behind.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use glenfall_control_plane::messages::{Member, PublisherMessage, Update};
use glenfall_control_plane::Millis;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::leases::SessionLeases;
use super::overdue::OverdueSessions;
use super::session::{Session, SessionId};
use super::status::SessionStatus;

/// Most sessions of one node: all proxies of a large system.
pub(super) const MAX_SESSIONS: usize = 1024;
/// A session that has not applied for so long an update that was waited for is ended: its subscriber opens a new one.
pub const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_secs(5);

/// The sessions of one publisher.
#[derive(Default)]
pub struct Sessions {
    pub(super) by_id: RefCell<BTreeMap<SessionId, Session>>,
    next_id: Cell<u64>,
    /// Notified when a session has applied an update, has released its lease, or has ended.
    pub(super) acknowledged: Notify,
    pub(super) overdue: OverdueSessions,
    pub(super) leases: SessionLeases,
    pub(super) grant_trigger: GrantTrigger,
}

/// When sessions that have requested a lease once are granted another one.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum GrantTrigger {
    /// Upon each request.
    #[default]
    Request,
    /// Whenever the publisher's own lease is renewed.
    OwnRenewal,
}

impl Sessions {
    /// Sessions on the same machine, whose leases follow each renewal of this process's own lease at once.
    pub fn relaying() -> Self {
        Sessions { grant_trigger: GrantTrigger::OwnRenewal, ..Sessions::default() }
    }

    /// Sets the end of this process's own lease, of which the leases of sessions are part. The end is a moment and not a
    /// remaining time, so that a pause of the process before this call makes no lease longer.
    ///
    /// Where the process had no lease, sessions that have requested one meanwhile are granted it now: until they request it
    /// again, edges with a lease could not use their stored responses.
    pub fn set_own_lease_end(&self, until: Instant) {
        let had_lease = self.leases.has_own();
        self.leases.set_own_end(until);
        if self.grant_trigger == GrantTrigger::OwnRenewal || !had_lease {
            for (id, session) in self.by_id.borrow().iter() {
                let _ = self.grant(*id, session);
            }
        }
    }

    /// Grants a session a lease upon its last request; false where it has not requested one, is overdue, or this process has
    /// no lease.
    pub(super) fn grant(&self, id: SessionId, session: &Session) -> bool {
        let Some(request) = session.lease_request() else { return false };
        if self.overdue.contains(id) {
            return false;
        }
        let Some(duration) = self.leases.grant(id, request.received) else { return false };
        session.send(PublisherMessage::LeaseGranted { sent_at: request.sent_at, duration })
    }

    /// The time until the last lease of the sessions has ended; `None` where none has one.
    pub fn time_until_last_lease_end(&self) -> Option<Duration> {
        let now = self.leases.now();
        let end = self.leases.last_end(now)?;
        Some(Duration::from_millis(end - now))
    }

    /// Pushes an update to all sessions. Configurations go only to those that have been sent the newest one.
    pub fn push(&self, update: &Update) {
        // A session whose queue is full would miss this update, and acknowledge it with the next one: it ends here, and its
        // subscriber gets everything on a new one.
        self.by_id
            .borrow_mut()
            .retain(|_, session| !session.receives(update) || session.push(update.clone()));
    }

    /// Sends a message that is no update to all sessions.
    pub fn broadcast(&self, message: &PublisherMessage) {
        for session in self.by_id.borrow().values() {
            // A session that can't take it is ended by the next update.
            let _ = session.send(message.clone());
        }
    }

    /// Ends the sessions that have not applied for `behind_for` an update that was waited for in vain. What they were sent
    /// meanwhile is in flight, and does not count against them.
    pub fn end_overdue(&self, behind_for: Duration) {
        for id in self.overdue.take_behind_for(behind_for) {
            if let Some(session) = self.by_id.borrow_mut().remove(&id) {
                tracing::warn!(node = %session.node(), "session ended: it has not applied its updates in time");
            }
        }
    }

    /// The proxies of all sessions.
    pub fn members(&self) -> Vec<Member> {
        self.by_id.borrow().values().filter_map(|session| session.member().cloned()).collect()
    }

    /// All sessions, for `status`.
    pub fn statuses(&self) -> Vec<SessionStatus> {
        let now = self.leases.now();
        let sessions = self.by_id.borrow();
        sessions.iter().map(|(id, session)| session.status(self.has_lease(now, *id))).collect()
    }

    pub(super) fn has_lease(&self, now: Millis, id: SessionId) -> bool {
        self.leases.end(now, id).is_some()
    }

    pub(super) fn next_id(&self) -> SessionId {
        SessionId(self.next_id.replace(self.next_id.get() + 1))
    }
}
