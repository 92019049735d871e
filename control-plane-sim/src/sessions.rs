//! Sessions that open at nodes: a node hands a session its configuration once a quorum read that it began after the
//! opening has come back. What it hands over must not be older than what was acknowledged before the opening.

use glenfall_control_plane::chain::{Call, Chain, Outcome};
use glenfall_control_plane::Millis;

use crate::faults::Fault;
use crate::operators::Purpose;
use crate::violation::Violation;
use crate::world::World;

/// A read that has not come back by then is followed by another.
const READ_AGAIN: Millis = 150;

/// A session that has not been handed a configuration yet.
struct Opening {
    /// Counts the openings at this process.
    number: u64,
    /// The newest version that was acknowledged by then.
    acknowledged: u64,
}

/// The sessions that wait at one process.
#[derive(Default)]
pub(crate) struct Sessions {
    waiting: Vec<Opening>,
    opened: u64,
    /// When the last read began, and the newest opening before it.
    last_read: Option<(Millis, u64)>,
}

impl Sessions {
    /// The newest opening that waits, if a read has to begin for it now.
    fn due(&self, now: Millis) -> Option<u64> {
        let newest = self.waiting.last()?.number;
        let under_way =
            self.last_read.is_some_and(|(began, covers)| covers >= newest && now < began + READ_AGAIN);
        (!under_way).then_some(newest)
    }
}

impl World {
    /// A session opens at a node that runs, or waits for it to go on.
    pub fn open_session(&mut self, n: u8) {
        let acknowledged = self.newest();
        let machine = self.machine(n);
        if machine.chain.is_some() {
            machine.sessions.opened += 1;
            let number = machine.sessions.opened;
            machine.sessions.waiting.push(Opening { number, acknowledged });
        }
    }

    /// Begins a quorum read for the sessions that wait at a node; one serves all that have opened before it.
    pub(crate) fn read_for_sessions(&mut self, n: u8) {
        let now = self.now;
        let machine = self.machine(n);
        let Some(covers) = machine.sessions.due(now) else { return };
        let Some(chain) = &machine.chain else { return };
        let than = chain.committed().seq;
        machine.sessions.last_read = Some((now, covers));
        if self.fault == Some(Fault::UnprovenSession) {
            return self.sessions_answered(n, covers, &Outcome::Unchanged);
        }
        self.ask(n, Call::ReadNewer { than }, Purpose::Sessions { covers });
    }

    /// The read has come back: what the node knows now goes to the sessions that it covers.
    pub(crate) fn sessions_answered(&mut self, n: u8, covers: u64, outcome: &Outcome) {
        if !matches!(outcome, Outcome::Document(_) | Outcome::Unchanged) {
            return;
        }
        let given = self.chain(n).map(Chain::committed).map_or(0, |record| record.rev);
        let sessions = &mut self.machine(n).sessions;
        let greeted: Vec<Opening> =
            sessions.waiting.extract_if(.., |opening| opening.number <= covers).collect();
        for Opening { acknowledged, .. } in greeted {
            self.counts.sessions += 1;
            self.require(given >= acknowledged, || Violation::OldSession { given, acknowledged });
        }
    }
}
