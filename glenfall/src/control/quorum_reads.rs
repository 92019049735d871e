//! Quorum reads for callers that need the newest configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::chain::{Call, Outcome};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::chain_driver::ChainDriver;

/// Pause before a quorum read without a response is repeated; longer than the round trip of a chain. Each read times
/// out after 900 ms, so that at most six are pending at a time.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Quorum reads, each shared by all callers that were waiting when it began.
///
/// Owns the ticket numbers of the callers: each caller gets the next number, and a read covers all tickets that were
/// issued before it began. The highest covered ticket never decreases.
pub struct QuorumReads {
    chain: Rc<ChainDriver>,
    last_ticket: Cell<u64>,
    covered: watch::Sender<u64>,
    requested: Notify,
}

impl QuorumReads {
    /// Reads through `chain`, while [`QuorumReads::run`] runs.
    pub fn new(chain: Rc<ChainDriver>) -> Self {
        QuorumReads {
            chain,
            last_ticket: Cell::new(0),
            covered: watch::Sender::new(0),
            requested: Notify::new(),
        }
    }

    /// Waits until this node has every configuration that was committed before this call.
    pub async fn wait_for_newest(&self) {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        self.requested.notify_one();
        // The wait can't fail, as `self` owns the sender.
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
                // There is no response while no view is active, or from a head that has not learned yet that its view
                // is active.
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
