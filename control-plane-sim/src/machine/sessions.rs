//! The sessions that wait at a process for their configuration: a node hands a session its configuration once a quorum
//! read that it began after the session opened has returned.

use glenfall_control_plane::Millis;

/// A read that has not returned within this time is followed by another.
const READ_RETRY_INTERVAL: Millis = 150;

/// A session that has not been handed a configuration yet.
pub(crate) struct WaitingSession {
    /// Counts the sessions of this process.
    number: u64,
    /// The newest version that was acknowledged when the session opened.
    pub(crate) acknowledged: u64,
}

/// The last read for waiting sessions.
struct LastRead {
    began_at: Millis,
    /// The newest session that it covers.
    newest: u64,
}

/// The sessions that wait at one process.
#[derive(Default)]
pub(crate) struct SessionQueue {
    waiting: Vec<WaitingSession>,
    opened: u64,
    last_read: Option<LastRead>,
}

impl SessionQueue {
    pub(crate) fn open(&mut self, acknowledged: u64) {
        self.opened += 1;
        self.waiting.push(WaitingSession { number: self.opened, acknowledged });
    }

    /// Returns the newest waiting session, if a read has to begin for it now.
    pub(crate) fn due_read(&self, now: Millis) -> Option<u64> {
        let newest = self.waiting.last()?.number;
        let in_flight = self
            .last_read
            .as_ref()
            .is_some_and(|read| read.newest >= newest && now < read.began_at + READ_RETRY_INTERVAL);
        (!in_flight).then_some(newest)
    }

    pub(crate) fn read_began(&mut self, now: Millis, newest: u64) {
        self.last_read = Some(LastRead { began_at: now, newest });
    }

    /// Removes and returns the sessions that a read covers.
    pub(crate) fn take_covered(&mut self, newest: u64) -> Vec<WaitingSession> {
        self.waiting.extract_if(.., |session| session.number <= newest).collect()
    }
}
