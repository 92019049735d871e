//! Sessions that open at nodes. The configuration that a session receives must not be older than the newest one that
//! was acknowledged before the session opened.

use glenfall_control_plane::chain::{Chain, Outcome};

use super::World;
use crate::violation::Violation;

impl World {
    /// Opens a session at a node, if its process runs. A paused process handles the session when it resumes.
    pub fn open_session(&mut self, number: u8) {
        let acknowledged = self.newest_acknowledged();
        let machine = self.machine(number);
        if machine.chain.is_some() {
            machine.sessions.open(acknowledged);
        }
    }

    /// Serves the newest committed configuration that a node knows to the sessions that an answered read covers, which
    /// are those up to number `newest_session`.
    pub(super) fn serve_sessions(&mut self, number: u8, newest_session: u64, outcome: &Outcome) {
        if !matches!(outcome, Outcome::Document(_) | Outcome::Unchanged) {
            return;
        }
        let served_rev = self.chain(number).map(Chain::committed).map_or(0, |record| record.rev);
        for session in self.machine(number).sessions.take_covered(newest_session) {
            let acknowledged = session.acknowledged;
            self.coverage.sessions += 1;
            self.require(served_rev >= acknowledged, || Violation::StaleSession { served_rev, acknowledged });
        }
    }
}
