//! The interface through which sessions obtain the state that their process publishes.

use std::future::Future;

use glenfall_control_plane::messages::{PublisherMessage, Update};

/// What is sent to a subscriber at the start of its session.
#[derive(Default)]
pub struct Greeting {
    /// Messages other than updates.
    pub messages: Vec<PublisherMessage>,
    /// The updates that all others build on.
    pub updates: Vec<Update>,
}

/// A process that publishes updates to sessions.
pub trait Publisher {
    /// The greeting for a session that starts now.
    fn greeting(&self) -> Greeting;

    /// Resolves once this process knows the newest configuration, with the update for it if there is one. Later
    /// configurations are pushed to the session from then on. `None` ends the session.
    fn newest_config(&self) -> impl Future<Output = Option<Vec<Update>>>;

    /// Called whenever a member of a session is added, changed or removed.
    fn members_changed(&self);
}
