//! Provides the initial state and the newest configuration to sessions of agents and of the shield on this machine.

use std::time::Duration;

use glenfall_control_plane::messages::{PublisherMessage, Update};
use tokio::time::timeout;

use super::chain_driver::config_update;
use super::node::Control;
use crate::session::publisher::{Greeting, Publisher, SubscriberLocation};

/// Time limit for the quorum read that confirms the newest configuration for a new session of an agent. The first view
/// after a failure of all control nodes takes 0.2 to 0.7 s to form, and the replacement of a node in the chain 1.2 s.
/// An agent whose session takes longer to open should try another node.
const SESSION_OPENING_TIMEOUT: Duration = Duration::from_millis(1500);

/// A control node as the publisher of one session.
pub struct SessionPublisher<'a> {
    control: &'a Control,
    location: SubscriberLocation,
}

impl<'a> SessionPublisher<'a> {
    /// `location` is that of the subscriber, which decides whether the opening of its session has a time limit.
    pub fn new(control: &'a Control, location: SubscriberLocation) -> Self {
        SessionPublisher { control, location }
    }

    /// The shield on the same machine has no other control node to try, so that there is no limit for its session.
    fn opening_timeout(&self) -> Duration {
        match self.location {
            SubscriberLocation::SameMachine => Duration::MAX,
            SubscriberLocation::Network => SESSION_OPENING_TIMEOUT,
        }
    }
}

impl Publisher for SessionPublisher<'_> {
    fn greeting(&self) -> Greeting {
        let control = self.control;
        Greeting {
            messages: vec![PublisherMessage::ControlNodes(control.peers.links.control_nodes())],
            updates: vec![
                Update::Purges(control.purges.purges_for_new_session()),
                control.fleet.snapshot(),
                Update::Connected(control.purge_log_completeness.is_complete()),
            ],
        }
    }

    /// The newest configuration, confirmed by a quorum read that begins after the session has opened. `None` if the
    /// read exceeds the time limit: the agent then tries another node.
    async fn newest_config(&self) -> Option<Vec<Update>> {
        timeout(self.opening_timeout(), self.control.quorum_reads.wait_for_newest()).await.ok()?;
        let chain = self.control.chain.state();
        let record = chain.committed();
        let update = (record.rev > 0).then(|| config_update(record));
        Some(update.into_iter().collect())
    }

    fn members_changed(&self) {
        self.control.local_members.update();
    }
}
