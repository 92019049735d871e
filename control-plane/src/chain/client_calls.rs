//! Client calls. A call is pending at the node that received it, which forwards it to the head of every new view. It is
//! answered exactly once; if it times out, with [`Outcome::Unavailable`].

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::chain::replication::InFlight;
use crate::chain::settings::{CALL_TIMEOUT, MAX_CALLS};
use crate::chain::{Chain, Claim, Message, Output};
use crate::config::{ConfigChange, InvalidConfig};
use crate::ids::{CallId, NodeId};
use crate::record::{Decision, Record};
use crate::Millis;

/// A client's call. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Changes the configuration.
    Change {
        /// The version that the change builds on.
        builds_on: u64,
        /// The new document, or a patch to the current one.
        change: ConfigChange,
    },
    /// Reads the newest committed record.
    Read,
    /// Reads the newest committed record if its log index is higher than the one that the caller has.
    ReadNewer {
        /// Log index of the caller's record.
        known_seq: u64,
    },
}

/// The result of a call. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is committed, by this call or by an earlier call with the same order.
    Done {
        /// The version that the change produced.
        rev: u64,
    },
    /// The change builds on a version that is not the current one.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The change does not result in a valid configuration.
    Invalid(InvalidConfig),
    /// The order may have been applied so long ago that its key has been evicted: no node knows whether it was applied.
    Forgotten {
        /// Highest version whose key may have been evicted.
        up_to: u64,
        /// The current version, which shows the caller whether its order can still be applied.
        current: u64,
    },
    /// The newest committed record.
    Document(Arc<Record>),
    /// No newer record than the caller's is committed.
    Unchanged,
    /// The call timed out, or too many calls are pending. The change may or may not be applied: the caller has to
    /// retry, at another node if possible.
    Unavailable,
}

/// A call that this node received and has not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    call: Call,
    expires_at: Millis,
    /// Ballot of the last view to whose head the call was forwarded.
    forwarded_in: Option<u64>,
}

/// A change that waits at the head until the changes before it are committed.
#[derive(Clone, Debug)]
pub(super) struct QueuedChange {
    origin: NodeId,
    id: CallId,
    builds_on: u64,
    change: ConfigChange,
}

impl Chain {
    /// Registers a client's call, and forwards it to the head if a view is known.
    pub(super) fn accept_call(&mut self, number: u64, call: Call) {
        if self.calls.len() >= MAX_CALLS {
            self.outputs.push(Output::Answer(number, Outcome::Unavailable));
            return;
        }
        let expires_at = self.now + CALL_TIMEOUT;
        self.calls.insert(number, PendingCall { call, expires_at, forwarded_in: None });
        self.dispatch_calls();
    }

    /// Answers the calls that have timed out with [`Outcome::Unavailable`].
    pub(super) fn expire_calls(&mut self) {
        let now = self.now;
        let expired = self.calls.extract_if(.., |_, call| now >= call.expires_at);
        let answers = expired.map(|(number, _)| Output::Answer(number, Outcome::Unavailable));
        self.outputs.extend(answers);
    }

    /// Forwards the pending calls to the head of the newest known view, each call once per view.
    pub(super) fn dispatch_calls(&mut self) {
        let Some(view) = &self.known_view else { return };
        let Some(head) = view.head() else { return };
        let ballot = view.number;
        let mut forwards = Vec::new();
        for (number, pending) in &mut self.calls {
            if pending.forwarded_in.is_none_or(|last| last < ballot) {
                pending.forwarded_in = Some(ballot);
                let id = CallId { incarnation: self.incarnation, number: *number };
                forwards.push(Message::Forward { id, call: pending.call.clone() });
            }
        }
        for forward in forwards {
            self.send(head, forward);
        }
    }

    /// Answers a pending call with the outcome that the head or the tail has sent.
    pub(super) fn handle_answer(&mut self, id: CallId, outcome: Outcome) {
        // `Unavailable` is no result: the call stays pending until the next view, or until it times out.
        if outcome == Outcome::Unavailable {
            return;
        }
        // The answer may be to a call of an earlier process at this address, with the same number.
        if id.incarnation != self.incarnation || self.calls.remove(&id.number).is_none() {
            return;
        }
        // The record may not have been replicated to this node yet.
        if let Outcome::Document(record) = &outcome {
            if record.seq > self.committed.seq {
                self.publish(Arc::clone(record));
            }
        }
        self.outputs.push(Output::Answer(id.number, outcome));
    }

    /// The ballot of the active view, if this node is its head and no later promise has fenced the view.
    fn ballot_as_head(&self) -> Option<u64> {
        let view = &self.active_view()?.view;
        let is_head = view.head() == Some(self.node_id) && self.hard_state.promised == view.number;
        is_head.then_some(view.number)
    }

    /// Handles a call at the head.
    pub(super) fn handle_forward(&mut self, origin: NodeId, id: CallId, call: Call) {
        let Some(ballot) = self.ballot_as_head() else { return };
        match call {
            Call::Read => self.handle_confirm(ballot, origin, id, Claim::Committed { newer_than: None }),
            Call::ReadNewer { known_seq } => {
                let claim = Claim::Committed { newer_than: Some(known_seq) };
                self.handle_confirm(ballot, origin, id, claim);
            }
            Call::Change { builds_on, change } => {
                if self.head_queue.len() < MAX_CALLS {
                    self.head_queue.push_back(QueuedChange { origin, id, builds_on, change });
                    self.begin_next_change();
                }
            }
        }
    }

    /// Starts to replicate the next queued change at the head. Changes are replicated one at a time, so that the
    /// version that a change builds on is committed when the change is decided.
    pub(super) fn begin_next_change(&mut self) {
        while let Some(ballot) = self.ballot_as_head() {
            if self.in_flight.is_some() || !self.tolerates_losses() {
                break;
            }
            let Some(next) = self.head_queue.pop_front() else { return };
            let QueuedChange { origin, id, builds_on, change } = next;
            let decision = self.hard_state.record.decide(builds_on, &change);
            let outcome = match decision {
                Decision::New(entry) => {
                    let (seq, rev) = (entry.seq, entry.order.rev);
                    self.in_flight = Some(InFlight { origin, id, seq, rev, sent_at: self.now });
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
            // The decision depends on the newest version, and a newer view may have replaced this one: the chain has to
            // confirm the decision first.
            self.handle_confirm(ballot, origin, id, Claim::Decided(outcome));
        }
        if self.ballot_as_head().is_none() {
            // The nodes that received the calls forward them to the next head.
            self.head_queue.clear();
        }
    }
}
