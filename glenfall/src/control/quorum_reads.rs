//! Quorum reads for callers that have to know the newest configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::chain::{Call, Outcome};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::chain_driver::ChainDriver;

/// Pause before a quorum read without an answer is sent again: longer than the round trip of a chain. Each read ends by
/// itself, so that six at most are pending at a time.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Quorum reads, each shared by all callers that were waiting when it began.
///
/// It owns the tickets of the callers: each caller draws the next one, and a read covers all tickets that were drawn
/// before it began. The highest covered ticket never decreases.
pub struct QuorumReads {
    chain: Rc<ChainDriver>,
    last_ticket: Cell<u64>,
    covered: watch::Sender<u64>,
    requested: Notify,
}

impl QuorumReads {
    /// Reads through `chain`, once [`QuorumReads::run`] runs.
    pub fn new(chain: Rc<ChainDriver>) -> Self {
        QuorumReads {
            chain,
            last_ticket: Cell::new(0),
            covered: watch::Sender::new(0),
            requested: Notify::new(),
        }
    }

    /// Ends once this node knows the newest configuration as of the moment of this call.
    pub async fn wait_for_newest(&self) {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        self.requested.notify_one();
        // The sender lives as long as this value, so that the wait can't fail.
        let _ = self.covered.subscribe().wait_for(|covered| *covered >= ticket).await;
    }

    /// Serves the callers of [`QuorumReads::wait_for_newest`] for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut covered = self.covered.subscribe();
        loop {
            self.requested.notified().await;
            let ticket = self.last_ticket.get();
            while *covered.borrow() < ticket {
                spawn_local(Rc::clone(&self).read(ticket));
                // There is no answer while no view is active, and none from a head that did not know yet that its view
                // is.
                let _ = timeout(READ_RETRY_INTERVAL, covered.wait_for(|covered| *covered >= ticket)).await;
            }
        }
    }

    async fn read(self: Rc<Self>, ticket: u64) {
        let known_seq = self.chain.state().committed().seq;
        if let Outcome::Document(_) | Outcome::Unchanged =
            self.chain.call(Call::ReadNewer { known_seq }).await
        {
            self.covered
                .send_if_modified(|covered| std::mem::replace(covered, ticket.max(*covered)) < ticket);
        }
    }
}
