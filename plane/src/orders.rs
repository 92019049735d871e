//! Which orders were taken, and what a further one is: new, taken, stale or invalid.
//!
//! The table is a part of the replicated [`Record`], so that it is agreed, made durable and handed on with the
//! document that it belongs to: there is no moment at which one is there without the other. It is bounded; of what
//! has left it, it knows up to which version that was.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::config::Change;

/// Orders that are known again, at most. A day has hundreds, 3,200 in two years' time: more than a day of those. A
/// version takes ten bytes at most and a key 32, so that the table is below 176 KB, less than the document of 700 routes
/// that it travels with.
pub const MOST_TAKEN: usize = 4096;
/// The oldest leave the table so many at a time: what is shared between one record and the next, and written once.
pub const CHUNK: usize = 64;

/// What an order is known by: SHA-256 over all of it. Two orders with the same key are the same order; to make a second
/// one on purpose takes about 2^128 tries, and by chance it never happens.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderKey(pub [u8; 32]);

impl OrderKey {
    /// The version that it builds on is a part of the order: a PATCH makes another document of another version, and a
    /// PUT that is sent again upon another one is a new decision of the operator, not a repeat.
    pub fn of(builds_on: u64, change: &Change) -> OrderKey {
        // Each field but the last has a fixed length, so that no two orders give the same bytes.
        let (method, body) = match change {
            Change::Put(body) => (b"PUT  ", body),
            Change::Patch(body) => (b"PATCH", body),
        };
        let hash =
            Sha256::new().chain_update(method).chain_update(builds_on.to_le_bytes()).chain_update(body);
        OrderKey(hash.finalize().into())
    }
}

impl fmt::Display for OrderKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for OrderKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().take(4).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for OrderKey {
    type Err = Unsound;

    fn from_str(text: &str) -> Result<Self, Unsound> {
        let mut key = [0; 32];
        let digits = text.as_bytes();
        if digits.len() != 2 * key.len() {
            return Err(Unsound::Key);
        }
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            let value = |digit: &u8| char::from(*digit).to_digit(16).ok_or(Unsound::Key);
            *byte = (value(&pair[0])? * 16 + value(&pair[1])?) as u8;
        }
        Ok(OrderKey(key))
    }
}

/// An order that was taken, and the version that it made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakenOrder {
    pub rev: u64,
    pub key: OrderKey,
}

/// The orders taken last, the newest at the end. Chunks that are full are shared by all records that hold them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Listed", into = "Listed")]
pub struct TakenOrders {
    forgotten_up_to: u64,
    full: Vec<Arc<[TakenOrder]>>,
    open: Vec<TakenOrder>,
}

/// The table as it is told and exported.
#[derive(Clone, Serialize, Deserialize)]
struct Listed {
    forgotten_up_to: u64,
    orders: Vec<TakenOrder>,
}

/// What is no table of taken orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsound {
    #[error("at most {MOST_TAKEN} taken orders expected, got {0}")]
    TooMany(usize),
    #[error("taken orders: versions that rise expected, got {1} after {0}")]
    NotRising(u64, u64),
    #[error("key of a taken order: 64 hexadecimal digits expected")]
    Key,
}

impl TakenOrders {
    /// Nothing is known of the orders up to a version.
    pub fn forgotten(up_to: u64) -> Self {
        TakenOrders { forgotten_up_to: up_to, ..TakenOrders::default() }
    }

    /// The table that holds these, the oldest first.
    pub fn listed(forgotten_up_to: u64, orders: &[TakenOrder]) -> Result<Self, Unsound> {
        if orders.len() > MOST_TAKEN {
            return Err(Unsound::TooMany(orders.len()));
        }
        if let Some([one, next]) = orders.array_windows().find(|[one, next]| one.rev >= next.rev) {
            return Err(Unsound::NotRising(one.rev, next.rev));
        }
        let chunks = orders.chunks_exact(CHUNK);
        let open = chunks.remainder().to_vec();
        Ok(TakenOrders { forgotten_up_to, full: chunks.map(Arc::from).collect(), open })
    }

    pub fn iter(&self) -> impl Iterator<Item = &TakenOrder> {
        self.full.iter().flat_map(|chunk| chunk.iter()).chain(&self.open)
    }

    pub fn len(&self) -> usize {
        self.full.len() * CHUNK + self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The version that the newest of them made; 0 where there is none.
    pub fn newest(&self) -> u64 {
        let last = self.open.last().or_else(|| self.full.last()?.last());
        last.map_or(0, |order| order.rev)
    }

    /// The highest version of an order that may have been taken and has left the table.
    pub fn forgotten_up_to(&self) -> u64 {
        self.forgotten_up_to
    }

    /// The chunks that change no more, and those that are still open.
    pub fn chunks(&self) -> (&[Arc<[TakenOrder]>], &[TakenOrder]) {
        (&self.full, &self.open)
    }

    /// Nothing up to this version is taken under another order, as far as the table can't tell.
    pub fn forget_up_to(&mut self, rev: u64) {
        self.forgotten_up_to = self.forgotten_up_to.max(rev);
    }

    pub(crate) fn push(&mut self, order: TakenOrder) {
        self.open.push(order);
        if self.len() > MOST_TAKEN {
            let oldest = self.full.remove(0);
            self.forget_up_to(oldest.last().map_or(0, |order| order.rev));
        }
        if self.open.len() == CHUNK {
            self.full.push(std::mem::take(&mut self.open).into());
        }
    }

    pub(crate) fn find(&self, key: OrderKey) -> Option<TakenOrder> {
        self.iter().find(|order| order.key == key).copied()
    }
}

impl From<TakenOrders> for Listed {
    fn from(taken: TakenOrders) -> Listed {
        Listed { forgotten_up_to: taken.forgotten_up_to, orders: taken.iter().copied().collect() }
    }
}

impl TryFrom<Listed> for TakenOrders {
    type Error = Unsound;

    fn try_from(listed: Listed) -> Result<Self, Unsound> {
        TakenOrders::listed(listed.forgotten_up_to, &listed.orders)
    }
}

/// What an order adds to the record before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub seq: u64,
    pub document: Vec<u8>,
    pub order: TakenOrder,
}
