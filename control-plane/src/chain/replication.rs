//! Chain replication (van Renesse and Schneider, 2004): a change enters at the head, each member makes it durable
//! before it forwards it to its successor, and the tail commits it.
//!
//! Invariant (update propagation): the durable record of a member is that of its predecessor, or an earlier one. So a
//! record that is durable at the tail is durable at all members.

use std::sync::Arc;

use crate::chain::settings::REPLICATION_TIMEOUT;
use crate::chain::{Chain, Message, Outcome, Output};
use crate::deduplication::LogEntry;
use crate::ids::{CallId, NodeId};
use crate::record::Record;
use crate::Millis;

/// The change that the head is replicating, with the call to answer once it is committed.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) origin: NodeId,
    pub(super) id: CallId,
    pub(super) seq: u64,
    pub(super) rev: u64,
    pub(super) sent_at: Millis,
}

impl Chain {
    /// Breaks the view if the change in flight has timed out. A message was lost, and only a new view can determine
    /// which members have accepted the change.
    pub(super) fn expire_in_flight(&mut self) {
        if self.in_flight.as_ref().is_some_and(|change| self.now >= change.sent_at + REPLICATION_TIMEOUT) {
            self.break_view();
        }
    }

    /// Accepts a change from the predecessor if it directly follows the latest accepted record.
    pub(super) fn handle_update(&mut self, from: NodeId, ballot: u64, entry: &Arc<LogEntry>) {
        let Some(view) = self.unfenced_view(ballot) else { return };
        let record = &self.hard_state.record;
        let is_next = entry.seq == record.seq + 1 && entry.order.rev > record.rev;
        if is_next && view.predecessor(self.node_id) == Some(from) {
            self.start_view_if_proved(ballot);
            self.accept(entry);
        }
    }

    /// Makes a change durable, and then forwards it to the successor, or acknowledges it at the tail.
    pub(super) fn accept(&mut self, entry: &Arc<LogEntry>) {
        let Some(installed) = &self.installed else { return };
        let view = &installed.view;
        let follow_up = if let Some(next) = view.successor(self.node_id) {
            let update = Message::Update { view: view.number, entry: Arc::clone(entry) };
            vec![Output::Send(next, update)]
        } else {
            // The tail acknowledges to itself as well, last, and commits on receiving that message: its write is
            // durable then.
            let ack = Message::Acked { view: view.number, seq: entry.seq };
            view.chain.iter().map(|member| Output::Send(*member, ack.clone())).collect()
        };
        self.hard_state.record = Arc::new(self.hard_state.record.with_entry_applied(entry));
        self.persist(follow_up);
    }

    /// Commits a change that the tail has acknowledged: it is durable at all members.
    pub(super) fn handle_ack(&mut self, ballot: u64, seq: u64) {
        let is_current = self.unfenced_view(ballot).is_some() && self.hard_state.record.seq == seq;
        if is_current {
            self.commit();
        }
    }

    /// Commits the latest accepted record, which is durable at all members of the chain.
    fn commit(&mut self) {
        let record = Arc::clone(&self.hard_state.record);
        if self.is_tail() {
            self.distribute(&record);
        }
        let completed = self.in_flight.take_if(|change| change.seq == record.seq);
        self.publish(record);
        if let Some(change) = completed {
            let outcome = Outcome::Done { rev: change.rev };
            self.send(change.origin, Message::Answer { id: change.id, outcome });
        }
        self.begin_next_change();
    }

    fn is_tail(&self) -> bool {
        self.installed.as_ref().and_then(|installed| installed.view.tail()) == Some(self.node_id)
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

    /// Publishes a committed record to the caller if it is newer than the last one.
    pub(super) fn publish(&mut self, record: Arc<Record>) {
        if record.seq > self.committed.seq {
            self.committed = Arc::clone(&record);
            self.outputs.push(Output::Publish(record));
        } else if record.seq == self.committed.seq
            && record.applied_orders.len() > self.committed.applied_orders.len()
        {
            // The record was received earlier without its deduplication table, which backups need.
            self.committed = record;
        }
    }
}
