//! Idempotency keys of orders, and the deduplication table of the orders that were applied (client sessions in Raft, 6.3).
//!
//! An *order* is an operator's change of the configuration together with the version that it builds on. The table is part
//! of the replicated [`Record`](crate::record::Record): it is agreed on, made durable and transferred together with the
//! document that it belongs to, so that no node has one without the other. The table is bounded. Of the keys that were
//! evicted it retains only the *horizon*, which is the highest version whose key may be among them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::config::ConfigChange;

/// Bound of the table. A day has hundreds of orders, and 3,200 in two years' time, so that the table covers more than a
/// day. A version takes ten bytes at most and a key 32: the table is below 176 KB, and smaller than the document of 700
/// routes that it is sent with.
pub const MAX_APPLIED_ORDERS: usize = 4096;
/// Number of orders in a chunk of the table. The oldest orders are evicted by chunks. A full chunk no longer changes, so
/// that successive records share it, and it is written to disk once.
pub const CHUNK_ORDERS: usize = 64;

/// Identifies an order, by the SHA-256 of all of it. Two orders with the same key are the same order: to find a second
/// order with a given key on purpose takes about 2^128 attempts.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey(pub [u8; 32]);

impl IdempotencyKey {
    /// The key of an order. It covers the version that the order builds on: a PATCH makes another document of another
    /// version, and a PUT that is sent again on another version is a new decision of the operator, not a retry.
    pub fn of(builds_on: u64, change: &ConfigChange) -> IdempotencyKey {
        // Each field but the last one has a fixed length, so that no two orders are hashed from the same bytes.
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

/// Test output shows the first four bytes only.
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

/// An order that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedOrder {
    /// Version of the configuration that the order made.
    pub rev: u64,
    /// Key of the order.
    pub key: IdempotencyKey,
}

/// The idempotency keys of the newest orders, with the versions that they made.
///
/// Invariants: there are at most [`MAX_APPLIED_ORDERS`] orders, their versions rise, and the key of every applied order with
/// a version above the horizon is in the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireTable", into = "WireTable")]
pub struct DeduplicationTable {
    /// The horizon.
    horizon: u64,
    /// Chunks of [`CHUNK`] orders, the oldest first. Successive records share them.
    full_chunks: Vec<Arc<[AppliedOrder]>>,
    /// The newest orders, fewer than [`CHUNK`].
    open_chunk: Vec<AppliedOrder>,
}

/// The table as it is serialised.
#[derive(Clone, Serialize, Deserialize)]
struct WireTable {
    forgotten_up_to: u64,
    orders: Vec<AppliedOrder>,
}

/// Why a deduplication table, or a key in it, is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTable {
    /// There are more orders than the bound allows.
    #[error("at most {MAX_APPLIED_ORDERS} taken orders expected, got {0}")]
    TooMany(usize),
    /// Versions do not rise from one order to the next.
    #[error("taken orders: versions that rise expected, got {next} after {previous}")]
    NotRising {
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
    /// The empty table of a node that has lost, or was never sent, the keys of orders up to a version.
    pub fn with_horizon(up_to: u64) -> Self {
        DeduplicationTable { horizon: up_to, ..DeduplicationTable::default() }
    }

    /// The table of these orders, the oldest first.
    ///
    /// # Errors
    ///
    /// [`InvalidTable`] where there are too many orders, or their versions do not rise.
    pub fn from_orders(horizon: u64, orders: &[AppliedOrder]) -> Result<Self, InvalidTable> {
        if orders.len() > MAX_APPLIED_ORDERS {
            return Err(InvalidTable::TooMany(orders.len()));
        }
        let not_rising = orders.array_windows().find(|[previous, next]| previous.rev >= next.rev);
        if let Some([previous, next]) = not_rising {
            return Err(InvalidTable::NotRising { previous: previous.rev, next: next.rev });
        }
        let chunks = orders.chunks_exact(CHUNK_ORDERS);
        let open_chunk = chunks.remainder().to_vec();
        Ok(DeduplicationTable { horizon, full_chunks: chunks.map(Arc::from).collect(), open_chunk })
    }

    /// The orders, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &AppliedOrder> {
        self.full_chunks.iter().flat_map(|chunk| chunk.iter()).chain(&self.open_chunk)
    }

    /// The number of orders.
    pub fn len(&self) -> usize {
        self.full_chunks.len() * CHUNK_ORDERS + self.open_chunk.len()
    }

    /// Whether there is no order in the table.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The version that the newest order made; 0 where there is none.
    pub fn newest_rev(&self) -> u64 {
        let newest = self.open_chunk.last().or_else(|| self.full_chunks.last()?.last());
        newest.map_or(0, |order| order.rev)
    }

    /// The horizon, which is the highest version of an order that may have been applied and evicted.
    pub fn horizon(&self) -> u64 {
        self.horizon
    }

    /// The full chunks, the oldest first. They no longer change.
    pub fn full_chunks(&self) -> &[Arc<[AppliedOrder]>] {
        &self.full_chunks
    }

    /// The newest orders, which do not fill a chunk yet.
    pub fn open_chunk(&self) -> &[AppliedOrder] {
        &self.open_chunk
    }

    /// Raises the horizon. The table can no longer tell whether an order up to this version that it does not contain was
    /// applied.
    pub fn raise_horizon(&mut self, rev: u64) {
        self.horizon = self.horizon.max(rev);
    }

    /// Adds the newest order, and evicts the oldest chunk where there are too many orders.
    pub(crate) fn push(&mut self, order: AppliedOrder) {
        self.open_chunk.push(order);
        if self.len() > MAX_APPLIED_ORDERS {
            let oldest = self.full_chunks.remove(0);
            self.raise_horizon(oldest.last().map_or(0, |order| order.rev));
        }
        if self.open_chunk.len() == CHUNK_ORDERS {
            self.full_chunks.push(std::mem::take(&mut self.open_chunk).into());
        }
    }

    /// The order with this key.
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

/// An entry of the replicated log, which an order adds to the record before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Log index of the entry.
    pub seq: u64,
    /// The complete new document, also where the order was a PATCH.
    pub document: Vec<u8>,
    /// The key of the order, with the version that it makes.
    pub order: AppliedOrder,
}
