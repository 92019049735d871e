//! Linearizable reads and refusals: the chain confirms that its view still stands before anything is said of the newest
//! version (Raft's ReadIndex).

use std::sync::Arc;

use crate::chain::{Chain, Claim, Message, Outcome, View};
use crate::ids::{CallId, NodeId};

impl Chain {
    /// Passes a claim on to the successor, or answers at the tail. It overtakes no change: one that was acknowledged
    /// before the call began was committed at the tail, and one that has entered since is no part of what the head
    /// found.
    pub(super) fn handle_confirm(&mut self, ballot: u64, origin: NodeId, call: CallId, claim: Claim) {
        if self.refuse_fenced(ballot) {
            return;
        }
        self.start_view_if_proved(ballot);
        let Some(view) = self.unfenced_view(ballot) else { return };
        if let Some(next) = view.successor(self.me) {
            return self.send(next, Message::Confirm { view: ballot, origin, call, claim });
        }
        let outcome = self.answer_claim(claim);
        self.send(origin, Message::Answer { call, outcome });
    }

    /// Where a later promise has fenced the view, its head is told: where the newer view came to nothing, it would wait
    /// for ever.
    fn refuse_fenced(&mut self, ballot: u64) -> bool {
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

    /// The tail's answer to a claim that the whole chain has confirmed.
    fn answer_claim(&self, claim: Claim) -> Outcome {
        match claim {
            Claim::Found(outcome) => outcome,
            Claim::Committed { than: Some(seq) } if self.committed.seq <= seq => Outcome::Unchanged,
            // A caller that names what it has only distributes the document.
            Claim::Committed { than: Some(_) } => Outcome::Document(Arc::new(self.committed.without_table())),
            Claim::Committed { than: None } => Outcome::Document(Arc::clone(&self.committed)),
        }
    }
}
