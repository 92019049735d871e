//! Idempotency keys of orders, and the deduplication table of the orders that were applied (client sessions in Raft,
//! 6.3).
//!
//! An *order* is an operator's change of the configuration together with the version that it builds on. The table is
//! part of the replicated [`Record`](crate::record::Record): it is agreed on, made durable and transferred together with
//! the document that it belongs to. So no node has one without the other. The table is bounded. Of the evicted keys it
//! retains only the *horizon*, which is the highest version whose key may have been evicted.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::config::ConfigChange;

/// Maximum number of orders in the table. With hundreds of orders a day now, and 3,200 a day expected in two years, the
/// table covers more than a day. A version takes at most 10 bytes and a key 32, so the table stays below 176 KB. That is
/// less than a document of 700 routes, with which the table is sent.
pub const MAX_APPLIED_ORDERS: usize = 4096;
/// Number of orders in a chunk of the table. The oldest orders are evicted a chunk at a time. A full chunk is
/// immutable, so that successive records share it, and it is written to disk only once.
pub const ORDERS_PER_CHUNK: usize = 64;

/// SHA-256 hash of a complete order, which identifies the order. Two orders with the same key count as the same order:
/// to construct two different orders with the same key takes about 2^128 attempts.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey(pub [u8; 32]);

impl IdempotencyKey {
    /// The key of an order. It covers the version that the order builds on: a PATCH of another version results in
    /// another document, and a PUT that is sent again on another version is a new decision of the operator, not a
    /// retry.
    pub fn of(builds_on: u64, change: &ConfigChange) -> IdempotencyKey {
        // All fields but the last have a fixed length, so that different orders never give the same bytes to hash.
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

/// Shows only the first four bytes, to keep test output short.
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
            *byte = hexadecimal_digit(pair[0])? * 16 + hexadecimal_digit(pair[1])?;
        }
        Ok(IdempotencyKey(key))
    }
}

fn hexadecimal_digit(character: u8) -> Result<u8, InvalidTable> {
    let digit = char::from(character).to_digit(16).ok_or(InvalidTable::Key)?;
    Ok(digit as u8)
}

/// An entry of the deduplication table: an order that has been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedOrder {
    /// Version of the configuration that the order produced.
    pub rev: u64,
    /// Key of the order.
    pub key: IdempotencyKey,
}

/// The idempotency keys of the newest orders, with the versions that they produced.
///
/// Invariants: there are at most [`MAX_APPLIED_ORDERS`] orders, their versions increase strictly, and the table
/// contains the key of every applied order with a version above the horizon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireTable", into = "WireTable")]
pub struct DeduplicationTable {
    /// Highest version of an order that may have been applied and evicted.
    horizon: u64,
    /// Chunks of [`ORDERS_PER_CHUNK`] orders, the oldest first. Successive records share them.
    full_chunks: Vec<Arc<[AppliedOrder]>>,
    /// The newest orders, fewer than [`ORDERS_PER_CHUNK`].
    open_chunk: Vec<AppliedOrder>,
}

/// The table as it is serialized.
#[derive(Clone, Serialize, Deserialize)]
struct WireTable {
    forgotten_up_to: u64,
    orders: Vec<AppliedOrder>,
}

/// Why a deduplication table, or a key in it, is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTable {
    /// There are more than [`MAX_APPLIED_ORDERS`] orders.
    #[error("at most {MAX_APPLIED_ORDERS} taken orders expected, got {0}")]
    TooMany(usize),
    /// The versions do not increase from one order to the next.
    #[error("taken orders: versions that rise expected, got {next} after {previous}")]
    VersionsNotIncreasing {
        /// Version of an order.
        previous: u64,
        /// Version of the order after it.
        next: u64,
    },
    /// A key is not written as 64 hexadecimal digits.
    #[error("key of a taken order: 64 hexadecimal digits expected")]
    Key,
}

impl DeduplicationTable {
    /// An empty table with the horizon `up_to`, for a node that does not have the keys of the orders up to that version.
    pub fn with_horizon(up_to: u64) -> Self {
        DeduplicationTable { horizon: up_to, ..DeduplicationTable::default() }
    }

    /// A table of the given orders, the oldest first.
    ///
    /// # Errors
    ///
    /// [`InvalidTable`] if there are too many orders, or their versions do not increase.
    pub fn from_orders(horizon: u64, orders: &[AppliedOrder]) -> Result<Self, InvalidTable> {
        if orders.len() > MAX_APPLIED_ORDERS {
            return Err(InvalidTable::TooMany(orders.len()));
        }
        let not_increasing = orders.array_windows().find(|[previous, next]| previous.rev >= next.rev);
        if let Some([previous, next]) = not_increasing {
            return Err(InvalidTable::VersionsNotIncreasing { previous: previous.rev, next: next.rev });
        }
        let chunks = orders.chunks_exact(ORDERS_PER_CHUNK);
        let open_chunk = chunks.remainder().to_vec();
        Ok(DeduplicationTable { horizon, full_chunks: chunks.map(Arc::from).collect(), open_chunk })
    }

    /// The orders, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &AppliedOrder> {
        self.full_chunks.iter().flat_map(|chunk| chunk.iter()).chain(&self.open_chunk)
    }

    /// The number of orders.
    pub fn len(&self) -> usize {
        self.full_chunks.len() * ORDERS_PER_CHUNK + self.open_chunk.len()
    }

    /// Whether there is no order in the table.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The version that the newest order produced; 0 if the table is empty.
    pub fn newest_rev(&self) -> u64 {
        let newest = self.open_chunk.last().or_else(|| self.full_chunks.last()?.last());
        newest.map_or(0, |order| order.rev)
    }

    /// The highest version of an order that may have been applied and evicted; 0 if there is none.
    pub fn horizon(&self) -> u64 {
        self.horizon
    }

    /// The full chunks, the oldest first. They are immutable.
    pub fn full_chunks(&self) -> &[Arc<[AppliedOrder]>] {
        &self.full_chunks
    }

    /// The newest orders, which do not fill a chunk yet.
    pub fn open_chunk(&self) -> &[AppliedOrder] {
        &self.open_chunk
    }

    /// Raises the horizon to a version, if it is lower. For an order up to the horizon that is not in the table, it is
    /// unknown whether the order was applied.
    pub fn raise_horizon(&mut self, rev: u64) {
        self.horizon = self.horizon.max(rev);
    }

    /// Adds the newest order, and evicts the oldest chunk if there are too many orders.
    pub(crate) fn push(&mut self, order: AppliedOrder) {
        self.open_chunk.push(order);
        if self.len() > MAX_APPLIED_ORDERS {
            let oldest = self.full_chunks.remove(0);
            self.raise_horizon(oldest.last().map_or(0, |order| order.rev));
        }
        if self.open_chunk.len() == ORDERS_PER_CHUNK {
            self.full_chunks.push(std::mem::take(&mut self.open_chunk).into());
        }
    }

    pub(crate) fn find(&self, key: IdempotencyKey) -> Option<AppliedOrder> {
        self.iter().find(|order| order.key == key).copied()
    }
}

impl From<DeduplicationTable> for WireTable {
    fn from(table: DeduplicationTable) -> WireTable {
        WireTable { forgotten_up_to: table.horizon, orders: table.iter().copied().collect() }
    }
}

impl TryFrom<WireTable> for DeduplicationTable {
    type Error = InvalidTable;

    fn try_from(table: WireTable) -> Result<Self, InvalidTable> {
        DeduplicationTable::from_orders(table.forgotten_up_to, &table.orders)
    }
}

/// An entry of the replicated log: an order, with the document that results from applying it to the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Log index of the entry.
    pub seq: u64,
    /// The complete new document, even if the order was a PATCH.
    pub document: Vec<u8>,
    /// The key of the order, with the version that it produces.
    pub order: AppliedOrder,
}
