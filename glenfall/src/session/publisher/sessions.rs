//! The table of a publisher's sessions: pushes updates to all of them, grants them leases, and ends those that are overdue.

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

/// Maximum number of sessions of one node, enough for all proxies of a large system.
pub(super) const MAX_SESSIONS: usize = 1024;
/// How long a session may be overdue before it is ended. Its subscriber then opens a new one.
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

/// When a session that has been granted a lease is granted the next one.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum GrantTrigger {
    /// At each request of the session.
    #[default]
    Request,
    /// Whenever the publisher's own lease is renewed.
    OwnRenewal,
}

impl Sessions {
    /// The sessions of an agent with the proxies on its machine: their leases are renewed whenever its own lease is.
    pub fn for_relay() -> Self {
        Sessions { grant_trigger: GrantTrigger::OwnRenewal, ..Sessions::default() }
    }

    /// Sets the end of this process's own lease, which bounds the leases of its sessions. The end is an instant and not a
    /// remaining time, so that a pause of the process before this call makes no lease longer.
    ///
    /// If the process had no lease, sessions that have requested one meanwhile are granted it now. Otherwise a shield would
    /// have none until its next request, and edges that hold one would reject its stored responses.
    pub fn set_own_lease_end(&self, lease_end: Instant) {
        let had_lease = self.leases.has_own_lease();
        self.leases.set_own_expiry(lease_end);
        if self.grant_trigger == GrantTrigger::OwnRenewal || !had_lease {
            for (id, session) in self.by_id.borrow().iter() {
                let _ = self.grant(*id, session);
            }
        }
    }

    /// Grants a session a lease for its last request; false if it has not requested one, is overdue, or this process has no
    /// lease.
    pub(super) fn grant(&self, id: SessionId, session: &Session) -> bool {
        let Some(request) = session.lease_request() else { return false };
        if self.overdue.contains(id) {
            return false;
        }
        let Some(duration) = self.leases.grant(id, request.received_at) else { return false };
        session.send(PublisherMessage::LeaseGranted { sent_at: request.sent_at, duration })
    }

    /// The time until all leases of sessions have ended; `None` if no session has one.
    pub fn time_until_last_lease_end(&self) -> Option<Duration> {
        let now = self.leases.now();
        let end = self.leases.last_expiry(now)?;
        Some(Duration::from_millis(end - now))
    }

    /// Pushes an update to all sessions. A configuration goes only to those that have been sent the newest one.
    pub fn push(&self, update: &Update) {
        // A session whose queue is full would miss this update, yet acknowledge it with the next one. It is ended, and its
        // subscriber receives the complete state on a new session.
        self.by_id
            .borrow_mut()
            .retain(|_, session| !session.receives(update) || session.push(update.clone()));
    }

    /// Sends a message other than an update to all sessions.
    pub fn broadcast(&self, message: &PublisherMessage) {
        for session in self.by_id.borrow().values() {
            // A session whose queue is full is ended by the next update.
            let _ = session.send(message.clone());
        }
    }

    /// Ends the sessions that have been overdue for at least `overdue_for`. Updates that nothing has waited for do not
    /// count as overdue.
    pub fn end_overdue(&self, overdue_for: Duration) {
        for id in self.overdue.remove_overdue_for(overdue_for) {
            if let Some(session) = self.by_id.borrow_mut().remove(&id) {
                tracing::warn!(node = %session.node(), "session ended: updates were not acknowledged in time");
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
        self.leases.expiry(now, id).is_some()
    }

    pub(super) fn next_id(&self) -> SessionId {
        SessionId(self.next_id.replace(self.next_id.get() + 1))
    }
}
