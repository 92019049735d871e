//! Chain replication: a change enters at the head, each member makes it durable before it passes it on, and the tail
//! commits it.

use std::sync::Arc;

use crate::chain::settings::REPLICATION_TIMEOUT;
use crate::chain::{Chain, Message, Outcome, Output};
use crate::deduplication::LogEntry;
use crate::ids::{CallId, NodeId};
use crate::record::Record;
use crate::Millis;

/// A change that the head has sent down the chain.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) origin: NodeId,
    pub(super) call: CallId,
    pub(super) seq: u64,
    pub(super) rev: u64,
    pub(super) since: Millis,
}

impl Chain {
    /// A change that has not come through by now was lost on its way: only a new view can tell what came of it.
    pub(super) fn expire_in_flight(&mut self) {
        if self.in_flight.as_ref().is_some_and(|change| self.now >= change.since + REPLICATION_TIMEOUT) {
            self.break_view();
        }
    }

    /// A change from the predecessor.
    pub(super) fn handle_update(&mut self, from: NodeId, ballot: u64, entry: &Arc<LogEntry>) {
        let Some(view) = self.unfenced_view(ballot) else { return };
        let record = &self.hard_state.record;
        let is_next = entry.seq == record.seq + 1 && entry.order.rev > record.rev;
        if is_next && view.predecessor(self.me) == Some(from) {
            self.start_view_if_proved(ballot);
            self.accept(entry);
        }
    }

    /// Makes a change durable, then passes it on, or commits it at the tail.
    pub(super) fn accept(&mut self, entry: &Arc<LogEntry>) {
        let Some(installed) = &self.installed else { return };
        let view = &installed.view;
        let follow_up = match view.successor(self.me) {
            Some(next) => {
                let update = Message::Update { view: view.number, entry: Arc::clone(entry) };
                vec![Output::Send(next, update)]
            }
            None => {
                // The tail acknowledges to itself too, last, so that it commits after the sync as well.
                let ack = Message::Acked { view: view.number, seq: entry.seq };
                view.chain.iter().map(|member| Output::Send(*member, ack.clone())).collect()
            }
        };
        self.hard_state.record = Arc::new(self.hard_state.record.after(entry));
        self.persist(follow_up);
    }

    /// The tail has made a change durable, and so have all before it.
    pub(super) fn handle_ack(&mut self, ballot: u64, seq: u64) {
        let is_current = self.unfenced_view(ballot).is_some() && self.hard_state.record.seq == seq;
        if is_current {
            self.commit();
        }
    }

    /// The whole chain has made the present record durable.
    fn commit(&mut self) {
        let record = Arc::clone(&self.hard_state.record);
        if self.is_tail() {
            self.distribute(&record);
        }
        let completed = self.in_flight.take_if(|change| change.seq == record.seq);
        self.publish(record);
        if let Some(change) = completed {
            let outcome = Outcome::Done { rev: change.rev };
            self.send(change.origin, Message::Answer { call: change.call, outcome });
        }
        self.begin_next_change();
    }

    fn is_tail(&self) -> bool {
        self.installed.as_ref().and_then(|installed| installed.view.tail()) == Some(self.me)
    }

    /// Sends a committed record to the nodes outside the chain.
    fn distribute(&mut self, record: &Record) {
        let Some(installed) = &self.installed else { return };
        let mut others = self.peers.matching(|peer| peer.up);
        others.retain(|node| !installed.view.chain.contains(node));
        let without_table = Arc::new(record.without_table());
        for peer in others {
            self.send(peer, Message::Committed { record: Arc::clone(&without_table) });
        }
    }

    /// A record is committed: gives it to the caller, if it is news.
    pub(super) fn publish(&mut self, record: Arc<Record>) {
        if record.seq > self.committed.seq {
            self.committed = Arc::clone(&record);
            self.outputs.push(Output::Publish(record));
        } else if record.seq == self.committed.seq
            && record.applied_orders.len() > self.committed.applied_orders.len()
        {
            // It came without the table of orders, which a backup needs.
            self.committed = record;
        }
    }
}
