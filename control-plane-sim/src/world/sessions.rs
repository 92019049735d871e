//! Sessions that open at nodes. What a node hands to a session must not be older than what was acknowledged before the
//! session opened.

use glenfall_control_plane::chain::{Chain, Outcome};

use super::World;
use crate::violation::Violation;

impl World {
    /// Opens a session at a node, if its process runs. A paused process finds the session when it goes on.
    pub fn open_session(&mut self, number: u8) {
        let acknowledged = self.newest_acknowledged();
        let machine = self.machine(number);
        if machine.chain.is_some() {
            machine.sessions.open(acknowledged);
        }
    }

    /// Hands what a node knows now to the sessions that an answered read covers.
    pub(super) fn serve_sessions(&mut self, number: u8, newest: u64, outcome: &Outcome) {
        if !matches!(outcome, Outcome::Document(_) | Outcome::Unchanged) {
            return;
        }
        let given = self.chain(number).map(Chain::committed).map_or(0, |record| record.rev);
        for session in self.machine(number).sessions.take_covered(newest) {
            let acknowledged = session.acknowledged;
            self.coverage.sessions += 1;
            self.require(given >= acknowledged, || Violation::StaleSession { given, acknowledged });
        }
    }
}
