//! A backup of the committed state of the chain in one JSON file, with a checksum that shows whether it is complete.

mod checksum;
mod legacy;

use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_control_plane::chain::{HardState, JointConfig, Record};
use glenfall_control_plane::config::{Config, InvalidConfig};
use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable, InvalidTable};
use serde::{Deserialize, Serialize};

use checksum::ChecksumInput;
use legacy::WeakKeysBackup;

/// The current format, in which backups are written.
const CURRENT_FORMAT: &str = "glenfall-state-2";
/// The first format, in which orders are recognized by 64-bit hashes.
const WEAK_KEYS_FORMAT: &str = "glenfall-state-1";

/// Why a file can't be restored as a backup.
#[derive(Debug, thiserror::Error)]
pub enum BackupError {
    /// It is not valid JSON, or a field is missing or of another type.
    #[error("not a backup: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// It has an unknown format.
    #[error("format {CURRENT_FORMAT:?} or {WEAK_KEYS_FORMAT:?} expected, got {0:?}")]
    Format(String),
    /// Its checksum does not match its content.
    #[error("checksum does not match: the file was changed or damaged after the export")]
    Checksum,
    /// Its list of voters is empty.
    #[error("voters: at least one address expected, got none")]
    NoVoters,
    /// Its configuration is invalid.
    #[error("document: {0}")]
    Document(#[from] InvalidConfig),
    /// Its idempotency keys are malformed or out of order.
    #[error("{0}")]
    AppliedOrders(#[from] InvalidTable),
}

/// A backup of the state of the chain.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Backup {
    format: String,
    /// The voters at the time of the export.
    pub voters: Vec<Ipv4Addr>,
    /// Number of the view that was active at the time of the export.
    view: u64,
    /// Log index of the last change.
    pub seq: u64,
    /// Version of the configuration.
    pub rev: u64,
    /// The configuration as the operator sent it, byte for byte.
    document: String,
    /// Orders up to this version may be missing from `applied_orders`.
    #[serde(rename = "forgottenUpTo")]
    forgotten_up_to: u64,
    /// The most recently applied orders.
    #[serde(rename = "taken")]
    applied_orders: Vec<ExportedOrder>,
    crc: u32,
}

/// An applied order in a backup; a pair of its version and its key in hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, String)", into = "(u64, String)")]
struct ExportedOrder {
    rev: u64,
    key: String,
}

impl From<(u64, String)> for ExportedOrder {
    fn from((rev, key): (u64, String)) -> Self {
        ExportedOrder { rev, key }
    }
}

impl From<ExportedOrder> for (u64, String) {
    fn from(order: ExportedOrder) -> Self {
        (order.rev, order.key)
    }
}

impl From<&AppliedOrder> for ExportedOrder {
    fn from(order: &AppliedOrder) -> Self {
        ExportedOrder { rev: order.rev, key: order.key.to_string() }
    }
}

impl TryFrom<&ExportedOrder> for AppliedOrder {
    type Error = InvalidTable;

    fn try_from(order: &ExportedOrder) -> Result<Self, InvalidTable> {
        Ok(AppliedOrder { rev: order.rev, key: order.key.parse()? })
    }
}

/// The field that distinguishes the formats.
#[derive(Deserialize)]
struct FormatField {
    format: String,
}

impl Backup {
    /// A backup of a record that was committed in a view.
    pub fn of(voters: &[Ipv4Addr], view: u64, record: &Record) -> Backup {
        let mut backup = Backup {
            format: CURRENT_FORMAT.into(),
            voters: voters.to_vec(),
            view,
            seq: record.seq,
            rev: record.rev,
            document: String::from_utf8_lossy(&record.document).into_owned(),
            forgotten_up_to: record.applied_orders.horizon(),
            applied_orders: record.applied_orders.iter().map(ExportedOrder::from).collect(),
            crc: 0,
        };
        backup.crc = backup.checksum();
        backup
    }

    fn checksum(&self) -> u32 {
        let mut table = self.forgotten_up_to.to_le_bytes().to_vec();
        for order in &self.applied_orders {
            table.extend(order.rev.to_le_bytes());
            table.extend(order.key.as_bytes());
        }
        ChecksumInput {
            view: self.view,
            seq: self.seq,
            rev: self.rev,
            table: &table,
            voters: &self.voters,
            document: &self.document,
        }
        .crc32()
    }

    /// Parses a backup, and checks that it is complete and can be restored.
    pub fn read(bytes: &[u8]) -> Result<Backup, BackupError> {
        let backup = match serde_json::from_slice::<FormatField>(bytes)?.format {
            format if format == CURRENT_FORMAT => serde_json::from_slice(bytes)?,
            format if format == WEAK_KEYS_FORMAT => Backup::try_from(WeakKeysBackup::parse(bytes)?)?,
            format => return Err(BackupError::Format(format)),
        };
        backup.check()?;
        Ok(backup)
    }

    fn check(&self) -> Result<(), BackupError> {
        if self.crc != self.checksum() {
            return Err(BackupError::Checksum);
        }
        if self.voters.is_empty() {
            return Err(BackupError::NoVoters);
        }
        if self.rev > 0 {
            Config::parse(self.document.as_bytes())?;
        }
        self.deduplication_table()?;
        Ok(())
    }

    fn deduplication_table(&self) -> Result<DeduplicationTable, InvalidTable> {
        let orders: Vec<AppliedOrder> =
            self.applied_orders.iter().map(AppliedOrder::try_from).collect::<Result<_, _>>()?;
        DeduplicationTable::from_orders(self.forgotten_up_to, &orders)
    }

    /// The state with which each of `voters` starts when only the backup is left. Versions up to `acknowledged` may
    /// have been acknowledged since the export, so no order with such a version is applied again.
    pub fn state(self, voters: Vec<Ipv4Addr>, acknowledged: u64) -> Result<HardState, BackupError> {
        let mut applied_orders = self.deduplication_table()?;
        applied_orders.raise_horizon(acknowledged);
        let record =
            Record { seq: self.seq, rev: self.rev, document: self.document.into_bytes(), applied_orders };
        Ok(HardState {
            members: JointConfig::of(voters),
            votes: true,
            promised: self.view,
            accepted: self.view,
            record: Arc::new(record),
        })
    }
}

impl TryFrom<WeakKeysBackup> for Backup {
    type Error = BackupError;

    fn try_from(old: WeakKeysBackup) -> Result<Backup, BackupError> {
        if !old.is_intact() {
            return Err(BackupError::Checksum);
        }
        let (voters, view) = (old.voters.clone(), old.view);
        Ok(Backup::of(&voters, view, &old.into_record()))
    }
}
