//! What `status` reports of a session.

use glenfall_control_plane::messages::{Counter, Member};

/// The state of a session, as operators see it.
pub struct SessionStatus {
    /// The subscriber's name.
    pub node: String,
    /// The proxy on whose behalf it subscribes, if there is one.
    pub member: Option<Member>,
    /// Number of the last update pushed.
    pub sent: u64,
    /// Number of the last update that it has acknowledged.
    pub applied: u64,
    /// Whether it holds a lease.
    pub leased: bool,
    /// The counters that it last sent.
    pub counters: Vec<Counter>,
}
