//! What `status` reports of a session.

use glenfall_control_plane::messages::{Counter, Member};

/// The state of a session, for people to look at.
pub struct SessionStatus {
    /// The subscriber's name.
    pub node: String,
    /// The proxy that it speaks for.
    pub member: Option<Member>,
    /// Number of the last update pushed.
    pub sent: u64,
    /// Number of the last update that it has acknowledged.
    pub applied: u64,
    /// Whether it holds a lease.
    pub leased: bool,
    /// Its counters.
    pub counters: Vec<Counter>,
}
