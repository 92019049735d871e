//! Linearizable reads and rejections (`ReadIndex` in Raft, 6.4).
//!
//! After a call has started, and before an answer that depends on the newest version is sent, each member of the chain
//! confirms that the view is not fenced. The chain contains a quorum, and a newer view needs promises from a quorum: the
//! two have a member in common, which does not confirm once it has promised. So no newer view can have committed a
//! change before the call started.

use std::sync::Arc;

use crate::chain::{Chain, Claim, Message, Outcome, View};
use crate::ids::{CallId, NodeId};

impl Chain {
    /// Forwards a claim to the successor, or answers it at the tail. A change that was acknowledged before the call
    /// started is committed at the tail by then, and one that entered the chain later does not affect the head's
    /// decision.
    pub(super) fn handle_confirm(&mut self, ballot: u64, origin: NodeId, id: CallId, claim: Claim) {
        if self.notify_fenced_head(ballot) {
            return;
        }
        self.start_view_if_proved(ballot);
        let Some(view) = self.unfenced_view(ballot) else { return };
        if let Some(next) = view.successor(self.node_id) {
            return self.send(next, Message::Confirm { view: ballot, origin, id, claim });
        }
        let outcome = self.answer_claim(claim);
        self.send(origin, Message::Answer { id, outcome });
    }

    /// Sends a nack to the head of a view if a later promise has fenced the view, and returns whether it did so.
    /// Without the nack, the head would keep its view forever if the newer view is never installed.
    fn notify_fenced_head(&mut self, ballot: u64) -> bool {
        let views = self.installed.iter().map(|installed| &installed.view).chain(&self.known_view);
        let head = views.filter(|view| view.number == ballot).find_map(View::head);
        match head {
            Some(head) if self.hard_state.promised > ballot => {
                self.send_nack(head);
                true
            }
            _ => false,
        }
    }

    /// The tail's answer to a claim that all members of the chain have confirmed.
    fn answer_claim(&self, claim: Claim) -> Outcome {
        match claim {
            Claim::Decided(outcome) => outcome,
            Claim::Committed { newer_than: Some(seq) } if self.committed.seq <= seq => Outcome::Unchanged,
            // A caller that sends the index of its record only distributes the document.
            Claim::Committed { newer_than: Some(_) } => {
                Outcome::Document(Arc::new(self.committed.without_table()))
            }
            Claim::Committed { newer_than: None } => Outcome::Document(Arc::clone(&self.committed)),
        }
    }
}
