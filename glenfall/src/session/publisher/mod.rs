//! The publisher's side of sessions: a control node or an agent pushes numbered updates to its subscribers, counts what they
//! have applied, and grants them leases out of its own.
//!
//! Leases are recorded apart from sessions and outlast them: a subscriber whose session is lost may serve stored responses
//! until its lease ends.

mod acknowledgement;
mod lease_snapshot;
mod leases;
mod overdue;
mod serve;
mod session;
mod sessions;
mod source;
mod status;

pub use lease_snapshot::LeasedSession;
pub use serve::{SubscriberConnection, SubscriberLocation};
pub use sessions::{Sessions, MAX_ACKNOWLEDGEMENT_DELAY};
pub use source::{Greeting, Publisher};
pub use status::SessionStatus;
