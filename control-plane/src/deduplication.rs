//! Idempotency keys of orders, and the deduplication table of those that were applied (Raft's client sessions).
//!
//! The table is a part of the replicated [`Record`](crate::record::Record), so that it is agreed, made durable and
//! handed on with the document that it belongs to: there is no moment at which one is there without the other. It is
//! bounded; of the keys that were evicted it knows up to which version they were.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::config::ConfigChange;

/// Bound of the table. A day has hundreds of orders, 3,200 in two years' time: more than a day of those. A version takes
/// ten bytes at most and a key 32, so that the table is below 176 KB, less than the document of 700 routes that it
/// travels with.
pub const MAX_APPLIED_ORDERS: usize = 4096;
/// The oldest are evicted so many at a time. A full chunk is shared between one record and the next, and written once.
pub const CHUNK: usize = 64;

/// Identifies an order: SHA-256 over all of it. Two orders with the same key are the same order; to make a second one on
/// purpose takes about 2^128 tries, and by chance it never happens.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey(pub [u8; 32]);

impl IdempotencyKey {
    /// The key of an order. The version that it builds on is a part of it: a PATCH makes another document of another
    /// version, and a PUT that is sent again upon another one is a new decision of the operator, not a repeat.
    pub fn of(builds_on: u64, change: &ConfigChange) -> IdempotencyKey {
        // Each field but the last has a fixed length, so that no two orders give the same bytes.
        let (method, body) = match change {
            ConfigChange::Put(body) => (b"PUT  ", body),
            ConfigChange::Patch(body) => (b"PATCH", body),
        };
        let hash =
            Sha256::new().chain_update(method).chain_update(builds_on.to_le_bytes()).chain_update(body);
        IdempotencyKey(hash.finalize().into())
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().take(4).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for IdempotencyKey {
    type Err = InvalidTable;

    fn from_str(text: &str) -> Result<Self, InvalidTable> {
        let mut key = [0; 32];
        let digits = text.as_bytes();
        if digits.len() != 2 * key.len() {
            return Err(InvalidTable::Key);
        }
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            let value = |digit: &u8| char::from(*digit).to_digit(16).ok_or(InvalidTable::Key);
            *byte = (value(&pair[0])? * 16 + value(&pair[1])?) as u8;
        }
        Ok(IdempotencyKey(key))
    }
}

/// An order that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedOrder {
    /// The version that it made.
    pub rev: u64,
    /// Its key.
    pub key: IdempotencyKey,
}

/// The orders applied last, the newest at the end. Full chunks are shared by all records that hold them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireTable", into = "WireTable")]
pub struct DeduplicationTable {
    forgotten_up_to: u64,
    full: Vec<Arc<[AppliedOrder]>>,
    open: Vec<AppliedOrder>,
}

/// The table as it is sent.
#[derive(Clone, Serialize, Deserialize)]
struct WireTable {
    forgotten_up_to: u64,
    orders: Vec<AppliedOrder>,
}

/// Why something is no deduplication table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTable {
    /// There are more orders than fit.
    #[error("at most {MAX_APPLIED_ORDERS} taken orders expected, got {0}")]
    TooMany(usize),
    /// Versions do not rise from one order to the next.
    #[error("taken orders: versions that rise expected, got {1} after {0}")]
    NotRising(u64, u64),
    /// A key is malformed.
    #[error("key of a taken order: 64 hexadecimal digits expected")]
    Key,
}

impl DeduplicationTable {
    /// The empty table of a node that knows nothing of the orders up to a version.
    pub fn forgotten(up_to: u64) -> Self {
        DeduplicationTable { forgotten_up_to: up_to, ..DeduplicationTable::default() }
    }

    /// The table of these orders, the oldest first.
    pub fn listed(forgotten_up_to: u64, orders: &[AppliedOrder]) -> Result<Self, InvalidTable> {
        if orders.len() > MAX_APPLIED_ORDERS {
            return Err(InvalidTable::TooMany(orders.len()));
        }
        if let Some([one, next]) = orders.array_windows().find(|[one, next]| one.rev >= next.rev) {
            return Err(InvalidTable::NotRising(one.rev, next.rev));
        }
        let chunks = orders.chunks_exact(CHUNK);
        let open = chunks.remainder().to_vec();
        Ok(DeduplicationTable { forgotten_up_to, full: chunks.map(Arc::from).collect(), open })
    }

    /// The orders, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &AppliedOrder> {
        self.full.iter().flat_map(|chunk| chunk.iter()).chain(&self.open)
    }

    /// The number of orders.
    pub fn len(&self) -> usize {
        self.full.len() * CHUNK + self.open.len()
    }

    /// Whether it holds no order.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The version that the newest of them made; 0 where there is none.
    pub fn newest(&self) -> u64 {
        let last = self.open.last().or_else(|| self.full.last()?.last());
        last.map_or(0, |order| order.rev)
    }

    /// The horizon: the highest version of an order that may have been applied and evicted.
    pub fn forgotten_up_to(&self) -> u64 {
        self.forgotten_up_to
    }

    /// The full chunks, which change no more, and the orders after them.
    pub fn chunks(&self) -> (&[Arc<[AppliedOrder]>], &[AppliedOrder]) {
        (&self.full, &self.open)
    }

    /// Raises the horizon: of orders up to this version that it does not hold, the table can't tell.
    pub fn forget_up_to(&mut self, rev: u64) {
        self.forgotten_up_to = self.forgotten_up_to.max(rev);
    }

    pub(crate) fn push(&mut self, order: AppliedOrder) {
        self.open.push(order);
        if self.len() > MAX_APPLIED_ORDERS {
            let oldest = self.full.remove(0);
            self.forget_up_to(oldest.last().map_or(0, |order| order.rev));
        }
        if self.open.len() == CHUNK {
            self.full.push(std::mem::take(&mut self.open).into());
        }
    }

    pub(crate) fn find(&self, key: IdempotencyKey) -> Option<AppliedOrder> {
        self.iter().find(|order| order.key == key).copied()
    }
}

impl From<DeduplicationTable> for WireTable {
    fn from(taken: DeduplicationTable) -> WireTable {
        WireTable { forgotten_up_to: taken.forgotten_up_to, orders: taken.iter().copied().collect() }
    }
}

impl TryFrom<WireTable> for DeduplicationTable {
    type Error = InvalidTable;

    fn try_from(listed: WireTable) -> Result<Self, InvalidTable> {
        DeduplicationTable::listed(listed.forgotten_up_to, &listed.orders)
    }
}

/// A log entry: what an order adds to the record before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Log index.
    pub seq: u64,
    /// The whole new document.
    pub document: Vec<u8>,
    /// The order, with the version that it makes.
    pub order: AppliedOrder,
}
