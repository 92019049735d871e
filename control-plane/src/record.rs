//! The replicated state, and the decision on an order by that state.
//!
//! The decision depends on the record and the order alone, so that every head makes the same decision on the same order.

use serde::{Deserialize, Serialize};

use crate::config::{ConfigChange, InvalidConfig, NewDocument};
use crate::deduplication::{AppliedOrder, DeduplicationTable, IdempotencyKey, LogEntry};

/// The state that the chain replicates: the newest configuration document, and the deduplication table of the orders that
/// made it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Log index, which is the number of orders applied so far.
    pub seq: u64,
    /// Version of the document; 0 before the first one.
    pub rev: u64,
    /// The configuration document; empty before the first one.
    pub document: Vec<u8>,
    /// Idempotency keys of the newest orders, by which a retried order is recognised.
    pub applied_orders: DeduplicationTable,
}

/// The decision on an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The order builds on the current version, and adds this log entry.
    New(LogEntry),
    /// The order was applied before, possibly with other orders after it.
    AlreadyApplied {
        /// The version that the order made.
        rev: u64,
    },
    /// The order may have been applied so long ago that its key was evicted: it is neither confirmed nor rejected.
    Expired {
        /// Highest version whose key may have been evicted.
        up_to: u64,
    },
    /// The order was not applied, and builds on a version that is not the current one.
    Stale {
        /// The current version.
        current: u64,
    },
    /// The change does not make a valid configuration.
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
        // An order that makes no version above the one that it builds on was never applied.
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
    pub fn after(&self, entry: &LogEntry) -> Record {
        let mut applied_orders = self.applied_orders.clone();
        applied_orders.push(entry.order);
        Record { seq: entry.seq, rev: entry.order.rev, document: entry.document.clone(), applied_orders }
    }

    /// The record with an empty deduplication table, for nodes that only distribute the document. A node that mistakes it
    /// for the complete record is safe: its table decides [`Decision::Expired`] on every order whose key the complete table
    /// may contain.
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
