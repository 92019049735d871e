//! Tracks whether the purge history of a control node has every purge that was acknowledged.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;

use glenfall_control_plane::messages::Update;

use super::chain_driver::ChainDriver;
use crate::session::publisher::Sessions;

/// Whether the purge history of this node is complete.
///
/// Owns the set of peers that have sent their complete history since they last connected, and whether these peers and
/// this node were a majority of the voters at the last update. While they are, this node knows every acknowledged
/// purge, because each is known to a majority. A session that receives the history of this node thus misses no
/// acknowledged purge.
///
/// A session that was notified that the history is complete relies on this until it is closed, even if the history
/// becomes incomplete meanwhile. Thus the replacement of a voter invalidates no stored responses.
pub struct PurgeLogCompleteness {
    local: Ipv4Addr,
    chain: Rc<ChainDriver>,
    sessions: Rc<Sessions>,
    received_from: RefCell<BTreeSet<Ipv4Addr>>,
    complete: Cell<bool>,
}

impl PurgeLogCompleteness {
    /// Starts without the history of any peer. `local` is the address of this node.
    pub fn new(local: Ipv4Addr, chain: Rc<ChainDriver>, sessions: Rc<Sessions>) -> Self {
        PurgeLogCompleteness {
            local,
            chain,
            sessions,
            received_from: RefCell::default(),
            complete: Cell::new(false),
        }
    }

    /// Whether the history was complete at the last update.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Records that a peer has sent its complete history.
    pub fn history_received(&self, peer: Ipv4Addr) {
        self.received_from.borrow_mut().insert(peer);
        self.update();
    }

    /// Records that a peer has disconnected. Purges that it learns of until it reconnects arrive with its next history.
    pub fn peer_disconnected(&self, peer: Ipv4Addr) {
        self.received_from.borrow_mut().remove(&peer);
        self.update();
    }

    /// Checks the majority again, as the voters may have changed, and notifies sessions when the history becomes
    /// complete.
    pub fn update(&self) {
        let history_known =
            |node: &Ipv4Addr| *node == self.local || self.received_from.borrow().contains(node);
        let complete = self.chain.state().members().is_quorum(history_known);
        let was_complete = self.complete.replace(complete);
        if complete && !was_complete {
            self.sessions.push(&Update::Connected(true));
        }
    }
}
