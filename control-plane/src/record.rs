//! The replicated state, and the rules by which an order is applied to it or rejected. An order is an operator's change
//! of the configuration together with the version that it builds on.
//!
//! The decision is deterministic: it depends only on the record and the order, so that every
//! node that becomes the head of the chain makes the same decision.

use serde::{Deserialize, Serialize};

use crate::config::{ConfigChange, InvalidConfig, NewDocument};
use crate::deduplication::{AppliedOrder, DeduplicationTable, IdempotencyKey, LogEntry};

/// The state that the chain replicates: the newest configuration document, and the deduplication table of the orders
/// that produced it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Log index, which is the number of orders applied so far.
    pub seq: u64,
    /// Version of the document; 0 before the first one.
    pub rev: u64,
    /// The configuration document; empty before the first one.
    pub document: Vec<u8>,
    /// Idempotency keys of the newest orders, which identify a retried order.
    pub applied_orders: DeduplicationTable,
}

/// What happens to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The order builds on the current version and is valid: it becomes this log entry.
    New(LogEntry),
    /// The order has been applied before. Other orders may have been applied since.
    AlreadyApplied {
        /// The version that the order produced.
        rev: u64,
    },
    /// The order may have been applied so long ago that its key has been evicted: it can be neither confirmed nor
    /// rejected.
    Expired {
        /// Highest version whose key may have been evicted.
        up_to: u64,
    },
    /// The order was not applied, and builds on a version that is not the current one.
    Stale {
        /// The current version.
        current: u64,
    },
    /// The change does not result in a valid configuration.
    Invalid(InvalidConfig),
}

impl Record {
    /// Decides on an order, which is a change together with the version that it builds on.
    pub fn decide(&self, builds_on: u64, change: &ConfigChange) -> Decision {
        let key = IdempotencyKey::of(builds_on, change);
        if let Some(order) = self.applied_orders.find(key) {
            return Decision::AlreadyApplied { rev: order.rev };
        }
        let horizon = self.applied_orders.horizon();
        // An order whose version is not above the one that it builds on cannot have been applied.
        let may_be_evicted = |rev: u64| builds_on < rev && rev <= horizon;
        if change.rev().is_some_and(may_be_evicted) {
            return Decision::Expired { up_to: horizon };
        }
        if builds_on != self.rev {
            return Decision::Stale { current: self.rev };
        }
        match change.apply(&self.document, self.rev) {
            Err(invalid) => Decision::Invalid(invalid),
            Ok(NewDocument { rev, document }) => {
                let order = AppliedOrder { rev, key };
                Decision::New(LogEntry { seq: self.seq + 1, document, order })
            }
        }
    }

    /// The record with one more log entry applied.
    pub fn with_entry_applied(&self, entry: &LogEntry) -> Record {
        let mut applied_orders = self.applied_orders.clone();
        applied_orders.push(entry.order);
        Record { seq: entry.seq, rev: entry.order.rev, document: entry.document.clone(), applied_orders }
    }

    /// The record with an empty deduplication table, for nodes that only distribute the document. It is safe to use in
    /// place of the complete record: [`Record::decide`] then returns [`Decision::Expired`] for every order whose key
    /// the complete table may contain.
    pub fn without_table(&self) -> Record {
        let horizon = self.rev.max(self.applied_orders.horizon());
        Record {
            seq: self.seq,
            rev: self.rev,
            document: self.document.clone(),
            applied_orders: DeduplicationTable::with_horizon(horizon),
        }
    }
}
