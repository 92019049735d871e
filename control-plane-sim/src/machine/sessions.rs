//! The sessions that wait at a process for their configuration. A session is served once a quorum read that the node
//! began after the session opened has returned.

use glenfall_control_plane::Millis;

/// A read that has not returned within this time is retried.
const READ_RETRY_INTERVAL: Millis = 150;

/// A session that has not received a configuration yet.
pub(crate) struct WaitingSession {
    /// The position among the sessions that were opened at this process, starting at 1.
    number: u64,
    /// The newest version that was acknowledged when the session opened.
    pub(crate) acknowledged: u64,
}

/// The last read for waiting sessions.
struct LastRead {
    began_at: Millis,
    /// The number of the newest session that the read covers.
    newest_session: u64,
}

/// The sessions that wait at one process.
#[derive(Default)]
pub(crate) struct SessionQueue {
    waiting: Vec<WaitingSession>,
    opened_count: u64,
    last_read: Option<LastRead>,
}

impl SessionQueue {
    pub(crate) fn open(&mut self, acknowledged: u64) {
        self.opened_count += 1;
        self.waiting.push(WaitingSession { number: self.opened_count, acknowledged });
    }

    /// Returns the number of the newest waiting session, if a read has to begin for it now.
    pub(crate) fn due_read(&self, now: Millis) -> Option<u64> {
        let newest = self.waiting.last()?.number;
        let in_flight = self
            .last_read
            .as_ref()
            .is_some_and(|read| read.newest_session >= newest && now < read.began_at + READ_RETRY_INTERVAL);
        (!in_flight).then_some(newest)
    }

    pub(crate) fn record_read(&mut self, now: Millis, newest_session: u64) {
        self.last_read = Some(LastRead { began_at: now, newest_session });
    }

    /// Removes and returns the sessions that a read covers, which are those up to number `newest_session`.
    pub(crate) fn take_covered(&mut self, newest_session: u64) -> Vec<WaitingSession> {
        self.waiting.extract_if(.., |session| session.number <= newest_session).collect()
    }
}
