//! Tracks whether a control node is in contact with a quorum, and when it last was.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::chain_driver::ChainDriver;
use super::peers::links::PeerLinks;

/// How long a node is without a quorum before it rejects agents. If this were shorter, agents would be rejected at each
/// replacement of a voter. If it were longer, agents of an isolated node would learn too late of a new configuration.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Contact of this node with a quorum of the voters.
///
/// Owns the time of the last contact. The node is *isolated* once that is [`ISOLATION_TIMEOUT`] ago. An isolated node
/// does not learn of changes that other nodes acknowledge, and its agents may reach a node that does. The state changes
/// only in [`QuorumContact::update`], which the node calls with each tick and before it accepts a session.
pub struct QuorumContact {
    chain: Rc<ChainDriver>,
    links: Rc<PeerLinks>,
    last_contact: Cell<Instant>,
    isolated: watch::Sender<bool>,
}

impl QuorumContact {
    /// Starts as not isolated, with the present time as the last contact.
    pub fn new(chain: Rc<ChainDriver>, links: Rc<PeerLinks>) -> Self {
        QuorumContact {
            chain,
            links,
            last_contact: Cell::new(Instant::now()),
            isolated: watch::Sender::new(false),
        }
    }

    /// Checks for a quorum; returns whether this node is isolated.
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

    /// Waits until this node is isolated.
    pub async fn isolated(&self) {
        let mut changes = self.isolated.subscribe();
        // The wait can't fail, as `self` owns the sender.
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
