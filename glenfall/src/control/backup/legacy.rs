//! Backups of the first format, which are read and never written.

use std::net::Ipv4Addr;

use glenfall_control_plane::chain::Record;
use glenfall_control_plane::deduplication::DeduplicationTable;
use serde::Deserialize;

use super::checksum::ChecksumInput;

/// A backup of the first format, in which orders are recognized by 64-bit hashes.
#[derive(Deserialize)]
pub(super) struct WeakKeysBackup {
    pub(super) voters: Vec<Ipv4Addr>,
    pub(super) view: u64,
    seq: u64,
    rev: u64,
    document: String,
    #[serde(rename = "taken")]
    applied_orders: Vec<WeaklyKeyedOrder>,
    crc: u32,
}

/// An order with its hash; a pair of numbers in JSON.
#[derive(Deserialize)]
#[serde(from = "(u64, u64)")]
struct WeaklyKeyedOrder {
    rev: u64,
    hash: u64,
}

impl From<(u64, u64)> for WeaklyKeyedOrder {
    fn from((rev, hash): (u64, u64)) -> Self {
        WeaklyKeyedOrder { rev, hash }
    }
}

impl WeakKeysBackup {
    pub(super) fn parse(bytes: &[u8]) -> Result<WeakKeysBackup, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Whether the content matches the checksum.
    pub(super) fn is_intact(&self) -> bool {
        let numbers = self.applied_orders.iter().flat_map(|order| [order.rev, order.hash]);
        let table: Vec<u8> = numbers.flat_map(u64::to_le_bytes).collect();
        let input = ChecksumInput {
            view: self.view,
            seq: self.seq,
            rev: self.rev,
            table: &table,
            voters: &self.voters,
            document: &self.document,
        };
        self.crc == input.crc32()
    }

    /// Converts to a record. A 64-bit hash is too weak to confirm that an order was applied, and its absence does not
    /// prove that the order was not. The hashes are therefore dropped: for all orders up to the version of the document,
    /// it is unknown whether they were applied.
    pub(super) fn into_record(self) -> Record {
        Record {
            seq: self.seq,
            rev: self.rev,
            document: self.document.into_bytes(),
            applied_orders: DeduplicationTable::with_horizon(self.rev),
        }
    }
}
