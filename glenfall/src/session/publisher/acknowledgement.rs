//! Waits until sessions have applied the updates sent to them, or can no longer serve stored responses.

use std::time::Duration;

use glenfall_control_plane::Millis;
use tokio::time::{timeout, timeout_at, Instant};

use super::session::{Session, SessionId};
use super::sessions::Sessions;

/// The last update that a session has to acknowledge, which covers all before it.
struct PendingAcknowledgement {
    session: SessionId,
    number: u64,
}

impl PendingAcknowledgement {
    /// A number that no session reaches. It stands for the updates of a session that has ended, which will never be
    /// acknowledged.
    const UNREACHABLE_NUMBER: u64 = u64::MAX;
}

impl Sessions {
    /// Waits until every session has applied the updates sent to it before the call, or has ended. Returns false if that
    /// takes longer than `time_limit`.
    pub async fn wait_until_applied(&self, time_limit: Duration) -> bool {
        let mut pending = self.pending_of_all();
        let is_applied = timeout(time_limit, self.await_acknowledgements(&mut pending)).await.is_ok();
        self.record_overdue(&pending);
        is_applied
    }

    async fn await_acknowledgements(&self, pending: &mut Vec<PendingAcknowledgement>) {
        loop {
            let acknowledged = self.acknowledged.notified();
            // Updates stay applied, so that a session that is done is not checked again at each acknowledgement of others.
            while pending.pop_if(|last| self.is_applied_or_ended(last)).is_some() {}
            if pending.is_empty() {
                return;
            }
            acknowledged.await;
        }
    }

    /// Waits until no session can serve a response that is invalidated by a purge pushed before the call. That is so once
    /// each session that was granted a lease has applied its updates, or its lease has ended. Returns false if that takes
    /// longer than `time_limit`.
    ///
    /// Sessions that are overdue are granted no lease until they have applied their updates, so that the next caller does
    /// not wait long for them.
    pub async fn wait_until_purged(&self, time_limit: Duration) -> bool {
        let deadline = Instant::now() + time_limit;
        let mut pending = self.pending_of_lease_holders();
        loop {
            let acknowledged = self.acknowledged.notified();
            let now = self.leases.now();
            while pending.pop_if(|last| self.is_purged(now, last)).is_some() {}
            let Some(last) = pending.last() else { return true };
            let wait_end = self.lease_end(now, last.session).min(deadline);
            let is_timed_out = timeout_at(wait_end, acknowledged).await.is_err();
            if is_timed_out && Instant::now() >= deadline {
                pending.retain(|entry| !self.is_purged(self.leases.now(), entry));
                self.record_overdue(&pending);
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

    /// When a session's lease ends; now if it has none.
    fn lease_end(&self, now: Millis, session: SessionId) -> Instant {
        let end = self.leases.expiry(now, session).unwrap_or(now);
        Instant::now() + Duration::from_millis(end - now)
    }

    /// Records the sessions that have not applied their pending updates.
    fn record_overdue(&self, pending: &[PendingAcknowledgement]) {
        let sessions = self.by_id.borrow();
        for PendingAcknowledgement { session: id, number } in pending {
            if sessions.get(id).is_some_and(|session| !session.has_applied(*number)) {
                self.overdue.record(*id, *number);
            }
        }
    }
}
