//! Counts of what a simulation run exercised, which show whether the schedules reach the states that they should cover.

use serde::Serialize;

/// The counts of what a run without a violation exercised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Coverage {
    /// Acknowledged changes.
    pub changes: u64,
    /// Answered reads.
    pub reads: u64,
    /// Rejected change requests.
    pub refusals: u64,
    /// Change requests that were sent again, after a timeout or as duplicates.
    pub repeats: u64,
    /// Sessions that received a configuration.
    pub sessions: u64,
    /// Views that have started.
    pub views: u64,
    /// Started views whose voters differ from those of the started view before.
    pub member_changes: u64,
    /// Voter changes that began at the request of an operator.
    #[serde(rename = "seats")]
    pub requested_voter_changes: u64,
}

impl std::ops::AddAssign for Coverage {
    fn add_assign(&mut self, other: Coverage) {
        self.changes += other.changes;
        self.reads += other.reads;
        self.refusals += other.refusals;
        self.repeats += other.repeats;
        self.sessions += other.sessions;
        self.views += other.views;
        self.member_changes += other.member_changes;
        self.requested_voter_changes += other.requested_voter_changes;
    }
}
