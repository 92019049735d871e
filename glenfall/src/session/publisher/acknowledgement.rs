//! Waits until sessions have applied what they were sent, or can't serve stored responses any more.

use std::time::Duration;

use glenfall_control_plane::Millis;
use tokio::time::{timeout, timeout_at, Instant};

use super::session::{Session, SessionId};
use super::sessions::Sessions;

/// An update that a session has to acknowledge, with all before it.
struct PendingAcknowledgement {
    session: SessionId,
    number: u64,
}

impl PendingAcknowledgement {
    /// The number that no session reaches: what a session that has ended was sent is not acknowledged any more.
    const UNREACHABLE_NUMBER: u64 = u64::MAX;
}

impl Sessions {
    /// Waits until every session has applied what it was sent before the call, or has ended; false where that takes longer
    /// than `most`.
    pub async fn wait_until_applied(&self, most: Duration) -> bool {
        let mut pending = self.pending_of_all();
        let is_complete = timeout(most, self.await_acknowledgements(&mut pending)).await.is_ok();
        self.note_overdue(&pending);
        is_complete
    }

    async fn await_acknowledgements(&self, pending: &mut Vec<PendingAcknowledgement>) {
        loop {
            let acknowledged = self.acknowledged.notified();
            // What is applied stays applied: each session is looked at once, and not at each message of any other.
            while pending.pop_if(|last| self.is_applied_or_ended(last)).is_some() {}
            if pending.is_empty() {
                return;
            }
            acknowledged.await;
        }
    }

    /// Waits until no session that was ever granted a lease can serve what a purge that was pushed before ends: each has
    /// applied what it was sent, or its lease has ended; false where that takes longer than `most`.
    ///
    /// Sessions that are overdue are granted no lease until they have applied it, so that the next caller does not wait for
    /// them for long.
    pub async fn wait_until_purged(&self, most: Duration) -> bool {
        let deadline = Instant::now() + most;
        let mut pending = self.pending_of_lease_holders();
        loop {
            let acknowledged = self.acknowledged.notified();
            let now = self.leases.now();
            while pending.pop_if(|last| self.is_purged(now, last)).is_some() {}
            let Some(last) = pending.last() else { return true };
            let wait_end = self.lease_end(now, last.session).min(deadline);
            let is_timed_out = timeout_at(wait_end, acknowledged).await.is_err();
            if is_timed_out && Instant::now() >= deadline {
                pending.retain(|one| !self.is_purged(self.leases.now(), one));
                self.note_overdue(&pending);
                return pending.is_empty();
            }
        }
    }

    fn pending_of_all(&self) -> Vec<PendingAcknowledgement> {
        let pending = |(id, session): (&SessionId, &Session)| PendingAcknowledgement {
            session: *id,
            number: session.sent(),
        };
        self.by_id.borrow().iter().map(pending).collect()
    }

    fn pending_of_lease_holders(&self) -> Vec<PendingAcknowledgement> {
        let sessions = self.by_id.borrow();
        let pending = |id| PendingAcknowledgement {
            session: id,
            number: sessions.get(&id).map_or(PendingAcknowledgement::UNREACHABLE_NUMBER, Session::sent),
        };
        self.leases.holders().into_iter().map(pending).collect()
    }

    fn is_applied_or_ended(&self, pending: &PendingAcknowledgement) -> bool {
        let sessions = self.by_id.borrow();
        sessions.get(&pending.session).is_none_or(|session| session.has_applied(pending.number))
    }

    fn is_purged(&self, now: Millis, pending: &PendingAcknowledgement) -> bool {
        let sessions = self.by_id.borrow();
        let is_applied =
            sessions.get(&pending.session).is_some_and(|session| session.has_applied(pending.number));
        is_applied || !self.has_lease(now, pending.session)
    }

    /// The moment when a session's lease ends.
    fn lease_end(&self, now: Millis, session: SessionId) -> Instant {
        let end = self.leases.end(now, session).unwrap_or(now);
        Instant::now() + Duration::from_millis(end - now)
    }

    /// Notes which sessions have not applied what was waited for.
    fn note_overdue(&self, pending: &[PendingAcknowledgement]) {
        let sessions = self.by_id.borrow();
        for PendingAcknowledgement { session: id, number } in pending {
            if sessions.get(id).is_some_and(|session| !session.has_applied(*number)) {
                self.overdue.note(*id, *number);
            }
        }
    }
}
