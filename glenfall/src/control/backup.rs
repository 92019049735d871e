//! A backup of the chain's state: what a read down the chain gives, in one JSON file that tells whether it is whole.

use std::net::Ipv4Addr;
use std::sync::Arc;

use glenfall_plane::chain::{Durable, Members, Record};
use serde::{Deserialize, Serialize};

const FORMAT: &str = "glenfall-state-1";

#[derive(Debug, thiserror::Error)]
pub enum BackupError {
    #[error("not a backup: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("format {FORMAT:?} expected, got {0:?}")]
    Format(String),
    #[error("checksum does not match: the file is not what was exported")]
    Checksum,
    #[error("voters: one address at least expected, got none")]
    NoVoters,
    #[error("document: {0}")]
    Document(#[from] glenfall_plane::config::Invalid),
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
    taken: Vec<(u64, u64)>,
    crc: u32,
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
            taken: record.taken.clone(),
            crc: 0,
        };
        backup.crc = backup.checksum();
        backup
    }

    fn checksum(&self) -> u32 {
        let mut hash = crc32fast::Hasher::new();
        let numbers = [self.view, self.seq, self.rev];
        let taken = self.taken.iter().flat_map(|(rev, print)| [*rev, *print]);
        for number in numbers.into_iter().chain(taken) {
            hash.update(&number.to_le_bytes());
        }
        for voter in &self.voters {
            hash.update(&voter.octets());
        }
        hash.update(self.document.as_bytes());
        hash.finalize()
    }

    /// Reads a backup that is whole.
    pub fn read(bytes: &[u8]) -> Result<Backup, BackupError> {
        let backup: Backup = serde_json::from_slice(bytes)?;
        if backup.format != FORMAT {
            return Err(BackupError::Format(backup.format));
        }
        if backup.crc != backup.checksum() {
            return Err(BackupError::Checksum);
        }
        if backup.voters.is_empty() {
            return Err(BackupError::NoVoters);
        }
        if backup.rev > 0 {
            glenfall_plane::config::Config::read(backup.document.as_bytes())?;
        }
        Ok(backup)
    }

    /// The state that a core begins with that has nothing else, at these voters.
    pub fn state(self, voters: Vec<Ipv4Addr>) -> Durable {
        let record =
            Record { seq: self.seq, rev: self.rev, document: self.document.into_bytes(), taken: self.taken };
        let (members, record) = (Members::of(voters), Arc::new(record));
        Durable { members, votes: true, promised: self.view, accepted: self.view, record }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn backup() -> Backup {
        let record = Record {
            seq: 4,
            rev: 9,
            document: b"{\"rev\": 9, \"paths\": [], \"backends\": []}".to_vec(),
            taken: vec![(7, 1), (9, 2)],
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
            ("state-1", "state-2", "format"),
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
        let state = backup().state(vec![[10, 0, 0, 9].into()]);
        assert_eq!((state.promised, state.accepted, state.record.rev), (48, 48, 9));
        assert_eq!(state.members, Members::of(vec![[10, 0, 0, 9].into()]));
        assert!(state.votes);
    }
}
