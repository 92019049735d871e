//! The state in earlier layouts, which are read and never written.
//!
//! Both recognize applied orders by 64-bit hashes. Such a hash is too weak to confirm that an order was applied, and
//! its absence does not prove that the order was not. The hashes are therefore dropped: for all orders up to the version
//! of the document, it is unknown whether they were applied.

use std::sync::Arc;

use glenfall_control_plane::chain::{HardState, JointConfig, NodeId, Record};
use glenfall_control_plane::deduplication::DeduplicationTable;
use serde::Deserialize;

/// The state in [`Layout::WeakKeys`](super::layout::Layout::WeakKeys).
#[derive(Deserialize)]
pub(super) struct WeakKeysState {
    members: JointConfig,
    votes: bool,
    promised: u64,
    accepted: u64,
    record: WeakKeysRecord,
}

/// The state in [`Layout::FixedVoters`](super::layout::Layout::FixedVoters).
#[derive(Deserialize)]
pub(super) struct FixedVotersState {
    voters: Vec<NodeId>,
    promised: u64,
    accepted: u64,
    record: WeakKeysRecord,
}

/// The replicated record in both layouts.
#[derive(Deserialize)]
struct WeakKeysRecord {
    seq: u64,
    rev: u64,
    document: Vec<u8>,
    /// Unused; declared because the encoding has no field names, so that each field must be decoded.
    #[serde(rename = "prints")]
    _weak_keys: Vec<WeakKey>,
}

/// The 64-bit hash of an order.
#[derive(Deserialize)]
struct WeakKey {
    #[serde(rename = "rev")]
    _rev: u64,
    #[serde(rename = "print")]
    _hash: u64,
}

impl From<WeakKeysRecord> for Arc<Record> {
    fn from(old: WeakKeysRecord) -> Arc<Record> {
        let applied_orders = DeduplicationTable::with_horizon(old.rev);
        Arc::new(Record { seq: old.seq, rev: old.rev, document: old.document, applied_orders })
    }
}

impl From<WeakKeysState> for HardState {
    fn from(old: WeakKeysState) -> HardState {
        HardState {
            members: old.members,
            votes: old.votes,
            promised: old.promised,
            accepted: old.accepted,
            record: old.record.into(),
        }
    }
}

impl From<FixedVotersState> for HardState {
    fn from(old: FixedVotersState) -> HardState {
        HardState {
            members: JointConfig::of(old.voters),
            votes: true,
            promised: old.promised,
            accepted: old.accepted,
            record: old.record.into(),
        }
    }
}
