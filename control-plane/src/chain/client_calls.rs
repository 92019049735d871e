//! Client calls: each waits at the node that it went in at, is forwarded to the head of every new view, and is answered
//! once or given up.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain::replication::InFlight;
use crate::chain::settings::{CALL_TIMEOUT, MAX_CALLS};
use crate::chain::{Chain, Claim, Message, Output};
use crate::config::{ConfigChange, InvalidConfig};
use crate::ids::{CallId, NodeId};
use crate::record::{Decision, Record};
use crate::Millis;

/// A client's call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Changes the configuration.
    Change {
        /// The version that the change builds on.
        builds_on: u64,
        /// The change.
        change: ConfigChange,
    },
    /// Reads the newest committed record.
    Read,
    /// The same, where its index is higher.
    ReadNewer {
        /// The index that the caller knows.
        than: u64,
    },
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is in force, now or from an earlier call.
    Done {
        /// The version that it made.
        rev: u64,
    },
    /// Another version is current.
    Conflict {
        /// That version.
        current: u64,
    },
    /// The change does not give a valid configuration.
    Invalid(InvalidConfig),
    /// The order may be one that was applied too long ago for its key to be known: no clear answer, of any node.
    Forgotten {
        /// Highest version whose key may have been evicted.
        up_to: u64,
        /// The current version, which tells the caller whether its order can still have any effect.
        current: u64,
    },
    /// The newest committed record.
    Document(Arc<Record>),
    /// Nothing newer than what the caller knows is committed.
    Unchanged,
    /// No clear answer: try again elsewhere.
    Unavailable,
}

/// A call that waits for its answer at this node.
#[derive(Clone, Debug)]
pub(super) struct WaitingCall {
    what: Call,
    until: Millis,
    /// The ballot of the view to whose head it was forwarded last.
    forwarded_in: Option<u64>,
}

/// A change that waits at the head for those before it.
#[derive(Clone, Debug)]
pub(super) struct QueuedChange {
    origin: NodeId,
    call: CallId,
    builds_on: u64,
    change: ConfigChange,
}

impl Chain {
    /// Takes a call under a number of its own in this incarnation.
    pub(super) fn accept_call(&mut self, number: u64, what: Call) {
        if self.calls.len() >= MAX_CALLS {
            self.outputs.push(Output::Answer(number, Outcome::Unavailable));
            return;
        }
        let until = self.now + CALL_TIMEOUT;
        self.calls.insert(number, WaitingCall { what, until, forwarded_in: None });
        self.dispatch_calls();
    }

    /// Gives up the calls whose time is over.
    pub(super) fn expire_calls(&mut self) {
        let now = self.now;
        let expired = self.calls.extract_if(.., |_, call| now >= call.until);
        let answers = expired.map(|(number, _)| Output::Answer(number, Outcome::Unavailable));
        self.outputs.extend(answers);
    }

    /// Forwards waiting calls to the head of the newest view, each once a view.
    pub(super) fn dispatch_calls(&mut self) {
        let Some(view) = &self.known_view else { return };
        let Some(head) = view.head() else { return };
        let ballot = view.number;
        let mut due = Vec::new();
        for (number, call) in &mut self.calls {
            if call.forwarded_in.is_none_or(|last| last < ballot) {
                call.forwarded_in = Some(ballot);
                due.push((*number, call.what.clone()));
            }
        }
        for (number, what) in due {
            let call = CallId { incarnation: self.incarnation, number };
            self.send(head, Message::Forward { call, what });
        }
    }

    /// The result of a call that waits here.
    pub(super) fn handle_answer(&mut self, call: CallId, outcome: Outcome) {
        // A head that could not tell leaves the call to the next view, or to its end.
        if outcome == Outcome::Unavailable {
            return;
        }
        // The last process here may have asked under the same number.
        if call.incarnation != self.incarnation || self.calls.remove(&call.number).is_none() {
            return;
        }
        // A node that the record has not reached yet knows it from now on.
        if let Outcome::Document(record) = &outcome {
            if record.seq > self.committed.seq {
                self.publish(Arc::clone(record));
            }
        }
        self.outputs.push(Output::Answer(call.number, outcome));
    }

    /// The ballot of the active view, if this node is its head.
    fn ballot_as_head(&self) -> Option<u64> {
        let view = &self.active_view()?.view;
        let is_head = view.head() == Some(self.me) && self.hard_state.promised == view.number;
        is_head.then_some(view.number)
    }

    /// A call at the head.
    pub(super) fn handle_forward(&mut self, origin: NodeId, call: CallId, what: Call) {
        let Some(ballot) = self.ballot_as_head() else { return };
        match what {
            Call::Read => self.handle_confirm(ballot, origin, call, Claim::Committed { than: None }),
            Call::ReadNewer { than } => {
                self.handle_confirm(ballot, origin, call, Claim::Committed { than: Some(than) });
            }
            Call::Change { builds_on, change } => {
                if self.head_queue.len() < MAX_CALLS {
                    self.head_queue.push_back(QueuedChange { origin, call, builds_on, change });
                    self.begin_next_change();
                }
            }
        }
    }

    /// The head begins with the next change, one at a time: what it builds on is then committed.
    pub(super) fn begin_next_change(&mut self) {
        while let Some(ballot) = self.ballot_as_head() {
            if self.in_flight.is_some() || !self.tolerates_losses() {
                break;
            }
            let Some(next) = self.head_queue.pop_front() else { return };
            let QueuedChange { origin, call, builds_on, change } = next;
            let decision = self.hard_state.record.decide(builds_on, &change);
            let outcome = match decision {
                Decision::New(entry) => {
                    let (seq, rev) = (entry.seq, entry.order.rev);
                    self.in_flight = Some(InFlight { origin, call, seq, rev, since: self.now });
                    self.accept(&Arc::new(entry));
                    return;
                }
                Decision::AlreadyApplied { rev } => Outcome::Done { rev },
                Decision::Expired { up_to } => {
                    Outcome::Forgotten { up_to, current: self.hard_state.record.rev }
                }
                Decision::Stale { current } => Outcome::Conflict { current },
                Decision::Invalid(invalid) => Outcome::Invalid(invalid),
            };
            // A refusal tells of the newest version as well, and a newer view may have gone on from here.
            self.handle_confirm(ballot, origin, call, Claim::Found(outcome));
        }
        if self.ballot_as_head().is_none() {
            // Their callers send them to the next head.
            self.head_queue.clear();
        }
    }
}
