//! What a process that publishes provides for its sessions.

use std::future::Future;

use glenfall_control_plane::messages::{PublisherMessage, Update};

/// What a subscriber has to know first.
#[derive(Default)]
pub struct Greeting {
    /// Messages that are no updates.
    pub messages: Vec<PublisherMessage>,
    /// The updates that all others build on.
    pub updates: Vec<Update>,
}

/// What a process provides for the sessions that it serves.
pub trait Publisher {
    /// What a subscriber has to know first, as of now.
    fn greeting(&self) -> Greeting;

    /// Resolves once this process knows the newest configuration, with the update for it if there is one. From then on the
    /// session is sent configurations. `None` ends the session.
    fn newest_config(&self) -> impl Future<Output = Option<Vec<Update>>>;

    /// Called whenever a member of a session is added, changed or removed.
    fn members_changed(&self);
}
