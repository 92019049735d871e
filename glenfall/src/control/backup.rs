//! A backup of the chain's state: what a read down the chain gives, in one JSON file that tells whether it is whole.

use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_plane::chain::{Durable, Members, Record};
use glenfall_plane::orders::{TakenOrder, TakenOrders, Unsound};
use serde::{Deserialize, Serialize};

const FORMAT: &str = "glenfall-state-2";
/// The format in which taken orders were known by weak prints, which are not read any more.
const PRINTS: &str = "glenfall-state-1";

#[derive(Debug, thiserror::Error)]
pub enum BackupError {
    #[error("not a backup: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("format {FORMAT:?} or {PRINTS:?} expected, got {0:?}")]
    Format(String),
    #[error("checksum does not match: the file is not what was exported")]
    Checksum,
    #[error("voters: one address at least expected, got none")]
    NoVoters,
    #[error("document: {0}")]
    Document(#[from] glenfall_plane::config::Invalid),
    #[error("{0}")]
    Taken(#[from] Unsound),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Backup {
    format: String,
    pub voters: Vec<Ipv4Addr>,
    /// The view that stood.
    view: u64,
    pub seq: u64,
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
    pub fn of(voters: &[Ipv4Addr], view: u64, record: &Record) -> Backup {
        let mut backup = Backup {
            format: FORMAT.into(),
            voters: voters.to_vec(),
            view,
            seq: record.seq,
            rev: record.rev,
            document: String::from_utf8_lossy(&record.document).into_owned(),
            forgotten_up_to: record.taken.forgotten_up_to(),
            taken: record.taken.iter().map(|order| (order.rev, order.key.to_string())).collect(),
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
            glenfall_plane::config::Config::read(backup.document.as_bytes())?;
        }
        backup.taken_orders()?;
        Ok(backup)
    }

    fn taken_orders(&self) -> Result<TakenOrders, Unsound> {
        let read = |(rev, key): &(u64, String)| Ok(TakenOrder { rev: *rev, key: key.parse()? });
        let orders: Vec<TakenOrder> = self.taken.iter().map(read).collect::<Result<_, Unsound>>()?;
        TakenOrders::listed(self.forgotten_up_to, &orders)
    }

    /// The state that a core begins with that has nothing else, at these voters. Versions up to `acknowledged` may have
    /// been acknowledged since the export: none of them is taken again.
    pub fn state(self, voters: Vec<Ipv4Addr>, acknowledged: u64) -> Result<Durable, BackupError> {
        let mut taken = self.taken_orders()?;
        taken.forget_up_to(acknowledged);
        let record = Record { seq: self.seq, rev: self.rev, document: self.document.into_bytes(), taken };
        let (members, record) = (Members::of(voters), Arc::new(record));
        Ok(Durable { members, votes: true, promised: self.view, accepted: self.view, record })
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
        let taken = TakenOrders::forgotten(old.rev);
        let record = Record { seq: old.seq, rev: old.rev, document: old.document.into_bytes(), taken };
        Ok(Backup::of(&old.voters, old.view, &record))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use glenfall_plane::orders::OrderKey;

    fn backup() -> Backup {
        let order = |(rev, byte)| TakenOrder { rev, key: OrderKey([byte; 32]) };
        let taken = TakenOrders::listed(5, &[(7, 0x1a), (9, 0x2b)].map(order)).unwrap();
        let record = Record {
            seq: 4,
            rev: 9,
            document: b"{\"rev\": 9, \"paths\": [], \"backends\": []}".to_vec(),
            taken,
        };
        Backup::of(&[[10, 0, 0, 1].into(), [10, 0, 0, 2].into()], 48, &record)
    }

    #[test]
    fn what_was_exported_is_read_and_nothing_else() {
        let text = serde_json::to_string_pretty(&backup()).unwrap();
        assert_eq!(Backup::read(text.as_bytes()).unwrap(), backup());
        let told = |text: &str| Backup::read(text.as_bytes()).map(|_| ()).map_err(|e| e.to_string());
        for (from, to, why) in [
            ("\"seq\": 4", "\"seq\": 5", "checksum"),
            ("10.0.0.1", "10.0.0.3", "checksum"),
            ("\\\"paths\\\": []", "\\\"paths\\\": [ ]", "checksum"),
            ("2b2b", "2b2c", "checksum"),
            ("forgottenUpTo\": 5", "forgottenUpTo\": 4", "checksum"),
            ("state-2", "state-3", "format"),
            ("state-2", "state-1", "not a backup"),
            ("\"rev\": 9,", "\"rev\": true,", "not a backup"),
        ] {
            assert!(text.contains(from), "{from}");
            let e = told(&text.replacen(from, to, 1)).expect_err(from);
            assert!(e.contains(why) && !e.contains('\n'), "{from}: {e}");
        }
        for cut in 0..text.len() {
            assert!(told(&text[..cut]).is_err(), "cut at {cut}");
        }
    }

    #[test]
    fn it_becomes_the_state_of_each_voter() {
        let state = backup().state(vec![[10, 0, 0, 9].into()], 0).unwrap();
        assert_eq!((state.promised, state.accepted, state.record.rev), (48, 48, 9));
        assert_eq!(state.members, Members::of(vec![[10, 0, 0, 9].into()]));
        assert!(state.votes);
    }
    #[test]
    fn of_what_was_taken_since_the_export_no_version_is_taken_again() {
        for (acknowledged, up_to) in [(0, 5), (5, 5), (12, 12)] {
            let state = backup().state(vec![[10, 0, 0, 9].into()], acknowledged).unwrap();
            assert_eq!((state.record.taken.forgotten_up_to(), state.record.taken.len()), (up_to, 2));
        }
    }

    /// As version 0.3.0 of the program wrote it.
    const BEFORE: &str = r#"{"format": "glenfall-state-1", "voters": ["10.0.0.1", "10.0.0.2"], "view": 48, "seq": 4,
        "rev": 9, "document": "{\"rev\": 9, \"paths\": [], \"backends\": []}", "taken": [[7, 1], [9, 2]], "crc": CRC}"#;

    #[test]
    fn the_format_before_is_read_and_its_prints_confirm_and_refuse_nothing() {
        let numbers = [48u64, 4, 9, 7, 1, 9, 2].map(u64::to_le_bytes).concat();
        let text = [&numbers[..], &[10, 0, 0, 1, 10, 0, 0, 2]].concat();
        let document = b"{\"rev\": 9, \"paths\": [], \"backends\": []}";
        let crc = crc32fast::hash(&[&text[..], document].concat());
        let before = BEFORE.replace("CRC", &crc.to_string());
        let state = Backup::read(before.as_bytes()).unwrap().state(vec![[10, 0, 0, 9].into()], 0).unwrap();
        assert_eq!((state.record.seq, state.record.rev), (4, 9));
        assert_eq!(state.record.taken, TakenOrders::forgotten(9));
        let spoilt = before.replace("[9, 2]", "[9, 3]");
        assert!(matches!(Backup::read(spoilt.as_bytes()), Err(BackupError::Checksum)));
    }
}
