//! A backup of the chain's state: what a read down the chain gives, in one JSON file that tells whether it is whole.

use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_control_plane::chain::{HardState, JointConfig, Record};
use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable, InvalidTable};
use serde::{Deserialize, Serialize};

const FORMAT: &str = "glenfall-state-2";
/// The format in which taken orders were known by weak prints, which are not read any more.
const PRINTS: &str = "glenfall-state-1";

/// Why a file is no backup that can be restored.
#[derive(Debug, thiserror::Error)]
pub enum BackupError {
    /// It is not JSON, or fields are missing.
    #[error("not a backup: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// It has another format.
    #[error("format {FORMAT:?} or {PRINTS:?} expected, got {0:?}")]
    Format(String),
    /// Its checksum is another one.
    #[error("checksum does not match: the file is not what was exported")]
    Checksum,
    /// It names no voters.
    #[error("voters: one address at least expected, got none")]
    NoVoters,
    /// Its configuration is invalid.
    #[error("document: {0}")]
    Document(#[from] glenfall_control_plane::config::InvalidConfig),
    /// Its idempotency keys are out of order.
    #[error("{0}")]
    Taken(#[from] InvalidTable),
}

/// The state of control in a file.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Backup {
    format: String,
    /// Who voted.
    pub voters: Vec<Ipv4Addr>,
    /// The view that stood.
    view: u64,
    /// Log index of the last change.
    pub seq: u64,
    /// Version of the configuration.
    pub rev: u64,
    /// As the operator sent it, byte for byte.
    document: String,
    /// Of the orders up to this version not all are listed.
    #[serde(rename = "forgottenUpTo")]
    forgotten_up_to: u64,
    /// Version and key of the orders taken last.
    taken: Vec<(u64, String)>,
    crc: u32,
}

/// A backup of the format before.
#[derive(Deserialize)]
struct WithPrints {
    voters: Vec<Ipv4Addr>,
    view: u64,
    seq: u64,
    rev: u64,
    document: String,
    taken: Vec<(u64, u64)>,
    crc: u32,
}

/// What both formats sum up in the same way; the table of orders comes between the numbers and the rest.
fn checksum(numbers: [u64; 3], table: &[u8], voters: &[Ipv4Addr], document: &str) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    numbers.iter().for_each(|number| hash.update(&number.to_le_bytes()));
    hash.update(table);
    voters.iter().for_each(|voter| hash.update(&voter.octets()));
    hash.update(document.as_bytes());
    hash.finalize()
}

impl Backup {
    /// A backup of a record as it stands in a view.
    pub fn of(voters: &[Ipv4Addr], view: u64, record: &Record) -> Backup {
        let mut backup = Backup {
            format: FORMAT.into(),
            voters: voters.to_vec(),
            view,
            seq: record.seq,
            rev: record.rev,
            document: String::from_utf8_lossy(&record.document).into_owned(),
            forgotten_up_to: record.applied_orders.forgotten_up_to(),
            taken: record.applied_orders.iter().map(|order| (order.rev, order.key.to_string())).collect(),
            crc: 0,
        };
        backup.crc = backup.checksum();
        backup
    }

    fn checksum(&self) -> u32 {
        let mut table = self.forgotten_up_to.to_le_bytes().to_vec();
        for (rev, key) in &self.taken {
            table.extend(rev.to_le_bytes());
            table.extend(key.as_bytes());
        }
        checksum([self.view, self.seq, self.rev], &table, &self.voters, &self.document)
    }

    /// Reads a backup that is whole.
    pub fn read(bytes: &[u8]) -> Result<Backup, BackupError> {
        #[derive(Deserialize)]
        struct Format {
            format: String,
        }
        let backup = match serde_json::from_slice::<Format>(bytes)?.format {
            format if format == FORMAT => serde_json::from_slice(bytes)?,
            format if format == PRINTS => Backup::try_from(serde_json::from_slice::<WithPrints>(bytes)?)?,
            format => return Err(BackupError::Format(format)),
        };
        if backup.crc != backup.checksum() {
            return Err(BackupError::Checksum);
        }
        if backup.voters.is_empty() {
            return Err(BackupError::NoVoters);
        }
        if backup.rev > 0 {
            glenfall_control_plane::config::Config::read(backup.document.as_bytes())?;
        }
        backup.taken_orders()?;
        Ok(backup)
    }

    fn taken_orders(&self) -> Result<DeduplicationTable, InvalidTable> {
        let read = |(rev, key): &(u64, String)| Ok(AppliedOrder { rev: *rev, key: key.parse()? });
        let orders: Vec<AppliedOrder> = self.taken.iter().map(read).collect::<Result<_, InvalidTable>>()?;
        DeduplicationTable::listed(self.forgotten_up_to, &orders)
    }

    /// The state that a core begins with that has nothing else, at these voters. Versions up to `acknowledged` may have
    /// been acknowledged since the export: none of them is taken again.
    pub fn state(self, voters: Vec<Ipv4Addr>, acknowledged: u64) -> Result<HardState, BackupError> {
        let mut taken = self.taken_orders()?;
        taken.forget_up_to(acknowledged);
        let record = Record {
            seq: self.seq,
            rev: self.rev,
            document: self.document.into_bytes(),
            applied_orders: taken,
        };
        let (members, record) = (JointConfig::of(voters), Arc::new(record));
        Ok(HardState { members, votes: true, promised: self.view, accepted: self.view, record })
    }
}

impl TryFrom<WithPrints> for Backup {
    type Error = BackupError;

    /// A print is not enough to confirm an order by, and its absence none to refuse one.
    fn try_from(old: WithPrints) -> Result<Backup, BackupError> {
        let numbers = old.taken.iter().flat_map(|(rev, print)| [*rev, *print]);
        let table: Vec<u8> = numbers.flat_map(u64::to_le_bytes).collect();
        if old.crc != checksum([old.view, old.seq, old.rev], &table, &old.voters, &old.document) {
            return Err(BackupError::Checksum);
        }
        let taken = DeduplicationTable::forgotten(old.rev);
        let record =
            Record { seq: old.seq, rev: old.rev, document: old.document.into_bytes(), applied_orders: taken };
        Ok(Backup::of(&old.voters, old.view, &record))
    }
}
