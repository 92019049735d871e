//! The state as earlier layouts have it, which are read and never written.
//!
//! In both, applied orders were recognised by hashes of 64 bits. Such a hash is not enough to confirm an order by, and
//! its absence is not enough to reject one: the hashes are dropped, and all orders up to the version of the document
//! count as forgotten.

use std::sync::Arc;

use glenfall_control_plane::chain::{HardState, JointConfig, NodeId, Record};
use glenfall_control_plane::deduplication::DeduplicationTable;
use serde::Deserialize;

/// The state while orders were recognised by weak keys.
#[derive(Deserialize)]
pub(super) struct WeakKeysState {
    members: JointConfig,
    votes: bool,
    promised: u64,
    accepted: u64,
    record: WeakKeysRecord,
}

/// The state while the voters could not be changed.
#[derive(Deserialize)]
pub(super) struct FixedVotersState {
    voters: Vec<NodeId>,
    promised: u64,
    accepted: u64,
    record: WeakKeysRecord,
}

/// The replicated record of both.
#[derive(Deserialize)]
struct WeakKeysRecord {
    seq: u64,
    rev: u64,
    document: Vec<u8>,
    /// It is there so that the encoding is read to its end, and not used.
    #[serde(rename = "prints")]
    _weak_keys: Vec<WeakKey>,
}

/// A hash of 64 bits of an order.
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
