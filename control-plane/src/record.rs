//! The replicated state, and what one order does to it. Pure: an order is judged by the record alone.

use serde::{Deserialize, Serialize};

use crate::config::{ConfigChange, InvalidConfig};
use crate::deduplication::{AppliedOrder, DeduplicationTable, IdempotencyKey, LogEntry};

/// The state that the chain replicates: the newest configuration document with the table of orders that led to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Log index: the number of changes so far.
    pub seq: u64,
    /// Version of the document; 0 before the first.
    pub rev: u64,
    /// The configuration document; empty before the first.
    pub document: Vec<u8>,
    /// Idempotency keys of the newest orders, by which a repeated order is recognised.
    pub applied_orders: DeduplicationTable,
}

/// How an order relates to a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It builds on the current version: this is the next log entry.
    New(LogEntry),
    /// It was applied before, however many others were applied since.
    AlreadyApplied {
        /// The version that it made.
        rev: u64,
    },
    /// It may have been applied so long ago that its key was evicted: neither confirmed nor refused.
    Expired {
        /// Highest version whose key may have been evicted.
        up_to: u64,
    },
    /// It was not applied, and another version is current.
    Stale {
        /// The current version.
        current: u64,
    },
    /// The change does not give a valid configuration.
    Invalid(InvalidConfig),
}

impl Record {
    /// Judges an order by what the record holds, and by nothing else.
    pub fn decide(&self, builds_on: u64, change: &ConfigChange) -> Decision {
        let key = IdempotencyKey::of(builds_on, change);
        if let Some(order) = self.applied_orders.find(key) {
            return Decision::AlreadyApplied { rev: order.rev };
        }
        // An order makes a version above the one that it builds on: one that does not was never applied.
        let up_to = self.applied_orders.forgotten_up_to();
        if change.rev().is_some_and(|rev| builds_on < rev && rev <= up_to) {
            return Decision::Expired { up_to };
        }
        if builds_on != self.rev {
            return Decision::Stale { current: self.rev };
        }
        match change.apply(&self.document, self.rev) {
            Err(invalid) => Decision::Invalid(invalid),
            Ok((rev, document)) => {
                Decision::New(LogEntry { seq: self.seq + 1, document, order: AppliedOrder { rev, key } })
            }
        }
    }

    /// The record after one more entry.
    pub fn after(&self, entry: &LogEntry) -> Record {
        let mut taken = self.applied_orders.clone();
        taken.push(entry.order);
        Record {
            seq: entry.seq,
            rev: entry.order.rev,
            document: entry.document.clone(),
            applied_orders: taken,
        }
    }

    /// The same document without the table of orders, for nodes that only distribute it. Mistaking it for the whole
    /// record is safe: an empty table answers [`Decision::Expired`] for every version that it may have held.
    pub fn without_table(&self) -> Record {
        let taken = DeduplicationTable::forgotten(self.rev.max(self.applied_orders.forgotten_up_to()));
        Record { seq: self.seq, rev: self.rev, document: self.document.clone(), applied_orders: taken }
    }
}
