//! Whether a control node is in contact with a quorum, and since when it is not.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::chain_driver::ChainDriver;
use super::peers::links::PeerLinks;

/// How long a node is without a quorum before it rejects agents. With a shorter time each replacement of a voter would
/// reject them, and with a longer one agents would learn of a new configuration with too much delay.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Contact of this node with a quorum of the voters.
///
/// It owns the moment of the last contact. The node is *isolated* once that is [`ISOLATION_TIMEOUT`] ago: its agents
/// may reach nodes that are not, and what is acknowledged there does not arrive here. The state changes only in
/// [`QuorumContact::update`], which the node calls with each tick and before it accepts a session.
pub struct QuorumContact {
    chain: Rc<ChainDriver>,
    links: Rc<PeerLinks>,
    last_contact: Cell<Instant>,
    isolated: watch::Sender<bool>,
}

impl QuorumContact {
    /// Counts this moment as the last contact.
    pub fn new(chain: Rc<ChainDriver>, links: Rc<PeerLinks>) -> Self {
        QuorumContact {
            chain,
            links,
            last_contact: Cell::new(Instant::now()),
            isolated: watch::Sender::new(false),
        }
    }

    /// Looks for a quorum; returns whether this node is isolated now.
    pub fn update(&self) -> bool {
        if self.chain.has_quorum() {
            self.last_contact.set(Instant::now());
        }
        let isolated = self.last_contact.get().elapsed() >= ISOLATION_TIMEOUT;
        if self.isolated.send_if_modified(|current| std::mem::replace(current, isolated) != isolated) {
            self.log_change(isolated);
        }
        isolated
    }

    /// Whether this node was isolated at the last update.
    pub fn was_isolated(&self) -> bool {
        *self.isolated.borrow()
    }

    /// Ends once this node is isolated.
    pub async fn isolated(&self) {
        let mut changes = self.isolated.subscribe();
        // The sender lives as long as this value, so that the wait can't fail.
        let _ = changes.wait_for(|isolated| *isolated).await;
    }

    fn log_change(&self, isolated: bool) {
        let connected_peers = self.links.connected();
        if isolated {
            tracing::warn!(?connected_peers, "quorum lost: rejecting servers, operators and agents");
        } else {
            tracing::info!(?connected_peers, "quorum restored");
        }
    }
}
